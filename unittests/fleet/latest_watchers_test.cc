#include "tanagervane/fleet/latest_watchers.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace tanagervane {
namespace {

PeerRecord Record(const std::string& id, const std::string& data_centre) {
  PeerRecord record;
  record.id = id;
  record.data_centre = data_centre;
  record.state = PeerState::kServing;
  return record;
}

/// Returns the ids of the VMs that watch when all see the same fleet.
std::vector<std::string> Watchers(const std::vector<PeerTable::Peer>& fleet) {
  std::vector<std::string> ids;
  for (const PeerTable::Peer& self : fleet) {
    std::vector<PeerTable::Peer> others;
    for (const PeerTable::Peer& peer : fleet) {
      if (peer.record.id != self.record.id) {
        others.push_back(peer);
      }
    }
    if (WatchesLatest(self.record, others)) {
      ids.push_back(self.record.id);
    }
  }
  return ids;
}

using Ids = std::vector<std::string>;

// Neither all VMs nor none may watch the latest state.
TEST(LatestWatchersTest, OneVmOfEachDataCentreWatches) {
  std::vector<PeerTable::Peer> fleet;
  for (const char* id : {"a1", "a2", "a3", "b1", "b2", "c1", "c2"}) {
    fleet.push_back({Record(id, std::string(1, id[0])), Liveness::kAlive, {}});
  }
  EXPECT_EQ(Watchers(fleet), (Ids{"a1", "b1", "c1"}));
}

// Guards against VMs that go by stale reads for seconds because the only VM
// that watches is cut off from the store and has not noticed it.
TEST(LatestWatchersTest, SeveralVmsWatchInFewDataCentres) {
  std::vector<PeerTable::Peer> fleet;
  for (const char* id : {"a1", "a2", "a3", "a4"}) {
    fleet.push_back({Record(id, "a"), Liveness::kAlive, {}});
  }
  EXPECT_EQ(Watchers(fleet), (Ids{"a1", "a2", "a3"}));
  for (const char* id : {"b1", "b2", "b3"}) {
    fleet.push_back({Record(id, "b"), Liveness::kAlive, {}});
  }
  EXPECT_EQ(Watchers(fleet), (Ids{"a1", "a2", "b1", "b2"}));
  // A data centre without a VM that reaches the store has no watchers.
  for (size_t i = 0; i < 4; ++i) {
    fleet[i].record.store_reachable = false;
  }
  EXPECT_EQ(Watchers({fleet.begin() + 4, fleet.end()}),
            (Ids{"b1", "b2", "b3"}));
}

// A watcher that fails, leaves or loses the store must be replaced.
TEST(LatestWatchersTest, AnotherVmReplacesAFailedWatcher) {
  std::vector<PeerTable::Peer> fleet;
  for (const char* id : {"a1", "a2", "a3", "b1", "c1"}) {
    fleet.push_back({Record(id, std::string(1, id[0])), Liveness::kAlive, {}});
  }
  fleet[0].liveness = Liveness::kSuspected;
  EXPECT_EQ(Watchers(fleet), (Ids{"a1", "a2", "b1", "c1"}))
      << "a suspected VM may still watch";
  fleet[0].liveness = Liveness::kAlive;
  fleet[0].record.store_reachable = false;
  EXPECT_EQ(Watchers(fleet), (Ids{"a1", "a2", "b1", "c1"}));
  fleet[1].record.state = PeerState::kLeaving;
  EXPECT_EQ(Watchers(fleet), (Ids{"a1", "a2", "a3", "b1", "c1"}));
}

// Guards against a time in which no VM of a data centre watches, because the
// others leave the role to a process that was killed and has just started again
// (review/7).
TEST(LatestWatchRoleTest, RestartedProcessTakesNoRole) {
  std::vector<PeerTable::Peer> others = {
      {Record("a1", "a"), Liveness::kAlive, {}},
      {Record("b1", "b"), Liveness::kAlive, {}},
      {Record("c1", "c"), Liveness::kAlive, {}}};
  LatestWatchRole role(Millis(0), Millis(1500));
  const auto watches = [&](Millis now) {
    return role.Update(Record("a2", "a"), others, now) != WatchRole::kNone;
  };
  EXPECT_FALSE(watches(Millis(250)));
  EXPECT_FALSE(watches(Millis(10'000)));
  // The peer is back before it was suspected.
  others[0].record.incarnation = 2;
  EXPECT_TRUE(watches(Millis(10'250)));
  EXPECT_TRUE(watches(Millis(14'000)));
  EXPECT_FALSE(watches(Millis(15'000)));
}

// Guards against a role that is taken before the other VMs are known, that is
// never taken, or that two VMs take after a common start.
TEST(LatestWatchRoleTest, FirstVmTakesTheRoleAfterACommonStart) {
  const std::vector<PeerTable::Peer> others = {
      {Record("a1", "a"), Liveness::kAlive, {}},
      {Record("b1", "b"), Liveness::kAlive, {}},
      {Record("c1", "c"), Liveness::kAlive, {}}};
  const std::vector<PeerTable::Peer> others_of_a1 = {
      {Record("a2", "a"), Liveness::kAlive, {}}, others[1], others[2]};
  LatestWatchRole a1(Millis(0), Millis(1500));
  LatestWatchRole a2(Millis(0), Millis(1500));
  for (int round = 1; round < 40; ++round) {
    const Millis now = kGossipInterval * round;
    EXPECT_EQ(a1.Update(Record("a1", "a"), others_of_a1, now),
              now >= Millis(1500) ? WatchRole::kLeader : WatchRole::kNone);
    EXPECT_EQ(a2.Update(Record("a2", "a"), others, now), WatchRole::kNone);
  }
}

// Guards against a role that nobody holds in the first seconds after all
// processes were killed: a VM that knows the others from the list settles
// sooner.
TEST(LatestWatchRoleTest, KnownFleetSettlesSooner) {
  const std::vector<PeerTable::Peer> others = {
      {Record("a2", "a"), Liveness::kAlive, {}}};
  LatestWatchRole role(Millis(0), Millis(4000));
  const auto watches = [&](Millis now) {
    return role.Update(Record("a1", "a"), others, now) != WatchRole::kNone;
  };
  EXPECT_FALSE(watches(Millis(250)));
  role.SettleBy(Millis(1500));
  EXPECT_FALSE(watches(Millis(1250)));
  EXPECT_TRUE(watches(Millis(1500)));
  role.SettleBy(Millis(5000));
  EXPECT_TRUE(watches(Millis(1750)));
}

// Guards against checks by the watchers of all data centres, each of which
// costs the store a read of the latest state, and against checks by none.
TEST(LatestWatchRoleTest, OneWatcherLeadsTheFleet) {
  std::vector<PeerTable::Peer> others = {
      {Record("a1", "a"), Liveness::kAlive, {}},
      {Record("b2", "b"), Liveness::kAlive, {}}};
  LatestWatchRole role(Millis(0), Millis(0));
  const PeerRecord self = Record("b1", "b");
  EXPECT_EQ(role.Update(self, others, Millis(1)), WatchRole::kLatest);
  others[0].liveness = Liveness::kSuspected;
  EXPECT_EQ(role.Update(self, others, Millis(2)), WatchRole::kLeader);
  others[0].liveness = Liveness::kAlive;
  others[0].record.store_reachable = false;
  EXPECT_EQ(role.Update(self, others, Millis(3)), WatchRole::kLeader);
}

TEST(LatestWatchersTest, VmWithoutPeersWatches) {
  EXPECT_TRUE(WatchesLatest(Record("z", "a"), {}));
}

}  // namespace
}  // namespace tanagervane
