// Store, gossip and membership of Node.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "platform/config_codec.h"
#include "platform/object_codec.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/log.h"
#include "tools/tanagervane-node/node.h"

namespace tanagervane {

namespace {

/// The longest time that gossip needs after a start to reach the other VMs.
constexpr Millis kGossipConvergenceTime{1500};

void LogRejected(std::string_view event,
                 const StoreObject& object,
                 const absl::Status& status,
                 RejectedEntries& rejected) {
  if (!rejected.Add(object.name, object.revision)) {
    return;
  }
  LogEvent(event)
      .Field("object", object.name)
      .Field("revision", object.revision)
      .Field("path", GetErrorPath(status))
      .Field("reason", GetErrorMessage(status));
}

ListedVmPage ReadVmPage(const StorePage& page, RejectedEntries& rejected) {
  ListedVmPage result;
  result.has_more = page.has_more;
  for (const StoreObject& object : page.objects) {
    result.last_name = object.name;
    auto vm = DecodeVm(object);
    if (vm.ok()) {
      result.vms.push_back(*std::move(vm));
    } else {
      LogRejected("vm_entry_invalid", object, vm.status(), rejected);
    }
  }
  return result;
}

}  // namespace

UdpGossipHooks Node::GossipHooks() {
  return {
      .listed_address =
          [this](std::string_view id) { return m_registry.AddressOf(id); },
      .on_address_mismatch =
          [this](std::string_view) {
            m_registry.RequestRefresh(Poller::Now());
          },
      .add_revisions =
          [this](GossipMessage& message) {
            message.config_revision = m_config_watcher->last_change_revision();
            message.replica_revision =
                m_replica_watcher->last_change_revision();
          },
      .on_received =
          [this](const GossipMessage& message) {
            if (m_store->era() != 0) {
              // The message states no era; see RevisionGossip.
              return;
            }
            const Millis now = Poller::Now();
            m_config_watcher->OnRemoteRevision(message.config_revision, now);
            m_replica_watcher->OnRemoteRevision(message.replica_revision, now);
            m_config_times.Record(message.config_revision, now);
            m_replica_times.Record(message.replica_revision, now);
          },
      .make_replica_gossip =
          [this](Millis now) {
            ReplicaGossip message;
            message.leaving =
                m_replicas.RecentlyLeaving(now, kMaxGossipedLeavingReplicas);
            message.rate_limits =
                m_replicas.RecentRateLimits(now, kMaxGossipedRateLimits);
            return message;
          },
      .on_replica_gossip =
          [this](const ReplicaGossip& message) {
            const Millis now = Poller::Now();
            m_replicas.MarkLeaving(message.leaving, now);
            m_replicas.RecordRateLimits(message.rate_limits, now);
          },
      .make_revision_gossip =
          [this](Millis now) { return MakeRevisionGossip(now); },
      .on_revision_gossip =
          [this](const RevisionGossip& message) { OnRevisionGossip(message); },
      .on_quota =
          [this](const QuotaMessage& message) { OnQuotaMessage(message); },
      .on_other_datagram =
          [this](std::string_view bytes, const std::string& source) {
            return OnProofDatagram(bytes, source);
          },
      .make_evacuation_gossip =
          [this](Millis now) {
            return m_evacuation_watch ? m_evacuation_watch->MakeGossip(now)
                                      : EvacuationGossip();
          },
      .on_evacuation_gossip =
          [this](const EvacuationGossip& message) {
            if (m_evacuation_watch) {
              m_evacuation_watch->OnGossip(message, Poller::Now());
            }
          }};
}

void Node::ApplyReports(std::span<const RevisionReport> reports,
                        RevisionTimes& times,
                        KindWatcher& watcher) {
  const Millis now = Poller::Now();
  for (const RevisionReport& report : reports) {
    times.Record(report.revision, now - report.age);
    watcher.OnRemoteRevision(report.revision, now, report.age);
  }
}

KindWatcherHooks Node::StoreHooks(StoreKind kind) {
  KindWatcherHooks hooks;
  hooks.list = [this, kind](std::string_view after, Freshness freshness,
                            KindWatcherHooks::PageDone done) {
    m_store->List(kind, after, freshness, std::move(done));
  };
  hooks.watch = [this, kind](const WatchRequest& request,
                             KindWatcherHooks::EventsDone done) {
    m_store->Watch(kind, request, std::move(done));
  };
  hooks.run_after = [this](Millis delay, std::function<void()> task) {
    m_loop.RunAfter(delay, std::move(task));
  };
  hooks.now = [] { return Poller::Now(); };
  if (kind != StoreKind::kConfig) {
    // Each call is priced, also one that an unreachable store refuses.
    hooks.may_retry = [this] { return m_config_watcher->reachable(); };
  }
  hooks.on_watch_unanswered = [kind](uint64_t applied_revision,
                                     uint64_t revision) {
    LogEvent("store_watch_unanswered")
        .Field("kind", ToString(kind))
        .Field("revision", applied_revision)
        .Field("found", revision);
  };
  hooks.on_lagging = [kind](uint64_t applied_revision,
                            uint64_t remote_revision) {
    LogEvent("store_watch_lags")
        .Field("kind", ToString(kind))
        .Field("revision", applied_revision)
        .Field("seen_elsewhere", remote_revision);
  };
  hooks.on_reachability_changed = [this, kind](bool reachable,
                                               StoreResult result) {
    OnStoreReachable(kind, reachable, result);
  };
  return hooks;
}

KindWatcherHooks Node::ConfigHooks() {
  KindWatcherHooks hooks = StoreHooks(StoreKind::kConfig);
  hooks.on_snapshot = [this](const std::vector<StoreObject>& objects,
                             uint64_t) {
    m_config_times.Record(m_config_watcher->last_change_revision(),
                          m_config_watcher->changed_since());
    std::ranges::for_each(objects, [this](const StoreObject& object) {
      ApplyConfigObject(object);
    });
    if (!m_has_proof) {
      // After a start, the first proof need not wait for the next round.
      OnMembershipChange();
    }
  };
  hooks.on_changed = [this](const StoreObject& object) {
    m_config_times.Record(object.revision, m_config_watcher->changed_since());
    ApplyConfigObject(object);
  };
  hooks.on_removed = [](std::string_view name, uint64_t) {
    // The configuration in force remains.
    LogEvent("config_object_removed").Field("object", name);
  };
  return hooks;
}

KindWatcherHooks Node::ReplicaHooks() {
  KindWatcherHooks hooks = StoreHooks(StoreKind::kReplicas);
  hooks.on_snapshot = [this](const std::vector<StoreObject>& objects,
                             uint64_t removal_revision) {
    m_replica_times.Record(m_replica_watcher->last_change_revision(),
                           m_replica_watcher->changed_since());
    ApplyReplicaList(objects, removal_revision);
  };
  hooks.on_changed = [this](const StoreObject& object) {
    m_replica_times.Record(object.revision, m_replica_watcher->changed_since());
    ApplyReplicaObject(object);
  };
  hooks.on_removed = [this](std::string_view name, uint64_t revision) {
    const Millis now = Poller::Now();
    m_replica_times.Record(revision, m_replica_watcher->changed_since());
    m_replicas.Remove(name, m_replica_times.SeenAt(revision).value_or(now),
                      now);
  };
  return hooks;
}

void Node::ApplyConfigObject(const StoreObject& object) {
  if (!IsConfiguration(object)) {
    return;
  }
  const auto config = DecodeConfig(object);
  // An invalid or outdated configuration leaves the one in force, so it counts
  // as processed.
  m_proof.SetConfig({.era = m_store->era(),
                     .revision = object.revision,
                     .version = config.ok() ? config->version : 0});
  if (!config.ok()) {
    LogRejected("config_invalid", object, config.status(), m_rejected_configs);
    return;
  }
  if (!m_dispatcher.ApplyConfig(*config)) {
    return;
  }
  LogEvent("config_in_force")
      .Field("version", config->version)
      .Field("revision", object.revision)
      .Field("routes", config->routes.size())
      .Field("services", config->services.size());
  ApplyLimits(config->limits);
  ApplyTenants(*config);
  m_peers.SetDocumentRevision(config->version);
  m_newer_config_known = false;
  UpdateState();
}

void Node::ApplyReplicaObject(const StoreObject& object) {
  const Millis now = Poller::Now();
  const auto registration = DecodeReplica(object);
  if (registration.ok()) {
    m_replicas.Apply(*registration, now);
    return;
  }
  LogRejected("replica_entry_invalid", object, registration.status(),
              m_rejected_replicas);
  m_replicas.Remove(object.name, now, now);
}

void Node::ApplyReplicaList(const std::vector<StoreObject>& objects,
                            uint64_t removal_revision) {
  std::vector<ReplicaRegistration> registrations;
  for (const StoreObject& object : objects) {
    auto registration = DecodeReplica(object);
    if (registration.ok()) {
      registrations.push_back(*std::move(registration));
    } else {
      LogRejected("replica_entry_invalid", object, registration.status(),
                  m_rejected_replicas);
    }
  }
  const Millis now = Poller::Now();
  m_replicas.ApplyList(registrations,
                       m_replica_times.SeenAt(removal_revision).value_or(now),
                       now);
  UpdateState();
}

void Node::OnStoreReachable(StoreKind kind,
                            bool reachable,
                            StoreResult result) {
  LogEvent(reachable ? "store_regained" : "store_lost")
      .Field("kind", ToString(kind))
      .Field("result", ToString(result));
  m_peers.SetStoreReachable(m_config_watcher->reachable() &&
                            m_replica_watcher->reachable());
  if (kind == StoreKind::kReplicas) {
    m_replicas.SetStoreReachable(reachable, Poller::Now());
  }
  if (kind == StoreKind::kConfig && reachable) {
    m_replica_watcher->RetryNow();
    if (m_evacuation_watch) {
      m_evacuation_watch->RetryNow();
    }
  }
}

VmRegistryHooks Node::RegistryHooks() {
  VmRegistryHooks hooks;
  hooks.create = [this](VmRegistryHooks::WriteDone done) {
    m_store->Create(StoreKind::kVms, EncodeRegistration(m_quota->claim(), 0),
                    std::move(done));
  };
  hooks.replace = [this](uint64_t revision, uint64_t claim,
                         VmRegistryHooks::WriteDone done) {
    m_store->Replace(StoreKind::kVms, m_settings.id,
                     EncodeRegistration(claim, revision), std::move(done));
  };
  hooks.remove = [this](std::string_view id) {
    LogEvent("vm_deregistered").Field("vm", id);
    m_store->Delete(StoreKind::kVms, id, [](WriteResult) {});
  };
  hooks.list = [this](std::string_view after, Freshness freshness,
                      VmRegistryHooks::PageDone done) {
    if (after.empty()) {
      OnVmListRequested();
    }
    m_store->List(StoreKind::kVms, after, freshness,
                  [this, done = std::move(done)](StoreResult result,
                                                 const StorePage& page) {
                    done(result, ReadVmPage(page, m_rejected_vms));
                  });
  };
  hooks.run_after = [this](Millis delay, std::function<void()> task) {
    m_loop.RunAfter(delay, std::move(task));
  };
  hooks.is_live = [this](std::string_view id) {
    const auto peer = m_peers.Find(id, Poller::Now());
    return peer && peer->liveness != Liveness::kDead;
  };
  hooks.on_list_read = [this] { OnRegistryRead(); };
  hooks.on_registered_before = [this] {
    m_watch_role.SettleBy(m_started_at + kGossipConvergenceTime);
  };
  hooks.on_register_failed = [] {
    LogEvent("vm_registration_failed").Field("retry", true);
  };
  return hooks;
}

std::string Node::EncodeRegistration(uint64_t claim, uint64_t revision) {
  return EncodeVm({.id = m_settings.id,
                   .gossip_address = m_settings.gossip_address,
                   .claim = claim,
                   .write = ++m_registration_writes,
                   .expected_revision = revision});
}

void Node::OnRegistryRead() {
  m_peers.SetSeedAddresses(m_registry.OtherAddresses());
  UpdateQuotaList();
  m_gossip.Announce(Poller::Now());
  OnMembershipChange();
}

void Node::OnMembershipChange() {
  const Millis now = Poller::Now();
  const std::vector<PeerTable::Peer> peers = m_peers.Peers(now);
  UpdateQuotaPeers(peers);
  FleetView view;
  view.live += static_cast<size_t>(
      std::ranges::count_if(peers, [](const PeerTable::Peer& peer) {
        return peer.liveness != Liveness::kDead;
      }));
  m_replicas.SetRank(static_cast<size_t>(
      std::ranges::count_if(peers, [this](const PeerTable::Peer& peer) {
        return peer.liveness != Liveness::kDead &&
               peer.record.id < m_settings.id;
      })));
  view.listed = m_registry.listed_count();
  view.gossip_converged = now - m_started_at >= kGossipConvergenceTime;
  const WatchRole role = m_watch_role.Update(m_peers.self(), peers, now);
  if (role != m_current_watch_role) {
    m_current_watch_role = role;
    LogEvent("store_watch_role")
        .Field("latest", role != WatchRole::kNone)
        .Field("leader", role == WatchRole::kLeader)
        .Field("live", view.live)
        .Field("store_reachable", m_peers.self().store_reachable);
    m_config_watcher->SetRole(role);
    m_replica_watcher->SetRole(role);
    if (m_evacuation_watch) {
      m_evacuation_watch->SetRole(role);
    }
  }
  m_newer_config_known =
      std::ranges::any_of(peers, [this](const PeerTable::Peer& peer) {
        return peer.liveness != Liveness::kDead &&
               peer.record.document_revision > m_peers.self().document_revision;
      });
  RunProofRound(peers);
  const size_t vms = EstimateFleetSize(view);
  if (vms == m_fleet_size) {
    return;
  }
  m_fleet_size = vms;
  LogEvent("fleet_size")
      .Field("vms", vms)
      .Field("live", view.live)
      .Field("listed", view.listed.value_or(0));
  m_replicas.SetFleetSize(vms, m_settings.retries);
}

}  // namespace tanagervane
