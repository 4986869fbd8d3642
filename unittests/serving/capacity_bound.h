// Reference model: how well any tier could serve fan-outs over scarce shards.

#ifndef TANAGERVANE_UNITTESTS_SERVING_CAPACITY_BOUND_H_
#define TANAGERVANE_UNITTESTS_SERVING_CAPACITY_BOUND_H_

#include <algorithm>
#include <cstddef>
#include <span>

namespace tanagervane {

/// Sub-requests per second that the shards cannot run when `served` requests
/// per second ask all of them.
inline double MissingPerSecond(std::span<const double> capacities,
                               double served) {
  double missing = 0;
  for (const double capacity : capacities) {
    missing += std::max(0.0, served - capacity);
  }
  return missing;
}

/// Returns an upper bound of the mean score of requests that arrive at `rate`
/// per second, where an answer scores the square of its fraction of shards and
/// lacks at most `max_missing` of them. `capacities` are the requests per
/// second that each shard can run. The bound knows all capacities, queues
/// nothing and spreads the missing shards evenly, so that no tier can do
/// better.
inline double BestMeanScore(std::span<const double> capacities,
                            double rate,
                            size_t max_missing) {
  constexpr int kSteps = 1000;
  const auto shards = static_cast<double>(capacities.size());
  const double one_missing = (shards - 1) / shards;
  // With at most one shard missing, each missing one costs the same.
  const double cost = 1 - one_missing * one_missing;
  double best = 0;
  for (int step = 0; step <= kSteps; ++step) {
    const double served = rate * step / kSteps;
    const double missing = MissingPerSecond(capacities, served);
    if (missing <= static_cast<double>(max_missing) * served) {
      best = std::max(best, (served - missing * cost) / rate);
    }
  }
  return best;
}

}  // namespace tanagervane

#endif  // TANAGERVANE_UNITTESTS_SERVING_CAPACITY_BOUND_H_
