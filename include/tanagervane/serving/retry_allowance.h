// How many extra sends one service may get.

#ifndef TANAGERVANE_SERVING_RETRY_ALLOWANCE_H_
#define TANAGERVANE_SERVING_RETRY_ALLOWANCE_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// The fleet-wide bound on sends beyond the first of each request.
struct RetryLimits {
  /// Extra sends per request in a window.
  double ratio = 0.2;
  /// Extra sends in a window beyond the ratio, over the whole fleet.
  double slack = 0;
  Millis window{10'000};
  /// Until then the VM's predecessor may have spent its share of the slack in
  /// the same window.
  Millis slack_from{0};
};

enum class ExtraSend {
  kHedge,  ///< Sent while an earlier send may still be answered.
  kRetry,  ///< Sent after all earlier sends have failed.
};

/// One VM's part of the allowance of a service: the ratio of its own requests
/// and a share of the slack. Retries may use all of it; hedges leave a part to
/// them, because a request without a retry is lost and one without a hedge is
/// merely late.
class RetryAllowance {
 public:
  /// `share` is this VM's part of the slack, in [0, 1].
  void SetLimits(const RetryLimits& limits, double share);

  void OnRequest(Millis now);

  /// The part of the allowance that is spent, in [0, 1].
  double UsedPart(Millis now) const;

  /// Counts an extra send and returns true when the allowance covers it.
  bool TryTake(ExtraSend kind, Millis now);

 private:
  static constexpr size_t kBuckets = 10;

  struct Bucket {
    uint32_t requests = 0;
    uint32_t extras = 0;
  };

  void Advance(Millis now);
  double Permitted(Millis now) const;
  uint32_t ExtrasUsed() const;

  RetryLimits m_limits;
  double m_share = 0;
  /// The current bucket and those of one window before it, so that the window
  /// which slides over the boundary is covered.
  std::array<Bucket, kBuckets + 1> m_buckets{};
  int64_t m_current = -1;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_RETRY_ALLOWANCE_H_
