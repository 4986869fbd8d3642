// Tests of the components below Dispatcher.

#include <algorithm>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "tanagervane/serving/latency_window.h"
#include "tanagervane/serving/plan.h"
#include "tanagervane/serving/retry_budget.h"
#include "tanagervane/serving/route_table.h"
#include "tanagervane/serving/top_records.h"

namespace tanagervane {
namespace {

RouteSpec MakeRoute(const std::string& host, const std::string& prefix) {
  RouteSpec route;
  route.host = host;
  route.prefix = prefix;
  return route;
}

// Guards against matching a shorter prefix, a partial path segment or another
// host.
TEST(RouteTableTest, LongestPrefixOfTheHostWins) {
  const std::vector<RouteSpec> routes = {MakeRoute("H.example", "/a/"),
                                         MakeRoute("h.example", "/a/b/"),
                                         MakeRoute("other", "/")};
  const RouteTable table(routes);
  EXPECT_EQ(table.Find("h.example:80", "/a/b/c?x=/q/"), 1u);
  EXPECT_EQ(table.Find("h.example", "/a/bc"), 0u);
  EXPECT_EQ(table.Find("H.EXAMPLE", "/a/"), 0u);
  EXPECT_EQ(table.Find("h.example", "/a"), std::nullopt);
  EXPECT_EQ(table.Find("h.example", "/x?/a/b/"), std::nullopt);
  EXPECT_EQ(table.Find("other", "/anything"), 2u);
  EXPECT_EQ(table.Find("unknown", "/a/"), std::nullopt);
}

// Guards against merges that differ from a sort of all records.
RC_GTEST_PROP(TopRecordsProperty, EqualsASortOfAllRecords, ()) {
  const auto bodies = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::inRange<char>(0, 3)));
  const auto count = *rc::gen::inRange<uint32_t>(0, 20);
  std::vector<std::string_view> shard_bodies(bodies.begin(), bodies.end());
  std::vector<std::string> all;
  for (const std::string& body : bodies) {
    for (size_t at = 0; at + 16 <= body.size(); at += 16) {
      all.push_back(body.substr(at, 16));
    }
  }
  std::sort(all.rbegin(), all.rend());
  all.resize(std::min<size_t>(all.size(), count));
  const std::string expected =
      std::accumulate(all.begin(), all.end(), std::string());
  RC_ASSERT(MergeTopRecords(shard_bodies, count) == expected);
}

// Guards against comparing bytes as signed characters.
TEST(TopRecordsTest, BytesCompareAsUnsigned) {
  const std::string high(16, '\xff');
  const std::string low(16, '\x01');
  const std::vector<std::string_view> shard_bodies = {low, high};
  EXPECT_EQ(MergeTopRecords(shard_bodies, 1), high);
}

// Guards against exceeding the fleet-wide limit in any window of ten seconds,
// also when all VMs restart at once and lose their counts.
RC_GTEST_PROP(RetryBudgetProperty, FleetStaysWithinItsLimit, ()) {
  constexpr size_t kVms = 4;
  constexpr double kSlack = 56;
  constexpr Millis kWindow(10000);
  std::vector<RetryBudget> vms(kVms);
  const auto start = [&vms](Millis full_slack_from) {
    for (RetryBudget& vm : vms) {
      vm = RetryBudget();
      vm.SetLimits({.ratio = 0.2,
                    .slack = kSlack,
                    .window = kWindow,
                    .full_slack_from = full_slack_from},
                   1.0 / kVms);
    }
  };
  start(Millis(0));
  const auto restart_at = *rc::gen::inRange<size_t>(0, 60);
  const auto rates =
      *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 60));
  std::vector<int> requests;
  std::vector<int> extras;
  for (size_t second = 0; second < rates.size(); ++second) {
    int spent = 0;
    if (second == restart_at) {
      start(Millis(1000) * static_cast<double>(second) + kWindow);
    }
    for (int i = 0; i < rates[second]; ++i) {
      const Millis now(static_cast<double>(second) * 1000 + i * 10);
      RetryBudget& vm = vms[static_cast<size_t>(i) % kVms];
      vm.CreditSubRequest(now);
      while (vm.TrySpend(ExtraAttemptKind::kRetry, now)) {
        ++spent;
      }
    }
    requests.push_back(rates[second]);
    extras.push_back(spent);
  }
  const auto sum = [](const std::vector<int>& values, size_t from, size_t to) {
    return std::accumulate(values.begin() + static_cast<ptrdiff_t>(from),
                           values.begin() + static_cast<ptrdiff_t>(to), 0);
  };
  for (size_t end = 10; end <= extras.size(); ++end) {
    const int here = sum(requests, end - 10, end);
    const int before = end >= 20 ? sum(requests, end - 20, end - 10) : here;
    RC_ASSERT(sum(extras, end - 10, end) <=
              0.2 * std::max(here, before) + kSlack);
  }
}

