// Tests of Dispatcher.

#include "dispatcher_harness.h"

#include <algorithm>
#include <limits>
#include <set>

#include "gtest/gtest.h"

namespace tanagervane {
namespace {

using Harness = DispatcherHarness;

std::string Record(char c) {
  return std::string(16, c);
}

// Guards against merged answers that miss shards or order records wrongly.
TEST(DispatcherTest, FanoutMergesAllShards) {
  Harness h;
  h.Submit("/all/x");
  const auto attempts = h.PopSentAttempts();
  ASSERT_EQ(attempts.size(), Harness::kShards);
  for (size_t i = 0; i < attempts.size(); ++i) {
    h.dispatcher.OnReply(
        attempts[i].attempt_id,
        Harness::Success(fmt::format("s{}", i),
                         Record(static_cast<char>('a' + i)) + "rest"),
        h.now);
  }
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kMerged);
  EXPECT_EQ(h.answers[0].signatures.size(), 4u);
  EXPECT_EQ(h.answers[0].missing_shards, 0u);
  EXPECT_EQ(h.answers[0].records, Record('d') + Record('c'));
  EXPECT_EQ(h.reports, 1u);
}

// Guards against a fan-out that misses its objective because it waits for an
// unresponsive shard although enough shards have answered.
TEST(DispatcherTest, PartialAnswerLeavesBeforeTheObjective) {
  Harness h({.hedging = false});
  h.Submit("/all/x");
  auto attempts = h.PopSentAttempts();
  attempts.pop_back();
  h.AnswerAll(attempts);
  h.Advance(Millis(180));
  EXPECT_TRUE(h.answers.empty());
  h.Advance(Millis(10));
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kMerged);
  EXPECT_EQ(h.answers[0].missing_shards, 1u);
}

// Guards against successful answers below the route's minimum fraction of
// shards.
TEST(DispatcherTest, TooFewShardsTimeOut) {
  Harness h({.hedging = false});
  h.Submit("/all/x");
  auto attempts = h.PopSentAttempts();
  attempts.resize(2);
  h.AnswerAll(attempts);
  h.Advance(Millis(900));
  EXPECT_TRUE(h.answers.empty());
  h.Advance(Millis(200));
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kTimedOut);
}

// Guards against a time limit that is no number, which dropped the timers of
// all running requests.
TEST(DispatcherTest, NanTimeLimitLeavesOtherTimers) {
  Harness h;
  h.Submit("/one/x");
  h.Submit("/one/x", Millis(std::numeric_limits<double>::quiet_NaN()));
  ASSERT_EQ(h.answers.size(), 1);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kRefused);
  h.Advance(Millis(5000));
  ASSERT_EQ(h.answers.size(), 2);
  EXPECT_EQ(h.answers[1].kind, AnswerKind::kTimedOut);
}

// Guards against answers that are sent too early after a configuration
// shortened the route's timeout: the shorter time left was taken for a caller's
// retry (journal 20261204T082314).
TEST(DispatcherTest, ShorterRouteTimeoutIsNotACallerRetry) {
  Harness h({.hedging = false});
  for (int i = 0; i < 40; ++i) {
    h.Submit("/all/x");
    h.AnswerAll(h.PopSentAttempts());
  }
  ServingConfig config = Harness::MakeConfig(2);
  config.routes[0].timeout = Millis(850);
  ASSERT_TRUE(h.dispatcher.ApplyConfig(config));
  h.answers.clear();
  h.Submit("/all/x");
  auto attempts = h.PopSentAttempts();
  attempts.pop_back();
  h.AnswerAll(attempts);
  h.Advance(Millis(150));
  EXPECT_TRUE(h.answers.empty());
}

// Guards against a caller's retry that gets the full objective again.
TEST(DispatcherTest, CallerRetryShortensTheObjective) {
  Harness h({.hedging = false});
  for (int i = 0; i < 40; ++i) {
    h.Submit("/all/x");
    h.AnswerAll(h.PopSentAttempts());
  }
  h.answers.clear();
  h.Submit("/all/x", Millis(900));
  auto attempts = h.PopSentAttempts();
  attempts.pop_back();
  h.AnswerAll(attempts);
  h.Advance(Millis(90));
  EXPECT_EQ(h.answers.size(), 1u);
}

