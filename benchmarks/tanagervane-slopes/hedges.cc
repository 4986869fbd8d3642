// Measures the fraction of sub-requests that are hedged, by number of shards.

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

#include "fmt/core.h"
#include "measure.h"
#include "tanagervane/query/query_engine.h"
#include "tanagervane/support/hash.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

namespace {

/// Sub-requests per second of one node at the design size.
constexpr double kSubRequestsPerSecond = 88471;
constexpr uint32_t kReplicas = 7;
/// High enough that neither admission control nor saturated replicas suppress
/// hedges.
constexpr uint32_t kSlots = 100;
constexpr double kMeanLatencyMs = 5;
constexpr Millis kWarmUp(1000);
constexpr Millis kDuration(3000);

/// A simulated node whose attempts have exponentially distributed latencies.
class HedgeSimulation {
 public:
  explicit HedgeSimulation(uint32_t shards)
      : m_random(kBenchmarkSeed),
        m_engine(
            {.policy = {}, .data_centre = "a", .seed = kBenchmarkSeed},
            {.send_attempt = [this](const Attempt& a) { OnSendAttempt(a); },
             .cancel_attempt = [](AttemptId) {},
             .answer =
                 [this](const Answer& answer) {
                   m_refused += answer.refusal ? 1 : 0;
                 }}),
        m_request_interval(1000.0 * shards / kSubRequestsPerSecond) {
    m_engine.ApplyDocument(MakeFanoutDocument(shards, kReplicas, kSlots),
                           m_now);
    for (uint32_t i = 0; i < shards * kReplicas; ++i) {
      const std::string id = fmt::format("parts-a-{}", i);
      m_engine.UpsertReplica({id, "10.1.0.1:1", "a", "parts", kSlots}, m_now);
      m_engine.OnReplicaStatus(id,
                               {.incarnation = 1,
                                .state = ServerState::kServing,
                                .load = {},
                                .versions = {{"parts", 1, i % shards, shards}}},
                               m_now);
    }
    m_now += Millis(10000);  // Skips the slow start.
  }

  void Run(Millis duration) {
    const Millis end = m_now + duration;
    Millis next = m_now;
    while (next < end) {
      RunUntil(next);
      m_now = next;
      Submit();
      next += m_request_interval;
    }
  }

  QueryEngineStats stats() const { return m_engine.stats(); }
  uint64_t refused() const { return m_refused; }

 private:
  void OnSendAttempt(const Attempt& attempt) {
    BackendReply reply{.request_id = attempt.request_id,
                       .attempt_id = attempt.id,
                       .shard = attempt.shard,
                       .index_version = attempt.index_version,
                       .rows = {},
                       .load = {}};
    reply.checksum = RowsChecksum(reply.rows);
    const Millis latency(-kMeanLatencyMs * std::log1p(-m_random.NextDouble()));
    m_replies.emplace(m_now + latency, std::move(reply));
  }

  void Submit() {
    m_engine.Submit({.id = fmt::format("request-{}", ++m_requests),
                     .class_name = "all",
                     .tenant = "tenant",
                     .payload = "lots ready to seal",
                     .deadline = m_now + Millis(86)},
                    m_now);
  }

  /// Delivers replies and timers that are due by `until`, in time order.
  void RunUntil(Millis until) {
    while (true) {
      const auto timer = m_engine.NextTimer();
      const bool reply_is_next =
          !m_replies.empty() && (!timer || m_replies.begin()->first <= *timer);
      if (reply_is_next && m_replies.begin()->first <= until) {
        const auto next_reply = m_replies.extract(m_replies.begin());
        m_now = std::max(m_now, next_reply.key());
        m_engine.OnReply(next_reply.mapped().attempt_id, next_reply.mapped(),
                         m_now);
      } else if (!reply_is_next && timer && *timer <= until) {
        m_now = std::max(m_now, *timer);
        m_engine.OnTick(m_now);
      } else {
        return;
      }
    }
  }

  Random m_random;
  QueryEngine m_engine;
  Millis m_request_interval;
  Millis m_now{1000};
  uint64_t m_requests = 0;
  uint64_t m_refused = 0;
  std::multimap<Millis, BackendReply> m_replies;
};

}  // namespace

void MeasureHedges() {
  for (const uint32_t shards : {20U, 40U, 160U, 640U}) {
    HedgeSimulation simulation(shards);
    simulation.Run(kWarmUp);
    const QueryEngineStats before = simulation.stats();
    simulation.Run(kDuration);
    const QueryEngineStats after = simulation.stats();
    PrintRow("hedged_share_by_shards", shards,
             static_cast<double>(after.hedges - before.hedges) /
                 static_cast<double>(after.sub_requests - before.sub_requests));
    if (simulation.refused() != 0) {
      fmt::print(stderr, "warning: {} requests were refused\n",
                 simulation.refused());
    }
  }
}

}  // namespace tanagervane
