// Metrics of Node.

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "tools/tanagervane-node/node.h"

namespace tanagervane {

namespace {

/// How unevenly replicas are loaded, over all services.
struct ServiceSpread {
  double mean = 0;
  double max = 0;
};

ServiceSpread MeasureSpread(ReplicaSet& replicas,
                            const Dispatcher& dispatcher) {
  const Millis now = Poller::Now();
  ServiceSpread spread;
  double sum = 0;
  size_t count = 0;
  replicas.ForEachService([&](Service& service) {
    if (const auto value = dispatcher.chooser().LoadSpread(service, now)) {
      sum += *value;
      spread.max = std::max(spread.max, *value);
      ++count;
    }
  });
  spread.mean = count > 0 ? sum / static_cast<double>(count) : 0;
  return spread;
}

void SetMemoryGauges(MetricsRegistry& metrics, const MemoryAccount& memory) {
  constexpr std::array<std::pair<MemoryUse, std::string_view>, 4> kUses = {
      {{MemoryUse::kInput, "input"},
       {MemoryUse::kOutput, "output"},
       {MemoryUse::kRunning, "running"},
       {MemoryUse::kReplicas, "replicas"}}};
  for (const auto& [use, name] : kUses) {
    metrics
        .GetGauge("tanagervane_connection_memory_bytes",
                  "Bytes that connections hold, by use.",
                  {{"use", std::string(name)}})
        .Set(static_cast<double>(memory.held(use)));
  }
  metrics
      .GetGauge("tanagervane_connection_memory_limit_bytes",
                "Bytes that connections may hold.")
      .Set(static_cast<double>(memory.limit()));
}

void SetListenerCounters(MetricsRegistry& metrics,
                         std::string_view listener,
                         const HttpListenerStats& stats) {
  const std::array<std::pair<std::string_view, uint64_t>, 5> reasons = {
      {{"memory_refused", stats.refused_for_memory},
       {"memory_closed", stats.closed_for_memory},
       {"input_timeout", stats.input_timeouts},
       {"output_timeout", stats.output_timeouts},
       {"header", stats.answered_at_header}}};
  for (const auto& [reason, value] : reasons) {
    metrics
        .GetCounter("tanagervane_connections_limited_total",
                    "Requests refused early and connections closed by a limit.",
                    {{"listener", std::string(listener)},
                     {"reason", std::string(reason)}})
        .RaiseTo(value);
  }
}

}  // namespace

void Node::UpdateMetrics() {
  MetricsRegistry& metrics = m_request_log.metrics();
  const auto set_counter = [&](std::string_view name, std::string_view help,
                               uint64_t value) {
    metrics.GetCounter(name, help).RaiseTo(value);
  };
  const DispatcherStats& dispatcher = m_dispatcher.stats();
  set_counter("tanagervane_sends_total", "Sends to replicas.",
              dispatcher.attempts);
  set_counter("tanagervane_hedges_total",
              "Sends while an earlier one was open.", dispatcher.hedges);
  set_counter("tanagervane_retries_total", "Sends after an earlier one failed.",
              dispatcher.retries);
  set_counter("tanagervane_abandoned_total", "Sends broken off.",
              dispatcher.cancelled_attempts);
  set_counter("tanagervane_health_probes_total", "Health probes.",
              dispatcher.probes);
  set_counter("tanagervane_health_probe_timeouts_total",
              "Health probes without an answer in time.",
              dispatcher.probe_timeouts);
  set_counter("tanagervane_rate_limited_sends_total",
              "Sends to replicas that state a rate limit.",
              dispatcher.rate_limited_attempts);
  set_counter("tanagervane_rate_limited_extra_sends_total",
              "Hedges and retries to replicas that state a rate limit.",
              dispatcher.rate_limited_extra_attempts);
  set_counter("tanagervane_over_share_requests_total",
              "Requests beyond the fair share of their tenant.",
              m_dispatcher.precedence().over_share_requests());
  set_counter("tanagervane_replica_connections_total",
              "Connections opened to replicas.", m_connections.stats().opened);
  set_counter("tanagervane_store_calls_total", "Calls to the platform's store.",
              m_store->stats().calls);
  set_counter("tanagervane_store_failures_total", "Calls without an answer.",
              m_store->stats().failures);
  set_counter("tanagervane_store_entries_rejected_total",
              "Changes of entries of the store that cannot be used.",
              m_rejected_configs.total() + m_rejected_replicas.total() +
                  m_rejected_vms.total());
  const auto set_gauge = [&](std::string_view name, std::string_view help,
                             double value) {
    metrics.GetGauge(name, help).Set(value);
  };
  UpdateQuotaMetrics(metrics);
  const ServiceSpread spread = MeasureSpread(m_replicas, m_dispatcher);
  set_gauge("tanagervane_replica_load_spread",
            "Standard deviation of the estimated requests per slot among the "
            "replicas of a service, mean of all services.",
            spread.mean);
  set_gauge("tanagervane_replica_load_spread_max",
            "As tanagervane_replica_load_spread, of the service with the "
            "highest value.",
            spread.max);
  set_gauge("tanagervane_running_requests", "Requests without an answer.",
            static_cast<double>(m_dispatcher.running_requests()));
  set_gauge("tanagervane_caller_connections", "Open connections of callers.",
            static_cast<double>(m_caller_listener.stats().connections));
  set_counter(
      "tanagervane_caller_connections_evicted_total",
      "Connections of callers without a request that made room for others.",
      m_caller_listener.stats().evicted);
  set_counter("tanagervane_replica_responses_invalid_total",
              "Responses of replicas that were no HTTP or had no end.",
              m_connections.stats().invalid);
  set_counter("tanagervane_gossip_rejected_total",
              "Gossip that was malformed or came from a foreign address.",
              m_gossip.rejected());
  set_gauge("tanagervane_open_replica_connections",
            "Open connections to replicas.",
            static_cast<double>(m_connections.stats().open));
  set_gauge("tanagervane_replicas", "Known replicas.",
            static_cast<double>(m_replicas.size()));
  UpdateProofMetrics();
  SetMemoryGauges(metrics, m_memory);
  SetListenerCounters(metrics, "callers", m_caller_listener.stats());
  SetListenerCounters(metrics, "readiness", m_readiness_listener.stats());
  SetListenerCounters(metrics, "directory", m_directory_listener.stats());
  SetListenerCounters(metrics, "metrics", m_metrics_listener.stats());
  set_gauge("tanagervane_evacuated_replicas",
            "Replicas that get no requests because their data centre is "
            "evacuated.",
            static_cast<double>(m_replicas.CountEvacuated()));
  set_gauge("tanagervane_config_version",
            "Version of the configuration in force.",
            static_cast<double>(m_peers.self().document_revision));
}

}  // namespace tanagervane