// Guards against waiting for a slow replica: a hedge is sent to another replica
// of the shard, the first reply counts and the later one is ignored.
TEST(DispatcherTest, StragglerIsHedgedOnAnotherReplica) {
  Harness h;
  h.Submit("/all/x");
  auto attempts = h.PopSentAttempts();
  const OutgoingAttempt straggler = attempts.back();
  attempts.pop_back();
  h.Advance(Millis(5));
  h.AnswerAll(attempts);
  h.Advance(Millis(90));
  const auto hedges = h.PopSentAttempts();
  ASSERT_EQ(hedges.size(), 1u);
  EXPECT_NE(hedges[0].replica, straggler.replica);
  EXPECT_EQ(hedges[0].replica->service, straggler.replica->service);
  h.AnswerAll(hedges);
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].missing_shards, 0u);
  h.dispatcher.OnReply(straggler.attempt_id, Harness::Success("late"), h.now);
  EXPECT_EQ(h.answers.size(), 1u);
}

// Guards against a hedge that is sent too late to be answered on time when the
// caller has spent a part of its time on connecting.
TEST(DispatcherTest, HedgeIsSentInTimeForTheObjective) {
  Harness h;
  constexpr Millis kLatency(30);
  for (int i = 0; i < 40; ++i) {
    h.Submit("/all/x");
    h.Advance(kLatency);
    h.AnswerAll(h.PopSentAttempts());
  }
  h.answers.clear();
  // 110 ms of the objective of 200 ms are spent; the answer margin is 15 ms.
  h.Submit("/all/x", Millis(890));
  auto attempts = h.PopSentAttempts();
  attempts.pop_back();
  h.Advance(kLatency);
  h.AnswerAll(attempts);
  h.Advance(Millis(75) - kLatency * 2);
  const auto hedges = h.PopSentAttempts();
  ASSERT_EQ(hedges.size(), 1u);
  h.Advance(kLatency - Millis(1));
  h.AnswerAll(hedges);
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].missing_shards, 0u);
}

// Guards against hedges that lengthen the queues of loaded replicas: a hedge
// waits until a replica with a short queue is there.
TEST(DispatcherTest, HedgeIsNotSentIntoAQueue) {
  for (const bool hedge_short_queues : {true, false}) {
    Harness h({.hedge_short_queues = hedge_short_queues});
    for (int i = 0; i < 40; ++i) {
      h.Submit("/all/x");
      h.Advance(Millis(30));
      h.AnswerAll(h.PopSentAttempts());
    }
    h.Submit("/all/x");
    auto attempts = h.PopSentAttempts();
    const OutgoingAttempt straggler = attempts.back();
    attempts.pop_back();
    h.AnswerAll(attempts);
    const auto report = [&](const LoadReport& load) {
      for (const auto& replica : straggler.replica->service->replicas) {
        ReplicaChooser::RecordLoad(*replica, load, h.now);
      }
    };
    // Sixty requests wait for five slots.
    for (int i = 0; i < 10; ++i) {
      h.Advance(Millis(8));
      report({.running = 5, .waiting = 60, .slots = 5});
    }
    EXPECT_EQ(h.PopSentAttempts().size(), hedge_short_queues ? 0u : 1u);
    report({.running = 1, .waiting = 0, .slots = 5});
    h.Advance(Millis(30));
    EXPECT_EQ(h.PopSentAttempts().size(), hedge_short_queues ? 1u : 0u);
  }
}

// Guards against running a sub-request on more replicas than the route allows.
TEST(DispatcherTest, MaxAttemptsLimitsReplicasPerShard) {
  Harness h;
  h.Submit("/all/x");
  std::map<Service*, std::set<ServingReplica*>> reached;
  for (int step = 0; step < 100; ++step) {
    for (const OutgoingAttempt& attempt : h.PopSentAttempts()) {
      reached[attempt.replica->service].insert(attempt.replica.get());
    }
    h.Advance(Millis(10));
  }
  EXPECT_EQ(reached.size(), Harness::kShards);
  for (const auto& [service, replicas] : reached) {
    EXPECT_LE(replicas.size(), 2u) << service->name;
  }
}

