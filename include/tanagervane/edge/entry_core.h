// Everything an entry server decides, wired to its adapters.

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

/// Owns the modules of one entry process and moves events between them.
class EntryCore {
 public:
  using AnswerDone = std::function<void(HttpResponse)>;

  EntryCore(EventLoop& loop, EntrySettings settings, uint64_t incarnation);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  absl::Status Start();

  /// Announces that this entry leaves. It goes on serving.
  void BeginLeaving();

  /// The time until which a leaving entry must serve.
  Millis serve_until() const { return m_serve_until; }

  /// True while claims or results of orders wait for the platform.
  bool HasUnwrittenOrders() const { return m_ledger.HasPendingWrites(); }

  /// Closes the connections to backend servers and frees the slot.
  void Shutdown(Millis limit, std::function<void()> done);

  PeerState state() const { return m_peers.self().state; }

  /// True once this entry served, also while it leaves.
  bool IsReady() const { return m_served; }

  // For callers.

  /// Returns the request's id, empty when it was refused at once.
  RequestId Query(const CallerRequest& request, AnswerDone done);
  void Order(const CallerRequest& request, const AnswerDone& done);
  void Cancel(const RequestId& id);
  EntryAddresses Addresses(std::string_view data_centre);

  // For operators.
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

  /// Copies figures kept elsewhere into the metrics.
  void RefreshMetrics();

  /// Runs after each new revision came into force.
  void set_on_document(std::function<void()> hook) {
    m_on_document = std::move(hook);
  }

 private:
  struct Pending {
    AnswerDone done;
    /// Set for orders.
    std::function<void(const Answer&)> on_order_answer;
    Millis arrived;
  };

  void OnAnswer(const Answer& answer);
  void OnDocument(const DocumentTracker::AcceptedDocument& accepted);
  void OnPeersChanged();
  void OnVmDiff(const VmDiff& diff);
  void OnOrderGranted(const CallerRequest& request,
                      const QueryRequest& query,
                      const AnswerDone& done);
  void OnOrderAnswer(const OrderKey& key, const Answer& answer);
  void ListVms();
  void RetryListVms();
  void Tick();
  /// Tells the peers of a lost connection at once: the caller of a request
  /// that crashes backend servers sends it again without waiting for a round.
  void GossipLoss();
  void MaybeServe();
  void ScheduleEngine();
  void RefreshSeeds();

  /// Checks what all requests have in common; on failure answers and returns
  /// nothing.
  std::optional<QueryRequest> Prepare(const CallerRequest& request,
                                      bool is_order,
                                      const AnswerDone& done);
  void CountRequest(std::string_view class_name,
                    std::string_view tenant,
                    std::string_view result);

  EventLoop& m_loop;
  EntrySettings m_settings;
  uint64_t m_incarnation;
  Random m_random;
  MetricsRegistry m_metrics;
  LatencyByClass m_latency;
  PlatformClient m_platform;
  PeerTable m_peers;
  EntryDirectory m_directory;
  Gossip m_gossip;
  QueryEngine m_engine;
  DocumentTracker m_tracker;
  DocumentPublisher m_publisher;
  OrderLedger m_ledger;
  SlotTable m_slots;
  VmList m_vms;
  // Created by Start(), because it needs the running gRPC queue.
  std::unique_ptr<BackendPool> m_pool;

  std::map<RequestId, Pending> m_pending;
  uint64_t m_next_request = 1;
  std::optional<Millis> m_engine_due;
  EventLoop::TimerId m_engine_timer = 0;
  bool m_vms_read = false;
  bool m_served = false;
  bool m_loss_posted = false;
  /// Ids in the latest VM list.
  std::vector<std::string> m_listed_vms;
  /// Zero after a call that worked.
  Millis m_vm_list_retry;
  std::optional<Millis> m_slot_since;
  Millis m_serve_until;
  std::function<void()> m_on_document = [] {};
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_ENTRY_CORE_H_
