// Whether a request is taken, and which of its parts are not worth waiting for.

#ifndef TANAGERVANE_SERVING_ADMISSION_H_
#define TANAGERVANE_SERVING_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "tanagervane/serving/exchange.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// What one part of a request can expect.
struct PartOutlook {
  /// The shortest wait for a slot among its usable replicas; nothing when it
  /// has none.
  std::optional<Millis> wait;
};

struct AdmissionLimits {
  /// Parts without which the answer is no success.
  size_t needed_parts = 1;
  /// The longest wait for a slot with which the request is taken.
  Millis longest_wait;
  /// Until an answer must leave to be on time; zero or less when it cannot be.
  Millis on_time;
};

struct Admission {
  /// Why the request is refused; nothing when it is taken.
  std::optional<AnswerReason> refusal;
  /// When a refused caller may come back.
  Millis retry_after;
  /// Parts that are not sent, because they would wait for a slot until the
  /// answer leaves: only as many as it can do without, the longest wait first.
  std::vector<size_t> skipped;
};

/// Decides under loads beyond the capacity of single shards. Where one more
/// part may be missing, the load on a full shard is what the others do not
/// need, so that its queue stays short enough for answers to be on time; where
/// too many shards are full, the request is refused at once.
Admission Admit(std::span<const PartOutlook> parts,
                const AdmissionLimits& limits);

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_ADMISSION_H_
