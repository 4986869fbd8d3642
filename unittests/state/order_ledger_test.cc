#include "tanagervane/state/order_ledger.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state/platform_model.h"

namespace tanagervane {
namespace {

constexpr int64_t kWallClockStart = 1'000'000'000'000;
using ResultKind = ClaimResult::Kind;

/// Entries that share a simulated platform, each with its own OrderLedger.
struct World {
  explicit World(uint64_t seed, int entries)
      : simulation(seed), platform(simulation), paused_until(entries) {
    for (int i = 0; i < entries; ++i) {
      ledgers.emplace_back();
      Start(i);
    }
  }

  void Start(int entry) {
    ledgers[entry] = std::make_unique<OrderLedger>(
        OrderLedger::Options{"team", "e" + std::to_string(entry), ++incarnation,
                             simulation.random.Next()},
        DelayWhilePaused(entry, platform.Api()),
        [this] { return simulation.now; },
        [this] {
          return WallMillis{kWallClockStart + wall_clock_shift +
                            static_cast<int64_t>(simulation.now.count())};
        });
  }

  /// Wraps `api` so that replies to a paused entry arrive when it resumes.
  PlatformApi DelayWhilePaused(int entry, PlatformApi api) {
    const auto delay = [this, entry](auto done) -> PlatformApi::ObjectDone {
      return [this, entry, done](PlatformResult result, PlatformObject object) {
        simulation.After(
            std::max(Millis(), paused_until[entry] - simulation.now),
            [=] { done(result, object); });
      };
    };
    PlatformApi wrapped = api;
    wrapped.get = [=](auto kind, auto name, auto done) {
      api.get(kind, name, delay(done));
    };
    wrapped.put = [=](auto kind, auto name, auto version, auto value,
                      auto done) {
      api.put(kind, name, version, value, delay(done));
    };
    return wrapped;
  }

  void Run(Millis duration) {
    simulation.RunUntil(simulation.now + duration, [this] {
      for (size_t i = 0; i < ledgers.size(); ++i) {
        if (simulation.now >= paused_until[i]) {
          ledgers[i]->OnTick(simulation.now);
        }
      }
    });
  }

  ClaimResult Claim(int entry, const OrderKey& key, uint64_t digest = 1) {
    ClaimResult result;
    int calls = 0;
    ledgers[entry]->Claim(key, digest, simulation.now + Millis(2500),
                          [&](const ClaimResult& r) {
                            result = r;
                            ++calls;
                          });
    Run(Millis(3000));
    EXPECT_EQ(calls, 1);
    return result;
  }

