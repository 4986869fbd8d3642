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
#include "tanagervane/serving/replica_chooser.h"
#include "tanagervane/serving/replica_set.h"
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

class ReplicaSetTest : public testing::Test {
 protected:
  static ReplicaRegistration MakeRegistration(const std::string& id,
                                              int64_t started = 1) {
    ReplicaRegistration registration;
    registration.id = id;
    registration.started_at_ms = started;
    registration.service = "s";
    registration.address = "127.0.0.1:1";
    return registration;
  }

  size_t ReplicasInUse() { return m_set.GetService("s").replicas.size(); }

  std::vector<std::string> m_retired;
  ReplicaSet m_set{{.on_retired =
                        [this](ServingReplica& replica, std::string_view) {
                          m_retired.push_back(replica.key);
                        },
                    .on_added = [](ServingReplica&) {},
                    .on_rate_limit_changed = [](const ServingReplica&) {}}};
};

// Guards against sending requests to a replica that has announced that it is
// draining.
TEST_F(ReplicaSetTest, DrainingIsFinalForTheIncarnation) {
  ReplicaRegistration registration = MakeRegistration("r");
  m_set.Apply(registration, Millis(0));
  registration.draining = true;
  m_set.Apply(registration, Millis(1));
  registration.draining = false;
  m_set.Apply(registration, Millis(2));
  EXPECT_TRUE(m_set.Find("r")->leaving);
  m_set.Apply(MakeRegistration("r", 2), Millis(3));
  EXPECT_FALSE(m_set.Find("r")->leaving);
}

// Guards against using a leaving replica again because a late heartbeat or the
// end of a store outage restores its registration.
TEST_F(ReplicaSetTest, LeavingIsRememberedAfterTheRemoval) {
  ReplicaRegistration draining = MakeRegistration("r");
  draining.draining = true;
  m_set.Apply(draining, Millis(0));
  m_set.Remove("r", Millis(3000));
  m_set.Apply(MakeRegistration("r"), Millis(3500));
  EXPECT_TRUE(m_set.Find("r")->leaving);
  m_set.Remove("r", Millis(4000));
  ReplicaRegistration other_address = MakeRegistration("r");
  other_address.address = "127.0.0.1:2";
  m_set.Apply(other_address, Millis(5000));
  EXPECT_TRUE(m_set.Find("r")->leaving);
  m_set.Apply(MakeRegistration("r", 2), Millis(6000));
  EXPECT_FALSE(m_set.Find("r")->leaving);
}

// Guards against forgetting what a replica states in its last responses, after
// its registration has lapsed.
TEST_F(ReplicaSetTest, StatementOfARetiredReplicaIsRemembered) {
  m_set.Apply(MakeRegistration("r"), Millis(0));
  const std::shared_ptr<ServingReplica> replica =
      m_set.GetService("s").replicas.front();
  m_set.Remove("r", Millis(1000));
  m_set.RetireLapsed(Millis(5000));
  ASSERT_EQ(ReplicasInUse(), 0u);
  m_set.MarkLeaving(*replica, "stated_leaving", Millis(5001));
  m_set.Apply(MakeRegistration("r"), Millis(6000));
  EXPECT_TRUE(m_set.Find("r")->leaving);
}

// Guards against using a replica of which another VM knows that it leaves,
// whether its registration was read before or comes later.
TEST_F(ReplicaSetTest, PeersEndTheUseOfLeavingReplicas) {
  m_set.Apply(MakeRegistration("a"), Millis(0));
  m_set.Apply(MakeRegistration("c"), Millis(0));
  const std::vector<IncarnationHash> leaving = {HashIncarnation("a@1"),
                                                HashIncarnation("b@1")};
  m_set.MarkLeaving(leaving, Millis(1));
  m_set.Apply(MakeRegistration("b"), Millis(2));
  EXPECT_TRUE(m_set.Find("a")->leaving);
  EXPECT_TRUE(m_set.Find("b")->leaving);
  EXPECT_FALSE(m_set.Find("c")->leaving);
}

