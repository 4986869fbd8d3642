// Tests of the set of replicas and of what they have stated.

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "replica_set_fixture.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/support/random.h"

namespace tanagervane {
namespace {

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
  m_set.Remove("r", Millis(3000), Millis(3000));
  m_set.Apply(MakeRegistration("r"), Millis(3500));
  EXPECT_TRUE(m_set.Find("r")->leaving);
  m_set.Remove("r", Millis(4000), Millis(4000));
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
  m_set.Remove("r", Millis(1000), Millis(1000));
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
  m_set.Remove("r", Millis(1000), Millis(1000));
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
  m_set.Remove("r", Millis(1000), Millis(1000));
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
  m_set.ApplyList({}, Millis(5000), Millis(5000));
  EXPECT_EQ(ReplicasInUse(), 2u);
  m_set.RetireLapsed(Millis(6900));
  EXPECT_EQ(ReplicasInUse(), 2u);
  m_set.Apply(MakeRegistration("back"), Millis(6950));
  m_set.RetireLapsed(Millis(7300));
  EXPECT_EQ(ReplicasInUse(), 1u);
  EXPECT_NE(m_set.Find("back"), nullptr);
  EXPECT_EQ(m_retired, std::vector<std::string>{"gone@1"});
}

// Guards against retiring live replicas whose registrations were lost with the
// restore of the store, and are seen to be missing by another VM first.
TEST_F(ReplicaSetTest, LostRegistrationsMayReturnAfterARestore) {
  m_set.Apply(MakeRegistration("r"), Millis(0));
  m_set.OnStoreRestored(Millis(5000));
  m_set.ApplyList({}, Millis(4000), Millis(5000));
  m_set.RetireLapsed(Millis(6900));
  EXPECT_EQ(ReplicasInUse(), 1u);
  m_set.RetireLapsed(Millis(7300));
  EXPECT_EQ(ReplicasInUse(), 0u);
}

// Guards against a grace time that begins anew when this VM reads a removal
// shortly after the store has returned to it: the removal may have been
// acknowledged by a stable store, and the replica only serves for the drain
// timeout.
TEST_F(ReplicaSetTest, RemovalSoonAfterAnOutageIsRetiredWithinTheDrainTimeout) {
  m_set.SetDrainTimeout(Millis(3000));
  m_set.Apply(MakeRegistration("r"), Millis(0));
  m_set.SetStoreReachable(false, Millis(100));
  m_set.SetStoreReachable(true, Millis(5000));
  // Removed at 6200, seen by another VM one batch later.
  m_set.Remove("r", Millis(6700), Millis(7400));
  m_set.RetireLapsed(Millis(9200));
  EXPECT_EQ(ReplicasInUse(), 0u);
}

// Guards against using a draining replica after its registration was removed.
TEST_F(ReplicaSetTest, DrainingReplicaIsRetiredOnRemoval) {
  ReplicaRegistration registration = MakeRegistration("r");
  registration.draining = true;
  m_set.Apply(registration, Millis(0));
  m_set.Remove("r", Millis(10000), Millis(10000));
  EXPECT_EQ(ReplicasInUse(), 0u);
}

// Guards against using a replica longer after the removal of its registration
// than it keeps serving, less the time for the change to reach this VM: changes
// are read in batches of a sixth of the drain timeout.
TEST_F(ReplicaSetTest, RemovedReplicaIsRetiredWithinTheDrainTimeout) {
  for (const Millis timeout : {Millis(3000), Millis(1000), Millis(400)}) {
    m_set.SetDrainTimeout(timeout);
    m_set.Apply(MakeRegistration("r"), Millis(0));
    m_set.Remove("r", Millis(10000), Millis(10000));
    const Millis propagation_delay =
        timeout * kBatchDelayFraction + Millis(200);
    m_set.RetireLapsed(Millis(10000) +
                       std::max(timeout - propagation_delay, Millis(0)));
    EXPECT_EQ(ReplicasInUse(), 0u) << timeout.count();
  }
}

// Guards against delays that add up beyond the drain timeout when this VM reads
// a removal long after another one did.
TEST_F(ReplicaSetTest, RemovalReadLateIsRetiredWithinTheDrainTimeout) {
  constexpr Millis kDrainTimeout{3000};
  m_set.SetDrainTimeout(kDrainTimeout);
  for (const Millis late : {Millis(0), Millis(1700), Millis(10'000)}) {
    m_set.Apply(MakeRegistration("r"), Millis(0));
    // The first VM reads the removal up to one batch after it.
    const Millis removed_at(20'000);
    const Millis seen_at = removed_at + kDrainTimeout * kBatchDelayFraction;
    m_set.Remove("r", seen_at, seen_at + late);
    m_set.RetireLapsed(std::max(seen_at + late, removed_at + kDrainTimeout));
    EXPECT_EQ(ReplicasInUse(), 0u) << late.count();
  }
}

// Guards against retiring a whole service on stale data after an outage of the
// store, and against reads for each replica that leaves.
TEST_F(ReplicaSetTest, LapseOfMostReplicasIsVerified) {
  for (const char* id : {"a", "b", "c"}) {
    m_set.Apply(MakeRegistration(id), Millis(0));
  }
  m_set.Remove("a", Millis(1000), Millis(2000));
  EXPECT_FALSE(m_set.ShouldVerifyLapse(Millis(3100)));
  m_set.Remove("b", Millis(1000), Millis(2000));
  EXPECT_FALSE(m_set.ShouldVerifyLapse(Millis(2900)));
  EXPECT_TRUE(m_set.ShouldVerifyLapse(Millis(3100)));
  EXPECT_FALSE(m_set.ShouldVerifyLapse(Millis(3150)));
  m_set.Apply(MakeRegistration("b"), Millis(3160));
  m_set.RetireLapsed(Millis(3300));
  EXPECT_EQ(ReplicasInUse(), 2u);
  m_set.Remove("b", Millis(5000), Millis(5000));
  m_set.Remove("c", Millis(5000), Millis(5000));
  EXPECT_TRUE(m_set.ShouldVerifyLapse(Millis(7100)));
}

// Guards against retiring live replicas, with their connections and
// measurements, after an outage of the store that this VM did not notice
// because it made no call.
TEST_F(ReplicaSetTest, UnnoticedStoreOutageKeepsReplicas) {
  m_set.Apply(MakeRegistration("r"), Millis(0));
  const ServingReplica* before = m_set.Find("r");
  m_set.Remove("r", Millis(10000), Millis(10000));
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

}  // namespace
}  // namespace tanagervane