// Guards against executing a request that is not idempotent twice.
TEST(DispatcherTest, NonIdempotentRequestIsNotRetriedAfterConnectionLoss) {
  Harness h;
  h.Submit("/one/x");
  const auto attempts = h.PopSentAttempts();
  ASSERT_EQ(attempts.size(), 1u);
  h.dispatcher.OnFailure(attempts[0].attempt_id, FailureKind::kConnectionLost,
                         h.now);
  h.Advance(Millis(2000));
  EXPECT_TRUE(h.PopSentAttempts().empty());
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kFailed);
}

// Guards against giving up a request that a replica rejected.
TEST(DispatcherTest, NonIdempotentRequestIsRetriedAfterRejection) {
  Harness h;
  h.Submit("/one/x");
  auto attempts = h.PopSentAttempts();
  h.dispatcher.OnReply(attempts[0].attempt_id, Harness::Rejected(), h.now);
  const auto retries = h.PopSentAttempts();
  ASSERT_EQ(retries.size(), 1u);
  EXPECT_NE(retries[0].replica, attempts[0].replica);
  h.dispatcher.OnReply(retries[0].attempt_id, Harness::Rejected(), h.now);
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kRefused);
  EXPECT_EQ(h.answers[0].reason, AnswerReason::kShed);
}

// Guards against falsely telling the caller that its request did not run: a 503
// proves nothing unless the replica states that it did not run the request.
TEST(DispatcherTest, FailedReplyWith503IsNotPassedOn) {
  Harness h;
  h.Submit("/one/x");
  ReplicaReply reply;
  reply.kind = ReplyKind::kFailed;
  reply.status = 503;
  h.dispatcher.OnReply(h.PopSentAttempts()[0].attempt_id, reply, h.now);
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kFailed);
}

// Guards against hiding a replica's error response from the caller.
TEST(DispatcherTest, FailedReplyWith500IsPassedOn) {
  Harness h;
  h.Submit("/one/x");
  ReplicaReply reply;
  reply.kind = ReplyKind::kFailed;
  reply.status = 500;
  reply.signature = "s";
  h.dispatcher.OnReply(h.PopSentAttempts()[0].attempt_id, reply, h.now);
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kReply);
  EXPECT_EQ(h.answers[0].reply.status, 500u);
}

// Guards against waiting for a shard whose replicas are all unresponsive.
TEST(DispatcherTest, UnresponsiveShardIsNotWaitedFor) {
  Harness h;
  for (size_t i = 0; i < Harness::kReplicas; ++i) {
    const auto* replica = h.replicas.Find(fmt::format("shard0-{}", i));
    const_cast<ServingReplica*>(replica)->unresponsive = true;
  }
  h.Submit("/all/x");
  h.AnswerAll(h.PopSentAttempts());
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].missing_shards, 1u);
  EXPECT_EQ(h.answers[0].reason, AnswerReason::kNoReplica);
}

// Guards against admitting requests when too few shards have a replica.
TEST(DispatcherTest, RefusedAtOnceWhenTooFewShardsHaveReplicas) {
  Harness h;
  for (size_t i = 0; i < Harness::kReplicas; ++i) {
    h.replicas.Remove(fmt::format("shard0-{}", i), h.now, h.now);
    h.replicas.Remove(fmt::format("shard1-{}", i), h.now, h.now);
  }
  h.replicas.RetireLapsed(h.now + Millis(3000));
  h.Submit("/all/x");
  EXPECT_TRUE(h.PopSentAttempts().empty());
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kRefused);
  EXPECT_GT(h.answers[0].retry_after, Millis(0));
}

// Guards against requests that queue until they are late. Every replica reports
// a queue of twenty times its slots.
TEST(DispatcherTest, RefusedWhenEveryReplicaIsOverloaded) {
  for (const bool admission : {true, false}) {
    Harness h({.admission = admission});
    h.replicas.ForEachService([&](Service& service) {
      for (const auto& replica : service.replicas) {
        ReplicaChooser::RecordLoad(*replica, LoadReport{5, 100, 5}, h.now);
      }
    });
    h.Submit("/all/x");
    EXPECT_EQ(h.answers.size(), admission ? 1u : 0u);
    if (admission) {
      EXPECT_EQ(h.answers[0].reason, AnswerReason::kOverloaded);
    }
  }
}

