// Reload and graceful stop of Node.

#include <algorithm>

#include "tanagervane/support/log.h"
#include "tools/tanagervane-node/node.h"

namespace tanagervane {

namespace {

/// Callers may use an address for up to three times the lifetime that the
/// directory states.
constexpr double kMaxAddressLifetimes = 3;
/// Time for gossip to tell the other VMs to stop giving out the address of a
/// leaving VM.
constexpr Millis kLeaveGossipDelay{400};
/// Time at the end of the stop grace time in which the last answers are
/// written, and how much of it is used.
constexpr Millis kStopMargin{400};
constexpr Millis kMaxFlushTime{300};
constexpr Millis kStopPollInterval{40};

}  // namespace

void Node::Reload(const NodeSettings& settings) {
  m_settings.retries = settings.retries;
  m_settings.retries.full_slack_from = m_started_at + settings.retries.window;
  m_replicas.SetDrainTimeout(settings.drain_bound);
  ReloadQuota(settings);
  m_settings.stop_grace = settings.stop_grace;
  m_settings.address_lifetime = settings.address_lifetime;
  m_settings.max_descriptors = settings.max_descriptors;
  m_settings.strict_revocation = settings.strict_revocation;
  m_settings.revocation_bound = settings.revocation_bound;
  m_settings.config_apply_bound = settings.config_apply_bound;
  m_proof.SetOptions(
      MakeProofOptions(settings.revocation_bound, settings.config_apply_bound));
  m_settings.memory_mb = settings.memory_mb;
  m_memory.SetLimit(ConnectionMemory(m_settings.memory_mb));
  ApplyLimits(m_dispatcher.plan() ? m_dispatcher.plan()->limits()
                                  : CallerLimits());
  m_replicas.SetFleetSize(m_fleet_size, m_settings.retries);
  const bool needs_restart =
      settings.caller_address != m_settings.caller_address ||
      settings.readiness_address != m_settings.readiness_address ||
      settings.directory_address != m_settings.directory_address ||
      settings.store_address != m_settings.store_address;
  LogEvent("settings_reloaded")
      .Field("id", m_settings.id)
      .Field("addresses_changed", needs_restart);
}

void Node::Stop() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  const Millis now = Poller::Now();
  m_stop_deadline = now + m_settings.stop_grace - kStopMargin;
  LogEvent("stopping")
      .Field("running", m_dispatcher.running_requests())
      .Field("grace_ms", m_settings.stop_grace.count());
  m_dispatcher.SetStopDeadline(m_stop_deadline);
  m_peers.SetState(PeerState::kLeaving);
  m_gossip.Announce(now);
  m_caller_listener.CloseAfterResponses();
  UpdateQuotaPeers(m_peers.Peers(now));
  m_registry.Deregister();
  const Millis accept_until =
      m_settings.address_lifetime * kMaxAddressLifetimes + kLeaveGossipDelay;
  m_loop.RunAfter(std::min(accept_until, m_settings.stop_grace * 0.6),
                  [this] { StopAccepting(); });
}

void Node::StopAccepting() {
  LogEvent("accepting_ended").Field("running", m_dispatcher.running_requests());
  m_caller_listener.StopAccepting();
  m_loop.RunEvery(kStopPollInterval, [this] { QuitWhenDone(); });
}

void Node::QuitWhenDone() {
  const Millis now = Poller::Now();
  if (now >= m_stop_deadline) {
    m_dispatcher.Stop(now);
  }
  if (m_caller_listener.pending() == 0 ||
      now >= m_stop_deadline + kMaxFlushTime) {
    m_loop.Quit();
  }
}

}  // namespace tanagervane
