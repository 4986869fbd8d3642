// Rate limits of tenants over the fleet.

#include <string>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "tanagervane/support/boot_clock.h"
#include "tanagervane/support/log.h"
#include "tools/tanagervane-node/node.h"

namespace tanagervane {

std::unique_ptr<FleetQuota> Node::MakeQuota(uint64_t incarnation) {
  FleetQuotaHooks hooks;
  hooks.send = [this](std::string_view vm, const QuotaMessage& message) {
    m_gossip.Send(vm, message);
  };
  hooks.write_claim = [this](uint64_t claim) {
    m_registry.WriteClaim(claim, [this, claim](bool is_written) {
      LogEvent("quota_claim").Field("divisor", claim).Field("ok", is_written);
      m_quota->OnClaimWritten(claim, is_written, BootNow());
    });
  };
  hooks.read_latest_list = [this] {
    // Each call is priced, also one that an unreachable store refuses.
    if (m_config_watcher->reachable()) {
      m_registry.ReadLatest(Poller::Now());
    }
  };
  hooks.on_permit = [this](uint64_t request, const PermitDecision& decision) {
    m_dispatcher.OnPermit(request, decision, Poller::Now());
  };
  return std::make_unique<FleetQuota>(m_settings.id, incarnation,
                                      m_settings.quota, std::move(hooks),
                                      BootNow());
}

void Node::AddQuotaHooks(DispatcherHooks& hooks) {
  hooks.ask_permit = [this](RequestKey key, std::string_view tenant) {
    return m_quota->IsLimited(tenant)
               ? m_quota->Ask(key, tenant, BootNow())
               : PermitDecision{PermitState::kGranted, {}};
  };
  hooks.cancel_permit = [this](RequestKey key) { m_quota->Cancel(key); };
  hooks.return_permit = [this](RequestKey key) {
    m_quota->Return(key, BootNow());
  };
}

void Node::OnQuotaMessage(const QuotaMessage& message) {
  m_quota->OnMessage(message, BootNow());
  LogOwnedShare();
  UpdateTimer();
}

void Node::TickQuota() {
  const Millis now = BootNow();
  if (const auto next = m_quota->NextTimer(); next && *next <= now) {
    m_quota->OnTick(now);
    LogOwnedShare();
  }
}

std::optional<Millis> Node::NextQuotaTimer() const {
  const auto next = m_quota->NextTimer();
  return next ? std::optional(Poller::Now() + (*next - BootNow()))
              : std::nullopt;
}

void Node::ApplyTenants(const ServingConfig& config) {
  const bool was_enabled = m_quota->enabled();
  m_quota->SetTenants(config.tenants, BootNow());
  if (was_enabled || m_quota->enabled()) {
    LogEvent("quota_limits")
        .Field("version", config.version)
        .Field("tenants", config.tenants.size())
        .Field("enabled", m_quota->enabled());
  }
  UpdateTimer();
}

void Node::ReloadQuota(const NodeSettings& settings) {
  m_settings.quota = settings.quota;
  m_quota->SetBounds(settings.quota, BootNow());
}

void Node::OnVmListRequested() {
  m_vm_list_requested_at = BootNow();
}

void Node::UpdateQuotaList() {
  CensusList list;
  for (const ListedVm& vm : m_registry.listed()) {
    list.entries.push_back({vm.id, vm.claim});
  }
  list.is_latest = m_registry.is_latest();
  list.requested_at = m_vm_list_requested_at;
  m_quota->OnList(list, BootNow());
  LogOwnedShare();
}

void Node::UpdateQuotaPeers(std::span<const PeerTable::Peer> peers) {
  std::vector<std::string> live;
  for (const PeerTable::Peer& peer : peers) {
    if (peer.liveness == Liveness::kAlive &&
        peer.record.state != PeerState::kLeaving) {
      live.push_back(peer.record.id);
    }
  }
  m_quota->SetLive(std::move(live), m_stopping, BootNow());
}

void Node::LogOwnedShare() {
  if (m_quota->owned_share() == m_logged_share) {
    return;
  }
  m_logged_share = m_quota->owned_share();
  LogEvent("quota_share")
      .Field("owned", fmt::format("{:.4f}", m_logged_share))
      .Field("claim", m_quota->claim())
      .Field("vms", m_quota->counted_vms(BootNow()))
      .Field("unheard", m_quota->unheard_vms());
}

void Node::UpdateQuotaMetrics(MetricsRegistry& metrics) {
  const auto set_counter = [&](std::string_view name, std::string_view help,
                               uint64_t value) {
    metrics.GetCounter(name, help).RaiseTo(value);
  };
  const FleetQuotaStats& stats = m_quota->stats();
  set_counter("tanagervane_quota_granted_total",
              "Permits for requests of tenants with a limit.", stats.granted);
  set_counter("tanagervane_quota_refused_total",
              "Requests beyond the allowance of their tenant.", stats.refused);
  set_counter("tanagervane_quota_unavailable_total",
              "Requests for which no VM could grant a permit.",
              stats.unavailable);
  set_counter("tanagervane_quota_questions_total",
              "Questions for permits to other VMs.", stats.questions);
  set_counter("tanagervane_quota_timeouts_total",
              "Questions for permits without an answer in time.",
              stats.timeouts);
  set_counter("tanagervane_quota_returned_total",
              "Permits that were returned unused.", stats.returned);
  metrics
      .GetGauge("tanagervane_quota_owned_share",
                "Share of each limit that this VM owns.")
      .Set(m_quota->owned_share());
}

}  // namespace tanagervane
