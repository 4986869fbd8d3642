// Objects, requests and results of the platform's store.

#ifndef TANAGERVANE_STATE_STORE_TYPES_H_
#define TANAGERVANE_STATE_STORE_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "nlohmann/json.hpp"

namespace tanagervane {

struct StoreObject {
  std::string name;
  /// The store's revision at the object's last change.
  uint64_t revision = 0;
  nlohmann::json content;
  /// Why the content could not be read; it is then null.
  absl::Status content_status = absl::OkStatus();
};

/// Result of a read.
enum class StoreResult {
  kOk,
  kRevisionTooOld,  ///< The store no longer holds the watched revision.
  kUnavailable,     ///< No answer, an error, or a malformed answer.
};

std::string_view ToString(StoreResult result);

/// How stale the answer to a read may be.
enum class Freshness {
  kLatest,  ///< Includes all changes that the store has acknowledged.
  /// May be seconds old. Costs the store a tenth of a read of the latest state,
  /// and is not rate-limited.
  kStale,
};

/// What a VM whose reads may be stale watches on behalf of the others.
enum class WatchRole {
  kNone,    ///< Watches stale data; the others tell it what it lacks.
  kLatest,  ///< Watches the latest state.
  /// Watches the latest state, and reads it regularly in case the answer to the
  /// watch is lost.
  kLeader,
};

/// Parameters of a read of the changes since a revision.
struct WatchRequest {
  uint64_t revision = 0;
  Freshness freshness = Freshness::kLatest;
  /// Whether the store waits for a change before it answers.
  bool wait = true;
};

/// Result of a write.
enum class WriteResult {
  kDone,
  kConflict,  ///< The object exists, or has another revision.
  kNotFound,
  kRejected,  ///< The write had no effect.
  kUnknown,   ///< No answer; the write may have taken effect, or may do so
              ///< later.
};

/// One page of the objects of a kind.
struct StorePage {
  std::vector<StoreObject> objects;
  bool has_more = false;
  /// The store's revision when the page was read.
  uint64_t revision = 0;
  /// Why elements of the page were left out: their names cannot be read.
  std::vector<absl::Status> unreadable = {};
  /// The store's era: it increases whenever the store was restored from an
  /// earlier copy. Revisions of different eras are not comparable.
  uint64_t era = 0;
};

struct StoreEvent {
  StoreObject object;
  bool deleted = false;
};

struct StoreEvents {
  std::vector<StoreEvent> events;
  /// The revision from which the next watch continues.
  uint64_t revision = 0;
  /// Why events were left out: the names of their objects cannot be read.
  std::vector<absl::Status> unreadable = {};
  /// The store's era, as in StorePage.
  uint64_t era = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_STORE_TYPES_H_
