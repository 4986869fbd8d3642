// What a VM of the tier learns from the store and from the other VMs.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "platform/object_codec.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/log.h"
#include "tools/tanagervane-node/node.h"

namespace tanagervane {

namespace {

/// The own object in the store is written again after this time when the store
/// did not take it.
constexpr Millis kRegisterRetry{500};

/// VMs assumed until gossip has told of the others.
constexpr Millis kGossipWarmUp{1500};
constexpr size_t kAssumedVms = 4;

void LogRejected(std::string_view event,
                 std::string_view name,
                 const absl::Status& status) {
  const auto message = status.message();
  LogEvent(event)
      .Field("object", name)
      .Field("path", GetErrorPath(status))
      .Field("reason", std::string_view(message.data(), message.size()));
}

}  // namespace

UdpGossipHooks Node::GossipHooks() {
  return {.membership = [this] { OnMembershipChange(); },
          .fill =
              [this](GossipMessage& message) {
                message.config_change = m_config_follower->last_change();
                message.replica_change = m_replica_follower->last_change();
              },
          .received =
              [this](const GossipMessage& message) {
                const Millis now = Poller::Now();
                m_config_follower->OnRevisionElsewhere(message.config_change,
                                                       now);
                m_replica_follower->OnRevisionElsewhere(message.replica_change,
                                                        now);
              }};
}

KindFollowerHooks Node::StoreHooks(StoreKind kind) {
  KindFollowerHooks hooks;
  hooks.list = [this, kind](std::string_view after,
                            KindFollowerHooks::PageDone done) {
    m_store->List(kind, after, false, std::move(done));
  };
  hooks.watch = [this, kind](uint64_t revision,
                             KindFollowerHooks::EventsDone done) {
    m_store->Watch(kind, revision, std::move(done));
  };
  hooks.after = [this](Millis delay, std::function<void()> task) {
    m_loop.After(delay, std::move(task));
  };
  hooks.reachable = [this, kind](bool reachable, StoreResult result) {
    OnStoreReachable(kind, reachable, result);
  };
  return hooks;
}

KindFollowerHooks Node::ConfigHooks() {
  KindFollowerHooks hooks = StoreHooks(StoreKind::kConfig);
  hooks.snapshot = [this](const std::vector<StoreObject>& objects) {
    std::ranges::for_each(objects, [this](const StoreObject& object) {
      ApplyConfigObject(object);
    });
  };
  hooks.changed = [this](const StoreObject& object) {
    ApplyConfigObject(object);
  };
  hooks.removed = [](std::string_view name) {
    // The last configuration stays in force.
    LogEvent("config_object_removed").Field("object", name);
  };
  return hooks;
}

KindFollowerHooks Node::ReplicaHooks() {
  KindFollowerHooks hooks = StoreHooks(StoreKind::kReplicas);
  hooks.snapshot = [this](const std::vector<StoreObject>& objects) {
    ApplyReplicaList(objects);
  };
  hooks.changed = [this](const StoreObject& object) {
    ApplyReplicaObject(object);
  };
  hooks.removed = [this](std::string_view name) {
    m_replicas.Remove(name, Poller::Now());
  };
  return hooks;
}

void Node::ApplyConfigObject(const StoreObject& object) {
  if (!IsConfiguration(object)) {
    return;
  }
  const auto config = DecodeConfig(object.content);
  if (!config.ok()) {
    LogRejected("config_invalid", object.name, config.status());
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
  m_peers.SetDocumentRevision(config->version);
  UpdateState();
}

void Node::ApplyReplicaObject(const StoreObject& object) {
  const Millis now = Poller::Now();
  const auto entry = DecodeReplica(object.name, object.content);
  if (entry.ok()) {
    m_replicas.Apply(*entry, now);
    return;
  }
  LogRejected("replica_entry_invalid", object.name, entry.status());
  m_replicas.Remove(object.name, now);
}

void Node::ApplyReplicaList(const std::vector<StoreObject>& objects) {
  std::vector<ReplicaEntry> entries;
  for (const StoreObject& object : objects) {
    auto entry = DecodeReplica(object.name, object.content);
    if (entry.ok()) {
      entries.push_back(*std::move(entry));
    } else {
      LogRejected("replica_entry_invalid", object.name, entry.status());
    }
  }
  m_replicas.ApplyList(entries, Poller::Now());
  UpdateState();
}

void Node::OnStoreReachable(StoreKind kind,
                            bool reachable,
                            StoreResult result) {
  LogEvent(reachable ? "store_regained" : "store_lost")
      .Field("kind", ToString(kind))
      .Field("result", ToString(result));
  if (kind == StoreKind::kReplicas) {
    m_replicas.SetStoreReachable(reachable, Poller::Now());
  }
}

void Node::RegisterVm() {
  const std::string body = EncodeVm(m_settings.id, m_settings.gossip_address);
  m_store->Create(StoreKind::kVms, body, [this, body](WriteResult result) {
    if (m_stopping) {
      return;
    }
    switch (result) {
      case WriteResult::kDone:
        ListVms();
        return;
      case WriteResult::kConflict:
        // This VM's previous process left it; a no-op when the address stands.
        m_store->Replace(StoreKind::kVms, m_settings.id, body,
                         [this](WriteResult) { ListVms(); });
        return;
      case WriteResult::kNotFound:
      case WriteResult::kRefused:
      case WriteResult::kUnknown:
        LogEvent("vm_registration_failed").Field("retry", true);
        m_loop.After(kRegisterRetry, [this] { RegisterVm(); });
    }
  });
}

void Node::ListVms() {
  if (m_stopping) {
    return;
  }
  const bool may_be_stale = m_registered_vms > 0;
  m_store->List(StoreKind::kVms, "", may_be_stale,
                [this](StoreResult result, const StorePage& page) {
                  if (result != StoreResult::kOk) {
                    return;
                  }
                  std::vector<std::string> addresses;
                  for (const StoreObject& object : page.objects) {
                    auto address = DecodeVm(object.content);
                    if (!address.ok()) {
                      LogRejected("vm_entry_invalid", object.name,
                                  address.status());
                    } else if (object.name != m_settings.id) {
                      addresses.push_back(*std::move(address));
                    }
                  }
                  m_registered_vms = page.objects.size();
                  m_peers.SetSeeds(std::move(addresses));
                  m_gossip.Announce(Poller::Now());
                });
}

void Node::OnMembershipChange() {
  const Millis now = Poller::Now();
  size_t vms = 1;
  for (const PeerTable::Peer& peer : m_peers.Peers(now)) {
    vms += peer.liveness != Liveness::kDead ? 1 : 0;
  }
  if (now - m_started_at < kGossipWarmUp) {
    vms = std::max({vms, kAssumedVms, m_registered_vms});
  }
  m_replicas.SetFleet(vms, m_settings.retries);
}

}  // namespace tanagervane
