// Tests of the replica table.

#include "tanagervane/routing/replica_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "routing/table_fixture.h"

namespace tanagervane {
namespace {

// Guards against sending to a frozen replica until its attempts time out, and
// against avoidance or a high latency estimate that outlasts the freeze.
TEST(ReplicaTableTest, FrozenReplicaIsAvoidedUntilItAnswers) {
  for (bool avoidance : {true, false}) {
    ReplicaTableFixture f({.avoidance = avoidance});
    f.AddReplica("r", Millis(4));
    const uint64_t attempt = f.RecordSent("r", Millis(0));
    EXPECT_TRUE(f.IsEligible("r", Millis(11)));
    EXPECT_EQ(f.IsEligible("r", Millis(13)), !avoidance);
    f.table.OnReply("r", attempt, std::nullopt, Millis(3000));
    EXPECT_TRUE(f.IsEligible("r", Millis(3000)));
    EXPECT_LE(f.table.Find("r")->peak_latency, Millis(15));
  }
}

// Guards against avoiding a replica for a pause of a few ms, or for one slow
// request while later ones are answered.
TEST(ReplicaTableTest, ShortPausesAndSingleSlowRepliesAreTolerated) {
  ReplicaTableFixture f;
  f.AddReplica("fast", Millis(0.5));
  f.RecordSent("fast", Millis(0));
  EXPECT_TRUE(f.IsEligible("fast", Millis(4)));
  EXPECT_FALSE(f.IsEligible("fast", Millis(6)));
  f.AddReplica("r", Millis(4));
  const uint64_t slow = f.RecordSent("r", Millis(0));
  const Millis t = f.RunAttempts("r", 10, Millis(4), Millis(1));
  EXPECT_TRUE(f.IsEligible("r", t));
  f.table.OnCancelled("r", slow, t);
  EXPECT_TRUE(f.IsEligible("r", t));
}

// Guards against avoiding a replica with widely varying latencies for a reply
// within its usual range, and against never avoiding it.
TEST(ReplicaTableTest, VaryingLatenciesDelayAvoidance) {
  ReplicaTableFixture f;
  f.AddReplica("r", Millis(4));
  Millis now;
  for (int i = 0; i < 200; ++i) {
    now = f.RunAttempts("r", 1, Millis(i % 4 == 0 ? 12 : 2), now);
  }
  const Millis baseline = f.table.Find("r")->baseline_latency;
  f.RecordSent("r", now);
  EXPECT_TRUE(f.IsEligible("r", now + baseline * 4));
  EXPECT_FALSE(f.IsEligible("r", now + baseline * 10));
}

// Guards against regarding a frozen replica as healthy once its overdue attempt
// is cancelled because a hedge was answered, and against more than one probe at
// a time.
TEST(ReplicaTableTest, CancelledOverdueAttemptAllowsOnlyProbes) {
  ReplicaTableFixture f;
  f.AddReplica("r", Millis(4));
  f.table.OnCancelled("r", f.RecordSent("r", Millis(0)), Millis(20));
  const Replica& replica = *f.table.Find("r");
  EXPECT_FALSE(f.IsEligible("r", Millis(20)));
  EXPECT_FALSE(f.table.CanProbe(replica, Millis(20)));
  ASSERT_TRUE(f.table.CanProbe(replica, Millis(80)));
  const uint64_t probe = f.RecordSent("r", Millis(80));
  EXPECT_FALSE(f.table.CanProbe(replica, Millis(2000)));
  f.table.OnReply("r", probe, std::nullopt, Millis(2000));
  EXPECT_TRUE(f.IsEligible("r", Millis(2000)));
}

// Guards against counting one lost connection once for each of its attempts,
// against ending avoidance without a probe, and against avoidance after single
// server errors.
TEST(ReplicaTableTest, BackoffAfterFailuresEndsWithProbe) {
  ReplicaTableFixture f;
  f.AddReplica("r", Millis(4));
  const Replica& replica = *f.table.Find("r");
  const uint64_t first = f.RecordSent("r", Millis(0));
  const uint64_t second = f.RecordSent("r", Millis(0));
  f.table.OnFailure("r", first, FailureKind::kConnectionLost, Millis(0));
  f.table.OnFailure("r", second, FailureKind::kConnectionLost, Millis(0));
  EXPECT_FALSE(f.table.CanProbe(replica, Millis(90)));
  EXPECT_TRUE(f.table.CanProbe(replica, Millis(101)));
  f.ReportStatus("r", 1, Millis(50));
  EXPECT_TRUE(f.table.CanProbe(replica, Millis(50)));
  EXPECT_FALSE(f.IsEligible("r", Millis(50)));
  f.RunAttempts("r", 1, Millis(1), Millis(50));
  for (bool eligible : {true, true, false}) {
    f.table.OnFailure("r", f.RecordSent("r", Millis(60)),
                      FailureKind::kServerError, Millis(60));
    EXPECT_EQ(f.IsEligible("r", Millis(60)), eligible);
  }
}

// Guards against new work for a leaving server whatever reports follow, and
// against applying its statistics to its next incarnation.
TEST(ReplicaTableTest, LeavingLastsUntilNewIncarnation) {
  for (int source = 0; source < 3; ++source) {
    ReplicaTableFixture f;
    f.AddReplica("r", Millis(4));
    const uint64_t lost = f.RecordSent("r", Millis(0));
    if (source == 0) {
      f.table.SetLeaving("r");
    } else if (source == 1) {
      f.ReportStatus("r", 1, Millis(0), ServerState::kDraining);
    } else {
      f.table.OnFailure("r", f.RecordSent("r", Millis(0)),
                        FailureKind::kDraining, Millis(0));
    }
    EXPECT_FALSE(f.ReportStatus("r", 1, Millis(1)));
    f.table.Upsert({"r", "", "a", "index", 4}, Millis(2));
    f.RunAttempts("r", 3, Millis(1), Millis(3));
    EXPECT_FALSE(f.IsEligible("r", Millis(10)));
    EXPECT_FALSE(f.table.CanProbe(*f.table.Find("r"), Millis(10)));
    EXPECT_TRUE(f.ReportStatus("r", 2, Millis(20)));
    f.table.OnFailure("r", lost, FailureKind::kConnectionLost, Millis(21));
    EXPECT_TRUE(f.IsEligible("r", Millis(21)));
    EXPECT_EQ(f.table.Find("r")->replies, 0U);
    EXPECT_TRUE(f.table.Find("r")->in_flight.empty());
  }
}

// Guards against overloading a replica that has just started serving.
TEST(ReplicaTableTest, SlowStartRampsLimit) {
  for (bool slow_start : {true, false}) {
    ReplicaTableFixture f({.slow_start = slow_start});
    f.table.Upsert({"r", "", "a", "index", 40}, Millis(0));
    f.ReportStatus("r", 1, Millis(0));
    const Replica& r = *f.table.Find("r");
    EXPECT_EQ(f.table.EffectiveLimit(r, Millis(0)), slow_start ? 8U : 40U);
    EXPECT_EQ(f.table.EffectiveLimit(r, Millis(2000)), slow_start ? 24U : 40U);
    EXPECT_EQ(f.table.EffectiveLimit(r, Millis(5000)), 40U);
  }
}

// Guards against trusting reported load that the latencies of replies
// contradict, and against distrust after single slow replies.
TEST(ReplicaTableTest, ContradictedReportsLoseWeight) {
  ReplicaTableFixture f;
  for (const char* id : {"accurate", "false_idle", "false_busy"}) {
    f.AddReplica(id, Millis(4));
  }
  const auto weight = [&](const char* id) {
    return f.table.Find(id)->report_weight;
  };
  const ReportedLoad idle{0, 0};
  Millis t;
  for (int i = 0; i < 200; ++i) {
    t = f.RunAttempts("accurate", 1, Millis(i % 100 == 50 ? 40 : 4), t, idle);
    f.RunAttempts("false_idle", i % 4 == 0 ? 1 : 0, Millis(40), t, idle);
    f.RunAttempts("false_busy", 1, Millis(3), t, ReportedLoad{100, 100});
  }
  EXPECT_GT(weight("accurate"), 0.6);
  EXPECT_LT(weight("false_idle"), 0.1);
  EXPECT_LT(weight("false_busy"), 0.1);
  t = f.RunAttempts("false_busy", 20, Millis(4), t, idle);
  EXPECT_LT(weight("false_busy"), 0.3);
  f.RunAttempts("false_busy", 400, Millis(4), t, idle);
  EXPECT_GT(weight("false_busy"), 0.9);
}

// Guards against an incrementally updated index of holders that differs from
// the last reports, and against rebuilding it when a report changes no version.
RC_GTEST_PROP(ReplicaTableProperty, HoldersMatchLastReports, ()) {
  ReplicaTable table({});
  std::map<ReplicaId, ReplicaStatus> model;
  for (int step = *rc::gen::inRange(1, 40); step > 0; --step) {
    const ReplicaId id = "r" + std::to_string(*rc::gen::inRange(0, 4));
    if (*rc::gen::inRange(0, 8) == 0) {
      table.Remove(id);
      model.erase(id);
      continue;
    }
    ReplicaStatus status{*rc::gen::inRange<uint64_t>(1, 3), {}, {}, {}};
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
      status.versions.push_back({*rc::gen::element<std::string>("x", "xy"),
                                 *rc::gen::inRange<uint64_t>(1, 3),
                                 *rc::gen::inRange(0U, 2U), 2});
    }
    table.Upsert({id, "", "a", "x", 4}, Millis(step));
    table.OnStatus(id, status, Millis(step));
    model[id] = status;
  }
  for (const HeldVersion& key : {HeldVersion{"x", 1, 0, 2},
                                 {"x", 1, 1, 2},
                                 {"x", 2, 0, 2},
                                 {"xy", 1, 0, 2}}) {
    const auto holders = table.Holders(key.index, key.version, key.shard);
    std::vector<ReplicaId> actual;
    std::vector<ReplicaId> expected;
    for (const Replica* replica : holders) {
      actual.push_back(replica->info.id);
    }
    for (const auto& [id, status] : model) {
      if (std::ranges::count(status.versions, key) > 0) {
        expected.push_back(id);
      }
      table.OnStatus(id, status, Millis(100));
    }
    RC_ASSERT(actual == expected);
    const auto again = table.Holders(key.index, key.version, key.shard);
    RC_ASSERT(holders.data() == again.data());
  }
}

}  // namespace
}  // namespace tanagervane
