// Tests of DocumentTracker and DocumentPublisher with platform faults.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "state/platform_model.h"
#include "tanagervane/state/document_publisher.h"
#include "tanagervane/state/document_tracker.h"
#include "tanagervane/support/error.h"

namespace tanagervane {
namespace {

absl::StatusOr<Document> Parse(std::string_view text) {
  if (text.substr(0, 7) == "invalid") {
    return MakeError(ErrorCode::kInvalidDocument, "invalid");
  }
  Document document;
  document.team = std::string(text);
  return document;
}

StoredDocument Stored(uint64_t revision, std::string text = "t") {
  return {revision, std::move(text), "a", WallMillis{1}, "w"};
}

/// Entries that exchange their revisions every 250 ms.
struct Fleet {
  Fleet(uint64_t seed, size_t entries)
      : simulation(seed), platform(simulation) {
    for (size_t i = 0; i < entries; ++i) {
      Add(true);
    }
  }

  std::string Name(size_t i) const { return "e" + std::to_string(i); }

  void Add(bool is_serving) {
    const size_t index = trackers.size();
    accepted_revisions.push_back(0);
    serving.push_back(is_serving);
    trackers.push_back(std::make_unique<DocumentTracker>(
        DocumentTracker::Options{"team", Name(index), simulation.random.Next()},
        platform.Api(), Parse, [this] { return simulation.now; },
        DocumentTracker::Hooks{
            [this, index](const DocumentTracker::AcceptedDocument& accepted) {
              EXPECT_GT(accepted.stored.revision, accepted_revisions[index]);
              accepted_revisions[index] = accepted.stored.revision;
            },
            [this](std::string peer, uint64_t newer, auto done) {
              ++fetches;
              simulation.After(Millis(2), [this, peer, newer, done] {
                const size_t i = std::stoul(peer.substr(1));
                if (peers_down) {
                  done(false, std::nullopt);
                } else {
                  done(true, trackers[i]->NewerThan(newer));
                }
              });
            }}));
    publishers.push_back(std::make_unique<DocumentPublisher>(
        "team", platform.Api(), Parse, [this] { return simulation.now; },
        [this, index] { return trackers[index]->revision(); },
        simulation.random.Next()));
  }

  void Gossip() {
    for (size_t i = 0; i < trackers.size(); ++i) {
      std::vector<DocumentTracker::Peer> peers;
      for (size_t j = 0; j < trackers.size(); ++j) {
        if (i != j) {
          peers.push_back({Name(j), serving[j], trackers[j]->revision()});
        }
      }
      trackers[i]->SetPeers(peers, serving[i]);
    }
  }

  void Run(Millis duration) {
    simulation.RunUntil(simulation.now + duration, [this] {
      if (simulation.now >= next_gossip) {
        next_gossip = simulation.now + Millis(250);
        Gossip();
      }
      for (size_t i = 0; i < trackers.size(); ++i) {
        trackers[i]->OnTick(simulation.now);
        publishers[i]->OnTick(simulation.now);
        EXPECT_EQ(trackers[i]->revision(), accepted_revisions[i]);
      }
    });
  }

  void Publish(size_t entry, std::string text, uint64_t base) {
    const size_t index = results.size();
    results.emplace_back();
    publishers[entry]->Publish({std::move(text), base, "a", WallMillis{1}},
                               [this, index, entry](const PublishResult& r) {
                                 EXPECT_FALSE(results[index].has_value());
                                 results[index] = r;
                                 if (r.status.ok()) {
                                   trackers[entry]->AcceptIfNewer(r.stored,
                                                                  "self");
                                 }
                               });
  }

