// Tests of the life cycle of requests.

#include "dispatcher_harness.h"

#include <set>

#include "gtest/gtest.h"

namespace tanagervane {
namespace {

using Harness = DispatcherHarness;

std::string Record(char c) {
  return std::string(16, c);
}

// Guards against answers that miss parts, or merge them in another order.
TEST(DispatcherTest, FanoutMergesAllParts) {
  Harness h;
  h.Submit("/all/x");
  const auto sends = h.TakeSends();
  ASSERT_EQ(sends.size(), Harness::kShards);
  for (size_t i = 0; i < sends.size(); ++i) {
    h.dispatcher.OnReply(
        sends[i].attempt,
        Harness::Success(fmt::format("s{}", i),
                         Record(static_cast<char>('a' + i)) + "rest"),
        h.now);
  }
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kMerged);
  EXPECT_EQ(h.answers[0].signatures.size(), 4u);
  EXPECT_EQ(h.answers[0].missing_parts, 0u);
  EXPECT_EQ(h.answers[0].records, Record('d') + Record('c'));
  EXPECT_EQ(h.reports, 1u);
}

// Guards against a fan-out that waits for a silent shard until it is late,
// although enough shards are in.
TEST(DispatcherTest, PartialAnswerLeavesBeforeTheObjective) {
  Harness h({.hedging = false});
  h.Submit("/all/x");
  auto sends = h.TakeSends();
  sends.pop_back();
  h.AnswerAll(sends);
  h.Advance(Millis(180));
  EXPECT_TRUE(h.answers.empty());
  h.Advance(Millis(10));
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kMerged);
  EXPECT_EQ(h.answers[0].missing_parts, 1u);
}

// Guards against successes below the route's smallest share of shards.
TEST(DispatcherTest, TooFewPartsAreNoAnswer) {
  Harness h({.hedging = false});
  h.Submit("/all/x");
  auto sends = h.TakeSends();
  sends.resize(2);
  h.AnswerAll(sends);
  h.Advance(Millis(900));
  EXPECT_TRUE(h.answers.empty());
  h.Advance(Millis(200));
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kTimedOut);
}

// Guards against answers that leave early because the configuration shortened
// the route's timeout: callers did not try before (calm day of tezniowa,
// journal 20261204T082314).
TEST(DispatcherTest, ShorterTimeoutIsNoEarlierTry) {
  Harness h({.hedging = false});
  for (int i = 0; i < 40; ++i) {
    h.Submit("/all/x");
    h.AnswerAll(h.TakeSends());
  }
  ServingConfig config = Harness::MakeConfig(2);
  config.routes[0].timeout = Millis(850);
  ASSERT_TRUE(h.dispatcher.ApplyConfig(config));
  h.answers.clear();
  h.Submit("/all/x");
  auto sends = h.TakeSends();
  sends.pop_back();
  h.AnswerAll(sends);
  h.Advance(Millis(150));
  EXPECT_TRUE(h.answers.empty());
}

// Guards against a second try that is treated as if its caller had just come.
TEST(DispatcherTest, EarlierTryCountsAgainstTheObjective) {
  Harness h({.hedging = false});
  for (int i = 0; i < 40; ++i) {
    h.Submit("/all/x");
    h.AnswerAll(h.TakeSends());
  }
  h.answers.clear();
  h.Submit("/all/x", Millis(900));
  auto sends = h.TakeSends();
  sends.pop_back();
  h.AnswerAll(sends);
  h.Advance(Millis(90));
  EXPECT_EQ(h.answers.size(), 1u);
}

// Guards against waiting for a straggler: its shard is asked again, the first
// answer counts, the late one changes nothing.
TEST(DispatcherTest, StragglerIsHedgedOnAnotherReplica) {
  Harness h;
  h.Submit("/all/x");
  auto sends = h.TakeSends();
  const SendOrder straggler = sends.back();
  sends.pop_back();
  h.Advance(Millis(5));
  h.AnswerAll(sends);
  h.Advance(Millis(90));
  const auto hedges = h.TakeSends();
  ASSERT_EQ(hedges.size(), 1u);
  EXPECT_NE(hedges[0].replica, straggler.replica);
  EXPECT_EQ(hedges[0].replica->service, straggler.replica->service);
  h.AnswerAll(hedges);
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].missing_parts, 0u);
  h.dispatcher.OnReply(straggler.attempt, Harness::Success("late"), h.now);
  EXPECT_EQ(h.answers.size(), 1u);
}

