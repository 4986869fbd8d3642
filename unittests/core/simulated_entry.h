// One simulated entry process: the modules of EntryCore, connected as in
// EntryCore, on a simulated network, platform and clock.

#ifndef TANAGERVANE_UNITTESTS_CORE_SIMULATED_ENTRY_H_
#define TANAGERVANE_UNITTESTS_CORE_SIMULATED_ENTRY_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/simulated_world.h"
#include "tanagervane/query/query_engine.h"
#include "tanagervane/state/document_publisher.h"
#include "tanagervane/state/document_tracker.h"
#include "tanagervane/state/entry_directory.h"
#include "tanagervane/state/order_ledger.h"
#include "tanagervane/state/peer_table.h"
#include "tanagervane/state/slot_table.h"
#include "tanagervane/state/vm_list.h"

namespace tanagervane {

class SimulatedEntry : public std::enable_shared_from_this<SimulatedEntry> {
 public:
  using Ptr = std::shared_ptr<SimulatedEntry>;

  SimulatedEntry(SimulatedWorld& world, std::string id, uint64_t incarnation);

  /// Not part of the constructor because it needs shared_from_this().
  void Start();
  void Tick();

  /// Runs `action` in this process: now, after the pause when it is paused, or
  /// never when it is dead.
  void Post(std::function<void()> action);

  void Pause() { m_paused = true; }
  void Resume();
  void Kill();
  /// Starts a graceful stop. `on_exited` runs when the process has ended.
  void Leave(std::function<void()> on_exited);

  // Called by simulated callers, operators, peers and backend servers.
  void Query(const QueryRequest& request);
  void Order(const QueryRequest& request, const OrderKey& key);
  void Publish(const std::string& text);
  void OnConnectionsLost(const std::string& replica);
  void CheckAddresses(const std::map<std::string, Millis>& left_at);
  /// Passes a backend server's reply to the engine.
  void Deliver(const Attempt& attempt, const BackendReply& reply);
  void OnAttemptFailed(AttemptId id, FailureKind kind) {
    FailAttempt(id, kind);
  }
  /// Adds a violation for each request without an answer and for an old
  /// document. Called when all work has ended.
  void CheckAfterRun();

  const std::string& id() const { return m_id; }
  bool paused() const { return m_paused; }
  bool dead() const { return m_dead; }
  bool serving() const { return m_peers.self().state == PeerState::kServing; }
  bool holds_slot() const { return m_slots.slot().has_value(); }
  const DocumentTracker& tracker() const { return m_tracker; }

 private:
  struct Server {
    VmRecord vm;
    bool active = false;
    bool leaving = false;
    bool status_pending = false;
    Millis next_status_at;
  };

  Millis now() const { return m_world.now(); }
  std::string process() const {
    return fmt::format("{}/{}", m_id, m_incarnation);
  }
  PlatformApi MakePlatform();
  template <typename Object>
  std::function<void(PlatformResult, Object)> WithPlatformFaults(
      bool write,
      std::function<void(PlatformResult, Object)> done);
  void PollVmList(uint64_t known_version,
                  Millis poll_end,
                  PlatformApi::VmsDone done);
  void ListVms();
  void OnVmDiff(const VmDiff& diff);
  void RunGossipRound();
  void OnPeersChanged();
  void FetchDocument(const std::string& peer,
                     uint64_t newer_than,
                     const DocumentTracker::PeerDone& done);
  void OnDocumentAccepted(const DocumentTracker::AcceptedDocument& accepted);
  void StartServingIfReady();
  void ScheduleEngineTimer();
  /// Calls Post() with `action` after `delay` ms.
  void PostAfter(double delay, std::function<void()> action);

  void ActivateServer(Server& server);
  void DisableBackends();
  void SetConnected(const std::string& replica, bool connected);
  void PollStatus();
  void OnStatus(const std::string& replica,
                const std::optional<ReplicaStatus>& status);

  void Send(const Attempt& attempt);
  void FailAttempt(AttemptId id, FailureKind kind);
  void OnAnswer(const Answer& answer);

  SimulatedWorld& m_world;
  std::string m_id;
  uint64_t m_incarnation;
  Random m_random;
  PlatformApi m_platform;
  PeerTable m_peers;
  EntryDirectory m_directory;
  QueryEngine m_engine;
  DocumentTracker m_tracker;
  DocumentPublisher m_publisher;
  OrderLedger m_ledger;
  ConnectionSlotTable m_slots;
  VmList m_vms;

  bool m_dead = false;
  bool m_paused = false;
  bool m_backends_enabled = false;
  bool m_vm_list_received = false;
  std::vector<std::string> m_listed_vm_ids;
  Millis m_running_since;
  Millis m_next_heartbeat;
  std::optional<Millis> m_slot_acquired_at;
  std::optional<Millis> m_engine_timer_due;
  std::optional<Millis> m_exit_at;
  std::function<void()> m_on_exited;
  std::vector<std::function<void()>> m_backlog;
  Document m_document;
  std::map<std::string, Server> m_servers;
  std::map<AttemptId, Attempt> m_in_flight;
  struct PendingRequest {
    QueryRequest request;
    std::optional<OrderKey> order;
  };
  std::map<RequestId, PendingRequest> m_pending_requests;
  std::set<RequestId> m_answered;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_UNITTESTS_CORE_SIMULATED_ENTRY_H_
