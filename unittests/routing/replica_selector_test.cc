// Tests of replica selection.

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

struct SelectorFixture : ReplicaTableFixture {
  explicit SelectorFixture(PolicyOptions options = {})
      : ReplicaTableFixture(options), selector(table, options, "a", 7) {}

  std::string Pick(Millis now, std::vector<ReplicaId> exclude = {}) {
    return selector.Pick({"index", 1, 0, exclude, false}, now).value_or("");
  }

  /// How often each replica is picked at time zero, in 200 picks.
  std::map<std::string, int> CountPicks() {
    std::map<std::string, int> counts;
    for (int i = 0; i < 200; ++i) {
      ++counts[Pick(Millis(0))];
    }
    return counts;
  }

  ReplicaSelector selector;
};

// Guards against a tie-break by id, with which all entries choose the same
// replica.
TEST(ReplicaSelectorTest, TiesAreBrokenAtRandom) {
  SelectorFixture f;
  for (const char* id : {"r1", "r2", "r3"}) {
    f.AddReplica(id, Millis(5));
  }
  auto counts = f.CountPicks();
  EXPECT_GT(std::min({counts["r1"], counts["r2"], counts["r3"]}), 40);
}

// Guards against ignoring the entry's own attempts or recent latency, and
// against comparison policies that do not follow their definition.
TEST(ReplicaSelectorTest, EachPolicyPicksItsReplica) {
  using Counts = std::map<std::string, int>;
  for (const auto& [policy, expected] : std::map<ReplicaPolicy, Counts>{
           {ReplicaPolicy::kLowestExpectedWait, {{"good", 200}}},
           {ReplicaPolicy::kLeastInFlight, {{"slow", 200}}},
           {ReplicaPolicy::kRoundRobin,
            {{"busy", 67}, {"good", 67}, {"slow", 66}}}}) {
    SelectorFixture f({.replica_policy = policy});
    f.AddReplica("busy", Millis(5));
    f.AddReplica("good", Millis(5));
    f.AddReplica("slow", Millis(14));
    for (const char* id : {"busy", "busy", "busy", "good"}) {
      f.RecordSent(id, Millis(0));
    }
    EXPECT_EQ(f.CountPicks(), expected);
  }
}

// Guards against ignoring the load that other entries cause, and against giving
// an old report the weight of a recent one.
TEST(ReplicaSelectorTest, ReportedLoadIsWeightedByAge) {
  for (bool enabled : {true, false}) {
    SelectorFixture f({.reported_load = enabled});
    f.AddReplica("r", Millis(5));
    f.ReportStatus("r", 1, Millis(0), ServerState::kServing, {4, 4});
    const auto wait = [&](Millis now) {
      return f.selector.ExpectedWait(*f.table.Find("r"), now).count();
    };
    EXPECT_NEAR(wait(Millis(0)), enabled ? 15 : 5, 0.01);
    EXPECT_NEAR(wait(Millis(500)), enabled ? 10 : 5, 0.01);
  }
}

// Guards against needless traffic between data centres, and against choosing a
// local replica that is clearly worse than a remote one.
TEST(ReplicaSelectorTest, PrefersLocalDataCentreUnlessClearlyWorse) {
  SelectorFixture f;
  f.AddReplica("far", Millis(5), "b");
  f.AddReplica("near", Millis(5.5), "a");
  EXPECT_EQ(f.CountPicks()["near"], 200);
  for (int i = 0; i < 3; ++i) {
    f.RecordSent("near", Millis(0));
  }
  EXPECT_EQ(f.CountPicks()["far"], 200);
}

// Guards against sending a frozen replica more than single probes. Without
// avoidance, the same run sends it many more attempts.
TEST(ReplicaSelectorTest, FrozenReplicaGetsOnlyProbes) {
  std::map<bool, int> sent;
  for (bool avoidance : {true, false}) {
    SelectorFixture f(
        {.replica_policy = ReplicaPolicy::kRandom, .avoidance = avoidance});
    for (const char* id : {"frozen", "r1", "r2"}) {
      f.AddReplica(id, Millis(4));
    }
    for (Millis t; t < Millis(1000); t += Millis(5)) {
      const std::string id = f.Pick(t);
      if (id == "frozen") {
        ++sent[avoidance];
        f.table.OnCancelled(id, f.RecordSent(id, t), t + Millis(15));
      } else {
        f.RunAttempts(id, 1, Millis(4), t);
      }
    }
  }
  EXPECT_GE(sent[true], 3);
  EXPECT_LE(sent[true], 8);
  EXPECT_GT(sent[false], 40);
}

