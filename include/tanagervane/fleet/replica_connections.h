// Pools of HTTP connections to replicas.

#ifndef TANAGERVANE_FLEET_REPLICA_CONNECTIONS_H_
#define TANAGERVANE_FLEET_REPLICA_CONNECTIONS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "tanagervane/net/http_connection.h"
#include "tanagervane/net/memory_account.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/serving/exchange.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// A request to a replica, as HTTP/1.1 bytes.
struct EncodedRequest {
  std::string bytes;
  /// Bytes that follow. A large body is shared by all attempts of its request.
  std::shared_ptr<const std::string> body;
  /// Whether the method is HEAD, so that the response has no body.
  bool is_head = false;
  /// Returns whether a response answers this request and not an earlier one on
  /// the same connection.
  HttpConnection::ResponseMatcher response_matches;
};

struct ReplicaConnectionsHooks {
  /// Reports the outcome of Start(). Runs from the event loop, never during a
  /// call of ReplicaConnections.
  std::function<void(uint64_t exchange, ExchangeResult result)> done;
};

struct ReplicaConnectionStats {
  uint64_t opened = 0;
  uint64_t reused = 0;
  uint64_t open = 0;
  /// Responses that were malformed, unterminated or too large, or that answered
  /// other requests.
  uint64_t invalid = 0;
};

/// Each connection carries one request at a time and is kept for reuse.
class ReplicaConnections {
 public:
  /// `memory` bounds what all connections hold and must outlive this object.
  ReplicaConnections(Poller& poller,
                     MemoryAccount& memory,
                     ReplicaConnectionsHooks hooks);
  ~ReplicaConnections();
  ReplicaConnections(const ReplicaConnections&) = delete;
  ReplicaConnections& operator=(const ReplicaConnections&) = delete;

  /// Sends a request on an idle connection or, if there is none or
  /// `new_connection` is set, on a new one. The caller chooses a unique id for
  /// the exchange.
  void Start(uint64_t exchange,
             const std::shared_ptr<ServingReplica>& replica,
             EncodedRequest request,
             bool new_connection);

  /// Closes the connection of an exchange without calling the hook for it.
  void CancelExchange(uint64_t exchange);

  /// Closes the idle connections of a replica. Used when they may be broken.
  void CloseIdle(ServingReplica& replica);

  /// Fails exchanges whose connection is not established within the connect
  /// timeout, and closes idle connections that their replica is about to close.
  /// Call it a few times a second.
  void EnforceTimeouts(Millis now);

  const ReplicaConnectionStats& stats() const { return m_stats; }

 private:
  struct Connection {
    std::unique_ptr<HttpConnection> http;
    std::shared_ptr<ServingReplica> replica;
    Millis started;
    /// For an idle connection: when it must be closed, before the replica does.
    Millis expires;
  };
  using IdleConnections = std::vector<std::unique_ptr<Connection>>;

  std::unique_ptr<Connection> PopIdle(ServingReplica& replica, Millis now);
  std::unique_ptr<Connection> Open(
      const std::shared_ptr<ServingReplica>& replica);
  void OnDone(uint64_t exchange, ExchangeResult result);
  void KeepOrClose(std::unique_ptr<Connection> connection,
                   const ExchangeResult& result,
                   Millis now);
  void OnIdleClosed(const std::string& key, const Connection* connection);

  Poller& m_poller;
  MemoryAccount& m_memory;
  ReplicaConnectionsHooks m_hooks;
  ReplicaConnectionStats m_stats;
  /// By exchange id.
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> m_active;
  /// By ServingReplica::key.
  std::unordered_map<std::string, IdleConnections> m_idle;
  /// Exchanges for which no socket could be opened. EnforceTimeouts() reports
  /// their failure, because hooks must not run within Start().
  std::vector<uint64_t> m_failed_on_open;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_REPLICA_CONNECTIONS_H_
