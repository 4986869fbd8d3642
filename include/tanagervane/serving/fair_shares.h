// Max-min fair shares of tenants in capacity that does not suffice for all.

#ifndef TANAGERVANE_SERVING_FAIR_SHARES_H_
#define TANAGERVANE_SERVING_FAIR_SHARES_H_

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Demand of one tenant in requests per second, and the weight of its share.
struct WeightedDemand {
  double per_second = 0;
  double weight = 1;
};

/// Returns the weighted max-min fair share of each demand in `capacity`: no
/// share exceeds its demand, and what a tenant does not need is divided among
/// the others by their weights. Weights must be positive.
std::vector<double> MaxMinShares(std::span<const WeightedDemand> demands,
                                 double capacity);

/// A rate of events, averaged with a fixed time constant.
class AverageRate {
 public:
  void Record(Millis now);
  double PerSecond(Millis now) const;

 private:
  double m_per_second = 0;
  Millis m_updated_at{0};
};

/// Tracks what tenants ask this VM for and how much of it is admitted.
class FairShares {
 public:
  /// Sets the tenants and the weights of their shares. The demand of tenants
  /// that remain is kept.
  void SetTenants(
      const std::map<std::string, double, std::less<>>& weights_by_tenant);

  /// Records a request and returns the fraction of the tenant's demand that is
  /// within its share; 1 for unknown tenants and while nearly all requests are
  /// admitted.
  double RecordDemand(std::string_view tenant, Millis now);

  void RecordAdmitted(Millis now) { m_admitted.Record(now); }

 private:
  struct Tenant {
    AverageRate demand;
    double weight = 1;
    double fraction_within_share = 1;
  };

  void UpdateShares(Millis now);

  std::map<std::string, Tenant, std::less<>> m_tenants;
  AverageRate m_demand;
  AverageRate m_admitted;
  Millis m_updated_at{0};
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_FAIR_SHARES_H_