// Guards against refusing all work when every replica is overdue at once, as
// after a pause of this entry, and against sending to unreachable replicas.
TEST(ReplicaSelectorTest, UsesOverdueButNotUnreachableReplicas) {
  SelectorFixture f;
  f.AddReplica("r1", Millis(4));
  f.AddReplica("r2", Millis(4));
  const uint64_t first = f.RecordSent("r1", Millis(0));
  const uint64_t second = f.RecordSent("r2", Millis(0));
  const Millis t(30);
  EXPECT_FALSE(f.IsEligible("r1", t) || f.IsEligible("r2", t));
  EXPECT_NE(f.Pick(t), "");
  EXPECT_EQ(f.selector.Capacity("index", 1, 0, t).limit, 8U);
  f.table.OnFailure("r1", first, FailureKind::kConnectionLost, t);
  f.table.OnFailure("r2", second, FailureKind::kConnectionLost, t);
  EXPECT_EQ(f.Pick(t), "");
  EXPECT_EQ(f.selector.Capacity("index", 1, 0, t).limit, 0U);
}

// Guards against reporting a shard as missing although an overdue replica holds
// it: a first attempt or a retry must use that replica when no other is left.
TEST(ReplicaSelectorTest, PicksOverdueReplicaWhenNoOtherIsLeft) {
  SelectorFixture f;
  f.AddReplica("slow", Millis(4));
  f.AddReplica("tried", Millis(4));
  for (int i = 0; i < 4; ++i) {
    f.RecordSent("slow", Millis(0));
  }
  const Millis t(30);
  ASSERT_FALSE(f.IsEligible("slow", t));
  ASSERT_TRUE(f.IsEligible("tried", t));
  const std::vector<ReplicaId> exclude = {"tried"};
  EXPECT_EQ(f.Pick(t, exclude), "") << "a hedge does not go to a slow replica";
  EXPECT_EQ(f.selector.Pick({"index", 1, 0, exclude, true}, t), "slow");
  // The same when no replica is eligible and the overdue one is at its limit.
  f.table.OnFailure("tried", f.RecordSent("tried", t),
                    FailureKind::kConnectFailed, t);
  EXPECT_EQ(f.selector.Pick({"index", 1, 0, exclude, true}, t), "slow");
}

// Guards against choosing a replica that is excluded, leaving, starting or at
// its limit.
RC_GTEST_PROP(ReplicaSelectorProperty, PicksOnlyAllowedReplicas, ()) {
  SelectorFixture f({.replica_policy = *rc::gen::element(
                         ReplicaPolicy::kLowestExpectedWait,
                         ReplicaPolicy::kRandom, ReplicaPolicy::kRoundRobin)});
  std::vector<ReplicaId> allowed;
  std::vector<ReplicaId> excluded;
  bool any_full = false;
  for (int i = *rc::gen::inRange(1, 9); i > 0; --i) {
    const std::string id = "r" + std::to_string(i);
    f.AddReplica(id, Millis(4), *rc::gen::element<std::string>("a", "b"));
    const int condition = *rc::gen::inRange(0, 5);
    if (condition == 0) {
      excluded.push_back(id);
    } else if (condition == 1) {
      f.table.SetLeaving(id);
    } else if (condition == 2) {
      f.ReportStatus(id, 1, Millis(0), ServerState::kStarting);
    } else if (condition == 3) {
      any_full = true;
      while (f.table.Find(id)->in_flight.size() < 4) {
        f.RecordSent(id, Millis(0));
      }
    } else {
      allowed.push_back(id);
    }
  }
  const std::string picked = f.Pick(Millis(0), excluded);
  RC_ASSERT(picked.empty() == allowed.empty());
  RC_ASSERT(picked.empty() || std::ranges::count(allowed, picked) == 1);
  const PickRequest over_limit{"index", 1, 0, excluded, true};
  RC_ASSERT(f.selector.Pick(over_limit, Millis(0)).has_value() ==
            (!allowed.empty() || any_full));
}

}  // namespace
}  // namespace tanagervane
