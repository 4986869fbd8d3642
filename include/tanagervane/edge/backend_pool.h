// Connections to the backend servers that the VM list names, and their
// status calls.

#ifndef TANAGERVANE_EDGE_BACKEND_POOL_H_
#define TANAGERVANE_EDGE_BACKEND_POOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "tanagervane/document/document.h"
#include "tanagervane/edge/backend_client.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/query/query_engine.h"
#include "tanagervane/state/platform_api.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// Keeps one connection for each backend server of the document's indexes.
/// Connects only after Enable(), which the holder of a connection slot calls.
class BackendPool {
 public:
  BackendPool(EventLoop& loop,
              GrpcRuntime& runtime,
              QueryEngine& engine,
              uint64_t seed);
  ~BackendPool() { m_loop.CancelTimer(m_poll_timer); }
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  BackendClient& client() { return m_client; }

  /// Called after each event that may have changed the engine's timers.
  void set_on_engine_event(std::function<void()> hook) {
    m_on_engine_event = std::move(hook);
  }

  /// Called with the result of each status call.
  void set_on_status_call(
      std::function<void(const std::string& id, bool ok)> hook) {
    m_on_status_call = std::move(hook);
  }

  /// Called after attempts were lost with their connection.
  void set_on_loss(std::function<void()> hook) { m_on_loss = std::move(hook); }

  void Enable();

  /// Closes every connection and forgets the servers' state.
  void Disable();

  void ApplyDocument(const Document& document);
  void Upsert(const VmRecord& vm);
  void SetLeaving(const std::string& id);
  void Remove(const std::string& id);

  /// Backend servers known, and those whose connection is up.
  size_t known() const { return m_servers.size(); }
  size_t connected() const;

 private:
  struct Server {
    VmRecord vm;
    /// True once the engine knows it and its connection was requested.
    bool active = false;
    bool leaving = false;
    bool status_pending = false;
    uint32_t failures = 0;
    Millis next_status;
  };

  void Activate(Server& server);
  void PollStatus();
  void OnStatus(const ReplicaId& id, const ReplicaStatus& status);
  void OnStatusFailed(const ReplicaId& id);
  Millis NextDelay();

  EventLoop& m_loop;
  QueryEngine& m_engine;
  BackendClient m_client;
  Random m_random;
  EventLoop::TimerId m_poll_timer = 0;
  std::function<void()> m_on_engine_event = [] {};
  std::function<void()> m_on_loss = [] {};
  std::function<void(const std::string&, bool)> m_on_status_call =
      [](const std::string&, bool) {};
  std::map<std::string, Server> m_servers;
  Document m_document;
  bool m_enabled = false;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_BACKEND_POOL_H_
