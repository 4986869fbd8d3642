// Tests of ConnectionSlotTable, PeerTable, EntryDirectory and VmList.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "state/platform_model.h"
#include "tanagervane/state/entry_directory.h"
#include "tanagervane/state/peer_table.h"
#include "tanagervane/state/slot_table.h"
#include "tanagervane/state/vm_list.h"

namespace tanagervane {
namespace {

std::string Name(size_t i) {
  return "e" + std::to_string(i);
}

/// VMs that acquire connection slots. A null pointer is a VM that has stopped.
struct SlotWorld {
  SlotWorld(uint64_t seed, size_t count, uint32_t slots)
      : simulation(seed), platform(simulation), vms(count), capacity(slots) {
    for (size_t i = 0; i < count; ++i) {
      Start(i);
    }
  }

  void Start(size_t i) {
    vms[i] = std::make_unique<ConnectionSlotTable>(
        ConnectionSlotTable::Options{"g", Name(i), ++incarnation,
                                     simulation.random.Next()},
        platform.Api(), [this] { return simulation.now; },
        ConnectionSlotTable::Hooks{[](uint32_t) {}, [this] { ++lost; },
                                   [this](const std::string& id) {
                                     return vms[std::stoul(id.substr(1))] !=
                                            nullptr;
                                   }});
    vms[i]->Acquire(capacity);
  }

  void Run(Millis duration) {
    simulation.RunUntil(simulation.now + duration, [this] {
      std::set<uint32_t> held;
      std::vector<std::string> ids;
      for (size_t i = 0; i < vms.size(); ++i) {
        if (vms[i]) {
          vms[i]->OnTick(simulation.now);
          if (const auto slot = vms[i]->slot()) {
            EXPECT_TRUE(held.insert(*slot).second) << "slot " << *slot;
            EXPECT_LT(*slot, capacity);
          }
          if (simulation.random.NextDouble() >= truncation) {
            ids.push_back(Name(i));
          }
        }
      }
      for (const auto& vm : vms) {
        if (vm) {
          vm->ObserveVms(ids, simulation.now);
        }
      }
    });
  }

  size_t Holders() const {
    return std::count_if(vms.begin(), vms.end(),
                         [](const auto& vm) { return vm && vm->slot(); });
  }

  Simulation simulation;
  PlatformModel platform;
  std::vector<std::unique_ptr<ConnectionSlotTable>> vms;
  uint32_t capacity;
  uint64_t incarnation = 0;
  int lost = 0;
  double truncation = 0;
};

// Fails if two live VMs hold the same slot, which exceeds a replica's
// connection limit, or if a slot is never used again.
TEST(SlotTableTest, OneLiveHolderForEachSlot) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    SlotWorld world(seed, 5, 4);
    auto& random = world.simulation.random;
    world.platform.faults = {0.1, 0.2, 0.1, 0.2, 0.05};
    for (int step = 0; step < 25; ++step) {
      const size_t i = random.NextBelow(5);
      if (!world.vms[i]) {
        world.Start(i);
      } else if (random.NextBelow(2) == 0) {
        world.vms[i].reset();  // Killed.
      } else if (random.NextBelow(2) == 0) {
        world.vms[i]->Release(Millis(3000), [](bool) {});
        world.Run(Millis(3100));
        world.vms[i].reset();
      }
      world.truncation = random.NextBelow(4) == 0 ? 0.5 : 0;
      world.Run(Millis(random.NextDouble() * 20000));
    }
    world.truncation = 0;
    world.platform.faults = {};
    world.Run(Millis(90000));
    const size_t alive =
        std::count_if(world.vms.begin(), world.vms.end(),
                      [](const auto& vm) { return vm != nullptr; });
    EXPECT_EQ(world.Holders(), std::min<size_t>(alive, 4)) << "seed " << seed;
    EXPECT_EQ(world.lost, 0);
  }
}

// Fails if a holder calls the platform: a held slot needs no renewal.
TEST(SlotTableTest, HoldingSlotMakesNoCalls) {
  SlotWorld world(1, 4, 4);
  world.Run(Millis(5000));
  EXPECT_EQ(world.Holders(), 4U);
  const uint64_t calls = world.platform.reads + world.platform.writes;
  world.Run(Millis(120000));
  EXPECT_EQ(world.platform.reads + world.platform.writes, calls);
}