// Guards against answering "unknown route" before a configuration is known.
TEST(DispatcherTest, RefusedWithoutConfiguration) {
  Quarantine quarantine(true, 3);
  ReplicaSet replicas(
      {.on_retired = [](ServingReplica&, std::string_view) {},
       .on_added = [](ServingReplica&) {},
       .on_rate_limit_changed = [](const ServingReplica&, std::string_view) {},
       .on_backoff = [](const ServingReplica&, Millis) {}});
  std::vector<FinalAnswer> answers;
  DispatcherHooks hooks;
  hooks.answer = [&](const FinalAnswer& answer) { answers.push_back(answer); };
  hooks.on_finished = [](const RequestReport&) {};
  Dispatcher dispatcher({}, replicas, quarantine, hooks);
  dispatcher.Submit(1, std::make_shared<CallerRequest>(), Millis(0));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, AnswerKind::kRefused);
  EXPECT_EQ(answers[0].reason, AnswerReason::kNoConfig);
}

// Guards against replacing a configuration by an older version.
TEST(DispatcherTest, OlderConfigurationIsIgnored) {
  Harness h;
  EXPECT_TRUE(h.dispatcher.ApplyConfig(Harness::MakeConfig(5)));
  EXPECT_FALSE(h.dispatcher.ApplyConfig(Harness::MakeConfig(4)));
  EXPECT_FALSE(h.dispatcher.ApplyConfig(Harness::MakeConfig(5)));
  EXPECT_EQ(h.dispatcher.plan()->version(), 5u);
}

// Guards against answers that mix shards of two configuration versions.
TEST(DispatcherTest, RunningRequestKeepsItsPlan) {
  Harness h;
  h.Submit("/all/x");
  ServingConfig config = Harness::MakeConfig(2);
  config.routes[0].shards = {"other"};
  h.dispatcher.ApplyConfig(config);
  h.AnswerAll(h.PopSentAttempts());
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].signatures.size(), Harness::kShards);
}

// Guards against a timeout answer that arrives just after the caller stopped
// waiting. The network delay is 3 ms in each direction.
TEST(DispatcherTest, TimeoutAnswerReachesTheCallerBeforeItsDeadline) {
  Harness h;
  constexpr Millis kOneWayDelay(3);
  constexpr Millis kCallerTimeout(500);
  const Millis sent_at = h.now - kOneWayDelay;
  h.Submit("/one/x", kCallerTimeout);
  h.Advance(Millis(1000));
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kTimedOut);
  EXPECT_LE(h.last_answer_at + kOneWayDelay, sent_at + kCallerTimeout);
}

// Guards against attempts that run long after the caller cancelled.
TEST(DispatcherTest, AttemptsOfAbandonedRequestAreCancelled) {
  Harness h;
  const RequestKey key = h.Submit("/all/x");
  const size_t attempts = h.PopSentAttempts().size();
  h.dispatcher.Cancel(key, h.now);
  h.Advance(Millis(400));
  EXPECT_EQ(h.cancelled_attempts.size(), attempts);
  EXPECT_TRUE(h.answers.empty());
  EXPECT_TRUE(h.PopSentAttempts().empty());
}

// Guards against sending requests to an unresponsive replica, and against never
// using it again.
TEST(DispatcherTest, UnresponsiveReplicaIsProbedUntilItAnswers) {
  Harness h;
  h.Submit("/all/x");
  auto attempts = h.PopSentAttempts();
  ServingReplica* unresponsive_replica = attempts.back().replica.get();
  attempts.pop_back();
  h.AnswerAll(attempts);
  h.Advance(Millis(100));
  h.AnswerAll(h.PopSentAttempts());
  h.Advance(Millis(700));
  h.dispatcher.CheckReplicaHealth(h.now);
  EXPECT_TRUE(unresponsive_replica->unresponsive);
  h.Advance(Millis(600));
  h.dispatcher.CheckReplicaHealth(h.now);
  ASSERT_EQ(h.probes.size(), 1u);
  EXPECT_EQ(h.probes[0].get(), unresponsive_replica);
  h.dispatcher.OnProbeReply(*unresponsive_replica,
                            {.healthy = true, .self_report = {}}, h.now);
  EXPECT_FALSE(unresponsive_replica->unresponsive);
}

