// Tests that replicas are used as they state in their responses.

#include <algorithm>
#include <utility>
#include <vector>

#include "dispatcher_harness.h"
#include "gtest/gtest.h"

namespace tanagervane {
namespace {

/// A dispatcher whose replicas of "desk" make statements.
class SelfReportTest : public testing::Test {
 protected:
  /// Sends a request to "desk" and returns its attempt.
  OutgoingAttempt SendOne() {
    m_harness.Submit("/one/x");
    return m_harness.PopSentAttempts().front();
  }

  /// Answers the attempt with a response of the given kind and statements.
  void Answer(const OutgoingAttempt& attempt,
              ReplyKind kind,
              const SelfReport& report) {
    ReplicaReply reply;
    reply.kind = kind;
    reply.status = kind == ReplyKind::kSuccess ? 200 : 500;
    reply.self_report = report;
    m_harness.dispatcher.OnReply(attempt.attempt_id, reply, m_harness.now);
    m_harness.AnswerAll(m_harness.PopSentAttempts());
  }

  /// Counts the attempts to the replica among those of kRequests requests.
  size_t CountAttempts(const ServingReplica& replica) {
    std::vector<OutgoingAttempt> attempts;
    for (int i = 0; i < kRequests; ++i) {
      attempts.push_back(SendOne());
    }
    const auto count =
        std::ranges::count_if(attempts, [&](const OutgoingAttempt& attempt) {
          return attempt.replica.get() == &replica;
        });
    m_harness.AnswerAll(attempts);
    return static_cast<size_t>(count);
  }

  static SelfReport Leaving() {
    SelfReport report;
    report.leaving = true;
    return report;
  }

  static SelfReport Limited(double per_second) {
    SelfReport report;
    report.rate_limit = per_second;
    return report;
  }

  /// Lets each replica of "desk" state the limit.
  void LimitAll(double per_second) {
    for (const auto& replica : m_harness.replicas.GetService("desk").replicas) {
      m_harness.dispatcher.OnProbeReply(
          *replica, {.healthy = true, .self_report = Limited(per_second)},
          m_harness.now);
    }
  }

  /// Few enough for one replica.
  static constexpr int kRequests = 8;

