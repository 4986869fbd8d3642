// Estimates of load from reports that are some time old, and a choice among
// replicas that spreads the requests of VMs that know equally little.

#ifndef TANAGERVANE_SERVING_EVEN_LOAD_H_
#define TANAGERVANE_SERVING_EVEN_LOAD_H_

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Requests on a replica, as far as known.
struct LoadForecast {
  double mean = 0;
  double deviation = 0;
};

/// What a replica reported about requests of other VMs.
struct ReportedLoad {
  /// Requests of other VMs at the time of the latest report.
  double latest = 0;
  /// Moving average of earlier reports.
  double usual = 0;
  /// Time since the latest report.
  Millis age;
};

/// Forecasts the requests on a replica to which this VM has sent `own` requests
/// that are not answered. The other VMs' requests return from the reported
/// number to the usual one as those that were reported end and others follow.
LoadForecast ForecastLoad(const ReportedLoad& reported, double own);

/// Returns the expected number of requests that must end before one that is
/// sent now gets one of `slots` slots.
double ExpectedQueue(const LoadForecast& forecast, double slots);

/// Returns the weight, in (0, 1], of a report of this age.
double ReportWeight(Millis age);

/// Returns whether the load is high enough for choices to be spread.
/// `busy_fraction` is the usual load for each slot of the service's replicas.
bool ShouldSpread(double busy_fraction);

/// Returns how strongly the choice prefers a lower cost, as the exponent of the
/// cost in the probability of a choice. Fresh reports allow a greedy choice.
/// With old ones and a high load, VMs that know the same must not all choose
/// the same replica. `freshness` is the mean weight of the reports of the
/// service's replicas, `busy_fraction` their usual load for each slot.
double Preference(double freshness, double busy_fraction);

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_EVEN_LOAD_H_