// Fails if a VM that resumes after a pause keeps a slot that another VM
// acquired meanwhile.
TEST(SlotTableTest, DetectsLostSlotAfterPause) {
  SlotWorld world(2, 2, 1);
  world.Run(Millis(3000));
  const size_t holder = world.vms[0]->slot() ? 0 : 1;
  auto paused = std::move(world.vms[holder]);
  world.Run(Millis(70000));
  EXPECT_EQ(world.Holders(), 1U);
  world.vms[1 - holder].swap(paused);  // Now only the paused VM runs.
  std::swap(world.vms[holder], world.vms[1 - holder]);
  world.Run(Millis(1000));
  EXPECT_EQ(world.Holders(), 0U);
  EXPECT_EQ(world.lost, 1);
}

/// Entries that exchange gossip over a network that loses, delays and
/// duplicates messages.
struct Gossip {
  Gossip(uint64_t seed, size_t count) : random(seed) {
    for (size_t i = 0; i < count; ++i) {
      Start(i);
    }
  }

  void Start(size_t i) {
    PeerRecord self;
    self.id = Name(i);
    self.incarnation = ++incarnation;
    self.state = PeerState::kServing;
    self.caller_address = self.peer_address = Name(i);
    self.data_centre = i % 2 == 0 ? "x" : "y";
    if (tables.size() <= i) {
      tables.resize(i + 1);
    }
    tables[i] = std::make_unique<PeerTable>(self, random.Next());
    tables[i]->SetSeedAddresses({Name(0), Name(1)});
  }

  void Round() {
    now += kGossipInterval;
    for (size_t i = 0; i < tables.size(); ++i) {
      if (!tables[i] || paused.contains(i)) {
        continue;
      }
      tables[i]->AdvanceHeartbeat(now);
      const auto targets = tables[i]->ChooseTargets(now);
      EXPECT_LE(targets.size(), 3U);
      for (const std::string& target : targets) {
        const size_t j = std::stoul(target.substr(1));
        if (!tables[j] || paused.contains(j) || random.NextDouble() < loss) {
          continue;
        }
        const auto sent = tables[i]->RecordsToSend(now, 64);
        sent_messages.emplace_back(now, sent);
        tables[j]->Merge(Name(i), sent, now);
        tables[i]->Merge(Name(j), tables[j]->RecordsToSend(now, 64), now);
        // Delivers a delayed duplicate of any age. An entry that was paused
        // gets only duplicates within the duration of a call: its table is as
        // old as older duplicates, so it cannot distinguish them from progress.
        const auto& [sent_at, records] =
            sent_messages[random.NextBelow(sent_messages.size())];
        if (!was_paused.contains(j) || now - sent_at <= Millis(1000)) {
          tables[j]->Merge("", records, now);
        }
      }
    }
  }

  bool IsAddressReturned(size_t observer, size_t subject) {
    EntryDirectory directory(*tables[observer], 1);
    const auto list = directory.Addresses("x", now).addresses;
    return std::any_of(list.begin(), list.end(),
                       [&](const auto& a) { return a.id == Name(subject); });
  }

  Random random;
  std::vector<std::unique_ptr<PeerTable>> tables;
  std::vector<std::pair<Millis, std::vector<PeerRecord>>> sent_messages;
  std::set<size_t> paused;
  std::set<size_t> was_paused;
  uint64_t incarnation = 0;
  double loss = 0;
  Millis now;
};

PeerRecord ServingPeer(size_t i, uint64_t heartbeat) {
  PeerRecord record;
  record.id = record.peer_address = Name(i);
  record.incarnation = 1;
  record.heartbeat = heartbeat;
  record.state = PeerState::kServing;
  return record;
}

// Fails if Merge() does not report a changed record, so that the caller ignores
// it, or reports one that differs only in its heartbeat, so that the caller
// does unnecessary work for most messages.
TEST(PeerTableTest, MergeReportsMoreThanHeartbeats) {
  PeerTable table(ServingPeer(0, 0), 1);
  const auto merge = [&table](const PeerRecord& record, double at) {
    return table.Merge("", std::vector{record}, Millis(at));
  };
  PeerRecord record = ServingPeer(1, 1);
  EXPECT_TRUE(merge(record, 1000)) << "new";
  EXPECT_FALSE(merge(record, 1000)) << "repeated";
  record.heartbeat = 2;
  EXPECT_TRUE(merge(record, 1100)) << "alive after its first progress";
  record.heartbeat = 3;
  EXPECT_FALSE(merge(record, 1200)) << "heartbeat only";
  record.heartbeat = 4;
  record.document_revision = 7;
  EXPECT_TRUE(merge(record, 1300)) << "revision";
  record.heartbeat = 5;
  record.state = PeerState::kLeaving;
  EXPECT_TRUE(merge(record, 1400)) << "state";
  record.heartbeat = 6;
  EXPECT_TRUE(merge(record, 9000)) << "alive again";
  record.incarnation = 2;
  record.state = PeerState::kServing;
  EXPECT_TRUE(merge(record, 9100)) << "restarted";
}

