// gRPC client for backend servers, with one connection per replica.

#ifndef TANAGERVANE_EDGE_BACKEND_CLIENT_H_
#define TANAGERVANE_EDGE_BACKEND_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "tanagervane/edge/grpc_runtime.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/query/types.h"
#include "tanagervane/routing/types.h"

namespace tanagervane {

/// Sends attempts and status calls to replicas over gRPC. Call its methods on
/// the event loop only; the hooks run there too.
class BackendClient {
 public:
  struct Hooks {
    std::function<void(AttemptId, BackendReply)> on_reply;
    std::function<void(AttemptId, FailureKind)> on_failure;
    std::function<void(const ReplicaId&, const ReplicaStatus&)> on_status;
    std::function<void(const ReplicaId&)> on_status_failed;
  };

  BackendClient(EventLoop& loop, GrpcRuntime& runtime, Hooks hooks);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  /// Starts to open the connection to a replica, ahead of any request. Until it
  /// is open, attempts fail with kConnectFailed.
  void Connect(const ReplicaInfo& replica);

  /// Closes the connection. Attempts in flight fail with kConnectionLost.
  void Disconnect(const ReplicaId& replica);

  bool IsConnected(const ReplicaId& replica) const;

  /// Sends an attempt. Exactly one of on_reply and on_failure follows unless
  /// Cancel() comes first.
  void Send(const Attempt& attempt);

  /// Cancels an attempt; no hook runs for it afterwards. The connection stays
  /// open.
  void Cancel(AttemptId attempt);

  /// Requests a replica's status; on_status or on_status_failed follows, or
  /// neither when the replica has no connection.
  void RequestStatus(const ReplicaId& replica, Millis timeout);

 private:
  struct Connection;
  struct Call;

  void FinishCall(AttemptId id);

  EventLoop& m_loop;
  GrpcRuntime& m_runtime;
  Hooks m_hooks;
  std::unordered_map<ReplicaId, std::shared_ptr<Connection>> m_connections;
  std::unordered_map<AttemptId, std::shared_ptr<Call>> m_calls;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_BACKEND_CLIENT_H_
