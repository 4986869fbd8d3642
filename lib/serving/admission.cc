// Admission of requests and of their parts.

#include "tanagervane/serving/admission.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace tanagervane {

namespace {

/// A caller that is told to come back sooner would meet the same queues.
constexpr Millis kShortestRetryAfter{60};
/// Without enough replicas it takes longer until another one is there.
constexpr Millis kNoReplicaRetryAfter{400};

Admission Refuse(AnswerReason reason, Millis retry_after) {
  Admission admission;
  admission.refusal = reason;
  admission.retry_after = retry_after;
  return admission;
}

/// Indices of parts that would wait for a slot until the answer leaves, the
/// longest wait first.
std::vector<size_t> LateParts(std::span<const PartOutlook> parts,
                              Millis latest_wait) {
  std::vector<size_t> late;
  for (size_t i = 0; i < parts.size(); ++i) {
    if (parts[i].wait && *parts[i].wait > latest_wait) {
      late.push_back(i);
    }
  }
  std::ranges::sort(late, std::greater<>(),
                    [&](size_t index) { return parts[index].wait->count(); });
  return late;
}

}  // namespace

Admission Admit(std::span<const PartOutlook> parts,
                const AdmissionLimits& limits) {
  std::vector<Millis> waits;
  for (const PartOutlook& part : parts) {
    if (part.wait) {
      waits.push_back(*part.wait);
    }
  }
  if (waits.size() < limits.needed_parts) {
    return Refuse(AnswerReason::kNoReplica, kNoReplicaRetryAfter);
  }
  const auto decisive =
      waits.begin() + static_cast<std::ptrdiff_t>(limits.needed_parts - 1);
  std::nth_element(waits.begin(), decisive, waits.end());
  if (*decisive > limits.longest_wait) {
    return Refuse(
        AnswerReason::kOverloaded,
        std::max(*decisive - limits.longest_wait, kShortestRetryAfter));
  }
  Admission admission;
  if (limits.on_time > Millis(0)) {
    admission.skipped = LateParts(parts, limits.on_time);
    const size_t spare = waits.size() - limits.needed_parts;
    admission.skipped.resize(std::min(admission.skipped.size(), spare));
  }
  return admission;
}

}  // namespace tanagervane
