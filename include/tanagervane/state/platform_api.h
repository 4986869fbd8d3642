// Interface through which the state classes call the platform's object store
// and VM list.

#ifndef TANAGERVANE_STATE_PLATFORM_API_H_
#define TANAGERVANE_STATE_PLATFORM_API_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Result of a call to the platform.
enum class PlatformResult {
  kOk,
  kConflict,  ///< The expected version is not the current one.
  kNotFound,
  kVersionTooOld,   ///< The platform no longer holds the watched version.
  kUnchanged,       ///< A watch timed out without a change.
  kUnavailable,     ///< The call had no effect.
  kUnknownOutcome,  ///< A write may or may not have taken effect.
};

/// A stored object. Versions start at 1 and grow with each write.
struct PlatformObject {
  uint64_t version = 0;
  std::string value;
};

enum class VmRole { kBackendServer, kEntry };
enum class VmState { kLive, kLeaving };

struct VmRecord {
  std::string id;
  VmRole role = VmRole::kBackendServer;
  VmState state = VmState::kLive;
  std::string address;  ///< "ip:port"; of entries, the peer listener.
  std::string data_centre;
  std::string index;  ///< Empty for entries.

  bool operator==(const VmRecord&) const = default;
};

struct VmSnapshot {
  uint64_t version = 0;
  std::vector<VmRecord> vms;
};

/// Asynchronous calls to the platform. Each invokes `done` once, after the call
/// has returned.
struct PlatformApi {
  using ObjectDone = std::function<void(PlatformResult, PlatformObject)>;
  using VmsDone = std::function<void(PlatformResult, VmSnapshot)>;

  std::function<void(std::string kind, std::string name, ObjectDone done)> get;

  /// Writes the object if its current version is `expected_version`; zero means
  /// that the object must not exist. With kOk and kConflict, `done` receives
  /// the current version and an empty value.
  std::function<void(std::string kind,
                     std::string name,
                     uint64_t expected_version,
                     std::string value,
                     ObjectDone done)>
      put;

  /// Deletes the object if its current version is `expected_version`.
  std::function<void(std::string kind,
                     std::string name,
                     uint64_t expected_version,
                     ObjectDone done)>
      remove;

  /// Completes with kOk when the object's version exceeds `from_version`, or
  /// with kUnchanged after `timeout`.
  std::function<void(std::string kind,
                     std::string name,
                     uint64_t from_version,
                     Millis timeout,
                     ObjectDone done)>
      watch;

  /// Reads the VM list. If `from_version` is not zero, waits for a later
  /// version as `watch` does.
  std::function<void(uint64_t from_version, Millis timeout, VmsDone done)>
      list_vms;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_PLATFORM_API_H_