// Guards against telling other VMs for ever, and against news that are lost
// behind older ones.
TEST(LeavingReplicasTest, OthersAreToldTheLatestFirst) {
  LeavingReplicas leaving;
  leaving.Add(1, Millis(0));
  leaving.Add(2, Millis(1000));
  leaving.Add(3, Millis(2000));
  EXPECT_EQ(leaving.Recent(Millis(2000), 2),
            (std::vector<IncarnationHash>{3, 2}));
  EXPECT_EQ(leaving.Recent(Millis(3500), 9),
            (std::vector<IncarnationHash>{3, 2}));
  EXPECT_TRUE(leaving.Recent(Millis(9000), 9).empty());
}

// Guards against memory that grows with each replica that ever left.
TEST(LeavingReplicasTest, EntriesExpire) {
  LeavingReplicas leaving;
  EXPECT_TRUE(leaving.Add(1, Millis(0)));
  EXPECT_FALSE(leaving.Add(1, Millis(500'000)));
  EXPECT_TRUE(leaving.Add(2, Millis(500'000)));
  leaving.Expire(Millis(700'000));
  EXPECT_FALSE(leaving.Contains(1));
  EXPECT_TRUE(leaving.Contains(2));
  EXPECT_EQ(leaving.size(), 1u);
}

// Guards against applying the health state of one incarnation to the next.
TEST_F(ReplicaSetTest, NewIncarnationStartsWithoutHistory) {
  m_set.Apply(MakeRegistration("r", 1), Millis(0));
  const_cast<ServingReplica*>(m_set.Find("r"))->unresponsive = true;
  m_set.Apply(MakeRegistration("r", 2), Millis(1));
  EXPECT_FALSE(m_set.Find("r")->unresponsive);
  m_set.Apply(MakeRegistration("r", 1), Millis(2));
  EXPECT_EQ(m_set.Find("r")->registration.started_at_ms, 2);
  EXPECT_EQ(ReplicasInUse(), 1u);
}

// Guards against retiring live replicas whose registrations lapsed during an
// outage of the store, and against keeping dead ones.
TEST_F(ReplicaSetTest, LapsedRegistrationsMayReturnWithinTwoSeconds) {
  m_set.Apply(MakeRegistration("back"), Millis(0));
  m_set.Apply(MakeRegistration("gone"), Millis(0));
  m_set.SetStoreReachable(false, Millis(100));
  m_set.SetStoreReachable(true, Millis(5000));
  m_set.ApplyList({}, Millis(5000));
  EXPECT_EQ(ReplicasInUse(), 2u);
  m_set.RetireLapsed(Millis(6900));
  EXPECT_EQ(ReplicasInUse(), 2u);
  m_set.Apply(MakeRegistration("back"), Millis(6950));
  m_set.RetireLapsed(Millis(7300));
  EXPECT_EQ(ReplicasInUse(), 1u);
  EXPECT_NE(m_set.Find("back"), nullptr);
  EXPECT_EQ(m_retired, std::vector<std::string>{"gone@1"});
}

// Guards against using a draining replica after its registration was removed.
TEST_F(ReplicaSetTest, DrainingReplicaIsRetiredOnRemoval) {
  ReplicaRegistration registration = MakeRegistration("r");
  registration.draining = true;
  m_set.Apply(registration, Millis(0));
  m_set.Remove("r", Millis(10000));
  EXPECT_EQ(ReplicasInUse(), 0u);
}

// Guards against using a replica longer after the removal of its registration
// than it keeps serving, less the time for the change to reach this VM: changes
// are read in batches of a sixth of the drain timeout.
TEST_F(ReplicaSetTest, RemovedReplicaIsRetiredWithinTheDrainTimeout) {
  for (const Millis timeout : {Millis(3000), Millis(1000), Millis(400)}) {
    m_set.SetDrainTimeout(timeout);
    m_set.Apply(MakeRegistration("r"), Millis(0));
    m_set.Remove("r", Millis(10000));
    const Millis propagation_delay =
        timeout * kBatchDelayFraction + Millis(200);
    m_set.RetireLapsed(Millis(10000) +
                       std::max(timeout - propagation_delay, Millis(0)));
    EXPECT_EQ(ReplicasInUse(), 0u) << timeout.count();
  }
}

// Guards against retiring live replicas, with their connections and
// measurements, after an outage of the store that this VM did not notice
// because it made no call.
TEST_F(ReplicaSetTest, UnnoticedStoreOutageKeepsReplicas) {
  m_set.Apply(MakeRegistration("r"), Millis(0));
  const ServingReplica* before = m_set.Find("r");
  m_set.Remove("r", Millis(10000));
  m_set.RetireLapsed(Millis(11900));
  EXPECT_EQ(ReplicasInUse(), 1u);
  m_set.Apply(MakeRegistration("r"), Millis(12000));
  m_set.RetireLapsed(Millis(20000));
  EXPECT_EQ(m_set.Find("r"), before);
  EXPECT_TRUE(m_retired.empty());
}

// Guards against more connections from all VMs than a replica accepts.
TEST_F(ReplicaSetTest, ConnectionsAreApportionedAmongVms) {
  m_set.ApplyServices(std::vector<ServiceSpec>{{"s", "/healthz", 41}});
  for (const size_t vms : {1, 4, 24, 100}) {
    m_set.SetFleetSize(vms, {});
    const size_t cap = m_set.GetService("s").max_own_connections;
    EXPECT_GE(cap, 1u);
    EXPECT_LE(cap * vms, std::max<size_t>(41, vms));
  }
}

class ReplicaChooserTest : public ReplicaSetTest {
 protected:
  void AddReplicas() {
    m_set.ApplyServices(std::vector<ServiceSpec>{{"s", "/healthz", 41}});
    for (const char* id : {"a", "b", "c"}) {
      ReplicaRegistration registration = MakeRegistration(id);
      registration.slots = 5;
      m_set.Apply(registration, Millis(0));
    }
  }

  static constexpr AttemptProfile kProfile{.median_latency = Millis(20),
                                           .objective = Millis(200)};

  ServingReplica& GetReplica(std::string_view id) {
    return *const_cast<ServingReplica*>(m_set.Find(id));
  }

  std::map<std::string, int> CountChoices(ReplicaChooser& chooser, Millis now) {
    std::map<std::string, int> counts;
    for (int i = 0; i < 300; ++i) {
      ++counts[chooser.Choose(m_set.GetService("s"), kProfile, {}, now)
                   ->registration.id];
    }
    return counts;
  }

  ReplicaChooser m_chooser{{}, "", 1};
};

// Guards against all VMs choosing the same one of several equal replicas.
TEST_F(ReplicaChooserTest, EqualReplicasShareTheLoad) {
  AddReplicas();
  for (const auto& [id, count] : CountChoices(m_chooser, Millis(0))) {
    EXPECT_GT(count, 50) << id;
  }
}

// Guards against choosing slow, failing or overdue replicas while others are
// healthy, and against avoiding a replica for ever.
TEST_F(ReplicaChooserTest, SlowFailingAndOverdueReplicasAreAvoided) {
  AddReplicas();
  for (int i = 0; i < 10; ++i) {
    m_chooser.RecordLatency(GetReplica("a"), Millis(200), Millis(20),
                            Millis(0));
    ReplicaChooser::RecordOutcome(GetReplica("b"), true, Millis(0));
  }
  EXPECT_EQ(CountChoices(m_chooser, Millis(10)).size(), 1u);
  EXPECT_EQ(CountChoices(m_chooser, Millis(60000)).size(), 3u);
  GetReplica("c").overdue = true;
  EXPECT_FALSE(CountChoices(m_chooser, Millis(60000)).contains("c"));
}

// Guards against choosing replicas that reject many attempts when the retry
// budget is spent and another replica only requires a wait.
TEST_F(ReplicaChooserTest, SpentBudgetRaisesCostOfRejections) {
  AddReplicas();
  Service& service = m_set.GetService("s");
  service.retry_budget.SetLimits(
      {.ratio = 0, .slack = 10, .window = Millis(10'000)}, 1);
  for (int i = 0; i < 10; ++i) {
    ReplicaChooser::RecordOutcome(GetReplica("a"), i % 2 == 0, Millis(0));
    ReplicaChooser::RecordOutcome(GetReplica("b"), i % 2 == 0, Millis(0));
  }
  // Wait of three run times.
  ReplicaChooser::RecordLoad(GetReplica("c"), LoadReport{5, 15, 5}, Millis(0));
  EXPECT_LT(CountChoices(m_chooser, Millis(0))["c"], 10);
  while (service.retry_budget.TrySpend(ExtraAttemptKind::kRetry, Millis(0))) {
  }
  EXPECT_GT(CountChoices(m_chooser, Millis(0))["c"], 290);
}

// Guards against avoiding a replica for seconds because of one pause, and
// against using one that is slow each time.
TEST_F(ReplicaChooserTest, OneSlowAnswerDoesNotMakeAReplicaSlow) {
  AddReplicas();
  constexpr Millis kMedian(20);
  m_chooser.RecordLatency(GetReplica("a"), kMedian * 12, kMedian, Millis(0));
  for (int i = 0; i < 3; ++i) {
    m_chooser.RecordLatency(GetReplica("a"), kMedian, kMedian, Millis(50) * i);
    m_chooser.RecordLatency(GetReplica("b"), kMedian * 12, kMedian,
                            Millis(50) * i);
  }
  const auto estimated_time = [this](std::string_view id) {
    return m_chooser.Estimate(GetReplica(id), kProfile, Millis(200)).total;
  };
  EXPECT_LT(estimated_time("a"), estimated_time("c") * 1.3);
  EXPECT_GT(estimated_time("b"), estimated_time("c") * 2);
}

// Guards against choosing a replica that may be leaving while others are free,
// and against a shard without a replica when all registrations lapse at once.
TEST_F(ReplicaChooserTest, LapsedReplicaIsUsedLast) {
  AddReplicas();
  m_set.Remove("a", Millis(0));
  EXPECT_FALSE(CountChoices(m_chooser, Millis(0)).contains("a"));
  m_set.Remove("b", Millis(0));
  m_set.Remove("c", Millis(0));
  EXPECT_EQ(CountChoices(m_chooser, Millis(0)).size(), 3u);
}

// Guards against choosing a full replica, and against choosing none while one
// is free.
TEST_F(ReplicaChooserTest, FullReplicasAreNotChosen) {
  AddReplicas();
  const size_t cap = m_set.GetService("s").max_own_connections;
  GetReplica("a").attempts.assign(cap, 1);
  GetReplica("b").attempts.assign(cap, 1);
  EXPECT_EQ(CountChoices(m_chooser, Millis(0)).size(), 1u);
  GetReplica("c").attempts.assign(cap, 1);
  EXPECT_EQ(m_chooser.Choose(m_set.GetService("s"), kProfile, {}, Millis(0)),
            nullptr);
}

// Guards against ignoring load caused by other VMs: the reported load counts
// and decays with its age.
TEST_F(ReplicaChooserTest, ReportedLoadCountsAndDecays) {
  AddReplicas();
  ReplicaChooser::RecordLoad(GetReplica("a"), LoadReport{5, 10, 5},
                             Millis(1000));
  EXPECT_GT(m_chooser.Estimate(GetReplica("a"), kProfile, Millis(1000)).wait,
            Millis(20));
  EXPECT_EQ(m_chooser.Estimate(GetReplica("a"), kProfile, Millis(9000)).wait,
            Millis(0));
}

}  // namespace
}  // namespace tanagervane
