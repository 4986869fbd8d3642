// Tests of the choice of a replica.

#include "tanagervane/serving/replica_chooser.h"

#include <map>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "replica_set_fixture.h"

namespace tanagervane {
namespace {

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
  m_set.Remove("a", Millis(0), Millis(0));
  EXPECT_FALSE(CountChoices(m_chooser, Millis(0)).contains("a"));
  m_set.Remove("b", Millis(0), Millis(0));
  m_set.Remove("c", Millis(0), Millis(0));
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

// Guards against estimates that ignore that work takes longer on a machine, and
// against counting it twice when answers show it too.
TEST_F(ReplicaChooserTest, ReportedWorkTimeCountsOnceAndDecays) {
  AddReplicas();
  ServingReplica& replica = GetReplica("a");
  const LoadReport twice{0, 0, 5, 200};
  ReplicaChooser::RecordLoad(replica, twice, Millis(0));
  const auto estimate = [&](Millis now) {
    return m_chooser.Estimate(replica, kProfile, now).total;
  };
  const Millis usual = m_chooser.Estimate(GetReplica("b"), kProfile, {}).total;
  EXPECT_GT(estimate(Millis(0)), usual * 1.6);
  for (int i = 0; i < 30; ++i) {
    ReplicaChooser::RecordLatency(replica, Millis(40), Millis(20), Millis(0));
  }
  EXPECT_LT(estimate(Millis(0)), usual * 2.1);
  EXPECT_GT(estimate(Millis(0)), usual * 1.6);
  EXPECT_LT(estimate(Millis(40'000)), usual * 1.1);
  ReplicaChooser::RecordLoad(replica, LoadReport{0, 0, 5, 100}, Millis(1));
  EXPECT_LT(estimate(Millis(1)), usual * 1.1);
}

// Guards against attempts, hedges and retries to replicas of an evacuated data
// centre, also to those that register later, and against replicas that stay
// unused or are used at once in full afterwards.
TEST_F(ReplicaChooserTest, EvacuatedReplicasAreNotChosen) {
  AddReplicas();
  const auto place = [this](const char* id, const char* data_centre) {
    ReplicaRegistration registration = MakeRegistration(id);
    registration.slots = 5;
    registration.data_centre = data_centre;
    m_set.Apply(registration, Millis(0));
  };
  place("a", "dc1");
  place("b", "dc2");
  place("c", "dc1");
  m_set.SetEvacuated({"dc1"}, Millis(0));
  place("d", "dc1");
  const auto counts = CountChoices(m_chooser, Millis(0));
  EXPECT_EQ(counts.size(), 1u);
  EXPECT_TRUE(counts.contains("b"));
  const ServingReplica* chosen[] = {&GetReplica("b")};
  EXPECT_EQ(
      m_chooser.Choose(m_set.GetService("s"), kProfile, chosen, Millis(0)),
      nullptr);
  m_set.SetEvacuated({}, Millis(0));
  const auto estimate = [&](const char* id, Millis now) {
    return m_chooser.Estimate(GetReplica(id), kProfile, now).total;
  };
  EXPECT_GT(estimate("a", Millis(0)), estimate("b", Millis(0)));
  EXPECT_EQ(estimate("a", Millis(5000)), estimate("b", Millis(5000)));
  EXPECT_EQ(CountChoices(m_chooser, Millis(5000)).size(), 4u);
}

// Guards against VMs that all send to the same replica because it has the
// lowest estimate in reports that are old, and against ignoring fresh reports.
TEST_F(ReplicaChooserTest, OldReportsOfBusyReplicasSpreadChoices) {
  AddReplicas();
  ReplicaChooser::RecordLoad(GetReplica("a"), LoadReport{5, 2, 5}, Millis(0));
  ReplicaChooser::RecordLoad(GetReplica("b"), LoadReport{5, 0, 5}, Millis(0));
  ReplicaChooser::RecordLoad(GetReplica("c"), LoadReport{5, 1, 5}, Millis(0));
  EXPECT_GT(CountChoices(m_chooser, Millis(0))["b"], 280);
  for (const auto& [id, count] : CountChoices(m_chooser, Millis(1000))) {
    EXPECT_GT(count, 20) << id;
  }
}

}  // namespace
}  // namespace tanagervane
