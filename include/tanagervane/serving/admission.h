// Admission control: refuses requests and skips sub-requests under overload.

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

/// Estimate for one sub-request before anything is sent.
struct SubRequestEstimate {
  /// Shortest estimated wait for a slot among the shard's usable replicas that
  /// take requests now; nullopt when it has none.
  std::optional<Millis> min_wait;
  /// Time until a replica of the shard takes a request that takes none now
  /// because of a limit it has stated; nullopt when there is no such replica.
  std::optional<Millis> limit_delay;
  /// If all usable replicas of the shard have a rate limit: the permits that
  /// there are, as a fraction of those that can accrue.
  std::optional<double> permit_fraction;
  /// Longest wait at which the shard's queue is still short enough for all
  /// routes that use it; nullopt for no limit.
  std::optional<Millis> max_queue_wait;
};

struct AdmissionLimits {
  /// Sub-requests that must succeed for a successful answer.
  size_t needed_sub_requests = 1;
  /// A request is refused when its needed sub-requests would wait longer for a
  /// slot than this.
  Millis max_wait;
  /// Time until the answer must be sent to meet the latency objective; zero or
  /// less when the objective can no longer be met.
  Millis time_to_answer;
  /// Whether sub-requests are spared; see Admission.
  bool spare_permits = true;
};

struct Admission {
  /// Why the request is refused; nullopt when it is admitted.
  std::optional<AnswerReason> refusal;
  /// Time after which a refused caller may retry.
  Millis retry_after;
  /// Indices of sub-requests that are not sent because they would wait for a
  /// slot beyond the time when the answer is sent, or longer than the shard's
  /// queue may become. At most as many sub-requests are skipped as the answer
  /// can do without; those with the longest wait first.
  std::vector<size_t> skipped;
  /// Indices of further sub-requests that are not sent, so that their permits
  /// remain for requests that cannot do without them.
  std::vector<size_t> spared;
};

/// Decides whether to admit a request when some of its shards are overloaded.
/// As long as the answer can do without an overloaded shard, the sub-request to
/// that shard is skipped, which keeps its queue short enough for other answers
/// to meet their objective, also those of routes with a tighter objective that
/// use the same shard. When too many shards are overloaded, the request is
/// refused at once. Likewise, a request does not use the scarcest permits when
/// more shards lack permits than an answer can do without: otherwise every
/// other request would find too few.
Admission Admit(std::span<const SubRequestEstimate> sub_requests,
                const AdmissionLimits& limits);

/// Returns whether a skipped sub-request may be sent after all because others
/// of its request failed, for instance because replicas rejected them.
/// `time_to_answer` is as in AdmissionLimits. While the shard's queue is long,
/// the request fails instead: one that waits as long as the answer allows would
/// make the next ones late.
bool MayReopen(const SubRequestEstimate& sub_request, Millis time_to_answer);

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_ADMISSION_H_
