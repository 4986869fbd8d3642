#include "tanagervane/serving/admission.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace tanagervane {

namespace {

/// A caller that retries sooner would find the same queues.
constexpr Millis kMinRetryAfter{60};
/// When replicas are missing, it takes longer until one is available.
constexpr Millis kNoReplicaRetryAfter{400};

/// Longest wait at which a skipped sub-request is sent after all, as a fraction
/// of the time to the answer.
constexpr double kMaxReopenWaitFraction = 0.6;

/// Permits are scarce at this fraction of those that can accrue, or below.
constexpr double kScarcePermitFraction = 0.5;

Admission Refuse(AnswerReason reason, Millis retry_after) {
  Admission admission;
  admission.refusal = reason;
  admission.retry_after = retry_after;
  return admission;
}

/// Refuses a request for which `lacking` shards with a replica that takes
/// requests are missing. Stated limits are the reason if enough replicas take
/// requests later.
Admission RefuseForLackOfReplicas(
    std::span<const SubRequestEstimate> sub_requests,
    size_t lacking) {
  std::vector<Millis> delays;
  for (const SubRequestEstimate& sub_request : sub_requests) {
    if (!sub_request.min_wait && sub_request.limit_delay) {
      delays.push_back(*sub_request.limit_delay);
    }
  }
  if (delays.size() < lacking) {
    return Refuse(AnswerReason::kNoReplica, kNoReplicaRetryAfter);
  }
  const auto decisive =
      delays.begin() + static_cast<std::ptrdiff_t>(lacking - 1);
  std::nth_element(delays.begin(), decisive, delays.end());
  return Refuse(AnswerReason::kRateLimited,
                std::max(*decisive, kMinRetryAfter));
}

bool IsTooLate(const SubRequestEstimate& sub_request, Millis latest_wait) {
  return sub_request.min_wait &&
         *sub_request.min_wait >
             std::min(latest_wait,
                      sub_request.max_queue_wait.value_or(latest_wait));
}

/// Returns the indices of sub-requests that would wait longer for a slot than
/// `latest_wait` or in a queue that is too long, the longest wait first.
std::vector<size_t> LateSubRequests(
    std::span<const SubRequestEstimate> sub_requests,
    Millis latest_wait) {
  std::vector<size_t> late;
  for (size_t i = 0; i < sub_requests.size(); ++i) {
    if (IsTooLate(sub_requests[i], latest_wait)) {
      late.push_back(i);
    }
  }
  std::ranges::sort(late, std::greater<>(), [&](size_t index) {
    return sub_requests[index].min_wait->count();
  });
  return late;
}

bool HasScarcePermits(const SubRequestEstimate& sub_request) {
  return sub_request.min_wait && sub_request.permit_fraction &&
         *sub_request.permit_fraction <= kScarcePermitFraction;
}

/// Returns the indices of at most `max_count` sub-requests with the scarcest
/// permits. Empty if the request can do without all sub-requests with scarce
/// permits, because then no request is refused for lack of them.
std::vector<size_t> SubRequestsToSpare(
    std::span<const SubRequestEstimate> sub_requests,
    std::span<const size_t> skipped,
    size_t max_count) {
  std::vector<size_t> scarce;
  for (size_t i = 0; i < sub_requests.size(); ++i) {
    if (HasScarcePermits(sub_requests[i]) &&
        std::ranges::find(skipped, i) == skipped.end()) {
      scarce.push_back(i);
    }
  }
  if (scarce.size() <= max_count) {
    return {};
  }
  std::ranges::sort(scarce, std::less<>(), [&](size_t index) {
    return *sub_requests[index].permit_fraction;
  });
  scarce.resize(max_count);
  return scarce;
}

}  // namespace

Admission Admit(std::span<const SubRequestEstimate> sub_requests,
                const AdmissionLimits& limits) {
  std::vector<Millis> waits;
  for (const SubRequestEstimate& sub_request : sub_requests) {
    if (sub_request.min_wait) {
      waits.push_back(*sub_request.min_wait);
    }
  }
  if (waits.size() < limits.needed_sub_requests) {
    return RefuseForLackOfReplicas(sub_requests,
                                   limits.needed_sub_requests - waits.size());
  }
  const auto decisive = waits.begin() + static_cast<std::ptrdiff_t>(
                                            limits.needed_sub_requests - 1);
  std::nth_element(waits.begin(), decisive, waits.end());
  if (*decisive > limits.max_wait) {
    return Refuse(AnswerReason::kOverloaded,
                  std::max(*decisive - limits.max_wait, kMinRetryAfter));
  }
  Admission admission;
  if (limits.time_to_answer > Millis(0)) {
    admission.skipped = LateSubRequests(sub_requests, limits.time_to_answer);
    const size_t spare = waits.size() - limits.needed_sub_requests;
    admission.skipped.resize(std::min(admission.skipped.size(), spare));
    if (limits.spare_permits) {
      admission.spared = SubRequestsToSpare(sub_requests, admission.skipped,
                                            spare - admission.skipped.size());
    }
  }
  return admission;
}

bool MayReopen(const SubRequestEstimate& sub_request, Millis time_to_answer) {
  return sub_request.min_wait && time_to_answer > Millis(0) &&
         *sub_request.min_wait <= time_to_answer * kMaxReopenWaitFraction;
}

}  // namespace tanagervane
