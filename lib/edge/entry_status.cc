// Implements the status and metrics of EntryCore that operators read.

#include <string>
#include <utility>

#include "tanagervane/edge/entry_core.h"

namespace tanagervane {

namespace {

std::string_view ToString(PeerState state) {
  switch (state) {
    case PeerState::kStarting:
      return "starting";
    case PeerState::kServing:
      return "serving";
    case PeerState::kLeaving:
      break;
  }
  return "leaving";
}

std::string_view ToString(Liveness liveness) {
  switch (liveness) {
    case Liveness::kAlive:
      return "alive";
    case Liveness::kSuspected:
      return "suspected";
    case Liveness::kDead:
      break;
  }
  return "dead";
}

nlohmann::json ToJson(const PeerRecord& record) {
  return {{"id", record.id},
          {"incarnation", record.incarnation},
          {"state", std::string(ToString(record.state))},
          {"caller_address", record.caller_address},
          {"peer_address", record.peer_address},
          {"data_centre", record.data_centre},
          {"document_revision", record.document_revision}};
}

}  // namespace

nlohmann::json EntryCore::StatusJson() const {
  nlohmann::json status = ToJson(m_peers.self());
  const QueryEngineStats stats = m_engine.stats();
  status["team"] = m_settings.team;
  status["holds_watch"] = m_tracker.watches_platform();
  status["platform_calls"] = m_platform.calls();
  status["slot"] = m_slots.slot() ? nlohmann::json(*m_slots.slot())
                                  : nlohmann::json(nullptr);
  status["slots_full"] = m_slots.full();
  status["backend_servers"] = {{"known", m_pool->known_servers()},
                               {"connected", m_pool->connected_servers()}};
  status["requests"] = {{"submitted", stats.submitted},
                        {"answered", stats.answered},
                        {"refused", stats.refused},
                        {"running", stats.running},
                        {"queued", stats.queued},
                        {"sub_requests", stats.sub_requests},
                        {"hedges", stats.hedges},
                        {"retries", stats.retries},
                        {"restarts", stats.fanout_restarts},
                        {"dropped_replies", stats.dropped_replies}};
  if (const auto& refused = m_tracker.last_invalid()) {
    status["last_refused_document"] = {
        {"revision", refused->revision},
        {"source", refused->source},
        {"reason", std::string(refused->reason.message())},
        {"path", GetErrorPath(refused->reason)}};
  }
  auto indexes = nlohmann::json::object();
  if (const auto& in_force = m_tracker.in_force()) {
    for (const IndexSpec& index : in_force->document.indexes) {
      indexes[index.name] = m_engine.ChosenVersion(index.name, m_loop.Now());
    }
  }
  status["index_versions"] = std::move(indexes);
  return status;
}

nlohmann::json EntryCore::EntriesJson() const {
  auto entries = nlohmann::json::array();
  nlohmann::json self = ToJson(m_peers.self());
  self["liveness"] = "alive";
  entries.push_back(std::move(self));
  for (const PeerTable::Peer& peer : m_peers.Peers(m_loop.Now())) {
    nlohmann::json item = ToJson(peer.record);
    item["liveness"] = std::string(ToString(peer.liveness));
    entries.push_back(std::move(item));
  }
  return {{"entries", std::move(entries)}};
}

void EntryCore::RefreshMetrics() {
  const QueryEngineStats stats = m_engine.stats();
  const auto raise_counter = [this](std::string_view name,
                                    std::string_view help, uint64_t total) {
    m_metrics.GetCounter(name, help).RaiseTo(total);
  };
  raise_counter("tanagervane_sub_requests_total", "Sub-requests started.",
                stats.sub_requests);
  raise_counter("tanagervane_hedges_total", "Hedges sent.", stats.hedges);
  raise_counter("tanagervane_retries_total", "Retries sent.", stats.retries);
  raise_counter("tanagervane_restarts_total",
                "Fan-outs restarted on a newer index version.",
                stats.fanout_restarts);
  raise_counter("tanagervane_dropped_replies_total",
                "Replies that matched no attempt or failed a check.",
                stats.dropped_replies);
  raise_counter("tanagervane_platform_calls_total", "Calls to the platform.",
                m_platform.calls());
  m_metrics.GetGauge("tanagervane_running", "Fan-outs in flight.")
      .Set(stats.running);
  m_metrics.GetGauge("tanagervane_queued", "Requests in admission queues.")
      .Set(stats.queued);
  m_metrics
      .GetGauge("tanagervane_document_revision", "Document revision in force.")
      .Set(static_cast<double>(m_tracker.revision()));
  m_metrics
      .GetGauge("tanagervane_backend_servers_connected",
                "Backend servers with an open connection.")
      .Set(static_cast<double>(m_pool->connected_servers()));
}

}  // namespace tanagervane
