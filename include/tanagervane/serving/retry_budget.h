// Budget for hedges and retries to one service.

#ifndef TANAGERVANE_SERVING_RETRY_BUDGET_H_
#define TANAGERVANE_SERVING_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Fleet-wide limit on attempts beyond the first of each sub-request.
struct RetryLimits {
  /// Extra attempts per sub-request in a window.
  double ratio = 0.2;
  /// Extra attempts in a window beyond the ratio, for the whole fleet.
  double slack = 0;
  Millis window{10'000};
  /// Before this time a previous process of this VM may have spent the VM's
  /// share of the slack in the same window, so only a small fraction of it is
  /// used.
  Millis full_slack_from{0};
};

enum class ExtraAttemptKind {
  kHedge,  ///< Sent while an earlier attempt may still be answered.
  kRetry,  ///< Sent after all earlier attempts have failed.
};

/// One VM's retry budget for a service: the ratio of its own sub-requests and
/// its share of the slack. Retries may spend the whole budget. Hedges may spend
/// only a fraction, because a request without a retry fails while a request
/// without a hedge is merely late.
class RetryBudget {
 public:
  /// `share` is this VM's share of the slack, in [0, 1].
  void SetLimits(const RetryLimits& limits, double share);

  /// Credits the budget for one sub-request.
  void CreditSubRequest(Millis now);

  /// The fraction of the budget that is spent, in [0, 1].
  double UsedFraction(Millis now) const;

  /// Spends one extra attempt if the budget covers it; returns whether it does.
  bool TrySpend(ExtraAttemptKind kind, Millis now);

 private:
  static constexpr size_t kBuckets = 10;

  struct Bucket {
    uint32_t requests = 0;
    uint32_t extra_attempts = 0;
  };

  void Advance(Millis now);
  /// Moves the counts into buckets of another width.
  void ChangeBucketWidth(Millis width, Millis now);
  double PermittedExtraAttempts(Millis now) const;
  uint32_t SpentExtraAttempts() const;

  RetryLimits m_limits;
  double m_share = 0;
  /// The current bucket and those of one whole window before it, so that every
  /// position of the sliding window is covered.
  std::array<Bucket, kBuckets + 1> m_buckets{};
  int64_t m_current_bucket = -1;
  /// Bucket `i` begins at `i` times this width.
  Millis m_bucket_width;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_RETRY_BUDGET_H_
