// Tests of the choice of many VMs among the same replicas.

#include "tanagervane/serving/even_load.h"

#include <string>
#include <vector>

#include "even_load_simulation.h"
#include "fmt/format.h"
#include "gtest/gtest.h"

namespace tanagervane {
namespace {

/// The fleet and the replicas of one test, without the load.
struct NamedScenario {
  std::string name;
  EvenLoadScenario scenario;
};

std::vector<NamedScenario> Scenarios() {
  EvenLoadScenario small;
  EvenLoadScenario large;
  large.vms = 143;
  large.data_centres = 4;
  large.remote_delay = Millis(1.4);
  large.pause = Millis(150);
  large.pause_interval = Millis(3600);
  EvenLoadScenario small_single = small;
  small_single.replicas = 22;
  small_single.slots = 3;
  small_single.run_time = Millis(60);
  EvenLoadScenario large_single = large;
  large_single.replicas = 10;
  large_single.run_time = Millis(60);
  return {{"25 VMs, shard", small},
          {"143 VMs, shard", large},
          {"25 VMs, 22 replicas", small_single},
          {"143 VMs, 10 replicas", large_single}};
}

/// Returns the means over several seeds.
EvenLoadResult RunAt(EvenLoadScenario scenario, double load, ChoiceRule rule) {
  constexpr int kSeeds = 4;
  constexpr double kWeight = 1.0 / kSeeds;
  scenario.load = load;
  EvenLoadResult result;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    scenario.seed = static_cast<uint64_t>(seed);
    const EvenLoadResult run = EvenLoadSimulation(scenario, rule).Run();
    result.spread += run.spread * kWeight;
    result.idle_while_queued += run.idle_while_queued * kWeight;
    result.mean_latency += run.mean_latency * kWeight;
    result.p99_latency += run.p99_latency * kWeight;
    result.remote_fraction += run.remote_fraction * kWeight;
  }
  fmt::print(
      "load={} rule={} spread={:.2f} idle_while_queued={:.3f} mean_ms={:.0f} "
      "p99_ms={:.0f} remote={:.2f}\n",
      load, static_cast<int>(rule), result.spread, result.idle_while_queued,
      result.mean_latency.count(), result.p99_latency.count(),
      result.remote_fraction);
  return result;
}

// Guards against replicas that are overloaded in turn while others are idle,
// because VMs with old reports prefer the same one.
TEST(EvenLoadTest, HighLoadIsSpreadMoreEvenly) {
  for (const auto& [name, scenario] : Scenarios()) {
    SCOPED_TRACE(name);
    fmt::print("{}\n", name);
    for (const double load : {0.8, 0.95}) {
      const auto random = RunAt(scenario, load, ChoiceRule::kRandom);
      const auto lowest = RunAt(scenario, load, ChoiceRule::kLowestEstimate);
      const auto even = RunAt(scenario, load, ChoiceRule::kEvenLoad);
      const auto best = RunAt(scenario, load, ChoiceRule::kCompleteKnowledge);
      EXPECT_LT(even.spread, lowest.spread * 0.95);
      EXPECT_LT(even.mean_latency, lowest.mean_latency);
      EXPECT_LT(even.p99_latency, lowest.p99_latency);
      EXPECT_LT(even.mean_latency, random.mean_latency * 0.5);
      EXPECT_LT(best.mean_latency, even.mean_latency);
    }
  }
}

// Guards against longer latencies at medium load.
TEST(EvenLoadTest, MediumLoadIsServedAsWell) {
  for (const auto& [name, scenario] : Scenarios()) {
    SCOPED_TRACE(name);
    fmt::print("{}\n", name);
    RunAt(scenario, 0.5, ChoiceRule::kRandom);
    RunAt(scenario, 0.5, ChoiceRule::kCompleteKnowledge);
    const auto lowest = RunAt(scenario, 0.5, ChoiceRule::kLowestEstimate);
    const auto even = RunAt(scenario, 0.5, ChoiceRule::kEvenLoad);
    EXPECT_LT(even.spread, lowest.spread * 1.03);
    EXPECT_LT(even.mean_latency, lowest.mean_latency * 1.03);
    EXPECT_LT(even.p99_latency, lowest.p99_latency * 1.03);
  }
}

// Guards against a choice that ignores locality or speed while replicas have
// free slots.
TEST(EvenLoadTest, LowLoadIsServedAsWithoutSpreading) {
  for (const auto& [name, scenario] : Scenarios()) {
    SCOPED_TRACE(name);
    const auto lowest = RunAt(scenario, 0.15, ChoiceRule::kLowestEstimate);
    const auto even = RunAt(scenario, 0.15, ChoiceRule::kEvenLoad);
    EXPECT_LT(even.mean_latency, lowest.mean_latency * 1.01);
    EXPECT_LT(even.remote_fraction, lowest.remote_fraction + 0.01);
  }
}

// Guards against requests that keep going to a replica whose work takes longer
// for some time, as it reports.
TEST(EvenLoadTest, ReportedWorkTimeShiftsLoad) {
  for (auto [name, scenario] : Scenarios()) {
    SCOPED_TRACE(name);
    scenario.slow_interval = Millis(20'000);
    const auto lowest = RunAt(scenario, 0.7, ChoiceRule::kLowestEstimate);
    const auto even = RunAt(scenario, 0.7, ChoiceRule::kEvenLoad);
    EXPECT_LT(even.spread, lowest.spread * 0.95);
    EXPECT_LT(even.mean_latency, lowest.mean_latency);
    EXPECT_LT(even.p99_latency, lowest.p99_latency * 1.05);
  }
}

// Guards against taking a replica for idle because its report is old, and
// against ignoring a fresh report.
TEST(EvenLoadTest, ForecastReturnsToTheUsualLoad) {
  const auto fresh =
      ForecastLoad({.latest = 9, .usual = 3, .age = Millis(0)}, 1);
  EXPECT_DOUBLE_EQ(fresh.mean, 10);
  EXPECT_DOUBLE_EQ(fresh.deviation, 0);
  const auto old =
      ForecastLoad({.latest = 9, .usual = 3, .age = Millis(5000)}, 1);
  EXPECT_NEAR(old.mean, 4, 0.01);
  EXPECT_NEAR(old.deviation, std::sqrt(3.0), 0.01);
}

// Guards against an estimate without a wait although the load, which varies,
// is near the number of slots.
TEST(EvenLoadTest, UncertainLoadCausesAQueue) {
  EXPECT_DOUBLE_EQ(ExpectedQueue({.mean = 3, .deviation = 0}, 4), 0);
  EXPECT_DOUBLE_EQ(ExpectedQueue({.mean = 5, .deviation = 0}, 4), 2);
  EXPECT_NEAR(ExpectedQueue({.mean = 3, .deviation = 2}, 4), 0.798, 0.001);
  EXPECT_NEAR(ExpectedQueue({.mean = 30, .deviation = 2}, 4), 27, 0.001);
}

// Guards against a greedy choice with old reports under high load.
TEST(EvenLoadTest, PreferenceFallsWithAgeAndLoad) {
  EXPECT_GT(Preference(1, 1), Preference(0.5, 1));
  EXPECT_GT(Preference(0.5, 1), Preference(0, 1));
  EXPECT_GT(Preference(0, 0.4), Preference(0, 0.9));
  EXPECT_DOUBLE_EQ(Preference(0, 1), Preference(0, 5));
}

}  // namespace
}  // namespace tanagervane
