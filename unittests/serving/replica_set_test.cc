// Tests of the set of replicas and of the choice among them.

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tanagervane/serving/replica_chooser.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/support/random.h"

namespace tanagervane {
namespace {

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
  std::vector<std::string> m_limit_sources;
  ReplicaSet m_set{{.on_retired =
                        [this](ServingReplica& replica, std::string_view) {
                          m_retired.push_back(replica.key);
                        },
                    .on_added = [](ServingReplica&) {},
                    .on_rate_limit_changed =
                        [this](const ServingReplica&, std::string_view source) {
                          m_limit_sources.emplace_back(source);
                        },
                    .on_backoff = [](const ServingReplica&, Millis) {}}};
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

// Guards against a VM that does not know the limit that a replica has stated to
// another VM, whether its registration was read before or comes later.
TEST_F(ReplicaSetTest, PeersTellTheRateLimits) {
  m_set.Apply(MakeRegistration("a"), Millis(0));
  const std::vector<RateLimitReport> reports = {
      {HashIncarnation("a@1"), 4, Millis(10)},
      {HashIncarnation("b@1"), 5, Millis(10)}};
  m_set.RecordRateLimits(reports, Millis(1000));
  m_set.RecordRateLimits(reports, Millis(1001));
  m_set.Apply(MakeRegistration("b"), Millis(1002));
  EXPECT_EQ(m_set.Find("a")->limits->rate_limiter.limit(), 4);
  EXPECT_EQ(m_set.Find("b")->limits->rate_limiter.limit(), 5);
  EXPECT_EQ(m_limit_sources, (std::vector<std::string>{"peer"}));
}

// Guards against more requests to a replica whose registration was removed and
// then restored by a late heartbeat.
TEST_F(ReplicaSetTest, RateLimitIsRememberedAfterTheRemoval) {
  m_set.Apply(MakeRegistration("r"), Millis(0));
  m_set.RecordRateLimit(*m_set.Find("r"), 4, Millis(100));
  m_set.Remove("r", Millis(1000));
  m_set.RetireLapsed(Millis(5000));
  ASSERT_EQ(ReplicasInUse(), 0u);
  m_set.Apply(MakeRegistration("r"), Millis(100'000));
  EXPECT_EQ(m_set.Find("r")->limits->rate_limiter.limit(), 4);
  m_set.Apply(MakeRegistration("r", 2), Millis(100'001));
  EXPECT_FALSE(m_set.Find("r")->limits->rate_limiter.limit());
}

// Guards against requests to a replica that wants none, when its registration
// was removed and then restored, and against a shorter back-off that
// replaces a longer one.
TEST_F(ReplicaSetTest, BackoffIsRememberedAfterTheRemoval) {
  m_set.Apply(MakeRegistration("r"), Millis(0));
  m_set.RecordBackoff(*m_set.Find("r"), Millis(9000), Millis(100));
  m_set.RecordBackoff(*m_set.Find("r"), Millis(1000), Millis(200));
  m_set.Remove("r", Millis(1000));
  m_set.RetireLapsed(Millis(5000));
  ASSERT_EQ(ReplicasInUse(), 0u);
  m_set.Apply(MakeRegistration("r"), Millis(6000));
  EXPECT_EQ(m_set.Find("r")->limits->NextRequestAt(Millis(6000)), Millis(9100));
}

// Guards against statements that are passed on for ever, and against many of
// which only some are passed on.
TEST(RequestLimitTableTest, RecentStatementsArePassedOnInTurn) {
  RequestLimitTable table(1);
  for (IncarnationHash i = 1; i <= 5; ++i) {
    table.RecordRateLimit(i, 10, Millis(0), Millis(0));
  }
  table.RecordRateLimit(5, std::nullopt, Millis(2000), Millis(2000));
  std::map<IncarnationHash, int> counts;
  for (int call = 0; call < 5; ++call) {
    for (const RateLimitReport& report :
         table.RecentRateLimits(Millis(2500), 3)) {
      ++counts[report.incarnation];
      const bool ended = report.incarnation == 5;
      EXPECT_EQ(report.per_second, ended ? std::nullopt : std::optional(10.0));
      EXPECT_EQ(report.age, Millis(ended ? 500 : 2500));
    }
  }
  for (IncarnationHash i = 1; i <= 5; ++i) {
    EXPECT_EQ(counts[i], 3) << i;
  }
  EXPECT_EQ(table.RecentRateLimits(Millis(3500), 3).size(), 1u);
  EXPECT_TRUE(table.RecentRateLimits(Millis(6000), 3).empty());
}

// Guards against telling other VMs for ever, and against many incarnations of
// which only some are passed on.
TEST(LeavingReplicasTest, RecentOnesArePassedOnInTurn) {
  LeavingReplicas leaving;
  leaving.Add(1, Millis(0));
  leaving.Add(2, Millis(1000));
  leaving.Add(3, Millis(2000));
  EXPECT_EQ(leaving.Recent(Millis(2000), 2),
            (std::vector<IncarnationHash>{1, 2}));
  EXPECT_EQ(leaving.Recent(Millis(2000), 2),
            (std::vector<IncarnationHash>{3, 1}));
  std::vector<IncarnationHash> recent = leaving.Recent(Millis(3500), 9);
  std::ranges::sort(recent);
  EXPECT_EQ(recent, (std::vector<IncarnationHash>{2, 3}));
  EXPECT_TRUE(leaving.Recent(Millis(9000), 9).empty());
}

// Guards against VMs that do not know within the drain timeout which replicas
// leave, when many do at once and a tenth of the VMs is told by the store.
TEST(LeavingReplicasTest, ManyReachTheFleetWithinTheDrainTimeout) {
  constexpr size_t kVms = 100;
  constexpr size_t kLeaving = 60;
  constexpr size_t kTargets = 3;
  constexpr size_t kMaxPerMessage = 24;
  Random random(1);
  std::vector<LeavingReplicas> vms(kVms);
  for (size_t vm = 0; vm < kVms / 10; ++vm) {
    for (IncarnationHash incarnation = 0; incarnation < kLeaving;
         ++incarnation) {
      vms[vm].Add(incarnation, Millis(0));
    }
  }
  for (Millis now(0); now < Millis(3000); now += Millis(250)) {
    for (LeavingReplicas& sender : vms) {
      const auto message = sender.Recent(now, kMaxPerMessage);
      for (size_t i = 0; i < kTargets; ++i) {
        LeavingReplicas& receiver = vms[random.NextBelow(kVms)];
        for (const IncarnationHash incarnation : message) {
          receiver.Add(incarnation, now);
        }
      }
    }
  }
  for (const LeavingReplicas& vm : vms) {
    EXPECT_EQ(vm.size(), kLeaving);
  }
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

// Guards against a replica that gets no request any more because others are
// preferred, so that nobody learns that its limit has ended.
TEST_F(ReplicaChooserTest, StaleRateLimitIsVerifiedByAFirstAttempt) {
  AddReplicas();
  m_set.RecordRateLimit(GetReplica("a"), 1, Millis(0));
  ReplicaChooser::RecordLatency(GetReplica("a"), Millis(50), Millis(20),
                                Millis(0));
  const auto choose = [&](std::vector<const ServingReplica*> exclude,
                          Millis now) {
    return m_chooser.Choose(m_set.GetService("s"), kProfile, exclude, now)
        ->registration.id;
  };
  EXPECT_NE(choose({}, Millis(3000)), "a");
  EXPECT_EQ(choose({}, Millis(5000)), "a");
  EXPECT_NE(choose({&GetReplica("b")}, Millis(5000)), "a");
  GetReplica("a").limits->rate_limiter.UsePermit(Millis(5000));
  EXPECT_NE(choose({}, Millis(5000)), "a");
}

// Guards against a sub-request without a hedge because the best replica has no
// permit for one, although another replica needs none.
TEST_F(ReplicaChooserTest, AttemptsThatNeedMorePermitsGoElsewhere) {
  AddReplicas();
  AttemptProfile hedge = kProfile;
  hedge.min_permits = 2;
  for (const char* id : {"a", "b"}) {
    m_set.RecordRateLimit(GetReplica(id), 1, Millis(0));
  }
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(m_chooser.Choose(m_set.GetService("s"), hedge, {}, Millis(1000))
                  ->registration.id,
              "c");
  }
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
