#ifndef TANAGERVANE_UNITTESTS_QUERY_QUERY_HARNESS_H_
#define TANAGERVANE_UNITTESTS_QUERY_QUERY_HARNESS_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tanagervane/query/query_engine.h"
#include "tanagervane/support/hash.h"

namespace tanagervane {

/// Index "parts" has three shards with two replicas each; "desk" has one shard
/// with three replicas.
inline Document TestDocument() {
  Document document;
  document.team = "team";
  document.indexes = {
      {.name = "parts", .shards = 3, .replicas = 2, .connect_time = {}},
      {.name = "desk", .shards = 1, .replicas = 3, .connect_time = {}}};
  document.classes = {{.name = "all",
                       .index = "parts",
                       .shape = RequestShape::kEveryShard,
                       .urgency = Urgency::kUrgent,
                       .timeout = Millis(100)},
                      {.name = "first",
                       .index = "parts",
                       .shape = RequestShape::kFirstMatches,
                       .urgency = Urgency::kUrgent,
                       .timeout = Millis(100),
                       .matches = 2},
                      {.name = "strict",
                       .index = "parts",
                       .shape = RequestShape::kEveryShard,
                       .urgency = Urgency::kPatient,
                       .timeout = Millis(100),
                       .min_coverage = 0.9},
                      {.name = "look",
                       .index = "desk",
                       .shape = RequestShape::kOneServer,
                       .urgency = Urgency::kPatient,
                       .timeout = Millis(100)},
                      {.name = "order",
                       .index = "desk",
                       .shape = RequestShape::kOneServer,
                       .urgency = Urgency::kPatient,
                       .timeout = Millis(100),
                       .idempotent = false}};
  document.tenants = {{"big", 3}, {"small", 1}};
  return document;
}

/// A valid reply to an attempt.
inline BackendReply ReplyTo(const Attempt& attempt,
                            std::vector<std::string> rows) {
  BackendReply reply{.request_id = attempt.request_id,
                     .attempt_id = attempt.id,
                     .shard = attempt.shard,
                     .index_version = attempt.index_version,
                     .rows = std::move(rows),
                     .load = {}};
  reply.row_count = static_cast<uint32_t>(reply.rows.size());
  reply.checksum = RowsChecksum(reply.rows);
  return reply;
}

/// A query engine with a simulated clock and replicas. The hooks record what
/// the engine sends, cancels and answers.
class QueryHarness {
 public:
  explicit QueryHarness(PolicyOptions policy = {}, uint32_t slots = 4)
      : engine({.policy = policy, .data_centre = "a", .seed = 7},
               {.send_attempt = [this](const Attempt& a) { sent.push_back(a); },
                .cancel_attempt =
                    [this](AttemptId id) { cancelled.push_back(id); },
                .answer = [this](const Answer& a) { answers.push_back(a); }}),
        m_slots(slots) {
    engine.ApplyDocument(TestDocument(), now);
    for (uint32_t shard = 0; shard < 3; ++shard) {
      AddReplica("p" + std::to_string(shard) + "x", "parts", {{1, shard, 3}});
      AddReplica("p" + std::to_string(shard) + "y", "parts", {{1, shard, 3}});
    }
    for (const char* id : {"d1", "d2", "d3"}) {
      AddReplica(id, "desk", {{1, 0, 1}});
    }
    // After the slow start, the concurrency limits have their full size.
    now = Millis(10000);
  }

  /// A shard that a replica holds.
  struct HeldShard {
    uint64_t version = 1;
    uint32_t shard = 0;
    uint32_t shard_count = 1;
  };

  /// Adds a replica with a status, or replaces its status.
  void AddReplica(const std::string& id,
                  const std::string& index,
                  const std::vector<HeldShard>& held_shards,
                  uint64_t incarnation = 1,
                  ServerState state = ServerState::kServing) {
    engine.UpsertReplica({id, "10.0.0.1:1", "a", index, m_slots}, now);
    ReplicaStatus status{
        .incarnation = incarnation, .state = state, .load = {}, .versions = {}};
    for (const HeldShard& held : held_shards) {
      status.versions.push_back(
          {index, held.version, held.shard, held.shard_count});
    }
    engine.OnReplicaStatus(id, status, now);
  }

  QueryRequest Request(const std::string& id,
                       const std::string& class_name,
                       double timeout_ms = 100) const {
    return {.id = id,
            .class_name = class_name,
            .tenant = "big",
            .payload = "payload of " + id,
            .deadline = now + Millis(timeout_ms)};
  }
  void Submit(const std::string& id, const std::string& class_name) {
    engine.Submit(Request(id, class_name), now);
  }
  void SubmitOrder(const std::string& id) {
    engine.SubmitAtMostOnce(Request(id, "order"), now);
  }
  void Reply(const Attempt& attempt, std::vector<std::string> rows = {"r"}) {
    engine.OnReply(attempt.id, ReplyTo(attempt, std::move(rows)), now);
  }
  void Fail(const Attempt& attempt, FailureKind kind) {
    engine.OnFailure(attempt.id, kind, now);
  }
  /// Advances the clock and runs each timer when it is due.
  void Advance(double duration_ms) {
    const Millis end = now + Millis(duration_ms);
    while (engine.NextTimer() && *engine.NextTimer() <= end) {
      now = std::max(now, *engine.NextTimer());
      engine.OnTick(now);
    }
    now = end;
  }
  /// Runs requests of constant latency, from which the engine learns its hedge
  /// delays and estimates.
  void RunRequests(const std::string& class_name,
                   double latency_ms,
                   int requests) {
    for (int i = 0; i < requests; ++i) {
      const size_t first_attempt = sent.size();
      Submit("train" + std::to_string(i), class_name);
      now += Millis(latency_ms);
      for (size_t a = first_attempt; a < sent.size(); ++a) {
        Reply(sent[a]);
      }
    }
    sent.clear();
    cancelled.clear();
    answers.clear();
  }
  const Answer& only_answer() const {
    EXPECT_EQ(answers.size(), 1u);
    static const Answer kNoAnswer;
    return answers.empty() ? kNoAnswer : answers.front();
  }

  Millis now{1000};
  /// All attempts since RunRequests(), in the order of sending.
  std::vector<Attempt> sent;
  std::vector<AttemptId> cancelled;
  std::vector<Answer> answers;
  QueryEngine engine;

 private:
  uint32_t m_slots;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_UNITTESTS_QUERY_QUERY_HARNESS_H_