  Simulation simulation;
  PlatformModel platform;
  std::vector<std::unique_ptr<DocumentTracker>> trackers;
  std::vector<std::unique_ptr<DocumentPublisher>> publishers;
  std::vector<uint64_t> accepted_revisions;
  std::vector<bool> serving;
  std::vector<std::optional<PublishResult>> results;
  bool peers_down = false;
  uint64_t fetches = 0;
  Millis next_gossip;
};

// Fails if two publications of one revision succeed, if a write that took
// effect is reported as kNotRun, or if an entry reverts to an earlier revision
// or does not reach the latest.
TEST(DocumentTest, OneConcurrentPublicationSucceedsAndAllEntriesFollow) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Fleet fleet(seed, 4);
    auto& random = fleet.simulation.random;
    fleet.platform.faults = {0.1, 0.2, 0.1, 0.2, 0.03};
    uint64_t base = 0;
    std::map<uint64_t, std::string> accepted;
    for (int round = 0; round < 8; ++round) {
      const size_t first = fleet.results.size();
      const size_t operators = 1 + random.NextBelow(3);
      for (size_t i = 0; i < operators; ++i) {
        fleet.Publish(random.NextBelow(4),
                      "r" + std::to_string(round) + "-" + std::to_string(i),
                      base);
      }
      fleet.Run(Millis(8100));
      int successes = 0;
      for (size_t i = first; i < fleet.results.size(); ++i) {
        ASSERT_TRUE(fleet.results[i].has_value()) << "seed " << seed;
        successes += fleet.results[i]->status.ok() ? 1 : 0;
      }
      EXPECT_LE(successes, 1) << "seed " << seed;
      const PlatformObject* object = fleet.platform.Find("document/team");
      if (!object) {
        continue;
      }
      const auto stored = ParseStoredDocument(object->value);
      ASSERT_TRUE(stored.ok());
      for (size_t i = first; i < fleet.results.size(); ++i) {
        const std::string text =
            "r" + std::to_string(round) + "-" + std::to_string(i - first);
        if (fleet.results[i]->status.ok()) {
          EXPECT_EQ(stored->text, text) << "seed " << seed;
        }
        if (fleet.results[i]->outcome == Outcome::kNotRun) {
          EXPECT_NE(stored->text, text) << "seed " << seed;
        }
      }
      base = stored->revision;
    }
    fleet.platform.faults = {};
    fleet.Run(Millis(5000));
    for (const auto& tracker : fleet.trackers) {
      EXPECT_EQ(tracker->revision(), base) << "seed " << seed;
    }
  }
}

// Fails if two concurrent publications both succeed or both fail although the
// platform has no faults.
TEST(DocumentTest, OneOfTwoPublicationsSucceeds) {
  Fleet fleet(1, 2);
  fleet.Publish(0, "x", 0);
  fleet.Publish(1, "y", 0);
  fleet.Run(Millis(1000));
  const bool first = fleet.results[0]->status.ok();
  EXPECT_NE(first, fleet.results[1]->status.ok());
  const PublishResult& failed = *fleet.results[first ? 1 : 0];
  EXPECT_EQ(GetErrorCode(failed.status), ErrorCode::kConflict);
  EXPECT_EQ(failed.outcome, Outcome::kNotRun);
  EXPECT_EQ(failed.revision, 1U);
  EXPECT_TRUE(fleet.results[first ? 0 : 1]->history_written);
  EXPECT_NE(fleet.platform.Find("history/team-1"), nullptr);
}

// Fails if the document reverts, or a revision number is used twice, after the
// platform object was deleted and written again.
TEST(DocumentTest, WipedObjectDoesNotRevertDocument) {
  Fleet fleet(2, 4);
  fleet.platform.Set("document/team", FormatStoredDocument(Stored(7, "new")));
  fleet.Run(Millis(2000));
  fleet.platform.Erase("document/team");
  fleet.Run(Millis(40000));
  fleet.platform.Set("document/team", FormatStoredDocument(Stored(3, "old")));
  fleet.Run(Millis(40000));
  EXPECT_EQ(fleet.trackers[0]->revision(), 7U);
  fleet.Publish(0, "next", 7);
  fleet.Run(Millis(3000));
  EXPECT_EQ(fleet.results[0]->revision, 8U);
  for (const auto& tracker : fleet.trackers) {
    EXPECT_EQ(tracker->revision(), 8U);
  }
}