// Guards against a hedge that leaves too late to be answered on time, for a
// caller that has spent a part of its time on connecting.
TEST(DispatcherTest, HedgeLeavesInTimeToBeAnswered) {
  Harness h;
  constexpr Millis kLatency(30);
  for (int i = 0; i < 40; ++i) {
    h.Submit("/all/x");
    h.Advance(kLatency);
    h.AnswerAll(h.TakeSends());
  }
  h.answers.clear();
  // 110 ms of the objective of 200 ms are spent; 15 ms are left for the way
  // back.
  h.Submit("/all/x", Millis(890));
  auto sends = h.TakeSends();
  sends.pop_back();
  h.Advance(kLatency);
  h.AnswerAll(sends);
  h.Advance(Millis(75) - kLatency * 2);
  const auto hedges = h.TakeSends();
  ASSERT_EQ(hedges.size(), 1u);
  h.Advance(kLatency - Millis(1));
  h.AnswerAll(hedges);
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].missing_parts, 0u);
}

// Guards against work that runs on more replicas than the route allows.
TEST(DispatcherTest, AttemptsBoundTheReplicasOfAShard) {
  Harness h;
  h.Submit("/all/x");
  std::map<Service*, std::set<ServingReplica*>> reached;
  for (int step = 0; step < 100; ++step) {
    for (const SendOrder& order : h.TakeSends()) {
      reached[order.replica->service].insert(order.replica.get());
    }
    h.Advance(Millis(10));
  }
  EXPECT_EQ(reached.size(), Harness::kShards);
  for (const auto& [service, replicas] : reached) {
    EXPECT_LE(replicas.size(), 2u) << service->name;
  }
}

// Guards against a request that must not be repeated running twice.
TEST(DispatcherTest, UnrepeatableIsNotSentAgainAfterALostConnection) {
  Harness h;
  h.Submit("/one/x");
  const auto sends = h.TakeSends();
  ASSERT_EQ(sends.size(), 1u);
  h.dispatcher.OnFailure(sends[0].attempt, FailureKind::kConnectionLost, h.now);
  h.Advance(Millis(2000));
  EXPECT_TRUE(h.TakeSends().empty());
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kFailed);
}

// Guards against a request that failed without running and is given up.
TEST(DispatcherTest, UnrepeatableIsSentAgainWhenItDidNotRun) {
  Harness h;
  h.Submit("/one/x");
  auto sends = h.TakeSends();
  h.dispatcher.OnReply(sends[0].attempt, Harness::Rejected(), h.now);
  const auto again = h.TakeSends();
  ASSERT_EQ(again.size(), 1u);
  EXPECT_NE(again[0].replica, sends[0].replica);
  h.dispatcher.OnReply(again[0].attempt, Harness::Rejected(), h.now);
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kRefused);
  EXPECT_EQ(h.answers[0].reason, AnswerReason::kShed);
}

// Guards against a "not run" that is untrue: a replica's 503 without its word
// that it did not run the request is no promise.
TEST(DispatcherTest, UnprovenRefusalIsNotPassedOn) {
  Harness h;
  h.Submit("/one/x");
  ReplicaReply reply;
  reply.kind = ReplyKind::kFailed;
  reply.status = 503;
  h.dispatcher.OnReply(h.TakeSends()[0].attempt, reply, h.now);
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kFailed);
}

// Guards against a replica's own failure that is hidden from the caller.
TEST(DispatcherTest, ReplicasFailureIsPassedOn) {
  Harness h;
  h.Submit("/one/x");
  ReplicaReply reply;
  reply.kind = ReplyKind::kFailed;
  reply.status = 500;
  reply.signature = "s";
  h.dispatcher.OnReply(h.TakeSends()[0].attempt, reply, h.now);
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kReply);
  EXPECT_EQ(h.answers[0].reply.status, 500u);
}

