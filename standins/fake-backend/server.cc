// Implements BackendServer with the gRPC callback API.

#include "server.h"

#include <chrono>

namespace tanagervane::standins {

namespace {

class CallReactor : public grpc::ServerUnaryReactor {
 public:
  explicit CallReactor(std::function<void()> on_cancel)
      : m_on_cancel(std::move(on_cancel)) {}

 private:
  void OnCancel() override { m_on_cancel(); }
  void OnDone() override { delete this; }

  std::function<void()> m_on_cancel;
};

}  // namespace

class BackendServer::Service : public proto::Backend::CallbackService {
 public:
  Service(EventLoop& loop, Hooks hooks)
      : m_loop(loop), m_hooks(std::move(hooks)) {}

  grpc::ServerUnaryReactor* Execute(grpc::CallbackServerContext*,
                                    const proto::ExecuteRequest* request,
                                    proto::ExecuteReply* reply) override {
    return PostCall(std::make_shared<ExecuteCall>(request, reply),
                    m_hooks.on_execute, m_hooks.on_execute_cancelled);
  }

  grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext*,
                                   const proto::StatusRequest* request,
                                   proto::StatusReply* reply) override {
    return PostCall(std::make_shared<StatusCall>(request, reply),
                    m_hooks.on_status, m_hooks.on_status_cancelled);
  }

 private:
  // Posts the call to the loop and returns its reactor.
  template <typename Call>
  grpc::ServerUnaryReactor* PostCall(
      std::shared_ptr<Call> call,
      const std::function<void(std::shared_ptr<Call>)>& on_call,
      const std::function<void(std::shared_ptr<Call>)>& on_cancelled) {
    auto* reactor = new CallReactor([this, call, &on_cancelled] {
      m_loop.Post([call, &on_cancelled] { on_cancelled(call); });
    });
    call->set_reactor(reactor);
    m_loop.Post([call, &on_call] { on_call(call); });
    return reactor;
  }

  EventLoop& m_loop;
  const Hooks m_hooks;
};

BackendServer::BackendServer(EventLoop& loop, Hooks hooks)
    : m_loop(loop),
      m_service(std::make_unique<Service>(loop, std::move(hooks))) {}

BackendServer::~BackendServer() {
  if (m_shutdown_thread.joinable()) {
    m_shutdown_thread.join();
  }
}

bool BackendServer::Start(const std::string& address) {
  grpc::ServerBuilder builder;
  // With SO_REUSEPORT, a second process could listen on the same port without
  // an error and would receive some of the connections.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(m_service.get());
  m_server = builder.BuildAndStart();
  return m_server != nullptr && port != 0;
}

void BackendServer::Stop(EventLoop::Task done) {
  if (m_shutdown_thread.joinable()) {
    m_shutdown_thread.join();
  }
  // Shutdown() blocks until the calls in flight are finished, which the loop
  // does, so it must not run on the loop.
  m_shutdown_thread = std::thread([this, done = std::move(done)]() mutable {
    if (m_server) {
      m_server->Shutdown(std::chrono::system_clock::now());
      m_server.reset();
    }
    m_loop.Post(std::move(done));
  });
}

}  // namespace tanagervane::standins