// Guards against requests that are taken late in the grace time of a stop and
// cut at its end, although another VM could have run them.
TEST(DispatcherTest, RequestThatMayOutlastTheStopIsRefused) {
  Harness h;
  h.dispatcher.SetStopDeadline(h.now + Millis(500));
  h.Submit("/one/x", Millis(600));
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kRefused);
  EXPECT_EQ(h.answers[0].reason, AnswerReason::kStopping);
  EXPECT_TRUE(h.PopSentAttempts().empty());
  h.Submit("/one/x", Millis(400));
  h.Submit("/all/x", Millis(1000));
  EXPECT_EQ(h.PopSentAttempts().size(), 1 + Harness::kShards);
  h.Advance(Millis(350));
  h.PopSentAttempts();
  h.Submit("/all/x", Millis(1000));
  EXPECT_TRUE(h.PopSentAttempts().empty());
}

// Guards against a replica that is never used again because the connection of
// a health probe has gone silent.
TEST(DispatcherTest, UnansweredProbeIsRepeated) {
  Harness h;
  h.Submit("/all/x");
  ServingReplica& replica = *h.PopSentAttempts().back().replica;
  for (int step = 0; step < 45; ++step) {
    h.Advance(Millis(100));
    h.dispatcher.CheckReplicaHealth(h.now);
  }
  ASSERT_TRUE(replica.unresponsive);
  const auto probes = std::ranges::count_if(
      h.probes, [&](const auto& probed) { return probed.get() == &replica; });
  EXPECT_EQ(probes, 2);
  EXPECT_GE(h.cancelled_probes, 1u);
  h.dispatcher.OnProbeReply(replica, {.healthy = true, .self_report = {}},
                            h.now);
  EXPECT_FALSE(replica.unresponsive);
}

// Guards against cancelling the attempt whose reply would show that a paused
// replica works again, when the pause is shorter than the unresponsive timeout.
// The replica would stay unused and then be probed over a new connection.
TEST(DispatcherTest, AttemptOnOverdueReplicaIsKeptUntilItAnswers) {
  Harness h;
  for (int i = 0; i < 40; ++i) {
    h.Submit("/all/x");
    h.Advance(Millis(10));
    h.AnswerAll(h.PopSentAttempts());
  }
  h.Submit("/all/x");
  auto attempts = h.PopSentAttempts();
  const OutgoingAttempt paused = attempts.back();
  attempts.pop_back();
  h.Advance(Millis(10));
  h.AnswerAll(attempts);
  h.Advance(Millis(20));
  h.AnswerAll(h.PopSentAttempts());
  ASSERT_TRUE(paused.replica->overdue);
  h.Advance(Millis(250));
  EXPECT_TRUE(h.cancelled_attempts.empty());
  h.AnswerAll({paused});
  EXPECT_FALSE(paused.replica->overdue);
  h.Advance(Millis(1000));
  h.dispatcher.CheckReplicaHealth(h.now);
  EXPECT_TRUE(h.probes.empty());
}

// Guards against keeping that attempt when the request was abandoned, or when
// the replica stays unresponsive.
TEST(DispatcherTest, AttemptOnOverdueReplicaIsCancelledEventually) {
  for (const bool abandoned : {true, false}) {
    Harness h;
    const RequestKey key = h.Submit("/all/x");
    auto attempts = h.PopSentAttempts();
    attempts.pop_back();
    h.AnswerAll(attempts);
    h.Advance(Millis(100));
    if (abandoned) {
      h.dispatcher.Cancel(key, h.now);
    } else {
      h.AnswerAll(h.PopSentAttempts());
    }
    h.Advance(Millis(abandoned ? 200 : 500));
    EXPECT_FALSE(h.cancelled_attempts.empty()) << abandoned;
  }
}

// Guards against losing one attempt after another at a replica that resets new
// connections while other replicas are free.
TEST(DispatcherTest, NoNewConnectionsSoonAfterAReset) {
  Harness h;
  h.Submit("/one/x");
  const OutgoingAttempt failed_attempt = h.PopSentAttempts().front();
  h.dispatcher.OnFailure(failed_attempt.attempt_id,
                         FailureKind::kNewConnectionLost, h.now);
  const auto count_uses = [&h, &failed_attempt] {
    size_t count = 0;
    for (int i = 0; i < 60; ++i) {
      h.Submit("/one/x");
      const auto attempts = h.PopSentAttempts();
      count += attempts.front().replica == failed_attempt.replica ? 1 : 0;
      h.AnswerAll(attempts);
    }
    return count;
  };
  EXPECT_EQ(count_uses(), 0u);
  failed_attempt.replica->idle_connections = 1;
  EXPECT_GT(count_uses(), 0u) << "idle connections are used";
  failed_attempt.replica->idle_connections = 0;
  h.Advance(Millis(5000));
  EXPECT_GT(count_uses(), 0u);
}

