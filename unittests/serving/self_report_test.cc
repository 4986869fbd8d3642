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

}  // namespace
}  // namespace tanagervane