  DispatcherHarness m_harness;
};

// Guards against requests to a replica that has stated in any kind of response
// that it leaves, when the store does not tell it.
TEST_F(SelfReportTest, LeavingReplicaGetsNoRequests) {
  for (const ReplyKind kind : {ReplyKind::kSuccess, ReplyKind::kRejected}) {
    const OutgoingAttempt attempt = SendOne();
    EXPECT_GT(CountAttempts(*attempt.replica), 0u);
    Answer(attempt, kind, Leaving());
    EXPECT_EQ(CountAttempts(*attempt.replica), 0u);
  }
}

// Guards against ignoring the statements in responses that nobody waits for.
TEST_F(SelfReportTest, ResponseToSupersededAttemptCounts) {
  m_harness.Submit("/all/x");
  std::vector<OutgoingAttempt> attempts = m_harness.PopSentAttempts();
  const OutgoingAttempt slow = attempts.back();
  attempts.pop_back();
  m_harness.AnswerAll(attempts);
  m_harness.Advance(Millis(80));
  m_harness.AnswerAll(m_harness.PopSentAttempts());
  ASSERT_EQ(m_harness.answers.size(), 1u) << "the hedge was answered";
  Answer(slow, ReplyKind::kFailed, Leaving());
  EXPECT_TRUE(slow.replica->leaving);
}

// Guards against ignoring the statements in responses that break off after
// their header.
TEST_F(SelfReportTest, TruncatedResponseCounts) {
  const OutgoingAttempt attempt = SendOne();
  m_harness.dispatcher.OnPartialReply(attempt.attempt_id, Leaving(),
                                      m_harness.now);
  m_harness.dispatcher.OnFailure(attempt.attempt_id,
                                 FailureKind::kConnectionLost, m_harness.now);
  EXPECT_TRUE(attempt.replica->leaving);
}

// Guards against ignoring the statements in replies to health probes.
TEST_F(SelfReportTest, ProbeReplyCounts) {
  const OutgoingAttempt attempt = SendOne();
  m_harness.dispatcher.OnProbeReply(
      *attempt.replica, {.healthy = false, .self_report = Leaving()},
      m_harness.now);
  EXPECT_EQ(CountAttempts(*attempt.replica), 0u);
}

// Guards against retiring a replica because of what another replica states that
// has taken over its address.
TEST_F(SelfReportTest, StatementOfAnotherReplicaDoesNotCount) {
  const OutgoingAttempt attempt = SendOne();
  Answer(attempt, ReplyKind::kMisdirected, Leaving());
  EXPECT_FALSE(attempt.replica->leaving);
}

// Guards against more requests to a replica than it takes, when the others can
// serve them.
TEST_F(SelfReportTest, RateLimitIsKept) {
  const OutgoingAttempt attempt = SendOne();
  EXPECT_GT(CountAttempts(*attempt.replica), 0u);
  Answer(attempt, ReplyKind::kSuccess, Limited(2));
  m_harness.Advance(Millis(1000));
  size_t attempts = 0;
  for (int i = 0; i < kRequests; ++i) {
    attempts += SendOne().replica == attempt.replica ? 1 : 0;
  }
  EXPECT_EQ(attempts, 2u);
}

// Guards against requests that wait or are tried in vain when no replica takes
// another request, and against a refusal without a time to retry.
TEST_F(SelfReportTest, RequestBeyondAllRateLimitsIsRefusedAtOnce) {
  LimitAll(1);
  m_harness.Advance(Millis(1000));
  for (int i = 0; i < kRequests; ++i) {
    m_harness.Submit("/one/x");
  }
  EXPECT_EQ(m_harness.PopSentAttempts().size(), 3u);
  ASSERT_EQ(m_harness.answers.size(), kRequests - 3u);
  for (const FinalAnswer& answer : m_harness.answers) {
    EXPECT_EQ(answer.kind, AnswerKind::kRefused);
    EXPECT_EQ(answer.reason, AnswerReason::kRateLimited);
    EXPECT_GE(answer.retry_after, Millis(60));
    EXPECT_LE(answer.retry_after, Millis(1000));
  }
}

// Guards against a limit that a late response, a rejection or a failure ends
// while the replica still states it.
TEST_F(SelfReportTest, RateLimitEndsByTheSilenceOfALaterSuccess) {
  const OutgoingAttempt early = SendOne();
  const auto& limiter = early.replica->limits->rate_limiter;
  std::vector<OutgoingAttempt> attempts;
  for (int i = 0; i < kRequests; ++i) {
    const OutgoingAttempt attempt = SendOne();
    if (attempt.replica == early.replica) {
      attempts.push_back(attempt);
    }
  }
  ASSERT_GE(attempts.size(), 2u);
  m_harness.Advance(Millis(10));
  Answer(attempts[0], ReplyKind::kSuccess, Limited(1000));
  Answer(early, ReplyKind::kSuccess, {});
  EXPECT_EQ(limiter.limit(), 1000);
  m_harness.Advance(Millis(10));
  const std::vector<std::pair<ReplyKind, bool>> ends = {
      {ReplyKind::kRejected, false},
      {ReplyKind::kFailed, false},
      {ReplyKind::kSuccess, true}};
  for (const auto& [kind, limit_ended] : ends) {
    OutgoingAttempt later = SendOne();
    while (later.replica != early.replica) {
      later = SendOne();
    }
    Answer(later, kind, {});
    EXPECT_EQ(!limiter.limit(), limit_ended);
  }
}

// Guards against health probes beyond the limit.
TEST_F(SelfReportTest, ProbesKeepTheRateLimit) {
  LimitAll(0.5);
  const auto replica = m_harness.replicas.GetService("desk").replicas.front();
  replica->unresponsive = true;
  for (int i = 0; i < 80; ++i) {
    m_harness.Advance(Millis(100));
    m_harness.dispatcher.CheckReplicaHealth(m_harness.now);
    if (replica->probe_in_flight) {
      m_harness.dispatcher.OnProbeReply(
          *replica, {.healthy = false, .self_report = {}}, m_harness.now);
    }
  }
  EXPECT_GE(m_harness.probes.size(), 3u);
  EXPECT_LE(m_harness.probes.size(), 5u);
}

// Guards against requests and health probes to a replica that has rejected a
// request and wants no others for some time, and against one that is not used
// after that time.
TEST_F(SelfReportTest, BackoffIsKept) {
  SelfReport report;
  report.backoff = Millis(3000);
  const auto& replicas = m_harness.replicas.GetService("desk").replicas;
  for (size_t i = 0; i < replicas.size(); ++i) {
    Answer(SendOne(), ReplyKind::kRejected, report);
  }
  m_harness.answers.clear();
  replicas.front()->unresponsive = true;
  for (int i = 0; i < 29; ++i) {
    m_harness.Advance(Millis(100));
    m_harness.Submit("/one/x");
    m_harness.dispatcher.CheckReplicaHealth(m_harness.now);
  }
  EXPECT_TRUE(m_harness.PopSentAttempts().empty());
  EXPECT_TRUE(m_harness.probes.empty());
  ASSERT_EQ(m_harness.answers.size(), 29u);
  EXPECT_EQ(m_harness.answers.front().reason, AnswerReason::kRateLimited);
  EXPECT_EQ(m_harness.answers.front().retry_after, Millis(2900));
  m_harness.Advance(Millis(100));
  SendOne();
}

// Guards against hedges that use the permits of first attempts.
TEST_F(SelfReportTest, HedgeLeavesAPermitForAFirstAttempt) {
  for (const double per_second : {1.0, 1000.0}) {
    m_harness.Submit("/all/x");
    std::vector<OutgoingAttempt> attempts = m_harness.PopSentAttempts();
    const OutgoingAttempt slow = attempts.back();
    attempts.pop_back();
    m_harness.AnswerAll(attempts);
    for (const auto& replica : slow.replica->service->replicas) {
      m_harness.dispatcher.OnProbeReply(
          *replica, {.healthy = true, .self_report = Limited(per_second)},
          m_harness.now);
    }
    m_harness.Advance(Millis(1000));
    const bool may_hedge = per_second > 2;
    EXPECT_EQ(m_harness.PopSentAttempts().size(), may_hedge ? 1u : 0u);
  }
}

}  // namespace
}  // namespace tanagervane
