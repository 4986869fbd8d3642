// Permits of tenants in the dispatcher.

#include <optional>

#include "dispatcher_harness.h"
#include "gtest/gtest.h"

namespace tanagervane {
namespace {

class DispatcherQuotaTest : public testing::Test {
 protected:
  DispatcherQuotaTest() { harness.tenant = "t"; }

  /// Submits a request that waits for a permit.
  RequestKey Park(Millis time_left = Millis(1000)) {
    harness.permit = {PermitState::kPending, {}};
    return harness.Submit("/one/x", time_left);
  }

  void ExpectOnlyAnswer(AnswerKind kind, AnswerReason reason) {
    ASSERT_EQ(harness.answers.size(), 1);
    EXPECT_EQ(harness.answers[0].kind, kind);
    EXPECT_EQ(harness.answers[0].reason, reason);
    EXPECT_EQ(harness.reports, 1);
    EXPECT_EQ(harness.dispatcher.running_requests(), 0);
    EXPECT_TRUE(harness.sent_attempts.empty());
    EXPECT_FALSE(harness.dispatcher.NextTimer());
  }

  DispatcherHarness harness;
};

// Guards against questions on behalf of requests that need no permit.
TEST_F(DispatcherQuotaTest, NoPermitWithoutTenant) {
  harness.tenant.clear();
  harness.Submit("/one/x");
  EXPECT_TRUE(harness.asked_permits.empty());
  EXPECT_EQ(harness.sent_attempts.size(), 1);
}

TEST_F(DispatcherQuotaTest, GrantedAtOnce) {
  harness.Submit("/one/x");
  EXPECT_EQ(harness.asked_permits.size(), 1);
  EXPECT_EQ(harness.sent_attempts.size(), 1);
}

TEST_F(DispatcherQuotaTest, RefusedBeyondTheAllowance) {
  harness.permit = {PermitState::kRefused, Millis(300)};
  harness.Submit("/one/x");
  ExpectOnlyAnswer(AnswerKind::kOverLimit, AnswerReason::kTenantLimit);
  EXPECT_EQ(harness.answers[0].retry_after, Millis(300));
}

TEST_F(DispatcherQuotaTest, RefusedAsNotRunWithoutPermit) {
  harness.permit = {PermitState::kUnavailable, Millis(100)};
  harness.Submit("/one/x");
  ExpectOnlyAnswer(AnswerKind::kRefused, AnswerReason::kNoPermit);
}

// Guards against a request that is sent before it has a permit, twice or never.
TEST_F(DispatcherQuotaTest, WaitsForThePermit) {
  const RequestKey key = Park();
  EXPECT_TRUE(harness.sent_attempts.empty());
  harness.Advance(Millis(5));
  harness.dispatcher.OnPermit(key, {PermitState::kGranted, {}}, harness.now);
  EXPECT_EQ(harness.sent_attempts.size(), 1);
  harness.dispatcher.OnPermit(key, {PermitState::kGranted, {}}, harness.now);
  harness.AnswerAll(harness.PopSentAttempts());
  ASSERT_EQ(harness.answers.size(), 1);
  EXPECT_EQ(harness.answers[0].kind, AnswerKind::kReply);
}

TEST_F(DispatcherQuotaTest, RefusalAfterTheWait) {
  const RequestKey key = Park();
  harness.dispatcher.OnPermit(key, {PermitState::kRefused, Millis(40)},
                              harness.now);
  ExpectOnlyAnswer(AnswerKind::kOverLimit, AnswerReason::kTenantLimit);
}

// Guards against permits that are lost when admission refuses the request after
// the wait.
TEST_F(DispatcherQuotaTest, UnusedPermitIsReturned) {
  const RequestKey key = Park();
  for (size_t i = 0; i < DispatcherHarness::kReplicas; ++i) {
    harness.replicas.Remove(fmt::format("desk-{}", i), harness.now,
                            harness.now);
  }
  harness.replicas.RetireLapsed(harness.now + Millis(3000));
  harness.dispatcher.OnPermit(key, {PermitState::kGranted, {}}, harness.now);
  ExpectOnlyAnswer(AnswerKind::kRefused, AnswerReason::kNoReplica);
  EXPECT_EQ(harness.returned_permits, std::vector<RequestKey>{key});
}

// Guards against requests that wait for ever when no decision comes.
TEST_F(DispatcherQuotaTest, DeadlineEndsTheWait) {
  const RequestKey key = Park(Millis(60));
  harness.Advance(Millis(60));
  ExpectOnlyAnswer(AnswerKind::kRefused, AnswerReason::kExpired);
  EXPECT_EQ(harness.cancelled_permits, std::vector<RequestKey>{key});
  harness.dispatcher.OnPermit(key, {PermitState::kGranted, {}}, harness.now);
  EXPECT_TRUE(harness.sent_attempts.empty());
}

TEST_F(DispatcherQuotaTest, CancellationEndsTheWait) {
  const RequestKey key = Park();
  harness.dispatcher.Cancel(key, harness.now);
  EXPECT_TRUE(harness.answers.empty());
  EXPECT_EQ(harness.reports, 1);
  EXPECT_EQ(harness.cancelled_permits, std::vector<RequestKey>{key});
  EXPECT_FALSE(harness.dispatcher.NextTimer());
}

TEST_F(DispatcherQuotaTest, StopEndsTheWait) {
  Park();
  harness.dispatcher.Stop(harness.now);
  ExpectOnlyAnswer(AnswerKind::kRefused, AnswerReason::kStopping);
  EXPECT_EQ(harness.cancelled_permits.size(), 1);
}

}  // namespace
}  // namespace tanagervane