  Simulation simulation;
  PlatformModel platform;
  std::vector<Millis> paused_until;
  uint64_t incarnation = 0;
  int64_t wall_clock_shift = 0;
  std::vector<std::unique_ptr<OrderLedger>> ledgers;
};

OrderKey Key(const std::string& key) {
  return {key, WallMillis{kWallClockStart}};
}

// Fails if two entries send the same order, or one entry sends it twice, when
// replies are lost, writes take effect late, and entries pause or restart.
TEST(OrderLedgerTest, SendsEachKeyAtMostOnce) {
  for (uint64_t seed = 1; seed <= 150; ++seed) {
    World world(seed, 3);
    auto& random = world.simulation.random;
    world.platform.faults = {0.1, 0.2, 0.1, 0.2, 0.05};
    std::map<std::string, int> sent;
    // The entry that answers each claim, and the number of its answers.
    std::vector<std::pair<int, int>> answers;
    for (int step = 0; step < 120; ++step) {
      const int entry = static_cast<int>(random.NextBelow(3));
      const std::string name = "k" + std::to_string(random.NextBelow(25));
      const Millis deadline =
          world.simulation.now + Millis(500 + random.NextDouble() * 4000);
      OrderLedger* ledger = world.ledgers[entry].get();
      const size_t claim = answers.size();
      answers.emplace_back(entry, 0);
      ledger->Claim(Key(name), 1, deadline,
                    [&, ledger, name, claim, deadline](const ClaimResult& r) {
                      ++answers[claim].second;
                      if (r.kind != ResultKind::kGranted) {
                        return;
                      }
                      EXPECT_LT(world.simulation.now, deadline);
                      if (random.NextBelow(4) == 0) {
                        ledger->Release(Key(name));  // Never sent.
                        return;
                      }
                      ++sent[name];
                      if (random.NextBelow(4) != 0) {
                        ledger->RecordResult(Key(name), "result of " + name);
                      } else {
                        ledger->MarkOutcomeUnknown(Key(name));
                      }
                    });
      world.Run(Millis(random.NextDouble() * 300));
      if (random.NextBelow(20) == 0) {
        world.paused_until[random.NextBelow(3)] =
            world.simulation.now + Millis(random.NextDouble() * 6000);
      }
      if (random.NextBelow(30) == 0) {
        const int restarted = static_cast<int>(random.NextBelow(3));
        world.ledgers[restarted].reset();
        world.Start(restarted);
        for (auto& [owner, count] : answers) {
          EXPECT_LE(count, 1);
          // A stopped entry answers none of its claims.
          count = owner == restarted ? 1 : count;
        }
      }
    }
    world.platform.faults = {};
    world.Run(Millis(15000));
    for (const auto& [name, count] : sent) {
      EXPECT_EQ(count, 1) << "seed " << seed << " key " << name;
    }
    for (const auto& [owner, count] : answers) {
      EXPECT_EQ(count, 1) << "seed " << seed;
    }
    EXPECT_FALSE(sent.empty());
    for (const auto& [name, count] : sent) {
      const ClaimResult r = world.Claim(0, Key(name));
      EXPECT_TRUE(r.kind == ResultKind::kAlreadyDone ||
                  r.kind == ResultKind::kOutcomeUnknown);
      if (r.kind == ResultKind::kAlreadyDone) {
        EXPECT_EQ(r.result, "result of " + name);
      }
    }
  }
}

// Fails if a claim is refused because the reply to its successful write was
// lost.
TEST(OrderLedgerTest, ReadsBackAfterLostReply) {
  World world(1, 1);
  world.platform.faults.lost_reply = 1;
  EXPECT_EQ(world.Claim(0, Key("a")).kind, ResultKind::kGranted);
}

// Fails if a duplicate is granted again or does not get the recorded result.
TEST(OrderLedgerTest, DuplicatesShareOneResult) {
  World world(2, 2);
  EXPECT_EQ(world.Claim(0, Key("a")).kind, ResultKind::kGranted);
  EXPECT_EQ(world.Claim(1, Key("a")).kind, ResultKind::kOutcomeUnknown);
  std::string joined;
  world.ledgers[0]->Claim(Key("a"), 1, world.simulation.now + Millis(1000),
                          [&](const ClaimResult& r) { joined = r.result; });
  world.ledgers[0]->RecordResult(Key("a"), "r\xff\"%");
  EXPECT_EQ(joined, "r\xff\"%");
  // The write of a result is delayed by up to 200 ms to share that of a claim.
  world.Run(Millis(300));
  EXPECT_EQ(world.Claim(1, Key("a")).result, "r\xff\"%");
  const ClaimResult reused = world.Claim(1, Key("a"), 2);
  EXPECT_EQ(GetErrorCode(reused.status), ErrorCode::kIdempotencyKeyReused);
  EXPECT_EQ(reused.outcome, Outcome::kNotRun);
}

// Fails if a result is lost because the platform was unavailable when the order
// finished.
TEST(OrderLedgerTest, RecordsResultAfterOutage) {
  World world(3, 2);
  EXPECT_EQ(world.Claim(0, Key("a")).kind, ResultKind::kGranted);
  world.platform.faults.down = 1;
  world.ledgers[0]->RecordResult(Key("a"), "r");
  world.Run(Millis(20000));
  const ClaimResult refused = world.Claim(1, Key("b"));
  EXPECT_EQ(GetErrorCode(refused.status), ErrorCode::kPlatformUnavailable);
  EXPECT_EQ(refused.outcome, Outcome::kNotRun);
  world.platform.faults.down = 0;
  world.Run(Millis(3000));
  EXPECT_EQ(world.Claim(1, Key("a")).result, "r");
}

// Fails if an entry that was paused past the deadline is still granted its
// claim, or does not release it.
TEST(OrderLedgerTest, ReleasesClaimAfterPausePastDeadline) {
  World world(4, 2);
  ClaimResult late;
  world.ledgers[0]->Claim(Key("a"), 1, Millis(500),
                          [&](const ClaimResult& r) { late = r; });
  world.paused_until[0] = Millis(1500);
  world.Run(Millis(3000));
  EXPECT_EQ(late.kind, ResultKind::kRefused);
  EXPECT_EQ(late.outcome, Outcome::kNotRun);
  EXPECT_EQ(world.Claim(1, Key("a")).kind, ResultKind::kGranted);
}

// Fails if a released claim still blocks its key, or if a waiting duplicate is
// not answered.
TEST(OrderLedgerTest, DuplicateReplacesReleasedClaim) {
  World world(5, 1);
  EXPECT_EQ(world.Claim(0, Key("a")).kind, ResultKind::kGranted);
  ResultKind joined = ResultKind::kRefused;
  world.ledgers[0]->Claim(Key("a"), 1, world.simulation.now + Millis(1000),
                          [&](const ClaimResult& r) { joined = r.kind; });
  world.ledgers[0]->Release(Key("a"));
  world.Run(Millis(500));
  EXPECT_EQ(joined, ResultKind::kGranted);
}

// Fails if each order causes its own write to the platform.
TEST(OrderLedgerTest, WaitingClaimsShareAWrite) {
  World world(6, 1);
  int granted = 0;
  for (int i = 0; i < 400; ++i) {
    world.ledgers[0]->Claim(Key("k" + std::to_string(i)), 1, Millis(2000),
                            [&](const ClaimResult& r) {
                              granted += r.kind == ResultKind::kGranted ? 1 : 0;
                            });
  }
  world.Run(Millis(1000));
  EXPECT_EQ(granted, 400);
  EXPECT_LE(world.platform.writes, 16U);
}

// Fails if each result causes its own write to the platform, or if
// HasPendingWrites() does not report results that are not yet written.
TEST(OrderLedgerTest, ResultsShareAWrite) {
  World world(8, 1);
  std::vector<OrderKey> granted;
  for (int i = 0; i < 400; ++i) {
    const OrderKey key = Key("k" + std::to_string(i));
    world.ledgers[0]->Claim(key, 1, Millis(2000), [&, key](const auto& r) {
      if (r.kind == ResultKind::kGranted) {
        granted.push_back(key);
      }
    });
  }
  world.Run(Millis(1000));
  ASSERT_EQ(granted.size(), 400U);
  const auto before = world.platform.writes;
  for (const OrderKey& key : granted) {
    world.ledgers[0]->RecordResult(key, "result");
  }
  EXPECT_TRUE(world.ledgers[0]->HasPendingWrites());
  world.Run(Millis(1000));
  EXPECT_FALSE(world.ledgers[0]->HasPendingWrites());
  EXPECT_LE(world.platform.writes - before, 16U);
}

// Fails if an object exceeds the platform's size limit, or if an expired key is
// granted again after its object was deleted.
TEST(OrderLedgerTest, RefusesWhenFullAndDeletesOldObjects) {
  World world(7, 1);
  int overloaded = 0;
  int granted = 0;
  for (int i = 0; i < 30000; ++i) {
    const OrderKey key = Key(std::string(100, 'x') + std::to_string(i));
    world.ledgers[0]->Claim(key, 1, Millis(60000), [&, key](const auto& r) {
      granted += r.kind == ResultKind::kGranted ? 1 : 0;
      overloaded += GetErrorCode(r.status) == ErrorCode::kOverloaded ? 1 : 0;
      if (r.kind == ResultKind::kGranted) {
        world.ledgers[0]->RecordResult(key, std::string(2000, '%'));
      }
    });
  }
  world.Run(Millis(3000));
  EXPECT_EQ(granted + overloaded, 30000);
  EXPECT_GT(overloaded, 0);
  const std::string prefix =
      "orders/team-" + std::to_string(kWallClockStart / 120000) + "-";
  for (int i = 0; i < 16; ++i) {
    ASSERT_NE(world.platform.Find(prefix + std::to_string(i)), nullptr);
    EXPECT_LT(world.platform.Find(prefix + std::to_string(i))->value.size(),
              1000000U);
  }
  world.wall_clock_shift = 41 * 60000;
  const ClaimResult expired = world.Claim(0, Key("new"));
  EXPECT_EQ(GetErrorCode(expired.status), ErrorCode::kIdempotencyKeyExpired);
  EXPECT_EQ(expired.outcome, Outcome::kUnknown);
  world.Run(Millis(130000));
  for (int i = 0; i < 16; ++i) {
    EXPECT_EQ(world.platform.Find(prefix + std::to_string(i)), nullptr);
  }
  EXPECT_EQ(world.ledgers[0]->cached_objects(), 0U);
}

}  // namespace
}  // namespace tanagervane
