// The server process of one VM of the tier on the users' platform.

#ifndef TANAGERVANE_TOOLS_TANAGERVANE_NODE_NODE_H_
#define TANAGERVANE_TOOLS_TANAGERVANE_NODE_NODE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "platform/store_client.h"
#include "tanagervane/fleet/fleet_size.h"
#include "tanagervane/fleet/latest_watchers.h"
#include "tanagervane/fleet/proof_exchange.h"
#include "tanagervane/fleet/replica_connections.h"
#include "tanagervane/fleet/udp_gossip.h"
#include "tanagervane/fleet/vm_registry.h"
#include "tanagervane/identity/config_proof.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/net/http_listener.h"
#include "tanagervane/net/memory_account.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/quota/fleet_quota.h"
#include "tanagervane/routing/quarantine.h"
#include "tanagervane/serving/dispatcher.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/state/entry_directory.h"
#include "tanagervane/state/kind_watcher.h"
#include "tanagervane/state/peer_table.h"
#include "tanagervane/state/rejected_entries.h"
#include "tanagervane/state/revision_times.h"
#include "tanagervane/support/random.h"
#include "tools/tanagervane-node/client_guard.h"
#include "tools/tanagervane-node/evacuation_watch.h"
#include "tools/tanagervane-node/request_log.h"
#include "tools/tanagervane-node/settings.h"

namespace tanagervane {

struct ProofStats {
  uint64_t calls = 0;
  uint64_t failed_calls = 0;
  uint64_t questions = 0;
  uint64_t answers = 0;
  uint64_t rejected = 0;
};

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
  /// Returns the request body that creates this VM's registration, or replaces
  /// it at a revision.
  std::string EncodeRegistration(uint64_t claim, uint64_t revision);

  // Callers.
  void OnCallerRequest(ExchangeId exchange, HttpRequestMessage message);
  /// Returns the response to a request that its header suffices to refuse.
  /// `header` is the request without its body.
  std::optional<HttpResponseMessage> AnswerFromHeader(
      const HttpRequestMessage& header);
  ConfigCertainty CertaintyOfConfig() const;

  // Proof that the configuration is up to date (node_proof.cc).
  /// Whether keyed requests need a proof.
  bool NeedsProof() const;
  /// Renews the proof; called in each gossip round.
  void RunProofRound(std::span<const PeerTable::Peer> peers);
  void CallStoreForProof();
  /// Handles the response to a call that was sent in this era of the store.
  void OnProofEvents(StoreResult result,
                     const StoreEvents& events,
                     uint64_t era,
                     Millis sent_at);
  /// Reads the latest configuration, which another VM has in force.
  void ReadNewerConfig();
  bool OnProofDatagram(std::string_view bytes, const std::string& source);
  void OnProofRequest(std::string_view bytes, const std::string& source);
  void OnProofResponse(std::string_view bytes, const std::string& source);
  /// Leaves or enters the directories of all VMs, and logs changes.
  void UpdateProofState();
  void UpdateProofMetrics();
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
  /// Called when the store states an era for the first time, and when it states
  /// a higher one because it was restored.
  void OnStoreEra(uint64_t era, bool first);
  RevisionGossip MakeRevisionGossip(Millis now);
  void OnRevisionGossip(const RevisionGossip& message);
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

  // Limits of tenants.
  std::unique_ptr<FleetQuota> MakeQuota(uint64_t incarnation);
  void AddQuotaHooks(DispatcherHooks& hooks);
  void OnQuotaMessage(const QuotaMessage& message);
  void TickQuota();
  std::optional<Millis> NextQuotaTimer() const;
  void ReloadQuota(const NodeSettings& settings);
  void ApplyTenants(const ServingConfig& config);
  void OnVmListRequested();
  void UpdateQuotaList();
  void UpdateQuotaPeers(std::span<const PeerTable::Peer> peers);
  void LogOwnedShare();
  void UpdateQuotaMetrics(MetricsRegistry& metrics);

  // Timers.
  void EnforceTimeouts();
  void UpdateTimer();
  void StopAccepting();
  void QuitWhenDone();

  EventLoop& m_loop;
  NodeSettings m_settings;
  Poller m_poller;
  /// Declared before the connections that charge it.
  MemoryAccount m_memory;
  MemoryWatch m_memory_watch;
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
  /// The number of the latest write of the registration.
  uint64_t m_registration_writes;
  std::unique_ptr<FleetQuota> m_quota;
  /// By the clock of m_quota.
  Millis m_vm_list_requested_at;
  double m_logged_share = 0;
  std::unique_ptr<StoreClient> m_store;
  std::unique_ptr<KindWatcher> m_config_watcher;
  std::unique_ptr<KindWatcher> m_replica_watcher;
  /// Null if data centres are never evacuated.
  std::unique_ptr<EvacuationWatch> m_evacuation_watch;
  /// When changes of the configuration and of the registrations were first
  /// seen in the fleet.
  RevisionTimes m_config_times;
  RevisionTimes m_replica_times;
  /// Gossip rounds without recent changes of the store.
  uint64_t m_quiet_rounds = 0;
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
  WatchRole m_current_watch_role = WatchRole::kNone;
  /// Whether a live VM has reported a later version of the configuration.
  bool m_newer_config_known = false;
  ConfigProof m_proof;
  ProofQuestions m_proof_questions;
  Random m_proof_random;
  /// All changes of the configuration up to this revision have been processed.
  uint64_t m_proof_revision = 0;
  /// Whether the last check found a valid proof.
  bool m_has_proof = false;
  /// Since when this VM has lacked a proof while another one has one.
  std::optional<Millis> m_unproved_since;
  /// Whether the directories omit this VM for lack of a proof.
  bool m_left_out = false;
  std::optional<Millis> m_newer_config_read_at;
  ProofStats m_proof_stats;
  Millis m_started_at;
  LatestWatchRole m_watch_role;
  bool m_stopping = false;
  Millis m_stop_deadline;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_TANAGERVANE_NODE_NODE_H_
