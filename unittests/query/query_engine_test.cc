#include "tanagervane/query/query_engine.h"

#include <gtest/gtest.h>

#include "query/query_harness.h"

namespace tanagervane {
namespace {

Outcome OutcomeOf(const Answer& answer) {
  return answer.refusal ? answer.refusal->outcome : Outcome::kRan;
}

ErrorCode ErrorOf(const Answer& answer) {
  return answer.refusal ? answer.refusal->error : ErrorCode::kNotFound;
}

// Guards against a shard that gets no sub-request or more than one.
TEST(QueryEngineTest, EveryShardIsAnsweredAfterAllReplies) {
  QueryHarness h;
  h.Submit("q", "all");
  ASSERT_EQ(h.sent.size(), 3u);
  for (const Attempt& attempt : std::vector<Attempt>(h.sent)) {
    EXPECT_EQ(attempt.index_version, 1u);
    EXPECT_EQ(attempt.payload, "payload of q");
    EXPECT_TRUE(h.answers.empty());
    h.Reply(attempt, {"row" + std::to_string(attempt.shard)});
  }
  const Answer& answer = h.only_answer();
  EXPECT_TRUE(answer.complete());
  ASSERT_EQ(answer.results.size(), 3u);
  EXPECT_EQ(answer.results[2].rows, std::vector<std::string>{"row2"});
  EXPECT_EQ(h.engine.stats().running, 0u);
}

// Guards against a first-matches answer that waits for all shards, or that does
// not list the shards it did not use.
TEST(QueryEngineTest, FirstMatchesAnswersWithEnoughRows) {
  QueryHarness h;
  h.Submit("q", "first");
  ASSERT_EQ(h.sent.size(), 3u);
  EXPECT_EQ(h.sent[0].row_limit, 2u);
  h.Reply(h.sent[0], {"a", "b"});
  const Answer& answer = h.only_answer();
  EXPECT_TRUE(answer.complete());
  ASSERT_EQ(answer.missing.size(), 2u);
  EXPECT_EQ(answer.missing[0].reason, MissingReason::kNotNeeded);
  EXPECT_EQ(h.cancelled.size(), 2u);
}

TEST(QueryEngineTest, OneServerRequestSendsOneAttempt) {
  QueryHarness h;
  h.Submit("q", "look");
  ASSERT_EQ(h.sent.size(), 1u);
  h.Reply(h.sent[0]);
  EXPECT_TRUE(h.only_answer().complete());
}

// Guards against invalid requests that are sent to a replica, or refused with
// the wrong error code.
TEST(QueryEngineTest, InvalidRequestsAreRefusedWithoutAttempts) {
  QueryHarness h;
  h.Submit("a", "absent");
  QueryRequest unknown_tenant = h.Request("b", "all");
  unknown_tenant.tenant = "absent";
  h.engine.Submit(unknown_tenant, h.now);
  h.engine.Submit(h.Request("c", "all", -1), h.now);
  h.Submit("d", "order");
  h.engine.SubmitAtMostOnce(h.Request("e", "all"), h.now);
  ASSERT_EQ(h.answers.size(), 5u);
  EXPECT_EQ(ErrorOf(h.answers[0]), ErrorCode::kUnknownClass);
  EXPECT_EQ(ErrorOf(h.answers[1]), ErrorCode::kUnknownTenant);
  EXPECT_EQ(ErrorOf(h.answers[2]), ErrorCode::kDeadlineTooShort);
  EXPECT_EQ(ErrorOf(h.answers[3]), ErrorCode::kInvalidRequest);
  EXPECT_EQ(ErrorOf(h.answers[4]), ErrorCode::kInvalidRequest);
  for (const Answer& answer : h.answers) {
    EXPECT_EQ(OutcomeOf(answer), Outcome::kNotRun);
  }
  EXPECT_TRUE(h.sent.empty());
}

// Guards against a second request with the same id that gets the answer of the
// first.
TEST(QueryEngineTest, DuplicateIdIsRefusedWhileTheFirstRuns) {
  QueryHarness h;
  h.Submit("q", "look");
  h.Submit("q", "look");
  EXPECT_EQ(ErrorOf(h.only_answer()), ErrorCode::kConflict);
  EXPECT_EQ(OutcomeOf(h.only_answer()), Outcome::kUnknown);
  h.Reply(h.sent[0]);
  ASSERT_EQ(h.answers.size(), 2u);
  EXPECT_TRUE(h.answers[1].complete());
}

// Guards against corrupted replies and replies to another attempt whose rows
// reach the answer.
TEST(QueryEngineTest, MismatchedRepliesAreDroppedAndRetried) {
  const auto corruptions = {+[](BackendReply& r) { r.request_id = "other"; },
                            +[](BackendReply& r) { ++r.attempt_id; },
                            +[](BackendReply& r) { ++r.shard; },
                            +[](BackendReply& r) { ++r.index_version; },
                            +[](BackendReply& r) { ++r.row_count; },
                            +[](BackendReply& r) { r.rows[0] += "x"; }};
  for (const auto& corrupt : corruptions) {
    QueryHarness h;
    h.Submit("q", "look");
    BackendReply reply = ReplyTo(h.sent[0], {"r"});
    corrupt(reply);
    h.engine.OnReply(h.sent[0].id, reply, h.now);
    h.Advance(70);
    ASSERT_EQ(h.sent.size(), 2u);
    EXPECT_NE(h.sent[1].replica, h.sent[0].replica);
    h.Reply(h.sent[0], {"late"});
    EXPECT_TRUE(h.answers.empty());
    h.Reply(h.sent[1]);
    EXPECT_TRUE(h.only_answer().complete());
    EXPECT_EQ(h.engine.stats().dropped_replies, 2u);
  }
}

// Guards against an answer after the deadline, and against a partial answer
// that does not list its missing shards.
TEST(QueryEngineTest, PartialAnswerAtTheDeadlineListsMissingShards) {
  QueryHarness h;
  h.Submit("q", "all");
  h.Submit("s", "strict");
  h.Reply(h.sent[0]);
  h.Reply(h.sent[3]);
  h.Advance(100);
  ASSERT_EQ(h.answers.size(), 2u);
  EXPECT_FALSE(h.answers[0].complete());
  EXPECT_EQ(h.answers[0].results.size(), 1u);
  ASSERT_EQ(h.answers[0].missing.size(), 2u);
  EXPECT_EQ(h.answers[0].missing[0].reason, MissingReason::kTimedOut);
  EXPECT_EQ(ErrorOf(h.answers[1]), ErrorCode::kDeadlineExceeded);
  EXPECT_EQ(OutcomeOf(h.answers[1]), Outcome::kRan);
  EXPECT_EQ(h.cancelled.size(), 4u);
}

// Guards against a superseded attempt that is not cancelled, or whose late
// reply answers the request again.
TEST(QueryEngineTest, ReplyToHedgeCancelsFirstAttempt) {
  QueryHarness h;
  h.RunRequests("look", 5, 40);
  h.Submit("q", "look");
  h.Advance(6);
  ASSERT_EQ(h.sent.size(), 2u);
  EXPECT_NE(h.sent[1].replica, h.sent[0].replica);
  h.Reply(h.sent[1]);
  EXPECT_EQ(h.only_answer().extra_attempts, 1u);
  EXPECT_EQ(h.cancelled, std::vector<AttemptId>{h.sent[0].id});
  h.Reply(h.sent[0]);
  EXPECT_EQ(h.answers.size(), 1u);
}

// Guards against a sub-request that waits until its deadline because its hedge
// also reached an unresponsive replica, and against unlimited hedges.
TEST(QueryEngineTest, SecondHedgeFollowsUnansweredHedge) {
  QueryHarness h;
  h.RunRequests("look", 5, 80);
  h.Submit("q", "look");
  h.Advance(80);
  ASSERT_EQ(h.sent.size(), 3u);
  EXPECT_NE(h.sent[2].replica, h.sent[0].replica);
  EXPECT_NE(h.sent[2].replica, h.sent[1].replica);
  h.Reply(h.sent[2]);
  EXPECT_EQ(h.only_answer().extra_attempts, 2u);
  EXPECT_EQ(h.cancelled.size(), 2u);
}

// Guards against a second execution of a request that must run at most once.
TEST(QueryEngineTest, AtMostOnceRequestIsRetriedOnlyWhenItDidNotRun) {
  for (const FailureKind kind :
       {FailureKind::kShed, FailureKind::kDraining, FailureKind::kConnectFailed,
        FailureKind::kConnectionLost, FailureKind::kTimedOut,
        FailureKind::kServerError, FailureKind::kCorruptReply}) {
    QueryHarness h;
    h.RunRequests("look", 5, 40);
    h.SubmitOrder("o");
    h.Advance(20);
    ASSERT_EQ(h.sent.size(), 1u) << "an order was hedged";
    h.Fail(h.sent[0], kind);
    h.Advance(100);
    if (ProvesNotRun(kind)) {
      EXPECT_GT(h.sent.size(), 1u);
      continue;
    }
    EXPECT_EQ(h.sent.size(), 1u);
    EXPECT_EQ(OutcomeOf(h.only_answer()), kind == FailureKind::kServerError
                                              ? Outcome::kRan
                                              : Outcome::kUnknown);
  }
}

// Guards against kNotRun for a cancelled order whose attempt may have run.
TEST(QueryEngineTest, OutcomeOfOrderCancelledAfterSendingIsUnknown) {
  QueryHarness h;
  h.SubmitOrder("o");
  h.engine.Cancel("o", h.now);
  EXPECT_EQ(ErrorOf(h.only_answer()), ErrorCode::kCancelled);
  EXPECT_EQ(OutcomeOf(h.only_answer()), Outcome::kUnknown);
  EXPECT_EQ(h.cancelled.size(), 1u);
}

// Guards against an answer that mixes results of two index versions.
TEST(QueryEngineTest, VersionGoneRestartsOnTheNewerVersion) {
  QueryHarness h;
  h.Submit("q", "all");
  h.Reply(h.sent[0], {"old"});
  for (uint32_t shard = 0; shard < 3; ++shard) {
    for (const char* copy : {"x", "y"}) {
      h.AddReplica("p" + std::to_string(shard) + copy, "parts",
                   {{2, shard % 2, 2}});
    }
  }
  h.Fail(h.sent[1], FailureKind::kVersionGone);
  ASSERT_EQ(h.sent.size(), 5u);
  EXPECT_EQ(h.cancelled, std::vector<AttemptId>{h.sent[2].id});
  h.Reply(h.sent[3], {"new"});
  h.Reply(h.sent[4], {"new"});
  const Answer& answer = h.only_answer();
  EXPECT_TRUE(answer.complete());
  EXPECT_EQ(answer.index_version, 2u);
  ASSERT_EQ(answer.results.size(), 2u);
  EXPECT_EQ(answer.results[0].rows, std::vector<std::string>{"new"});
}

// Guards against a request that never ends because no replica holds its version
// any longer and there is no newer one.
TEST(QueryEngineTest, VersionGoneWithoutNewerVersionGivesPartialAnswer) {
  QueryHarness h;
  h.Submit("q", "all");
  h.Reply(h.sent[0]);
  h.Reply(h.sent[1]);
  h.Fail(h.sent[2], FailureKind::kVersionGone);
  ASSERT_EQ(h.sent.size(), 4u);
  h.Fail(h.sent[3], FailureKind::kVersionGone);
  ASSERT_EQ(h.only_answer().missing.size(), 1u);
  EXPECT_EQ(h.only_answer().missing[0].reason, MissingReason::kVersionGone);
}

// Guards against a request that crashes one backend server after another
// through its retries.
TEST(QueryEngineTest, RequestThatCrashesTwoServersIsQuarantined) {
  QueryHarness h;
  h.Submit("q", "look");
  h.Fail(h.sent[0], FailureKind::kConnectionLost);
  h.Advance(70);
  ASSERT_EQ(h.sent.size(), 2u);
  h.Fail(h.sent[1], FailureKind::kConnectionLost);
  h.Advance(100);
  EXPECT_EQ(h.sent.size(), 2u);
  EXPECT_EQ(h.answers.size(), 1u);
  h.Submit("q", "look");
  ASSERT_EQ(h.answers.size(), 2u);
  EXPECT_EQ(ErrorOf(h.answers[1]), ErrorCode::kQuarantined);
  EXPECT_EQ(OutcomeOf(h.answers[1]), Outcome::kNotRun);
  EXPECT_EQ(h.engine.ExportQuarantine(h.now).size(), 1u);
}

// Guards against a quarantine suspect that is sent to all shards at once and
// may crash a replica of each.
TEST(QueryEngineTest, SuspectHasOneAttemptInFlight) {
  QueryHarness h;
  const QueryRequest request = h.Request("q", "all");
  const QuarantineRecord record{
      MakeFingerprint("all", "parts", request.payload), {"p0x"}, Millis(10)};
  h.engine.MergeQuarantine(std::vector{record}, h.now);
  h.engine.Submit(request, h.now);
  ASSERT_EQ(h.sent.size(), 1u);
  h.Reply(h.sent[0]);  // A success clears the suspect.
  EXPECT_EQ(h.sent.size(), 3u);
}

// Guards against quarantining requests after a network fault: the replica comes
// back with the same incarnation, so it did not crash.
TEST(QueryEngineTest, StatusOfSameIncarnationClearsTheLoss) {
  QueryHarness h;
  h.Submit("q", "look");
  h.Fail(h.sent[0], FailureKind::kConnectionLost);
  EXPECT_EQ(h.engine.ExportQuarantine(h.now).size(), 1u);
  h.AddReplica(h.sent[0].replica, "desk", {{1, 0, 1}});
  EXPECT_TRUE(h.engine.ExportQuarantine(h.now).empty());
}

// Guards against attempts for requests whose deadline passed while the process
// was paused.
TEST(QueryEngineTest, NoAttemptIsSentAfterTheDeadlinePassedDuringAPause) {
  QueryHarness h;
  h.RunRequests("look", 5, 40);
  h.Submit("q", "look");
  h.now += Millis(1000);
  h.engine.OnTick(h.now);
  EXPECT_EQ(h.sent.size(), 1u);
  EXPECT_EQ(ErrorOf(h.only_answer()), ErrorCode::kDeadlineExceeded);
}

// Guards against overloading replicas by running more fan-outs than the
// concurrency limit, against queued requests without an answer, and against
// patient requests that start before urgent ones.
TEST(QueryEngineTest, AdmissionLimitsFanoutsAndStartsUrgentOnesFirst) {
  QueryHarness h({}, /*slots=*/1);
  for (int i = 0; i < 6; ++i) {
    h.Submit("s" + std::to_string(i), "strict");
  }
  const uint32_t patient = h.engine.stats().running;
  for (int i = 0; i < 6; ++i) {
    h.Submit("u" + std::to_string(i), "all");
  }
  const QueryEngineStats stats = h.engine.stats();
  EXPECT_LT(patient, stats.running);
  EXPECT_EQ(stats.running + stats.queued, 12u);
  EXPECT_EQ(h.sent.size(), 3u * stats.running);
  const uint32_t urgent = stats.running - patient;
  h.engine.Cancel("s0", h.now);
  EXPECT_EQ(h.sent.back().request_id, "u" + std::to_string(urgent));
  h.engine.Cancel("s5", h.now);
  EXPECT_EQ(OutcomeOf(h.answers.back()), Outcome::kNotRun);
  h.Advance(200);
  EXPECT_EQ(h.answers.size(), 12u);
  EXPECT_EQ(h.engine.stats().queued, 0u);
}

// Guards against starting queued requests so late that half of them end after
// their deadline: under a load of twice the capacity, they displaced requests
// that could still be answered in time.
TEST(QueryEngineTest, QueuedRequestIsRefusedBelowTwiceItsEstimatedLatency) {
  QueryHarness h({}, /*slots=*/1);
  h.RunRequests("strict", 20, 30);
  int submitted = 0;
  while (h.engine.stats().queued == 0 && submitted < 20) {
    h.Submit("s" + std::to_string(submitted++), "strict");
  }
  const std::string waiting = "s" + std::to_string(submitted - 1);
  const std::vector<Attempt> running = h.sent;
  h.Advance(65);
  for (const Attempt& attempt : running) {
    h.Reply(attempt);
  }
  ASSERT_EQ(h.answers.size(), static_cast<size_t>(submitted));
  EXPECT_EQ(h.answers.front().request_id, waiting);
  EXPECT_EQ(ErrorOf(h.answers.front()), ErrorCode::kOverloaded);
  EXPECT_EQ(OutcomeOf(h.answers.front()), Outcome::kNotRun);
  EXPECT_TRUE(h.answers.back().complete());
}

// Guards against the experiment option `admission` having no effect.
TEST(QueryEngineTest, AdmissionCanBeDisabled) {
  QueryHarness h({.admission = false}, /*slots=*/1);
  for (int i = 0; i < 50; ++i) {
    h.Submit("q" + std::to_string(i), "look");
  }
  EXPECT_EQ(h.sent.size(), 50u);
}

// Guards against an unlimited explain log, and against events that do not name
// their replica.
TEST(QueryEngineTest, ExplainKeepsRecentRequests) {
  QueryHarness h;
  for (int i = 0; i < 300; ++i) {
    h.Submit("q" + std::to_string(i), "look");
    h.Reply(h.sent.back());
  }
  EXPECT_TRUE(h.engine.Explain("q0").empty());
  const std::vector<ExplainEvent> events = h.engine.Explain("q299");
  ASSERT_GE(events.size(), 4u);
  EXPECT_NE(events[2].description.find(h.sent.back().replica),
            std::string::npos);
}

}  // namespace
}  // namespace tanagervane
