// Connections to the backend servers in the VM list, and the periodic status
// calls to them.

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

/// Keeps one connection to each backend server whose index the document lists,
/// and polls its status. Connects only after Enable(), which the entry calls
/// once it holds a connection slot.
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

  /// Sets a hook that runs after each event that may have changed the query
  /// engine's next timer.
  void set_on_engine_event(std::function<void()> hook) {
    m_on_engine_event = std::move(hook);
  }

  /// Sets a hook that runs with the result of each status call.
  void set_on_status_result(
      std::function<void(const std::string& id, bool ok)> hook) {
    m_on_status_result = std::move(hook);
  }

  /// Sets a hook that runs for each attempt that failed because its connection
  /// was lost.
  void set_on_attempts_lost(std::function<void()> hook) {
    m_on_attempts_lost = std::move(hook);
  }

  /// Connects to all known servers, and to those added later.
  void Enable();

  /// Closes every connection and removes the servers from the query engine.
  void Disable();

  void ApplyDocument(const Document& document);
  void Upsert(const VmRecord& vm);
  void SetLeaving(const std::string& id);
  void Remove(const std::string& id);

  /// The number of backend servers in the VM list.
  size_t known_servers() const { return m_servers.size(); }
  /// The number of backend servers with an open connection.
  size_t connected_servers() const;

 private:
  struct Server {
    VmRecord vm;
    /// True once the server is in the query engine and its connection was
    /// requested.
    bool active = false;
    bool leaving = false;
    bool status_pending = false;
    uint32_t consecutive_failures = 0;
    Millis next_status_at;
  };

  void Activate(Server& server);
  void PollStatus();
  void OnStatus(const ReplicaId& id, const ReplicaStatus& status);
  void OnStatusFailed(const ReplicaId& id);
  Millis NextStatusDelay();

  EventLoop& m_loop;
  QueryEngine& m_engine;
  BackendClient m_client;
  Random m_random;
  EventLoop::TimerId m_poll_timer = 0;
  std::function<void()> m_on_engine_event = [] {};
  std::function<void()> m_on_attempts_lost = [] {};
  std::function<void(const std::string&, bool)> m_on_status_result =
      [](const std::string&, bool) {};
  std::map<std::string, Server> m_servers;
  Document m_document;
  bool m_enabled = false;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_BACKEND_POOL_H_
