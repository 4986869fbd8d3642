// Tests of the order in which requests are refused under overload.

#include "tanagervane/serving/precedence.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "overload_simulation.h"
#include "tanagervane/serving/fair_shares.h"

namespace tanagervane {
namespace {

constexpr Millis kForever(1e9);

// Guards against giving a tenant more than it asks for, and against giving one
// that asks for too much what the others need.
TEST(MaxMinSharesTest, SmallDemandsAreMetFirst) {
  const std::vector<WeightedDemand> demands{{100, 1}, {10, 1}, {30, 1}};
  EXPECT_EQ(MaxMinShares(demands, 90), (std::vector<double>{50, 10, 30}));
  EXPECT_EQ(MaxMinShares(demands, 60), (std::vector<double>{25, 10, 25}));
  EXPECT_EQ(MaxMinShares(demands, 500), (std::vector<double>{100, 10, 30}));
  EXPECT_EQ(MaxMinShares({}, 5), std::vector<double>{});
}

// Guards against refusing a tenant with a high usual demand for the burst of
// one with a low usual demand.
TEST(MaxMinSharesTest, WeightsDivideWhatIsScarce) {
  const std::vector<WeightedDemand> demands{{60, 60}, {50, 10}};
  EXPECT_EQ(MaxMinShares(demands, 84), (std::vector<double>{60, 24}));
}

// Guards against refusing requests while there is enough room, and against
// taking from tenants within their share.
TEST(FairSharesTest, OnlyExcessIsOverShareWhenCapacityIsScarce) {
  FairShares shares;
  shares.SetTenants({{"a", 1}, {"b", 1}});
  Millis now(0);
  const auto run = [&](size_t admit_every) {
    double a = 1;
    double b = 1;
    for (size_t i = 0; i < 4000; ++i) {
      now += Millis(5);
      (i % 8 == 0 ? a : b) = shares.RecordDemand(i % 8 == 0 ? "a" : "b", now);
      if (i % admit_every == 0) {
        shares.RecordAdmitted(now);
      }
    }
    return std::pair(a, b);
  };
  EXPECT_EQ(run(1), std::pair(1.0, 1.0));
  const auto [a, b] = run(2);
  EXPECT_GT(a, 0.97);
  // 85 of the 100 requests per second are shared, and the other tenant takes
  // 25 of them.
  EXPECT_NEAR(b, 60.0 / 175, 0.05);
  EXPECT_EQ(shares.RecordDemand("unknown", now), 1);
}

// Guards against an order in which the share or the gain of a request counts
// more than its priority.
TEST(MaxWaitTest, PriorityCountsFirstThenShareThenGain) {
  const std::vector<RequestKind> rivals{{0, Millis(80)}, {2, Millis(900)}};
  const auto max_wait = [&](RequestKind kind, bool over_share, bool late) {
    return MaxWait({kind, over_share, late, kForever}, rivals).count();
  };
  const RequestKind urgent = rivals[0];
  const RequestKind other = rivals[1];
  EXPECT_EQ(max_wait(urgent, false, false), 80);
  EXPECT_GT(max_wait(urgent, false, false), max_wait(urgent, false, true));
  EXPECT_GT(max_wait(urgent, false, true), max_wait(urgent, true, false));
  EXPECT_GT(max_wait(urgent, true, false), max_wait(urgent, true, true));
  EXPECT_GT(max_wait(urgent, true, true), max_wait(other, false, false));
  EXPECT_GT(max_wait(other, false, false), max_wait(other, true, false));
}

// Guards against a change for requests that no other kind competes with, and
// against starting one whose answer would come too late for its caller.
TEST(MaxWaitTest, ChangesNothingWithoutRivals) {
  const RequestKind kind{3, Millis(120)};
  const std::vector<RequestKind> same{kind, {5, Millis(10)}};
  EXPECT_EQ(MaxWait({kind, false, false, kForever}, same), Millis(120));
  EXPECT_EQ(MaxWait({kind, false, false, Millis(40)}, same), Millis(40));
  EXPECT_EQ(MaxWait({kind, false, false, Millis(-9)}, same), Millis(0));
}

// Guards against refused callers that return all at once, and against a time
// that they do not honour.
TEST(RetryAfterTest, IsSpreadOverWhatCallersHonour) {
  EXPECT_EQ(SpreadRetryAfter(Millis(60), Millis(900), 0), Millis(60));
  EXPECT_EQ(SpreadRetryAfter(Millis(60), Millis(900), 0.5), Millis(90));
  EXPECT_EQ(SpreadRetryAfter(Millis(60), Millis(240), 0.5), Millis(70));
  EXPECT_EQ(SpreadRetryAfter(Millis(60), Millis(30), 0.9), Millis(60));
}

constexpr double kCapacityPerSecond = kSlots * 1000 / kRunTime.count();
constexpr double kLightDemand = 0.4;
constexpr Millis kDuration(8'000);

double OnTime(const CallerResults& results) {
  return static_cast<double>(results.on_time) /
         static_cast<double>(results.counted);
}

/// Requests per second that use the given multiple of what one replica of each
/// shard can run.
double RequestRate(double load) {
  const double mean_cost = 1 - kLightDemand * (1 - kLightRunFraction);
  return load * kCapacityPerSecond / mean_cost;
}

struct KindResults {
  CallerResults urgent;
  CallerResults other;
};

/// Runs two kinds on one set of shards; `light_is_urgent` tells which one is
/// the more urgent.
KindResults RunKinds(double load,
                     bool light_is_urgent,
                     bool precedence,
                     size_t replicas = 1) {
  OverloadSimulation simulation(
      {.precedence = precedence}, [&](ServingConfig& config) {
        config.routes[0].priority = light_is_urgent ? 4 : 0;
        config.routes[1].priority = light_is_urgent ? 0 : 4;
      });
  for (size_t shard = 0; shard < kShards; ++shard) {
    simulation.AddReplicas(shard, replicas);
  }
  simulation.UseRandomArrivals();
  simulation.Run(RequestRate(load) * static_cast<double>(replicas), kDuration,
                 kLightDemand);
  return light_is_urgent
             ? KindResults{simulation.light_results(), simulation.results()}
             : KindResults{simulation.results(), simulation.light_results()};
}

// Guards against serving a less urgent kind more often than a more urgent one
// because its objective is looser or its work shorter.
TEST(PrecedenceTest, UrgentKindIsServedFirst) {
  for (const double load : {1.2, 1.7}) {
    for (const bool light_is_urgent : {false, true}) {
      SCOPED_TRACE(fmt::format("load {} light {}", load, light_is_urgent));
      const KindResults with = RunKinds(load, light_is_urgent, true);
      const KindResults without = RunKinds(load, light_is_urgent, false);
      fmt::print(
          "load={} light_is_urgent={} urgent={:.3f} other={:.3f} "
          "without: urgent={:.3f} other={:.3f}\n",
          load, light_is_urgent, OnTime(with.urgent), OnTime(with.other),
          OnTime(without.urgent), OnTime(without.other));
      EXPECT_GE(OnTime(with.urgent), OnTime(with.other));
      EXPECT_GE(OnTime(with.urgent), 0.75);
    }
  }
}

// Guards against any change while there is enough room.
TEST(PrecedenceTest, ChangesNothingWithEnoughRoom) {
  const KindResults with = RunKinds(0.4, true, true, 3);
  const KindResults without = RunKinds(0.4, true, false, 3);
  EXPECT_EQ(with.urgent.on_time, without.urgent.on_time);
  EXPECT_EQ(with.other.on_time, without.other.on_time);
}

constexpr size_t kTenants = 74;
constexpr double kZipfExponent = 1.2;

std::string TenantName(size_t i) {
  return fmt::format("t{}", i);
}

struct TenantResults {
  /// Fraction of requests on time of the tenants with their usual demand.
  double usual = 0;
  /// The same of the tenant with most demand.
  double greedy = 0;
  double lowest = 1;
};

/// One tenant sends five times its usual demand, which uses 0.8 of the capacity
/// with that of the other tenants.
TenantResults RunTenants(size_t greedy, bool precedence, double multiple = 5) {
  std::vector<double> demands;
  double usual_total = 0;
  for (size_t i = 0; i < kTenants; ++i) {
    demands.push_back(std::pow(static_cast<double>(i + 1), -kZipfExponent));
    usual_total += demands.back();
  }
  const auto add_tenants = [&](ServingConfig& config) {
    for (size_t i = 0; i < kTenants; ++i) {
      TenantSpec tenant;
      tenant.name = TenantName(i);
      tenant.keys = {tenant.name};
      tenant.rate = 1.6 * 100 * demands[i];
      config.tenants.push_back(tenant);
    }
  };
  OverloadSimulation simulation({.precedence = precedence}, add_tenants);
  for (size_t shard = 0; shard < kShards; ++shard) {
    simulation.AddReplicas(shard, 1);
  }
  demands[greedy] *= multiple;
  double total = 0;
  for (const double demand : demands) {
    total += demand;
  }
  simulation.UseRandomArrivals();
  simulation.SetTenants([&](Random& random) {
    double left = random.NextDouble() * total;
    size_t i = 0;
    while (i + 1 < kTenants && left >= demands[i]) {
      left -= demands[i++];
    }
    return TenantName(i);
  });
  simulation.Run(0.8 * kCapacityPerSecond * total / usual_total,
                 Millis(20'000));
  CallerResults usual;
  TenantResults results;
  for (const auto& [name, result] : simulation.tenant_results()) {
    if (name == TenantName(greedy)) {
      results.greedy = OnTime(result);
      continue;
    }
    usual.counted += result.counted;
    usual.on_time += result.on_time;
    if (result.counted >= 100) {
      results.lowest = std::min(results.lowest, OnTime(result));
    }
  }
  results.usual = OnTime(usual);
  return results;
}

// Guards against one tenant at five times its usual demand that takes capacity
// from the others.
TEST(PrecedenceTest, TenantsWithinTheirShareAreServed) {
  for (const size_t greedy : {0, 1, 3}) {
    SCOPED_TRACE(greedy);
    const TenantResults with = RunTenants(greedy, true);
    const TenantResults without = RunTenants(greedy, false);
    const TenantResults calm = RunTenants(greedy, true, 1);
    fmt::print(
        "greedy={} usual={:.3f} lowest={:.3f} greedy={:.3f} without: "
        "usual={:.3f} lowest={:.3f} greedy={:.3f}\n",
        greedy, with.usual, with.lowest, with.greedy, without.usual,
        without.lowest, without.greedy);
    EXPECT_GE(with.usual, calm.usual - 0.05);
    EXPECT_GT(with.usual, without.usual);
    EXPECT_GE(with.lowest, 0.9);
  }
}

}  // namespace
}  // namespace tanagervane