// Guards against superseded attempts that use up the connections to slow
// replicas. All replicas of one shard take 500 ms, and each request is answered
// without that shard.
TEST(DispatcherTest, SupersededAttemptsAreCancelled) {
  Harness h;
  h.replicas.SetFleetSize(2, {.ratio = 0.2, .slack = 1000});
  for (int i = 0; i < 40; ++i) {
    h.Submit("/all/x");
    h.Advance(Millis(10));
    h.AnswerAll(h.PopSentAttempts());
  }
  std::vector<std::pair<Millis, OutgoingAttempt>> slow_attempts;
  size_t with_all_shards = 0;
  constexpr size_t kRequests = 100;
  for (size_t i = 0; i < kRequests; ++i) {
    h.Submit("/all/x");
    std::vector<OutgoingAttempt> fast_attempts;
    std::set<Service*> reached;
    for (const OutgoingAttempt& attempt : h.PopSentAttempts()) {
      reached.insert(attempt.replica->service);
      if (attempt.replica->service->name == "shard0") {
        slow_attempts.emplace_back(h.now, attempt);
      } else {
        fast_attempts.push_back(attempt);
      }
    }
    with_all_shards += reached.size() == Harness::kShards ? 1 : 0;
    h.Advance(Millis(15));
    h.AnswerAll(fast_attempts);
    std::erase_if(slow_attempts, [&](const auto& timed_attempt) {
      const bool due = h.now - timed_attempt.first >= Millis(500);
      if (due) {
        h.AnswerAll({timed_attempt.second});
      }
      return due;
    });
  }
  EXPECT_GT(with_all_shards, kRequests * 8 / 10);
}

// Guards against a request that crashes one replica after another.
TEST(DispatcherTest, RequestThatCrashesReplicasIsRefused) {
  Harness h;
  for (int i = 0; i < 3; ++i) {
    h.Submit("/one/poison");
    const auto attempts = h.PopSentAttempts();
    ASSERT_EQ(attempts.size(), 1u);
    h.dispatcher.OnFailure(attempts[0].attempt_id, FailureKind::kConnectionLost,
                           h.now);
    attempts[0].replica->unresponsive = true;
    h.Advance(Millis(50));
  }
  h.AddReplicas("desk");
  h.Submit("/one/poison");
  EXPECT_TRUE(h.PopSentAttempts().empty());
  EXPECT_EQ(h.answers.back().reason, AnswerReason::kQuarantined);
}

// Guards against exceeding the retry budget when every replica rejects every
// attempt.
TEST(DispatcherTest, RetriesStayWithinTheBudget) {
  Harness h;
  h.replicas.SetFleetSize(1,
                          {.ratio = 0.2, .slack = 0, .window = Millis(10000)});
  size_t attempts = 0;
  constexpr size_t kRequests = 400;
  for (size_t i = 0; i < kRequests; ++i) {
    h.Submit("/one/x");
    for (auto batch = h.PopSentAttempts(); !batch.empty();
         batch = h.PopSentAttempts()) {
      attempts += batch.size();
      for (const OutgoingAttempt& attempt : batch) {
        h.dispatcher.OnReply(attempt.attempt_id, Harness::Rejected(), h.now);
      }
    }
    h.Advance(Millis(10));
  }
  EXPECT_GT(attempts, kRequests);
  EXPECT_LE(attempts, kRequests + kRequests / 5);
}

// Guards against requests that get no answer when the process stops.
TEST(DispatcherTest, StopAnswersRunningRequests) {
  Harness h;
  h.Submit("/all/x");
  h.Submit("/one/x");
  h.dispatcher.Stop(h.now);
  EXPECT_EQ(h.answers.size(), 2u);
  EXPECT_EQ(h.dispatcher.running_requests(), 0u);
}

}  // namespace
}  // namespace tanagervane