// Guards against callers that wait for shards known to be down.
TEST(DispatcherTest, ShardThatIsDownIsNotWaitedFor) {
  Harness h;
  for (size_t i = 0; i < Harness::kReplicas; ++i) {
    const auto* replica = h.replicas.Find(fmt::format("shard0-{}", i));
    const_cast<ServingReplica*>(replica)->unresponsive = true;
  }
  h.Submit("/all/x");
  h.AnswerAll(h.TakeSends());
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].missing_parts, 1u);
  EXPECT_EQ(h.answers[0].reason, AnswerReason::kNoReplica);
}

// Guards against requests that are held although too few shards can answer.
TEST(DispatcherTest, RefusedAtOnceWhenTooFewShardsAreUp) {
  Harness h;
  for (size_t i = 0; i < Harness::kReplicas; ++i) {
    h.replicas.Remove(fmt::format("shard0-{}", i), h.now);
    h.replicas.Remove(fmt::format("shard1-{}", i), h.now);
  }
  h.replicas.Sweep(h.now + Millis(3000));
  h.Submit("/all/x");
  EXPECT_TRUE(h.TakeSends().empty());
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kRefused);
  EXPECT_GT(h.answers[0].retry_after, Millis(0));
}

// Guards against requests that join a queue they cannot leave on time. The
// load: each replica of every shard reports a queue of twenty times its slots.
TEST(DispatcherTest, RefusedWhenEveryReplicaIsOverloaded) {
  for (const bool admission : {true, false}) {
    Harness h({.admission = admission});
    h.replicas.ForEachService([&](Service& service) {
      for (const auto& replica : service.replicas) {
        replica->load = LoadReport{5, 100, 5};
        replica->load_at = h.now;
      }
    });
    h.Submit("/all/x");
    EXPECT_EQ(h.answers.size(), admission ? 1u : 0u);
    if (admission) {
      EXPECT_EQ(h.answers[0].reason, AnswerReason::kOverloaded);
    }
  }
}

// Guards against a "not found" from a process that knows no configuration.
TEST(DispatcherTest, WithoutConfigurationNothingIsUnknown) {
  Quarantine quarantine(true, 3);
  ReplicaSet replicas({.retired = [](ServingReplica&, std::string_view) {},
                       .added = [](ServingReplica&) {}});
  std::vector<FinalAnswer> answers;
  DispatcherHooks hooks;
  hooks.answer = [&](const FinalAnswer& answer) { answers.push_back(answer); };
  hooks.finished = [](const RequestReport&) {};
  Dispatcher dispatcher({}, replicas, quarantine, hooks);
  dispatcher.Submit(1, std::make_shared<CallerRequest>(), Millis(0));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, AnswerKind::kRefused);
  EXPECT_EQ(answers[0].reason, AnswerReason::kNoConfig);
}

// Guards against a configuration that goes back to an older version.
TEST(DispatcherTest, OlderConfigurationIsIgnored) {
  Harness h;
  EXPECT_TRUE(h.dispatcher.ApplyConfig(Harness::MakeConfig(5)));
  EXPECT_FALSE(h.dispatcher.ApplyConfig(Harness::MakeConfig(4)));
  EXPECT_FALSE(h.dispatcher.ApplyConfig(Harness::MakeConfig(5)));
  EXPECT_EQ(h.dispatcher.plan()->version(), 5u);
}

// Guards against parts of two versions in one answer.
TEST(DispatcherTest, RunningRequestKeepsItsShards) {
  Harness h;
  h.Submit("/all/x");
  ServingConfig config = Harness::MakeConfig(2);
  config.routes[0].shards = {"other"};
  h.dispatcher.ApplyConfig(config);
  h.AnswerAll(h.TakeSends());
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].signatures.size(), Harness::kShards);
}

