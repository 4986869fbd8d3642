// The core of an entry server: connects the query engine and the membership,
// document, order and slot modules to the network clients.

#ifndef TANAGERVANE_EDGE_ENTRY_CORE_H_
#define TANAGERVANE_EDGE_ENTRY_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"
#include "tanagervane/edge/backend_pool.h"
#include "tanagervane/edge/caller_codec.h"
#include "tanagervane/edge/gossip.h"
#include "tanagervane/edge/platform_client.h"
#include "tanagervane/edge/settings.h"
#include "tanagervane/metrics/registry.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/query/query_engine.h"
#include "tanagervane/state/document_publisher.h"
#include "tanagervane/state/document_tracker.h"
#include "tanagervane/state/entry_directory.h"
#include "tanagervane/state/order_ledger.h"
#include "tanagervane/state/peer_table.h"
#include "tanagervane/state/slot_table.h"
#include "tanagervane/state/vm_list.h"

namespace tanagervane {

/// Owns the modules of one entry process and passes events between them.
class EntryCore {
 public:
  using ResponseCallback = std::function<void(HttpResponse)>;

  EntryCore(EventLoop& loop, EntrySettings settings, uint64_t incarnation);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  absl::Status Start();

  /// Announces to peers that this entry leaves. It continues to serve until
  /// serve_until().
  void BeginLeaving();

  /// The time until which this entry, when leaving, must serve because callers
  /// may still use its address.
  Millis serve_until() const { return m_serve_until; }

  /// True while claims or results of orders wait to be written to the platform.
  bool HasPendingOrderWrites() const { return m_ledger.HasPendingWrites(); }

  /// Closes the connections to backend servers and releases the connection
  /// slot. `done` runs once that is done or `slot_release_timeout` has passed.
  void Shutdown(Millis slot_release_timeout, std::function<void()> done);

  PeerState state() const { return m_peers.self().state; }

  /// True once this entry has started to serve, and also while it leaves.
  bool HasServed() const { return m_has_served; }

  // Used by CallerApi.

  /// Starts a query. Returns its request id, or an empty id when the request
  /// was refused and `done` has already run.
  RequestId Query(const CallerRequest& request, ResponseCallback done);
  void Order(const CallerRequest& request, const ResponseCallback& done);
  void Cancel(const RequestId& id);
  EntryAddresses Addresses(std::string_view data_centre);

  // Used by OperatorApi.
  DocumentPublisher& publisher() { return m_publisher; }
  DocumentTracker& tracker() { return m_tracker; }
  PlatformApi platform() { return m_platform.api(); }
  MetricsRegistry& metrics() { return m_metrics; }
  const EntrySettings& settings() const { return m_settings; }
  std::vector<ExplainEvent> Explain(std::string_view id) const {
    return m_engine.Explain(id);
  }
  nlohmann::json StatusJson() const;
  nlohmann::json EntriesJson() const;

  /// Copies the counters of the modules into the metrics registry.
  void RefreshMetrics();

  /// Sets a hook that runs after each new document revision came into force.
  void set_on_document_change(std::function<void()> hook) {
    m_on_document_change = std::move(hook);
  }

 private:
  struct PendingRequest {
    ResponseCallback done;
    /// Set only for orders.
    std::function<void(const Answer&)> on_order_answer;
    Millis arrived_at;
  };

  void OnAnswer(const Answer& answer);
  void OnDocumentAccepted(const DocumentTracker::AcceptedDocument& accepted);
  void OnPeersChanged();
  void OnVmDiff(const VmDiff& diff);
  void OnOrderClaimGranted(const CallerRequest& request,
                           const QueryRequest& query,
                           const ResponseCallback& done);
  void OnOrderAnswer(const OrderKey& key, const Answer& answer);
  /// Waits for a VM list that is newer than the last one, again and again.
  void ListVms();
  void ScheduleVmListRetry();
  /// Runs the due timers of all modules but the query engine, and starts to
  /// serve once ready.
  void RunDueTimers();
  /// Schedules a gossip round at once, so that peers learn of attempts lost
  /// with their connection: the caller of a request that crashes backend
  /// servers may resend it before the next periodic round.
  void ScheduleGossipRound();
  void StartServingIfReady();
  /// Sets the event loop timer for the next timer of the query engine.
  void ScheduleEngineTimer();
  /// Passes the settings' seeds and the entries of the VM list to the peer
  /// table.
  void RefreshSeeds();

  /// Checks `request` against the document and converts it to a query. When a
  /// check fails, calls `done` with the refusal and returns nothing.
  std::optional<QueryRequest> BuildQuery(const CallerRequest& request,
                                         bool is_order,
                                         const ResponseCallback& done);
  void CountRequest(std::string_view class_name,
                    std::string_view tenant,
                    std::string_view result);

  EventLoop& m_loop;
  EntrySettings m_settings;
  uint64_t m_incarnation;
  Random m_random;
  MetricsRegistry m_metrics;
  LatencyByClassAndTenant m_latency;
  PlatformClient m_platform;
  PeerTable m_peers;
  EntryDirectory m_directory;
  Gossip m_gossip;
  QueryEngine m_engine;
  DocumentTracker m_tracker;
  DocumentPublisher m_publisher;
  OrderLedger m_ledger;
  ConnectionSlotTable m_slots;
  VmList m_vms;
  // Created by Start(), because it needs the gRPC completion queue.
  std::unique_ptr<BackendPool> m_pool;

  std::map<RequestId, PendingRequest> m_pending_requests;
  uint64_t m_next_request_number = 1;
  std::optional<Millis> m_engine_timer_due;
  EventLoop::TimerId m_engine_timer = 0;
  bool m_vm_list_received = false;
  bool m_has_served = false;
  bool m_gossip_round_posted = false;
  /// The ids in the latest VM list.
  std::vector<std::string> m_listed_vm_ids;
  /// Zero after a successful call.
  Millis m_vm_list_retry_delay;
  std::optional<Millis> m_slot_acquired_at;
  Millis m_serve_until;
  std::function<void()> m_on_document_change = [] {};
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_ENTRY_CORE_H_
