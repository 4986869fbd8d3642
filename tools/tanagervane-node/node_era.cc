// Handling of the store's eras by Node.

#include "tanagervane/support/boot_clock.h"
#include "tanagervane/support/log.h"
#include "tools/tanagervane-node/node.h"

namespace tanagervane {

namespace {

/// While there are no recent changes, the era is sent in one of this many
/// gossip rounds, which is once a second.
constexpr uint64_t kRoundsPerQuietMessage = 4;

}  // namespace

void Node::OnStoreEra(uint64_t era, bool first) {
  // Before the first response, reports of other VMs count as of era 0.
  m_config_times.Clear();
  m_replica_times.Clear();
  m_proof.OnEra(era);
  m_proof_revision = 0;
  if (!first) {
    const Millis now = Poller::Now();
    LogEvent("store_era").Field("era", era);
    m_rejected_configs.ForgetRevisions();
    m_rejected_replicas.ForgetRevisions();
    m_rejected_vms.ForgetRevisions();
    m_replicas.OnStoreRestored(now);
    m_quota->OnStoreRestored(BootNow());
    m_registry.RegisterAgain(now);
  }
  m_config_watcher->OnEra(era);
  m_replica_watcher->OnEra(era);
  if (m_evacuation_watch) {
    m_evacuation_watch->OnEra(era);
  }
}

RevisionGossip Node::MakeRevisionGossip(Millis now) {
  RevisionGossip message;
  message.config = m_config_times.Recent(now, kMaxGossipedRevisions);
  message.replicas = m_replica_times.Recent(now, kMaxGossipedRevisions);
  if (message.empty() && ++m_quiet_rounds % kRoundsPerQuietMessage != 0) {
    return message;
  }
  message.era = m_store->era();
  message.config_revision = m_config_watcher->last_change_revision();
  message.replica_revision = m_replica_watcher->last_change_revision();
  return message;
}

void Node::OnRevisionGossip(const RevisionGossip& message) {
  if (message.era > m_store->era()) {
    // The list of the small kind tells the era; OnStoreEra() does the rest.
    m_config_watcher->OnRemoteEra(message.era);
  }
  if (message.era != m_store->era()) {
    return;
  }
  ApplyReports(message.config, m_config_times, *m_config_watcher);
  ApplyReports(message.replicas, m_replica_times, *m_replica_watcher);
  if (message.era == 0) {
    return;
  }
  const Millis now = Poller::Now();
  m_config_watcher->OnRemoteRevision(message.config_revision, now);
  m_replica_watcher->OnRemoteRevision(message.replica_revision, now);
  m_config_times.Record(message.config_revision, now);
  m_replica_times.Record(message.replica_revision, now);
}

}  // namespace tanagervane