// Guards against a final answer that reaches its caller just after it has left:
// the way is 3 ms there and 3 ms back.
TEST(DispatcherTest, TimedOutAnswerReachesTheCaller) {
  Harness h;
  constexpr Millis kWay(3);
  constexpr Millis kPatience(500);
  const Millis sent = h.now - kWay;
  h.Submit("/one/x", kPatience);
  h.Advance(Millis(1000));
  ASSERT_EQ(h.answers.size(), 1u);
  EXPECT_EQ(h.answers[0].kind, AnswerKind::kTimedOut);
  EXPECT_LE(h.answered_at + kWay, sent + kPatience);
}

// Guards against work that goes on long after its caller has gone.
TEST(DispatcherTest, WorkEndsSoonAfterTheCallerHasGone) {
  Harness h;
  const RequestKey key = h.Submit("/all/x");
  const size_t sends = h.TakeSends().size();
  h.dispatcher.Cancel(key, h.now);
  h.Advance(Millis(400));
  EXPECT_EQ(h.abandoned.size(), sends);
  EXPECT_TRUE(h.answers.empty());
  EXPECT_TRUE(h.TakeSends().empty());
}

// Guards against requests that keep going to a replica that is silent, and
// against replicas that are never tried again.
TEST(DispatcherTest, SilentReplicaIsProbedUntilItAnswers) {
  Harness h;
  h.Submit("/all/x");
  auto sends = h.TakeSends();
  ServingReplica* silent = sends.back().replica.get();
  sends.pop_back();
  h.AnswerAll(sends);
  h.Advance(Millis(100));
  h.AnswerAll(h.TakeSends());
  h.Advance(Millis(700));
  h.dispatcher.Sweep(h.now);
  EXPECT_TRUE(silent->unresponsive);
  h.Advance(Millis(600));
  h.dispatcher.Sweep(h.now);
  ASSERT_EQ(h.probes.size(), 1u);
  EXPECT_EQ(h.probes[0].get(), silent);
  h.dispatcher.OnProbe(*silent, true, h.now);
  EXPECT_FALSE(silent->unresponsive);
}

// Guards against a replica that stays out of use, and is then probed over a new
// connection, after a pause that is shorter than the silence limit: the attempt
// that shows its return must not be broken off.
TEST(DispatcherTest, PausedReplicaIsUsedAgainWhenItAnswers) {
  Harness h;
  for (int i = 0; i < 40; ++i) {
    h.Submit("/all/x");
    h.Advance(Millis(10));
    h.AnswerAll(h.TakeSends());
  }
  h.Submit("/all/x");
  auto sends = h.TakeSends();
  const SendOrder paused = sends.back();
  sends.pop_back();
  h.Advance(Millis(10));
  h.AnswerAll(sends);
  h.Advance(Millis(20));
  h.AnswerAll(h.TakeSends());
  ASSERT_TRUE(paused.replica->overdue);
  h.Advance(Millis(250));
  EXPECT_TRUE(h.abandoned.empty());
  h.AnswerAll({paused});
  EXPECT_FALSE(paused.replica->overdue);
  h.Advance(Millis(1000));
  h.dispatcher.Sweep(h.now);
  EXPECT_TRUE(h.probes.empty());
}

// Guards against the same attempt being kept when its caller has gone, or when
// the replica stays silent.
TEST(DispatcherTest, AttemptOnAnOverdueReplicaEnds) {
  for (const bool caller_gone : {true, false}) {
    Harness h;
    const RequestKey key = h.Submit("/all/x");
    auto sends = h.TakeSends();
    sends.pop_back();
    h.AnswerAll(sends);
    h.Advance(Millis(100));
    if (caller_gone) {
      h.dispatcher.Cancel(key, h.now);
    } else {
      h.AnswerAll(h.TakeSends());
    }
    h.Advance(Millis(caller_gone ? 200 : 500));
    EXPECT_FALSE(h.abandoned.empty()) << caller_gone;
  }
}

