// Tests of the concurrency limit, hedge policy, retry policy and quarantine.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "tanagervane/routing/concurrency_limit.h"
#include "tanagervane/routing/hedge_policy.h"
#include "tanagervane/routing/quarantine.h"
#include "tanagervane/routing/retry_policy.h"

namespace tanagervane {
namespace {

// Guards against a limit that collapses because each of many sheddings by one
// full queue reduces it, that grows while it is not fully used, or that leaves
// the range from 1 to twice the slots.
TEST(ConcurrencyLimitTest, AdjustsWithinBounds) {
  ConcurrencyLimit limit(20);
  const auto limit_after_replies = [&](uint32_t in_flight, Millis latency) {
    for (int i = 0; i < 1000; ++i) {
      limit.OnReply(in_flight, latency, Millis(5));
    }
    return limit.limit();
  };
  for (int i = 0; i < 10; ++i) {
    limit.OnShed(Millis(1000 + i));
  }
  EXPECT_EQ(limit.limit(), 14U);
  EXPECT_EQ(limit_after_replies(5, Millis(5)), 14U);
  EXPECT_EQ(limit_after_replies(100, Millis(5)), 40U);
  EXPECT_EQ(limit_after_replies(100, Millis(50)), 10U);
  for (int i = 0; i < 100; ++i) {
    limit.OnShed(Millis(2000 + i * 200));
  }
  EXPECT_EQ(limit.limit(), 1U);
}

// Guards against a hedge delay that is not the quantile of the recent latencies
// or does not grow as the budget shrinks, and against hedging before enough
// latencies are recorded or while hedging is disabled.
TEST(HedgePolicyTest, DelayIsQuantileOfWindow) {
  HedgePolicy policy(true);
  HedgePolicy disabled(false);
  for (int i = 0; i < 2000; ++i) {
    EXPECT_EQ(policy.HedgeDelay("x").has_value(), i >= 20);
    policy.OnLatency("x", Millis(10000));
    disabled.OnLatency("x", Millis(10000));
  }
  for (int i = 0; i < 1100; ++i) {
    policy.OnLatency("x", Millis(i * 7919 % 1000));
  }
  while (policy.TryHedge("x", 0, false)) {
  }
  EXPECT_NEAR(policy.HedgeDelay("x")->count(), 990, 15);
  for (int i = 0; i < 250; ++i) {
    policy.OnSubRequest("x");
  }
  EXPECT_NEAR(policy.HedgeDelay("x")->count(), 950, 15);
  EXPECT_EQ(disabled.HedgeDelay("x"), std::nullopt);
  EXPECT_FALSE(disabled.TryHedge("x", 0, false));
}

// Guards against hedges that add load to saturated replicas, and against
// spending budget on a hedge that is denied.
TEST(HedgePolicyTest, SaturatedShardGetsNoHedgeAndSpendsNoBudget) {
  HedgePolicy policy(true);
  for (int i = 0; i < 20; ++i) {
    EXPECT_FALSE(policy.TryHedge("x", 0.81, false));
    EXPECT_FALSE(policy.TryHedge("x", 0.1, true));
  }
  EXPECT_TRUE(policy.TryHedge("x", 0.8, false));
}

// Guards against extra load above the budgets, also in a short run: 4% and one
// for hedges, 1% and a burst of 10 for retries.
RC_GTEST_PROP(BudgetProperty, ExtraLoadIsBounded, ()) {
  HedgePolicy hedges(true);
  RetryPolicy retries(1);
  int sub_requests = 0;
  int hedged = 0;
  int retried = 0;
  const int work_tenths = *rc::gen::inRange(1, 10);
  for (int i = *rc::gen::inRange(0, 3000); i > 0; --i) {
    if (i % 10 < work_tenths) {
      hedges.OnSubRequest("x");
      retries.OnSubRequest("x");
      ++sub_requests;
    }
    hedged += hedges.TryHedge("x", 0, false) ? 1 : 0;
    retried +=
        retries.TryRetry({.index = "x", .remaining = Millis(100)}) ? 1 : 0;
    RC_ASSERT(hedged <= 1 + 0.04 * sub_requests + 1e-6);
    RC_ASSERT(retried <= 10 + 0.01 * sub_requests + 1e-6);
  }
}

// Guards against executing a non-idempotent request twice, and against requests
// that fail during a planned stop because the retry budget is empty.
TEST(RetryPolicyTest, RetriesNonIdempotentOnlyIfProvenNotRun) {
  RetryPolicy policy(1);
  for (int i = 0; i <= static_cast<int>(FailureKind::kCorruptReply); ++i) {
    const auto kind = static_cast<FailureKind>(i);
    const RetryContext context{"x", kind, false, 0, Millis(100)};
    EXPECT_EQ(policy.TryRetry(context).has_value(), ProvesNotRun(kind)) << i;
  }
  for (int i = 0; i < 50; ++i) {
    EXPECT_TRUE(
        policy.TryRetry({"x", FailureKind::kDraining, false, 0, Millis(100)}));
  }
  EXPECT_TRUE(policy.TryRetry({.index = "x", .remaining = Millis(100)}));
}

using Verdict = Quarantine::Verdict;
constexpr Fingerprint kFirstRequest = 1;
constexpr Fingerprint kSecondRequest = 2;

/// Both requests, sent to a replica at `sent`.
std::vector<Quarantine::InFlightRequest> BothRequests(double sent) {
  return {{kFirstRequest, Millis(sent)}, {kSecondRequest, Millis(sent)}};
}
constexpr double kTenMinutes = 600000;

// Guards against a request that crashes a third replica, and against refusals
// while quarantine is disabled.
TEST(QuarantineTest, RefusesForTenMinutesAfterTwoLostReplicas) {
  for (bool enabled : {true, false}) {
    Quarantine quarantine(enabled);
    const auto verdict = [&](double now) {
      return quarantine.Check(kFirstRequest, Millis(now));
    };
    quarantine.OnReplicaLost("r1", BothRequests(0), Millis(0));
    quarantine.OnReplicaLost("r1", BothRequests(10), Millis(10));
    EXPECT_EQ(verdict(10), enabled ? Verdict::kSuspect : Verdict::kClear);
    quarantine.OnReplicaLost("r2", BothRequests(20), Millis(20));
    EXPECT_EQ(verdict(kTenMinutes),
              enabled ? Verdict::kRefused : Verdict::kClear);
    EXPECT_EQ(verdict(kTenMinutes + 20), Verdict::kClear);
    EXPECT_EQ(quarantine.Export(Millis(20)).size(), enabled ? 2U : 0U);
  }
}

// Guards against refusing a harmless request that was in flight on several
// replicas that failed together: a loss counts only for requests that were sent
// after the previous loss.
TEST(QuarantineTest, SimultaneousLossesCountOnce) {
  Quarantine quarantine(true);
  quarantine.OnReplicaLost("r1", BothRequests(0), Millis(10));
  quarantine.OnReplicaLost("r2", BothRequests(5), Millis(12));
  EXPECT_EQ(quarantine.Check(kFirstRequest, Millis(12)), Verdict::kSuspect);
  quarantine.OnReplicaLost("r3", BothRequests(11), Millis(20));
  EXPECT_EQ(quarantine.Check(kFirstRequest, Millis(20)), Verdict::kRefused);
}

// Guards against counting a loss against a request that later succeeds or that
// was in flight when only the connection broke, against stale gossip that
// restores such losses, and against entries that go on refusing a request that
// succeeded elsewhere.
TEST(QuarantineTest, DroppedLossesStayDropped) {
  Quarantine a(true);
  Quarantine b(true);
  a.OnReplicaLost("r1", BothRequests(0), Millis(0));
  a.OnReplicaLost("r2", BothRequests(10), Millis(10));
  b.Merge(a.Export(Millis(20)), Millis(22));
  EXPECT_EQ(b.Check(kFirstRequest, Millis(22)), Verdict::kRefused);
  const auto stale_records = b.Export(Millis(25));
  EXPECT_EQ(a.Check(kFirstRequest, Millis(30)), Verdict::kRefused);
  a.OnSuccess(kFirstRequest);
  a.OnCrashRuledOut("r1");
  a.Merge(stale_records, Millis(500));
  EXPECT_EQ(a.Check(kFirstRequest, Millis(500)), Verdict::kClear);
  EXPECT_EQ(a.Check(kSecondRequest, Millis(500)), Verdict::kSuspect);
  Quarantine c(true);
  EXPECT_EQ(c.Check(kFirstRequest, Millis(30)), Verdict::kClear);
  c.OnCrashRuledOut("r1");
  c.Merge(stale_records, Millis(500));
  EXPECT_EQ(c.Check(kFirstRequest, Millis(500)), Verdict::kSuspect);
  b.Merge(a.Export(Millis(510)), Millis(520));
  EXPECT_EQ(b.Check(kFirstRequest, Millis(520)), Verdict::kClear);
  a.OnReplicaLost("r3", BothRequests(600), Millis(600));
  EXPECT_EQ(a.Check(kFirstRequest, Millis(600)), Verdict::kSuspect);
}

// Guards against entries that renew the age of each other's records, so that a
// suspect never expires.
TEST(QuarantineTest, GossipDoesNotExtendSuspicion) {
  Quarantine a(true);
  Quarantine b(true);
  a.OnReplicaLost("r1", BothRequests(0), Millis(0));
  a.OnReplicaLost("r2", BothRequests(0), Millis(0));
  for (double t = 0; t < 1.2 * kTenMinutes; t += 200) {
    b.Merge(a.Export(Millis(t)), Millis(t + 100));
    a.Merge(b.Export(Millis(t + 100)), Millis(t + 200));
    const Verdict expected =
        t > kTenMinutes + 1000 ? Verdict::kClear : Verdict::kRefused;
    if (t < kTenMinutes - 1000 || t > kTenMinutes + 1000) {
      ASSERT_EQ(a.Check(kFirstRequest, Millis(t + 200)), expected) << t;
      ASSERT_EQ(b.Check(kFirstRequest, Millis(t + 200)), expected) << t;
    }
  }
}

// Guards against taking a later loss of a replica for its earlier one, and
// against counting a disproved loss when its record arrives again.
TEST(QuarantineTest, RepeatedGossipKeepsVerdict) {
  const std::vector<QuarantineRecord> loss_first = {
      {1, {"r1", "r2"}, Millis(273000)}, {1, {"r1"}, {}}, {1, {}, Millis(501)}};
  const std::vector<QuarantineRecord> success_first = {{1, {}, Millis(501)},
                                                       {1, {"r1"}, {}}};
  Quarantine suspecting(true);
  Quarantine cleared(true);
  for (int i = 0; i < 3; ++i) {
    const Millis now(1e6 + i * 250);
    suspecting.Merge(loss_first, now);
    cleared.Merge(success_first, now);
    EXPECT_EQ(suspecting.Check(1, now), Quarantine::Verdict::kSuspect);
    EXPECT_EQ(cleared.Check(1, now), Quarantine::Verdict::kClear);
  }
}

// Guards against gossip whose effect depends on how often it arrives, and
// against two requests with the same fingerprint.
RC_GTEST_PROP(QuarantineProperty, MergeIsIdempotent, ()) {
  std::vector<QuarantineRecord> records;
  for (int i = *rc::gen::inRange(0, 12); i > 0; --i) {
    records.push_back({*rc::gen::inRange<Fingerprint>(0, 4),
                       *rc::gen::container<std::vector<ReplicaId>>(
                           rc::gen::element<ReplicaId>("r1", "r2", "r3")),
                       Millis(*rc::gen::inRange(0, 700000))});
  }
  Quarantine once(true);
  Quarantine repeatedly(true);
  once.Merge(records, Millis(1e6));
  for (int i = 0; i < 3; ++i) {
    repeatedly.Merge(records, Millis(1e6 + i * 250));
  }
  for (Fingerprint i = 0; i < 4; ++i) {
    RC_ASSERT(once.Check(i, Millis(1e6 + 500)) ==
              repeatedly.Check(i, Millis(1e6 + 500)));
  }
  RC_ASSERT(MakeFingerprint("ab", "c", "") != MakeFingerprint("a", "bc", ""));
}

}  // namespace
}  // namespace tanagervane