// Fails if an entry that lags behind reuses a revision number after the
// platform object was deleted, so that one revision has two texts.
TEST(DocumentTest, LaggingEntryDoesNotReuseRevisionOfWipedObject) {
  Fleet fleet(3, 1);
  fleet.Publish(0, "one", 0);
  fleet.Run(Millis(1000));
  fleet.Publish(0, "two", 1);
  fleet.Run(Millis(1000));
  ASSERT_EQ(fleet.trackers[0]->revision(), 2U);
  fleet.platform.Erase("document/team");
  DocumentPublisher lagging(
      "team", fleet.platform.Api(), Parse, [&] { return fleet.simulation.now; },
      [] { return 1; }, 5);
  std::optional<PublishResult> result;
  lagging.Publish({"other", 1, "b", WallMillis{1}},
                  [&](const PublishResult& done) { result = done; });
  fleet.Run(Millis(1000));
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(GetErrorCode(result->status), ErrorCode::kConflict);
  EXPECT_EQ(result->outcome, Outcome::kNotRun);
  EXPECT_EQ(result->revision, 2U);
}

// Fails if an invalid document comes into force or is fetched in a loop.
TEST(DocumentTest, InvalidDocumentIsRefusedOnce) {
  Fleet fleet(3, 4);
  fleet.platform.Set("document/team", FormatStoredDocument(Stored(1)));
  fleet.Run(Millis(2000));
  fleet.platform.Set("document/team",
                     FormatStoredDocument(Stored(2, "invalid")));
  fleet.Run(Millis(35000));
  for (const auto& tracker : fleet.trackers) {
    EXPECT_EQ(tracker->revision(), 1U);
    ASSERT_TRUE(tracker->last_invalid().has_value());
    EXPECT_EQ(tracker->last_invalid()->revision, 2U);
  }
  fleet.platform.Set("document/team", "{}");
  const uint64_t reads = fleet.platform.reads;
  fleet.Run(Millis(30000));
  EXPECT_LT(fleet.platform.reads - reads, 20U);
  fleet.Publish(0, "invalid", 1);
  EXPECT_EQ(GetErrorCode(fleet.results[0]->status),
            ErrorCode::kInvalidDocument);
}

// Fails if every entry watches the platform, which would overload it.
TEST(DocumentTest, TwoServingEntriesWatch) {
  Fleet fleet(4, 12);
  fleet.serving[3] = false;
  fleet.platform.Set("document/team", FormatStoredDocument(Stored(1)));
  fleet.Run(Millis(2000));
  const auto watchers =
      std::count_if(fleet.trackers.begin(), fleet.trackers.end(),
                    [](const auto& t) { return t->watches_platform(); });
  EXPECT_EQ(watchers, 2);
  EXPECT_FALSE(fleet.trackers[3]->watches_platform());
}

// Fails if an entry becomes ready with an old document or without one.
TEST(DocumentTest, ReadyRequiresPlatformOrServingPeer) {
  Fleet fleet(5, 0);
  fleet.Add(false);
  fleet.Run(Millis(3000));
  EXPECT_FALSE(fleet.trackers[0]->ready());
  fleet.platform.Set("document/team", FormatStoredDocument(Stored(4)));
  fleet.Run(Millis(3000));
  EXPECT_TRUE(fleet.trackers[0]->ready());

  fleet.platform.faults.down = 1;
  fleet.Add(false);
  fleet.Run(Millis(5000));
  EXPECT_EQ(fleet.trackers[1]->revision(), 4U);
  EXPECT_FALSE(fleet.trackers[1]->ready()) << "no serving peer answered";
  fleet.serving[0] = true;
  fleet.Run(Millis(5000));
  EXPECT_TRUE(fleet.trackers[1]->ready());

  // The platform has an old revision; the entry must fetch the highest revision
  // of a peer before it is ready.
  fleet.platform.faults.down = 0;
  fleet.trackers[0]->AcceptIfNewer(Stored(9), "test");
  fleet.Add(false);
  bool was_ready = false;
  for (int i = 0; i < 200; ++i) {
    fleet.Run(Millis(10));
    if (fleet.trackers[2]->ready() && !was_ready) {
      was_ready = true;
      EXPECT_EQ(fleet.trackers[2]->revision(), 9U);
    }
  }
  EXPECT_TRUE(was_ready);
}

// Fails if entries call the platform without backoff during an outage.
TEST(DocumentTest, BacksOffDuringOutage) {
  Fleet fleet(6, 4);
  fleet.platform.faults.down = 1;
  fleet.Run(Millis(10000));
  EXPECT_LT(fleet.platform.reads, 120U);
  EXPECT_GT(fleet.platform.reads, 8U);
}

}  // namespace
}  // namespace tanagervane