// Fails if some peers are never included in gossip messages, or if a leaving
// peer is omitted for lack of space.
TEST(PeerTableTest, SendsEveryPeerAndLeavingPeersFirst) {
  PeerTable table(ServingPeer(0, 0), 1);
  for (size_t i = 1; i <= 200; ++i) {
    PeerRecord record = ServingPeer(i, 1);
    record.state = i == 77 ? PeerState::kLeaving : PeerState::kServing;
    table.Merge(record.id, std::vector{record}, Millis(1000));
  }
  std::set<std::string> sent;
  std::set<std::string> targets;
  for (int round = 0; round < 200; ++round) {
    const auto records = table.RecordsToSend(Millis(1000), 16);
    ASSERT_EQ(records.size(), 16U);
    EXPECT_EQ(records[0].id, Name(0));
    EXPECT_EQ(records[1].id, Name(77));
    std::set<std::string> ids;
    for (const PeerRecord& record : records) {
      EXPECT_TRUE(ids.insert(record.id).second) << record.id << " twice";
    }
    sent.insert(ids.begin(), ids.end());
    const auto chosen = table.ChooseTargets(Millis(1000));
    EXPECT_EQ(std::set(chosen.begin(), chosen.end()).size(), 3U);
    targets.insert(chosen.begin(), chosen.end());
  }
  EXPECT_EQ(sent.size(), 201U);
  EXPECT_GT(targets.size(), 150U);
  EXPECT_EQ(table.RecordsToSend(Millis(1000), 1).size(), 1U);
}

// Fails if callers get the address of an entry that has left, crashed or is
// paused, or if old gossip makes such an entry alive again.
TEST(PeerTableTest, OmitsLeftAndUnresponsivePeersFromAddresses) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    Gossip gossip(seed, 8);
    gossip.loss = 0.2;
    for (int i = 0; i < 24; ++i) {
      gossip.Round();
    }
    for (size_t subject = 0; subject < 8; ++subject) {
      EXPECT_TRUE(gossip.IsAddressReturned(2, subject)) << "seed " << seed;
    }
    gossip.tables[5]->SetState(PeerState::kLeaving);
    gossip.tables[5]->SetState(PeerState::kServing);
    gossip.tables[6].reset();
    gossip.paused.insert(4);
    gossip.was_paused.insert(4);
    for (int i = 0; i < 400; ++i) {
      gossip.Round();
      if (i == 100) {
        gossip.tables[5].reset();
      }
      if (i == 200) {
        gossip.paused.clear();
        EXPECT_FALSE(gossip.IsAddressReturned(4, 5))
            << "resumed entry, seed " << seed;
      }
      if (gossip.now - Millis(24 * 250) <=
          kLeavePropagationDelay + kGossipInterval) {
        continue;
      }
      for (size_t observer : {0, 1, 2, 3, 4, 7}) {
        if (!gossip.paused.contains(observer)) {
          EXPECT_FALSE(gossip.IsAddressReturned(observer, 5))
              << "seed " << seed << " " << i;
          EXPECT_FALSE(gossip.IsAddressReturned(observer, 6))
              << "seed " << seed << " " << i;
        }
      }
    }
    EXPECT_TRUE(gossip.IsAddressReturned(0, 4)) << "seed " << seed;
    EXPECT_FALSE(gossip.tables[0]->Find(Name(6), gossip.now).has_value());
    gossip.Start(5);
    gossip.Start(6);
    for (int i = 0; i < 24; ++i) {
      gossip.Round();
    }
    EXPECT_TRUE(gossip.IsAddressReturned(0, 5)) << "seed " << seed;
    EXPECT_TRUE(gossip.IsAddressReturned(0, 6)) << "seed " << seed;
  }
}

