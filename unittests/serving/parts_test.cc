// Tests of the small parts of the serving core.

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
#include "tanagervane/serving/retry_allowance.h"
#include "tanagervane/serving/route_table.h"
#include "tanagervane/serving/top_records.h"

namespace tanagervane {
namespace {

RouteSpec Route(const std::string& host, const std::string& prefix) {
  RouteSpec route;
  route.host = host;
  route.prefix = prefix;
  return route;
}

// Guards against a shorter prefix, a part of a segment or another host winning.
TEST(RouteTableTest, LongestPrefixOfTheHostWins) {
  const std::vector<RouteSpec> routes = {Route("H.example", "/a/"),
                                         Route("h.example", "/a/b/"),
                                         Route("other", "/")};
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
  std::vector<std::string_view> parts(bodies.begin(), bodies.end());
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
  RC_ASSERT(MergeTopRecords(parts, count) == expected);
}

// Guards against a comparison of signed characters.
TEST(TopRecordsTest, BytesAreUnsigned) {
  const std::string high(16, '\xff');
  const std::string low(16, '\x01');
  const std::vector<std::string_view> parts = {low, high};
  EXPECT_EQ(MergeTopRecords(parts, 1), high);
}

// Guards against windows in which the whole fleet sends more than its bound:
// any window of ten seconds, all VMs together, also when all restart at once
// and their counts begin anew.
RC_GTEST_PROP(RetryAllowanceProperty, FleetStaysWithinItsBound, ()) {
  constexpr size_t kVms = 4;
  constexpr double kSlack = 56;
  constexpr Millis kWindow(10000);
  std::vector<RetryAllowance> vms(kVms);
  const auto start = [&vms](Millis slack_from) {
    for (RetryAllowance& vm : vms) {
      vm = RetryAllowance();
      vm.SetLimits({.ratio = 0.2,
                    .slack = kSlack,
                    .window = kWindow,
                    .slack_from = slack_from},
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
    int taken = 0;
    if (second == restart_at) {
      start(Millis(1000) * static_cast<double>(second) + kWindow);
    }
    for (int i = 0; i < rates[second]; ++i) {
      const Millis now(static_cast<double>(second) * 1000 + i * 10);
      RetryAllowance& vm = vms[static_cast<size_t>(i) % kVms];
      vm.OnRequest(now);
      while (vm.TryTake(ExtraSend::kRetry, now)) {
        ++taken;
      }
    }
    requests.push_back(rates[second]);
    extras.push_back(taken);
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

// Guards against hedges that leave nothing for requests whose only try failed.
TEST(RetryAllowanceTest, HedgesLeaveAPartToRetries) {
  RetryAllowance allowance;
  allowance.SetLimits({.ratio = 0.2,
                       .slack = 0,
                       .window = Millis(10000),
                       .slack_from = Millis(0)},
                      1);
  for (int i = 0; i < 1000; ++i) {
    allowance.OnRequest(Millis(5));
  }
  while (allowance.TryTake(ExtraSend::kHedge, Millis(5))) {
  }
  EXPECT_TRUE(allowance.TryTake(ExtraSend::kRetry, Millis(5)));
}

// Guards against an allowance that never comes back.
TEST(RetryAllowanceTest, ComesBackAfterTheWindow) {
  RetryAllowance allowance;
  allowance.SetLimits({.ratio = 0,
                       .slack = 10,
                       .window = Millis(10000),
                       .slack_from = Millis(0)},
                      1);
  while (allowance.TryTake(ExtraSend::kRetry, Millis(0))) {
  }
  EXPECT_FALSE(allowance.TryTake(ExtraSend::kRetry, Millis(9000)));
  EXPECT_TRUE(allowance.TryTake(ExtraSend::kRetry, Millis(12000)));
}

TEST(LatencyWindowTest, QuantilesFollowTheLatestSamples) {
  LatencyWindow window(Millis(50));
  EXPECT_EQ(window.median(), Millis(50));
  // The window holds the last 128 samples: 0 to 127 in another order.
  for (int i = 0; i < 256; ++i) {
    window.Record(Millis(i * 37 % 128));
  }
  EXPECT_EQ(window.median(), Millis(64));
  EXPECT_EQ(window.high(), Millis(115));
}

// Guards against shares that drift from their weights in short runs.
TEST(WeightedTurnTest, SharesAreExact) {
  WeightedTurn turn({1, 3, 6});
  std::map<size_t, int> counts;
  for (int i = 0; i < 100; ++i) {
    ++counts[turn.Next()];
  }
  EXPECT_EQ(counts[0], 10);
  EXPECT_EQ(counts[1], 30);
  EXPECT_EQ(counts[2], 60);
}

class ReplicaSetTest : public testing::Test {
 protected:
  static ReplicaEntry Entry(const std::string& id, int64_t started = 1) {
    ReplicaEntry entry;
    entry.id = id;
    entry.started_at_ms = started;
    entry.service = "s";
    entry.address = "127.0.0.1:1";
    return entry;
  }

  size_t InUse() { return m_set.GetService("s").replicas.size(); }

  std::vector<std::string> m_retired;
  ReplicaSet m_set{{.retired =
                        [this](ServingReplica& replica, std::string_view) {
                          m_retired.push_back(replica.key);
                        },
                    .added = [](ServingReplica&) {}}};
};

// Guards against work for a replica that has said that it leaves.
TEST_F(ReplicaSetTest, DrainingIsFinalForTheIncarnation) {
  ReplicaEntry entry = Entry("r");
  m_set.Apply(entry, Millis(0));
  entry.draining = true;
  m_set.Apply(entry, Millis(1));
  entry.draining = false;
  m_set.Apply(entry, Millis(2));
  EXPECT_TRUE(m_set.Find("r")->leaving);
  m_set.Apply(Entry("r", 2), Millis(3));
  EXPECT_FALSE(m_set.Find("r")->leaving);
}

// Guards against what was learnt of an incarnation counting for the next one.
TEST_F(ReplicaSetTest, NewIncarnationBeginsAnew) {
  m_set.Apply(Entry("r", 1), Millis(0));
  const_cast<ServingReplica*>(m_set.Find("r"))->unresponsive = true;
  m_set.Apply(Entry("r", 2), Millis(1));
  EXPECT_FALSE(m_set.Find("r")->unresponsive);
  m_set.Apply(Entry("r", 1), Millis(2));
  EXPECT_EQ(m_set.Find("r")->entry.started_at_ms, 2);
  EXPECT_EQ(InUse(), 1u);
}

// Guards against live replicas that are dropped because their entries lapsed
// while the store was away, and against dead ones that are kept.
TEST_F(ReplicaSetTest, LapsedEntriesHaveTwoSecondsToComeBack) {
  m_set.Apply(Entry("back"), Millis(0));
  m_set.Apply(Entry("gone"), Millis(0));
  m_set.SetStoreReachable(false, Millis(100));
  m_set.SetStoreReachable(true, Millis(5000));
  m_set.ApplyList({}, Millis(5000));
  EXPECT_EQ(InUse(), 2u);
  m_set.Sweep(Millis(6900));
  EXPECT_EQ(InUse(), 2u);
  m_set.Apply(Entry("back"), Millis(6950));
  m_set.Sweep(Millis(7300));
  EXPECT_EQ(InUse(), 1u);
  EXPECT_NE(m_set.Find("back"), nullptr);
  EXPECT_EQ(m_retired, std::vector<std::string>{"gone@1"});
}

// Guards against a replica that is used after its entry went and it had said
// that it leaves.
TEST_F(ReplicaSetTest, RemovedDrainingEntryEndsUseAtOnce) {
  ReplicaEntry entry = Entry("r");
  entry.draining = true;
  m_set.Apply(entry, Millis(0));
  m_set.Remove("r", Millis(10000));
  EXPECT_EQ(InUse(), 0u);
}

// Guards against a replica that is used for longer after its entry went than
// it promises to serve, less the time that the news takes: changes are read in
// batches of a sixth of that.
TEST_F(ReplicaSetTest, RemovedEntryEndsUseWithinTheDrainBound) {
  for (const Millis bound : {Millis(3000), Millis(1000), Millis(400)}) {
    m_set.SetDrainBound(bound);
    m_set.Apply(Entry("r"), Millis(0));
    m_set.Remove("r", Millis(10000));
    const Millis news = bound * kBatchingPartOfDrain + Millis(200);
    m_set.Sweep(Millis(10000) + std::max(bound - news, Millis(0)));
    EXPECT_EQ(InUse(), 0u) << bound.count();
  }
}

// Guards against live replicas that are dropped, with their connections and
// all that was learnt of them, after an outage of the store during which this
// VM made no call.
TEST_F(ReplicaSetTest, LapseThatWasNotNoticedKeepsReplicas) {
  m_set.Apply(Entry("r"), Millis(0));
  const ServingReplica* before = m_set.Find("r");
  m_set.Remove("r", Millis(10000));
  m_set.Sweep(Millis(11900));
  EXPECT_EQ(InUse(), 1u);
  m_set.Apply(Entry("r"), Millis(12000));
  m_set.Sweep(Millis(20000));
  EXPECT_EQ(m_set.Find("r"), before);
  EXPECT_TRUE(m_retired.empty());
}

// Guards against more connections to a replica than it takes from all VMs.
TEST_F(ReplicaSetTest, ConnectionsAreSharedOut) {
  m_set.ApplyServices(std::vector<ServiceSpec>{{"s", "/healthz", 41}});
  for (const size_t vms : {1, 4, 24, 100}) {
    m_set.SetFleet(vms, {});
    const size_t cap = m_set.GetService("s").connection_cap;
    EXPECT_GE(cap, 1u);
    EXPECT_LE(cap * vms, std::max<size_t>(41, vms));
  }
}

class ReplicaChooserTest : public ReplicaSetTest {
 protected:
  void Fill() {
    m_set.ApplyServices(std::vector<ServiceSpec>{{"s", "/healthz", 41}});
    for (const char* id : {"a", "b", "c"}) {
      ReplicaEntry entry = Entry(id);
      entry.slots = 5;
      m_set.Apply(entry, Millis(0));
    }
  }

  static constexpr AttemptProfile kProfile{.usual = Millis(20),
                                           .objective = Millis(200)};

  ServingReplica& At(std::string_view id) {
    return *const_cast<ServingReplica*>(m_set.Find(id));
  }

  std::map<std::string, int> Choices(ReplicaChooser& chooser, Millis now) {
    std::map<std::string, int> counts;
    for (int i = 0; i < 300; ++i) {
      ++counts[chooser.Choose(m_set.GetService("s"), kProfile, {}, now)
                   ->entry.id];
    }
    return counts;
  }

  ReplicaChooser m_chooser{{}, "", 1};
};

// Guards against all VMs choosing the same of several equal replicas.
TEST_F(ReplicaChooserTest, EqualReplicasShare) {
  Fill();
  for (const auto& [id, count] : Choices(m_chooser, Millis(0))) {
    EXPECT_GT(count, 50) << id;
  }
}

// Guards against work for replicas that are slow, failing or overdue while
// others are not, and against a replica that is avoided for ever.
TEST_F(ReplicaChooserTest, TroubledReplicasAreAvoidedForAWhile) {
  Fill();
  for (int i = 0; i < 10; ++i) {
    m_chooser.RecordLatency(At("a"), Millis(200), Millis(20), Millis(0));
    ReplicaChooser::RecordOutcome(At("b"), true, Millis(0));
  }
  EXPECT_EQ(Choices(m_chooser, Millis(10)).size(), 1u);
  EXPECT_EQ(Choices(m_chooser, Millis(60000)).size(), 3u);
  At("c").overdue = true;
  EXPECT_FALSE(Choices(m_chooser, Millis(60000)).contains("c"));
}

// Guards against sends to replicas that reject many, while the allowance to
// send again is spent and another replica has room after a wait.
TEST_F(ReplicaChooserTest, SpentAllowanceMakesRejectionsDear) {
  Fill();
  Service& service = m_set.GetService("s");
  service.allowance.SetLimits(
      {.ratio = 0, .slack = 10, .window = Millis(10'000)}, 1);
  for (int i = 0; i < 10; ++i) {
    ReplicaChooser::RecordOutcome(At("a"), i % 2 == 0, Millis(0));
    ReplicaChooser::RecordOutcome(At("b"), i % 2 == 0, Millis(0));
  }
  // Waits for three runs.
  At("c").load = LoadReport{5, 15, 5};
  At("c").load_at = Millis(0);
  EXPECT_LT(Choices(m_chooser, Millis(0))["c"], 10);
  while (service.allowance.TryTake(ExtraSend::kRetry, Millis(0))) {
  }
  EXPECT_GT(Choices(m_chooser, Millis(0))["c"], 290);
}

// Guards against a replica that is avoided for seconds because it paused once,
// and against one that is used on although it is slow each time.
TEST_F(ReplicaChooserTest, OnePauseDoesNotMakeAReplicaSlow) {
  Fill();
  constexpr Millis kUsual(20);
  m_chooser.RecordLatency(At("a"), kUsual * 12, kUsual, Millis(0));
  for (int i = 0; i < 3; ++i) {
    m_chooser.RecordLatency(At("a"), kUsual, kUsual, Millis(50) * i);
    m_chooser.RecordLatency(At("b"), kUsual * 12, kUsual, Millis(50) * i);
  }
  const auto run = [this](std::string_view id) {
    return m_chooser.Expect(At(id), kProfile, Millis(200)).total;
  };
  EXPECT_LT(run("a"), run("c") * 1.3);
  EXPECT_GT(run("b"), run("c") * 2);
}

// Guards against work for a replica that may be leaving while others have room,
// and against a shard without a replica when all entries lapse at once.
TEST_F(ReplicaChooserTest, ReplicaWithoutEntryIsSecondChoice) {
  Fill();
  m_set.Remove("a", Millis(0));
  EXPECT_FALSE(Choices(m_chooser, Millis(0)).contains("a"));
  m_set.Remove("b", Millis(0));
  m_set.Remove("c", Millis(0));
  EXPECT_EQ(Choices(m_chooser, Millis(0)).size(), 3u);
}

// Guards against a full replica being chosen, and against none being chosen
// while one has room.
TEST_F(ReplicaChooserTest, FullReplicasAreLeftOut) {
  Fill();
  const size_t cap = m_set.GetService("s").connection_cap;
  At("a").attempts.assign(cap, 1);
  At("b").attempts.assign(cap, 1);
  EXPECT_EQ(Choices(m_chooser, Millis(0)).size(), 1u);
  At("c").attempts.assign(cap, 1);
  EXPECT_EQ(m_chooser.Choose(m_set.GetService("s"), kProfile, {}, Millis(0)),
            nullptr);
}

// Guards against a queue that only others see: their reported load counts, and
// fades with its age.
TEST_F(ReplicaChooserTest, ReportedLoadCountsAndFades) {
  Fill();
  At("a").load = LoadReport{5, 10, 5};
  At("a").load_at = Millis(1000);
  EXPECT_GT(m_chooser.Expect(At("a"), kProfile, Millis(1000)).wait, Millis(20));
  EXPECT_EQ(m_chooser.Expect(At("a"), kProfile, Millis(9000)).wait, Millis(0));
}

}  // namespace
}  // namespace tanagervane
