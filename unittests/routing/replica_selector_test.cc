// Tests of replica choice.

#include "tanagervane/routing/replica_selector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "routing/table_fixture.h"

namespace tanagervane {
namespace {

struct SelectorFixture : TableFixture {
  explicit SelectorFixture(PolicyOptions options = {})
      : TableFixture(options), selector(table, options, "a", 7) {}

  std::string Pick(Millis now, std::vector<ReplicaId> exclude = {}) {
    return selector.Pick({"index", 1, 0, exclude, false}, now).value_or("");
  }

  /// How often each replica is picked at time zero in 200 picks.
  std::map<std::string, int> Counts() {
    std::map<std::string, int> counts;
    for (int i = 0; i < 200; ++i) {
      ++counts[Pick(Millis(0))];
    }
    return counts;
  }

  ReplicaSelector selector;
};

// Guards against all entries agreeing on the replica with the lowest id.
TEST(ReplicaSelectorTest, TiesAreBrokenAtRandom) {
  SelectorFixture f;
  for (const char* id : {"r1", "r2", "r3"}) {
    f.Add(id, Millis(5));
  }
  auto counts = f.Counts();
  EXPECT_GT(std::min({counts["r1"], counts["r2"], counts["r3"]}), 40);
}

// Guards against ignoring the entry's own attempts or recent latency, and
// against baselines that are not what their names say.
TEST(ReplicaSelectorTest, EachPolicyFollowsItsName) {
  using Counts = std::map<std::string, int>;
  for (const auto& [policy, expected] : std::map<ReplicaPolicy, Counts>{
           {ReplicaPolicy::kTier, {{"good", 200}}},
           {ReplicaPolicy::kLeastInFlight, {{"slow", 200}}},
           {ReplicaPolicy::kRoundRobin,
            {{"busy", 67}, {"good", 67}, {"slow", 66}}}}) {
    SelectorFixture f({.replica_policy = policy});
    f.Add("busy", Millis(5));
    f.Add("good", Millis(5));
    f.Add("slow", Millis(14));
    for (const char* id : {"busy", "busy", "busy", "good"}) {
      f.Send(id, Millis(0));
    }
    EXPECT_EQ(f.Counts(), expected);
  }
}

// Guards against ignoring what other entries put on a replica, and against
// trusting an old report as if it were new.
TEST(ReplicaSelectorTest, ReportedLoadCountsAndAges) {
  for (bool on : {true, false}) {
    SelectorFixture f({.reported_load = on});
    f.Add("r", Millis(5));
    f.Status("r", 1, Millis(0), ServerState::kServing, {4, 4});
    const auto wait = [&](Millis now) {
      return f.selector.ExpectedWait(*f.table.Find("r"), now).count();
    };
    EXPECT_NEAR(wait(Millis(0)), on ? 15 : 5, 0.01);
    EXPECT_NEAR(wait(Millis(500)), on ? 10 : 5, 0.01);
  }
}

// Guards against traffic between data centres without need, and against a near
// replica that is kept although a far one is clearly better.
TEST(ReplicaSelectorTest, SameDataCentreWinsUnlessClearlyWorse) {
  SelectorFixture f;
  f.Add("far", Millis(5), "b");
  f.Add("near", Millis(5.5), "a");
  EXPECT_EQ(f.Counts()["near"], 200);
  for (int i = 0; i < 3; ++i) {
    f.Send("near", Millis(0));
  }
  EXPECT_EQ(f.Counts()["far"], 200);
}

// Guards against frozen replicas that get more than single probes. Without
// avoidance the same run sends many more attempts into the freeze.
TEST(ReplicaSelectorTest, FrozenReplicaGetsOnlyProbes) {
  std::map<bool, int> sent;
  for (bool avoidance : {true, false}) {
    SelectorFixture f(
        {.replica_policy = ReplicaPolicy::kRandom, .avoidance = avoidance});
    for (const char* id : {"frozen", "r1", "r2"}) {
      f.Add(id, Millis(4));
    }
    for (Millis t; t < Millis(1000); t += Millis(5)) {
      const std::string id = f.Pick(t);
      if (id == "frozen") {
        ++sent[avoidance];
        f.table.OnCancelled(id, f.Send(id, t), t + Millis(15));
      } else {
        f.Exchange(id, 1, Millis(4), t);
      }
    }
  }
  EXPECT_GE(sent[true], 3);
  EXPECT_LE(sent[true], 8);
  EXPECT_GT(sent[false], 40);
}

// Guards against refusing all work when every replica is late at once, as
// after a pause of this entry, and against sending to unreachable ones.
TEST(ReplicaSelectorTest, AllOverdueStayInUseAllUnreachableDoNot) {
  SelectorFixture f;
  f.Add("r1", Millis(4));
  f.Add("r2", Millis(4));
  const uint64_t first = f.Send("r1", Millis(0));
  const uint64_t second = f.Send("r2", Millis(0));
  const Millis t(30);
  EXPECT_FALSE(f.Eligible("r1", t) || f.Eligible("r2", t));
  EXPECT_NE(f.Pick(t), "");
  EXPECT_EQ(f.selector.Capacity("index", 1, 0, t).limit, 8U);
  f.table.OnFailure("r1", first, FailureKind::kConnectionLost, t);
  f.table.OnFailure("r2", second, FailureKind::kConnectionLost, t);
  EXPECT_EQ(f.Pick(t), "");
  EXPECT_EQ(f.selector.Capacity("index", 1, 0, t).limit, 0U);
}

// Guards against a shard that is reported without a replica although a slow one
// lives: a first attempt or a retry has no better choice left.
TEST(ReplicaSelectorTest, SlowReplicaIsTakenBeforeAShardIsGivenUp) {
  SelectorFixture f;
  f.Add("slow", Millis(4));
  f.Add("tried", Millis(4));
  for (int i = 0; i < 4; ++i) {
    f.Send("slow", Millis(0));
  }
  const Millis t(30);
  ASSERT_FALSE(f.Eligible("slow", t));
  ASSERT_TRUE(f.Eligible("tried", t));
  const std::vector<ReplicaId> exclude = {"tried"};
  EXPECT_EQ(f.Pick(t, exclude), "") << "a hedge does not go to a slow replica";
  EXPECT_EQ(f.selector.Pick({"index", 1, 0, exclude, true}, t), "slow");
  // The same when no replica is eligible and the slow one is at its limit.
  f.table.OnFailure("tried", f.Send("tried", t), FailureKind::kConnectFailed,
                    t);
  EXPECT_EQ(f.selector.Pick({"index", 1, 0, exclude, true}, t), "slow");
}

// Guards against a replica that must not be chosen: excluded, leaving,
// starting, or full.
RC_GTEST_PROP(ReplicaSelectorProperty, PicksOnlyWhatIsAllowed, ()) {
  SelectorFixture f({.replica_policy = *rc::gen::element(
                         ReplicaPolicy::kTier, ReplicaPolicy::kRandom,
                         ReplicaPolicy::kRoundRobin)});
  std::vector<ReplicaId> allowed;
  std::vector<ReplicaId> excluded;
  bool any_full = false;
  for (int i = *rc::gen::inRange(1, 9); i > 0; --i) {
    const std::string id = "r" + std::to_string(i);
    f.Add(id, Millis(4), *rc::gen::element<std::string>("a", "b"));
    const int condition = *rc::gen::inRange(0, 5);
    if (condition == 0) {
      excluded.push_back(id);
    } else if (condition == 1) {
      f.table.SetLeaving(id);
    } else if (condition == 2) {
      f.Status(id, 1, Millis(0), ServerState::kStarting);
    } else if (condition == 3) {
      any_full = true;
      while (f.table.Find(id)->in_flight.size() < 4) {
        f.Send(id, Millis(0));
      }
    } else {
      allowed.push_back(id);
    }
  }
  const std::string picked = f.Pick(Millis(0), excluded);
  RC_ASSERT(picked.empty() == allowed.empty());
  RC_ASSERT(picked.empty() || std::ranges::count(allowed, picked) == 1);
  const PickRequest forced{"index", 1, 0, excluded, true};
  RC_ASSERT(f.selector.Pick(forced, Millis(0)).has_value() ==
            (!allowed.empty() || any_full));
}

}  // namespace
}  // namespace tanagervane
