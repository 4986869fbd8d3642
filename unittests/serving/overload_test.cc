// Simulates load beyond the capacity of single shards and measures the answers
// that callers get. Each test runs with and without one mechanism.

#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "overload_simulation.h"
#include "tanagervane/support/random.h"
#include "unittests/serving/capacity_bound.h"

namespace tanagervane {
namespace {

/// With kRunTime, a replica answers 150 requests a second.
constexpr double kRequestsPerSecond = 150;
constexpr Millis kDuration(8'000);
constexpr double kBusyRequestsPerSecond = 180;
constexpr double kOverloadRequestsPerSecond = 220;
constexpr double kLightShare = 0.25;
/// Shards that an answer of the first route can do without.
constexpr size_t kMaxMissingShards = 1;

// Guards against refusals and late answers when each request can do without one
// of two full shards. Two of ten shards have one replica each, which can run
// two thirds of the requests; one shard may be missing from an answer.
TEST(OverloadTest, SkippingKeepsTwoFullShardsOnTime) {
  const auto simulate = [](bool skipping) {
    OverloadSimulation simulation({.skipping = skipping});
    for (size_t shard = 0; shard < kShards; ++shard) {
      const bool full = shard < 2;
      simulation.AddReplicas(shard, full ? 1 : 3, 0,
                             full ? kSlowRunTime : kRunTime);
    }
    simulation.Run(kRequestsPerSecond, kDuration);
    return simulation.results();
  };
  const CallerResults with_skipping = simulate(true);
  const CallerResults without_skipping = simulate(false);
  // One shard in ten is missing, so each answer on time scores at least 0.81.
  EXPECT_GE(with_skipping.mean_score(), 0.8);
  EXPECT_LE(with_skipping.refused * 50, with_skipping.counted);
  EXPECT_LT(without_skipping.mean_score(), with_skipping.mean_score() - 0.1);
}

// Guards against queues that only requests with a loose objective survive.
// Three of ten shards have one replica each and are asked for more than it can
// run; the light route has a tighter objective and needs eight shards.
TEST(OverloadTest, ShortQueuesKeepTheTighterRouteOnTime) {
  const auto simulate = [](bool short_queues) {
    OverloadSimulation simulation({.short_queues = short_queues});
    for (size_t shard = 0; shard < kShards; ++shard) {
      simulation.AddReplicas(shard, shard < 3 ? 1 : 3);
    }
    simulation.Run(kOverloadRequestsPerSecond, kDuration, kLightShare);
    return std::pair(simulation.results(), simulation.light_results());
  };
  const auto [results, light_results] = simulate(true);
  EXPECT_GE(light_results.mean_score(), 0.95);
  // Nine of ten shards score 0.81.
  EXPECT_GE(results.mean_score(), 0.81);
  EXPECT_LT(simulate(false).second.mean_score(), 0.85);
}

/// Adds one shard with a slow replica, the given number of shards whose
/// replicas all reject, and shards with one replica that does not reject.
void AddRejectingShards(OverloadSimulation& simulation, size_t rejecting) {
  constexpr double kRejectFraction = 0.6;
  simulation.AddReplicas(0, 1, 0, kSlowRunTime);
  for (size_t shard = 1; shard < kShards; ++shard) {
    const bool all_reject = shard <= rejecting;
    simulation.AddReplicas(shard, all_reject ? 3 : 2, kRejectFraction);
    if (!all_reject) {
      simulation.AddReplicas(shard, 1);
    }
  }
}

// Guards against work for requests that have failed already. When most replicas
// reject, requests fail within milliseconds, and their remaining attempts fill
// the queues of the replicas that do not.
TEST(OverloadTest, FailedRequestsDoNotDelayOthers) {
  const auto simulate = [](bool cancel_failed) {
    OverloadSimulation simulation({.cancel_failed = cancel_failed});
    AddRejectingShards(simulation, 2);
    simulation.Run(kOverloadRequestsPerSecond, kDuration, kLightShare);
    return simulation.results().mean_score();
  };
  const double with_cancelling = simulate(true);
  EXPECT_GE(with_cancelling, 0.5);
  EXPECT_LT(simulate(false), with_cancelling - 0.1);
}

// Guards against failing a request at which a skipped shard could still be
// asked: the skipped one uses up the only shard that the answer can do without,
// and then another one rejects.
TEST(OverloadTest, SkippedShardsReplaceRejectedOnes) {
  const auto simulate = [](bool reopen_skipped) {
    OverloadSimulation simulation({.reopen_skipped = reopen_skipped});
    AddRejectingShards(simulation, 1);
    simulation.Run(kBusyRequestsPerSecond, kDuration, kLightShare);
    return simulation.results().mean_score();
  };
  EXPECT_GT(simulate(true), simulate(false) + 0.05);
}

// Guards against requests that use permits of two shards although they can do
// without one, so that the next request gets none. Of two of ten shards, all
// replicas together take half of the requests; one shard may be missing.
TEST(OverloadTest, ScarcePermitsAreSparedForOtherRequests) {
  const auto simulate = [](bool spare_permits) {
    OverloadSimulation simulation({.spare_permits = spare_permits});
    simulation.UseRandomArrivals();
    for (size_t shard = 0; shard < kShards; ++shard) {
      simulation.AddReplicas(shard, 3);
      if (shard < 2) {
        simulation.LimitReplicas(shard, kRequestsPerSecond / 2 / 3);
      }
    }
    simulation.Run(kRequestsPerSecond, kDuration);
    return simulation.results().mean_score();
  };
  // Nine of ten shards score 0.81.
  EXPECT_GE(simulate(true), 0.75);
  EXPECT_LT(simulate(false), 0.65);
}

// Guards against a shard that is left out although it has permits, because it
// is the only one with a limit.
TEST(OverloadTest, PermitsOfTheOnlyLimitedShardAreUsed) {
  OverloadSimulation simulation({});
  simulation.UseRandomArrivals();
  for (size_t shard = 0; shard < kShards; ++shard) {
    simulation.AddReplicas(shard, 3);
  }
  simulation.LimitReplicas(0, kRequestsPerSecond / 2 / 3);
  simulation.Run(kRequestsPerSecond, kDuration);
  // Half of the answers have all shards, the others score 0.81.
  EXPECT_GE(simulation.results().mean_score(), 0.95 * (1 + 0.81) / 2);
}

// Compares the tier with a bound that any tier obeys, over random deployments.
// Guards against policies that suit one deployment only.
TEST(OverloadTest, ScoreIsNearTheBoundOfScarceShards) {
  Random random(11);
  for (int i = 0; i < 12; ++i) {
    OverloadSimulation simulation({});
    std::vector<double> capacities;
    for (size_t shard = 0; shard < kShards; ++shard) {
      const size_t replicas = random.NextDouble() < 0.3 ? 1 : 3;
      const Millis run_time = kRunTime * (0.8 + 0.6 * random.NextDouble());
      simulation.AddReplicas(shard, replicas, 0, run_time);
      capacities.push_back(static_cast<double>(replicas * kSlots) * 1000 /
                           run_time.count());
    }
    simulation.Run(kRequestsPerSecond, kDuration);
    const double bound =
        BestMeanScore(capacities, kRequestsPerSecond, kMaxMissingShards);
    EXPECT_GE(simulation.results().mean_score(), 0.9 * bound) << "run " << i;
  }
}

}  // namespace
}  // namespace tanagervane