// Guards against attempts that are lost one after the other at a replica that
// takes no more connections, while others have room.
TEST(DispatcherTest, ReplicaThatResetsNewConnectionsGetsNoneForAWhile) {
  Harness h;
  h.Submit("/one/x");
  const SendOrder lost = h.TakeSends().front();
  h.dispatcher.OnFailure(lost.attempt, FailureKind::kNewConnectionLost, h.now);
  const auto uses = [&h, &lost] {
    size_t count = 0;
    for (int i = 0; i < 60; ++i) {
      h.Submit("/one/x");
      const auto sends = h.TakeSends();
      count += sends.front().replica == lost.replica ? 1 : 0;
      h.AnswerAll(sends);
    }
    return count;
  };
  EXPECT_EQ(uses(), 0u);
  lost.replica->idle_connections = 1;
  EXPECT_GT(uses(), 0u) << "connections that stand are used";
  lost.replica->idle_connections = 0;
  h.Advance(Millis(5000));
  EXPECT_GT(uses(), 0u);
}

// Guards against attempts that nobody waits for and that keep wanted requests
// from slow replicas. The load: every replica of a shard takes half a second,
// and each request is answered without it.
TEST(DispatcherTest, LosingAttemptsMakeRoom) {
  Harness h;
  h.replicas.SetFleet(2, {.ratio = 0.2, .slack = 1000});
  for (int i = 0; i < 40; ++i) {
    h.Submit("/all/x");
    h.Advance(Millis(10));
    h.AnswerAll(h.TakeSends());
  }
  std::vector<std::pair<Millis, SendOrder>> slow;
  size_t with_all_shards = 0;
  constexpr size_t kRequests = 100;
  for (size_t i = 0; i < kRequests; ++i) {
    h.Submit("/all/x");
    std::vector<SendOrder> fast;
    std::set<Service*> reached;
    for (const SendOrder& order : h.TakeSends()) {
      reached.insert(order.replica->service);
      if (order.replica->service->name == "shard0") {
        slow.emplace_back(h.now, order);
      } else {
        fast.push_back(order);
      }
    }
    with_all_shards += reached.size() == Harness::kShards ? 1 : 0;
    h.Advance(Millis(15));
    h.AnswerAll(fast);
    std::erase_if(slow, [&](const auto& sent) {
      const bool due = h.now - sent.first >= Millis(500);
      if (due) {
        h.AnswerAll({sent.second});
      }
      return due;
    });
  }
  EXPECT_GT(with_all_shards, kRequests * 8 / 10);
}

// Guards against a request that crashes one replica after the other.
TEST(DispatcherTest, RequestThatCrashesReplicasIsRefused) {
  Harness h;
  for (int i = 0; i < 3; ++i) {
    h.Submit("/one/poison");
    const auto sends = h.TakeSends();
    ASSERT_EQ(sends.size(), 1u);
    h.dispatcher.OnFailure(sends[0].attempt, FailureKind::kConnectionLost,
                           h.now);
    sends[0].replica->unresponsive = true;
    h.Advance(Millis(50));
  }
  h.AddReplicas("desk");
  h.Submit("/one/poison");
  EXPECT_TRUE(h.TakeSends().empty());
  EXPECT_EQ(h.answers.back().reason, AnswerReason::kQuarantined);
}

// Guards against extra sends beyond the fleet's allowance. The load: every
// replica rejects everything.
TEST(DispatcherTest, RetriesStayWithinTheAllowance) {
  Harness h;
  h.replicas.SetFleet(1, {.ratio = 0.2, .slack = 0, .window = Millis(10000)});
  size_t sends = 0;
  constexpr size_t kRequests = 400;
  for (size_t i = 0; i < kRequests; ++i) {
    h.Submit("/one/x");
    for (auto orders = h.TakeSends(); !orders.empty(); orders = h.TakeSends()) {
      sends += orders.size();
      for (const SendOrder& order : orders) {
        h.dispatcher.OnReply(order.attempt, Harness::Rejected(), h.now);
      }
    }
    h.Advance(Millis(10));
  }
  EXPECT_GT(sends, kRequests);
  EXPECT_LE(sends, kRequests + kRequests / 5);
}

// Guards against requests that the process forgets when it stops.
TEST(DispatcherTest, StopAnswersWhatStillRuns) {
  Harness h;
  h.Submit("/all/x");
  h.Submit("/one/x");
  h.dispatcher.Stop(h.now);
  EXPECT_EQ(h.answers.size(), 2u);
  EXPECT_EQ(h.dispatcher.running(), 0u);
}

}  // namespace
}  // namespace tanagervane
