// Measures the cost of requests in the query engine and of the replica table.

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fmt/core.h"
#include "measure.h"
#include "tanagervane/query/query_engine.h"
#include "tanagervane/routing/replica_table.h"
#include "tanagervane/support/hash.h"

namespace tanagervane {

namespace {

constexpr uint32_t kSlots = 5;
constexpr Millis kServiceTime(5);

ReplicaInfo MakeReplicaInfo(uint32_t number) {
  return {.id = fmt::format("parts-ragusa-a-{}", number),
          .address = fmt::format("10.1.{}.{}:7000", number / 250, number % 250),
          .data_centre = "ragusa-a",
          .index = "parts",
          .slots = kSlots};
}

ReplicaStatus MakeReplicaStatus(uint32_t shard, uint32_t shards) {
  return {.incarnation = 1,
          .state = ServerState::kServing,
          .load = {},
          .versions = {{"parts", 1, shard, shards}}};
}

/// A query engine with simulated replicas that answer each attempt after
/// kServiceTime.
class EngineSimulation {
 public:
  EngineSimulation(uint32_t shards, uint32_t replicas)
      : m_shards(shards),
        m_engine(
            {.policy = {}, .data_centre = "ragusa-a", .seed = kBenchmarkSeed},
            {.send_attempt =
                 [this](const Attempt& a) { m_sent_attempts.push_back(a); },
             .cancel_attempt = [](AttemptId) {},
             .answer =
                 [this](const Answer& answer) {
                   m_complete_answers += answer.complete() ? 1 : 0;
                 }}) {
    m_engine.ApplyDocument(MakeFanoutDocument(shards, replicas, kSlots), m_now);
    for (uint32_t i = 0; i < shards * replicas; ++i) {
      const ReplicaInfo info = MakeReplicaInfo(i);
      m_engine.UpsertReplica(info, m_now);
      m_engine.OnReplicaStatus(info.id, MakeReplicaStatus(i % shards, shards),
                               m_now);
    }
    // Skips the slow start of the replicas.
    m_now += Millis(10000);
  }

  void RunRequest() {
    ++m_requests;
    m_engine.Submit({.id = fmt::format("request-{}", m_requests),
                     .class_name = "all",
                     .tenant = "tenant",
                     .payload = "lots ready to seal at line 7",
                     .deadline = m_now + Millis(86)},
                    m_now);
    m_now += kServiceTime;
    const std::vector<Attempt> attempts = std::exchange(m_sent_attempts, {});
    for (const Attempt& attempt : attempts) {
      Reply(attempt);
    }
    m_engine.OnTick(m_now);
  }

  /// Returns whether every answer was complete, with one sub-request for each
  /// shard and no hedges.
  bool AllCompleteWithoutHedges() const {
    return m_complete_answers == m_requests &&
           m_engine.stats().sub_requests == m_requests * m_shards &&
           m_engine.stats().hedges == 0;
  }

 private:
  void Reply(const Attempt& attempt) {
    BackendReply reply{.request_id = attempt.request_id,
                       .attempt_id = attempt.id,
                       .shard = attempt.shard,
                       .index_version = attempt.index_version,
                       .rows = {"lot 1", "lot 2"},
                       .row_count = 2,
                       .load = ReportedLoad{}};
    reply.checksum = RowsChecksum(reply.rows);
    m_engine.OnReply(attempt.id, reply, m_now);
  }

  uint32_t m_shards;
  Millis m_now{1000};
  std::vector<Attempt> m_sent_attempts;
  uint64_t m_requests = 0;
  uint64_t m_complete_answers = 0;
  QueryEngine m_engine;
};

void MeasureRequests(std::string_view cost,
                     double x,
                     uint32_t shards,
                     uint32_t replicas) {
  EngineSimulation simulation(shards, replicas);
  MeasureCpu(cost, x, [&simulation] { simulation.RunRequest(); });
  if (!simulation.AllCompleteWithoutHedges()) {
    fmt::print(stderr, "warning: {} at {} had partial answers or hedges\n",
               cost, x);
  }
}

}  // namespace

void MeasureEngine() {
  for (const uint32_t shards : {15U, 40U, 160U, 640U}) {
    MeasureRequests("engine_request_us_by_shards", shards, shards, 3);
  }
  for (const uint32_t replicas : {2U, 4U, 12U, 37U}) {
    MeasureRequests("engine_request_us_by_replicas_at_40_shards", replicas, 40,
                    replicas);
  }
}

void MeasureReplicaTable() {
  constexpr uint32_t kShards = 640;
  for (const uint32_t count : {100U, 1000U, 6000U, 24000U}) {
    const double before = HeapBytes();
    auto table = std::make_unique<ReplicaTable>(PolicyOptions{});
    std::vector<ReplicaId> ids;
    for (uint32_t i = 0; i < count; ++i) {
      const ReplicaInfo info = MakeReplicaInfo(i);
      table->Upsert(info, Millis(0));
      table->OnStatus(info.id, MakeReplicaStatus(i % kShards, kShards),
                      Millis(0));
    }
    PrintRow("replica_table_bytes", count, HeapBytes() - before);
    for (uint32_t i = 0; i < count; ++i) {
      ids.push_back(MakeReplicaInfo(i).id);
    }
    Millis now(0);
    MeasureCpu("replica_status_round_us", count, [&] {
      now += Millis(500);
      for (uint32_t i = 0; i < count; ++i) {
        table->OnStatus(ids[i], MakeReplicaStatus(i % kShards, kShards), now);
      }
    });
  }
}

}  // namespace tanagervane
