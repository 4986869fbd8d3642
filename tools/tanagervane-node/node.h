// The server process of one VM of the tier on the users' platform.

#ifndef TANAGERVANE_TOOLS_TANAGERVANE_NODE_NODE_H_
#define TANAGERVANE_TOOLS_TANAGERVANE_NODE_NODE_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "platform/store_client.h"
#include "tanagervane/fleet/fleet_size.h"
#include "tanagervane/fleet/replica_connections.h"
#include "tanagervane/fleet/udp_gossip.h"
#include "tanagervane/fleet/vm_registry.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/net/http_listener.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/routing/quarantine.h"
#include "tanagervane/serving/dispatcher.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/state/entry_directory.h"
#include "tanagervane/state/kind_watcher.h"
#include "tanagervane/state/peer_table.h"
#include "tanagervane/state/rejected_entries.h"
#include "tanagervane/state/revision_times.h"
#include "tools/tanagervane-node/evacuation_watch.h"
#include "tools/tanagervane-node/request_log.h"
#include "tools/tanagervane-node/settings.h"

namespace tanagervane {

/// Connects the serving core to callers, replicas, the platform's store and the
/// other VMs.
class Node {
 public:
  Node(EventLoop& loop, NodeSettings settings, uint64_t incarnation);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Binds the addresses and starts to follow the store. Fails if an address
  /// cannot be bound, and may then be repeated.
  absl::Status Start();

  /// Leaves the fleet, lets running requests finish within the stop grace time
  /// and quits the loop.
  void Stop();

  /// Applies changed bounds and limits. Changed addresses take effect only
  /// after a restart.
  void Reload(const NodeSettings& settings);

 private:
  // Set-up.
  HttpListenerHooks CallerHooks();
  HttpListenerHooks ReadinessHooks();
  HttpListenerHooks DirectoryHooks();
  HttpListenerHooks MetricsHooks();
  DispatcherHooks MakeDispatcherHooks();
  UdpGossipHooks GossipHooks();
  KindWatcherHooks StoreHooks(StoreKind kind);
  KindWatcherHooks ConfigHooks();
  KindWatcherHooks ReplicaHooks();
  VmRegistryHooks RegistryHooks();

  // Callers.
  void OnCallerRequest(ExchangeId exchange, HttpRequestMessage message);
  void ApplyLimits(const CallerLimits& limits);
  void OnAnswer(const FinalAnswer& answer);
  void AnswerAddresses(ExchangeId exchange);

  // Replicas.
  void OnExchangeDone(uint64_t exchange, ExchangeResult result);
  void OnProbeDone(uint64_t exchange, const ExchangeResult& result);
  /// Closes the connections of the replica's health probes.
  void CancelProbes(ServingReplica& replica);

  // The store.
  void ApplyConfigObject(const StoreObject& object);
  void ApplyReplicaObject(const StoreObject& object);
  void ApplyReplicaList(const std::vector<StoreObject>& objects,
                        uint64_t removal_revision);
  /// Applies what other VMs have seen of one kind of objects.
  static void ApplyReports(std::span<const RevisionReport> reports,
                           RevisionTimes& times,
                           KindWatcher& watcher);
  void OnStoreReachable(StoreKind kind, bool reachable, StoreResult result);

  // The fleet.
  void OnRegistryRead();
  void OnMembershipChange();
  void UpdateState();
  bool IsReady() const;

  /// Copies the statistics of the components into the metrics.
  void UpdateMetrics();

  // Timers.
  void EnforceTimeouts();
  void UpdateTimer();
  void StopAccepting();
  void QuitWhenDone();

  EventLoop& m_loop;
  NodeSettings m_settings;
  Poller m_poller;
  Quarantine m_quarantine;
  RequestLog m_request_log;
  ReplicaSet m_replicas;
  Dispatcher m_dispatcher;
  ReplicaConnections m_connections;
  HttpListener m_caller_listener;
  HttpListener m_readiness_listener;
  HttpListener m_directory_listener;
  HttpListener m_metrics_listener;
  PeerTable m_peers;
  EntryDirectory m_directory;
  UdpGossip m_gossip;
  VmRegistry m_registry;
  std::unique_ptr<StoreClient> m_store;
  std::unique_ptr<KindWatcher> m_config_watcher;
  std::unique_ptr<KindWatcher> m_replica_watcher;
  /// Null if data centres are never evacuated.
  std::unique_ptr<EvacuationWatch> m_evacuation_watch;
  /// When changes of the configuration and of the registrations were first
  /// seen in the fleet.
  RevisionTimes m_config_times;
  RevisionTimes m_replica_times;
  RejectedEntries m_rejected_configs;
  RejectedEntries m_rejected_replicas;
  RejectedEntries m_rejected_vms;
  /// By key of a running request: the id that its caller gave and that the
  /// answer echoes.
  std::unordered_map<RequestKey, std::string> m_request_ids;
  /// Replicas of running health probes, by exchange id.
  std::unordered_map<uint64_t, std::shared_ptr<ServingReplica>> m_probes;
  uint64_t m_next_probe = 0;
  /// The latest estimate of the number of VMs that share the fleet's limits.
  size_t m_fleet_size = 0;
  /// Whether this VM watches the latest state of the store on behalf of its
  /// data centre.
  bool m_watches_latest = false;
  Millis m_started_at;
  bool m_stopping = false;
  Millis m_stop_deadline;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_TANAGERVANE_NODE_NODE_H_
