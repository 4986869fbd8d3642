// Connections to replicas: one request at a time on each, kept for reuse.

#ifndef TANAGERVANE_FLEET_REPLICA_CONNECTIONS_H_
#define TANAGERVANE_FLEET_REPLICA_CONNECTIONS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "tanagervane/net/http_connection.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/serving/exchange.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// A request as it goes to a replica.
struct EncodedRequest {
  std::string bytes;
  bool head = false;
  /// Tells the response to this request from late ones to earlier requests.
  HttpConnection::BelongsHook belongs;
};

struct ReplicaConnectionsHooks {
  /// The outcome of Start(). Runs from the loop, never within a call.
  std::function<void(uint64_t exchange, ExchangeResult result)> done;
};

struct ReplicaConnectionStats {
  uint64_t opened = 0;
  uint64_t reused = 0;
  uint64_t open = 0;
  /// Responses that were no HTTP, had no end or were too large.
  uint64_t invalid = 0;
};

class ReplicaConnections {
 public:
  /// Unfinished responses hold at most `response_bytes` together.
  ReplicaConnections(Poller& poller,
                     size_t response_bytes,
                     ReplicaConnectionsHooks hooks);
  ~ReplicaConnections();
  ReplicaConnections(const ReplicaConnections&) = delete;
  ReplicaConnections& operator=(const ReplicaConnections&) = delete;

  /// Sends a request on a kept connection or a new one. Exchange ids are the
  /// caller's and unique. A kept connection is not used when `fresh` is set.
  void Start(uint64_t exchange,
             const std::shared_ptr<ServingReplica>& replica,
             EncodedRequest request,
             bool fresh);

  /// Ends an exchange by closing its connection. Its hook does not run.
  void Abandon(uint64_t exchange);

  /// Closes the kept connections of a replica, because they may be dead.
  void DropIdle(ServingReplica& replica);

  /// Ends connection attempts that take too long and closes connections that
  /// their replica is about to close. Call it a few times a second.
  void Sweep(Millis now);

  const ReplicaConnectionStats& stats() const { return m_stats; }

 private:
  struct Connection {
    std::unique_ptr<HttpConnection> http;
    std::shared_ptr<ServingReplica> replica;
    Millis started;
    /// While idle: when the replica may close it.
    Millis expires;
  };
  using Idle = std::vector<std::unique_ptr<Connection>>;

  std::unique_ptr<Connection> TakeIdle(ServingReplica& replica, Millis now);
  std::unique_ptr<Connection> Open(
      const std::shared_ptr<ServingReplica>& replica);
  void OnDone(uint64_t exchange, ExchangeResult result);
  void KeepOrClose(std::unique_ptr<Connection> connection,
                   const ExchangeResult& result,
                   Millis now);
  void OnIdleClosed(const std::string& key, const Connection* connection);

  Poller& m_poller;
  ReplicaConnectionsHooks m_hooks;
  ReceiveBudget m_budget;
  ReplicaConnectionStats m_stats;
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> m_busy;
  /// By the replica's key.
  std::unordered_map<std::string, Idle> m_idle;
  /// Exchanges that failed before a descriptor existed.
  std::vector<uint64_t> m_failed_at_once;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_REPLICA_CONNECTIONS_H_
