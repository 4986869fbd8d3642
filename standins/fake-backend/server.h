// The gRPC server of one replica. Calls arrive on gRPC's threads and are posted
// to the event loop.

#ifndef TANAGERVANE_STANDINS_FAKE_BACKEND_SERVER_H_
#define TANAGERVANE_STANDINS_FAKE_BACKEND_SERVER_H_

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "backend.grpc.pb.h"
#include "tanagervane/net/event_loop.h"

namespace tanagervane::standins {

/// One unanswered call. Used on the event loop only.
template <typename Request, typename Reply>
class ServerCall {
 public:
  ServerCall(const Request* request, Reply* reply)
      : m_request(request), m_reply(reply) {}

  /// Valid until Finish().
  const Request& request() const { return *m_request; }
  Reply& reply() { return *m_reply; }
  bool finished() const { return m_reactor == nullptr; }

  void set_reactor(grpc::ServerUnaryReactor* reactor) { m_reactor = reactor; }

  /// Ends the call. The reactor, the request and the reply belong to gRPC
  /// afterwards; calling Finish() again does nothing.
  void Finish(const grpc::Status& status) {
    if (auto* reactor = std::exchange(m_reactor, nullptr)) {
      reactor->Finish(status);
    }
  }

 private:
  const Request* m_request;
  Reply* m_reply;
  grpc::ServerUnaryReactor* m_reactor = nullptr;
};

using ExecuteCall = ServerCall<proto::ExecuteRequest, proto::ExecuteReply>;
using StatusCall = ServerCall<proto::StatusRequest, proto::StatusReply>;

/// A gRPC server on one port. The hooks run on the loop.
class BackendServer {
 public:
  struct Hooks {
    std::function<void(std::shared_ptr<ExecuteCall>)> on_execute;
    std::function<void(std::shared_ptr<ExecuteCall>)> on_execute_cancelled;
    std::function<void(std::shared_ptr<StatusCall>)> on_status;
    std::function<void(std::shared_ptr<StatusCall>)> on_status_cancelled;
  };

  BackendServer(EventLoop& loop, Hooks hooks);
  ~BackendServer();
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;

  /// Listens on `address`. Returns false when the port is in use.
  bool Start(const std::string& address);

  /// Closes all connections immediately, then calls `done` on the loop. Calls
  /// in flight are reported through the cancellation hooks, which must finish
  /// them.
  void Stop(EventLoop::Task done);

 private:
  class Service;

  EventLoop& m_loop;
  std::unique_ptr<Service> m_service;
  std::unique_ptr<grpc::Server> m_server;
  std::thread m_shutdown_thread;
};

}  // namespace tanagervane::standins

#endif  // TANAGERVANE_STANDINS_FAKE_BACKEND_SERVER_H_