// Guards against hedges that leave no budget for requests whose only attempt
// failed.
TEST(RetryBudgetTest, HedgesLeaveBudgetForRetries) {
  RetryBudget retry_budget;
  retry_budget.SetLimits({.ratio = 0.2,
                          .slack = 0,
                          .window = Millis(10000),
                          .full_slack_from = Millis(0)},
                         1);
  for (int i = 0; i < 1000; ++i) {
    retry_budget.CreditSubRequest(Millis(5));
  }
  while (retry_budget.TrySpend(ExtraAttemptKind::kHedge, Millis(5))) {
  }
  EXPECT_TRUE(retry_budget.TrySpend(ExtraAttemptKind::kRetry, Millis(5)));
}

// Guards against a spent budget that never becomes available again.
TEST(RetryBudgetTest, SpentBudgetReturnsAfterTheWindow) {
  RetryBudget retry_budget;
  retry_budget.SetLimits({.ratio = 0,
                          .slack = 10,
                          .window = Millis(10000),
                          .full_slack_from = Millis(0)},
                         1);
  while (retry_budget.TrySpend(ExtraAttemptKind::kRetry, Millis(0))) {
  }
  EXPECT_FALSE(retry_budget.TrySpend(ExtraAttemptKind::kRetry, Millis(9000)));
  EXPECT_TRUE(retry_budget.TrySpend(ExtraAttemptKind::kRetry, Millis(12000)));
}

// Guards against counts that never expire, or that are lost, when a change of
// the settings alters the window.
TEST(RetryBudgetTest, ChangedWindowKeepsCountsAndExpiresThem) {
  for (const double new_window : {2500.0, 5000.0, 10000.0, 20000.0}) {
    RetryBudget retry_budget;
    RetryLimits limits = {.ratio = 0.2,
                          .slack = 0,
                          .window = Millis(5000),
                          .full_slack_from = Millis(0)};
    retry_budget.SetLimits(limits, 1);
    const auto spend_all = [&retry_budget](Millis now) {
      int spent = 0;
      while (retry_budget.TrySpend(ExtraAttemptKind::kRetry, now)) {
        ++spent;
      }
      return spent;
    };
    Millis now(0);
    for (; now < Millis(30'000); now += Millis(10)) {
      retry_budget.CreditSubRequest(now);
    }
    EXPECT_GT(spend_all(now), 0);
    limits.window = Millis(new_window);
    retry_budget.SetLimits(limits, 1);
    EXPECT_EQ(spend_all(now), 0) << new_window;
    const Millis changed_at = now;
    for (; now < changed_at + Millis(2.5 * new_window); now += Millis(10)) {
      retry_budget.CreditSubRequest(now);
    }
    // The current bucket and one whole window before it count.
    EXPECT_LE(spend_all(now), 0.2 * 1.1 * new_window / 10) << new_window;
    EXPECT_EQ(spend_all(now + limits.window * 1.2), 0) << new_window;
  }
}

TEST(LatencyWindowTest, QuantilesFollowTheLatestSamples) {
  LatencyWindow window(Millis(50));
  EXPECT_EQ(window.median(), Millis(50));
  // The window holds the last 128 samples: 0 to 127 in another order.
  for (int i = 0; i < 256; ++i) {
    window.Record(Millis(i * 37 % 128));
  }
  EXPECT_EQ(window.median(), Millis(64));
  EXPECT_EQ(window.p90(), Millis(115));
}

// Guards against choices that drift from their weights over few requests.
TEST(WeightedRoundRobinTest, SharesAreExact) {
  WeightedRoundRobin round_robin({1, 3, 6});
  std::map<size_t, int> counts;
  for (int i = 0; i < 100; ++i) {
    ++counts[round_robin.Next()];
  }
  EXPECT_EQ(counts[0], 10);
  EXPECT_EQ(counts[1], 30);
  EXPECT_EQ(counts[2], 60);
}

}  // namespace
}  // namespace tanagervane