// Fails if gossip from before a pause of this process makes a peer alive that
// may have left or died during the pause.
TEST(PeerTableTest, GossipFromBeforePauseIsNoProgress) {
  PeerRecord self;
  self.id = "a";
  PeerTable table(self, 1);
  PeerRecord peer;
  peer.id = "b";
  peer.state = PeerState::kServing;
  const auto receive = [&](double at) {
    ++peer.heartbeat;
    table.Merge("b", std::vector{peer}, Millis(at));
  };
  table.AdvanceHeartbeat(Millis(1000));
  receive(1000);
  EXPECT_EQ(table.Serving(Millis(1000)).size(), 1u);
  table.AdvanceHeartbeat(Millis(9000));
  receive(9001);  // Sent before the pause.
  EXPECT_EQ(table.Find("b", Millis(9001))->liveness, Liveness::kSuspected);
  EXPECT_TRUE(table.Serving(Millis(9001)).empty());
  table.AdvanceHeartbeat(Millis(9600));
  receive(9600);
  EXPECT_EQ(table.Serving(Millis(9600)).size(), 1u);
}

// Fails if callers all get the same first entry, or entries of other data
// centres before those of their own.
TEST(EntryDirectoryTest, ListsLocalEntriesFirstInRandomOrder) {
  Gossip gossip(1, 8);
  for (int i = 0; i < 24; ++i) {
    gossip.Round();
  }
  EntryDirectory directory(*gossip.tables[0], 3);
  std::map<std::string, int> first;
  for (int i = 0; i < 400; ++i) {
    const auto list = directory.Addresses("y", gossip.now).addresses;
    ASSERT_EQ(list.size(), 8U);
    for (size_t k = 0; k < 8; ++k) {
      EXPECT_EQ(list[k].data_centre, k < 4 ? "y" : "x");
    }
    ++first[list[0].id];
  }
  EXPECT_EQ(first.size(), 4U);
  for (const auto& [id, count] : first) {
    EXPECT_GT(count, 60);
  }
  // A caller may send a request until the address lifetime ends, and the
  // request may then take the maximum duration.
  EXPECT_EQ(EntryDirectory::ServeUntil(Millis(100), Millis(900)),
            Millis(100 + 2000 + 5000 + 900));
}

VmSnapshot Snapshot(uint64_t version, size_t count) {
  VmSnapshot snapshot;
  snapshot.version = version;
  for (size_t i = 0; i < count; ++i) {
    snapshot.vms.push_back(
        {Name(i), VmRole::kBackendServer, VmState::kLive, "a", "x", "index"});
  }
  return snapshot;
}

// Fails if one empty list removes backend servers that still answer.
TEST(VmListTest, EmptyListRemovesOnlyFailingServers) {
  VmList list;
  EXPECT_EQ(list.Apply(Snapshot(1, 10), Millis(0)).added.size(), 10U);
  EXPECT_TRUE(list.Apply(Snapshot(2, 0), Millis(1000)).empty());
  list.OnCallResult(Name(3), false, Millis(1500));
  list.OnCallResult(Name(4), false, Millis(1500));
  list.OnCallResult(Name(4), true, Millis(1600));
  EXPECT_TRUE(list.OnTick(Millis(10999)).empty());
  const VmDiff diff = list.OnTick(Millis(11000));
  ASSERT_EQ(diff.removed.size(), 1U);
  EXPECT_EQ(diff.removed[0].id, Name(3));
  EXPECT_TRUE(list.OnTick(Millis(1e7)).empty());
  EXPECT_EQ(list.Apply(Snapshot(3, 10), Millis(1e7)).added.size(), 1U);
}

// Fails if a server that the platform removed is kept forever.
TEST(VmListTest, RemovesUncalledServerMissingFromPlausibleList) {
  VmList list;
  list.Apply(Snapshot(1, 10), Millis(0));
  list.Apply(Snapshot(2, 9), Millis(1000));
  EXPECT_EQ(list.NextTimer(), Millis(61000));
  EXPECT_EQ(list.OnTick(Millis(61000)).removed.size(), 1U);
}

// Fails if a stale list makes a leaving server live again, or if lists are
// ignored forever after the platform restarted its version numbers.
TEST(VmListTest, IgnoresLowerVersionsFor30Seconds) {
  VmList list;
  list.Apply(Snapshot(7, 2), Millis(0));
  VmSnapshot leaving = Snapshot(8, 2);
  leaving.vms[1].state = VmState::kLeaving;
  EXPECT_EQ(list.Apply(leaving, Millis(1)).leaving.size(), 1U);
  EXPECT_TRUE(list.Apply(Snapshot(7, 3), Millis(2)).empty());
  EXPECT_EQ(list.version(), 8U);
  EXPECT_EQ(list.Apply(Snapshot(1, 3), Millis(30002)).added.size(), 1U);
  EXPECT_EQ(list.version(), 1U);
}

}  // namespace
}  // namespace tanagervane
