// Implements PeerService with asynchronous gRPC calls.

#include "tanagervane/edge/peer_service.h"

#include <chrono>
#include <utility>

#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

// State of one incoming call, from waiting for it until its reply was sent.
template <typename Request, typename Reply>
struct ServerCall {
  grpc::ServerContext context;
  Request request;
  grpc::ServerAsyncResponseWriter<Reply> writer{&context};
};

// State of one outgoing call.
template <typename Reply>
struct ClientCall {
  grpc::ClientContext context;
  Reply reply;
  grpc::Status status;
  std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>> reader;
};

// Runs `done` with the reply to `call`, or with nothing when it failed. The
// tag keeps `call` alive until then.
template <typename Reply>
void NotifyOnReply(const std::shared_ptr<ClientCall<Reply>>& call,
                   std::function<void(std::optional<Reply>)> done) {
  call->reader->Finish(
      &call->reply, &call->status,
      GrpcRuntime::MakeTag([call, done = std::move(done)](bool) {
        if (call->status.ok()) {
          done(std::move(call->reply));
        } else {
          done(std::nullopt);
        }
      }));
}

template <typename Reply>
std::shared_ptr<ClientCall<Reply>> NewClientCall(Millis timeout) {
  auto call = std::make_shared<ClientCall<Reply>>();
  call->context.set_deadline(
      std::chrono::system_clock::now() +
      std::chrono::microseconds(static_cast<int64_t>(timeout.count() * 1000)));
  return call;
}

}  // namespace

PeerService::PeerService(EventLoop& loop, Hooks hooks)
    : m_loop(loop), m_hooks(std::move(hooks)) {}

PeerService::~PeerService() {
  m_stopping = true;
  if (m_server) {
    m_server->Shutdown(std::chrono::system_clock::now());
  }
  // Draining the completion queue still uses the server.
  m_runtime.reset();
  m_server.reset();
}

absl::Status PeerService::Start(const std::string& address) {
  grpc::ServerBuilder builder;
  int port = 0;
  // Without this, a second entry configured with the same port by mistake would
  // start and receive part of the traffic instead of failing to listen.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&m_service);
  m_runtime = std::make_unique<GrpcRuntime>(m_loop, &builder);
  m_server = builder.BuildAndStart();
  if (!m_server || port == 0) {
    return MakeError(ErrorCode::kInternal, "the peer listener failed to start",
                     address);
  }
  m_runtime->Start();
  AcceptExchange();
  AcceptFetchDocument();
  return absl::OkStatus();
}

void PeerService::AcceptExchange() {
  using Call = ServerCall<proto::PeerDigest, proto::PeerDigest>;
  auto call = std::make_shared<Call>();
  m_service.RequestExchange(
      &call->context, &call->request, &call->writer, m_runtime->queue(),
      m_runtime->server_queue(), GrpcRuntime::MakeTag([this, call](bool ok) {
        if (!ok || m_stopping) {
          return;
        }
        AcceptExchange();
        call->writer.Finish(m_hooks.on_exchange(call->request),
                            grpc::Status::OK,
                            GrpcRuntime::MakeTag([call](bool) {}));
      }));
}

void PeerService::AcceptFetchDocument() {
  using Call =
      ServerCall<proto::FetchDocumentRequest, proto::FetchDocumentReply>;
  auto call = std::make_shared<Call>();
  m_service.RequestFetchDocument(
      &call->context, &call->request, &call->writer, m_runtime->queue(),
      m_runtime->server_queue(), GrpcRuntime::MakeTag([this, call](bool ok) {
        if (!ok || m_stopping) {
          return;
        }
        AcceptFetchDocument();
        call->writer.Finish(
            m_hooks.on_fetch_document(call->request.newer_than_revision()),
            grpc::Status::OK, GrpcRuntime::MakeTag([call](bool) {}));
      }));
}

proto::Peer::Stub& PeerService::StubFor(const std::string& address) {
  std::unique_ptr<proto::Peer::Stub>& stub = m_stubs[address];
  if (!stub) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 500);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    stub = proto::Peer::NewStub(grpc::CreateCustomChannel(
        "ipv4:" + address, grpc::InsecureChannelCredentials(), arguments));
  }
  return *stub;
}

void PeerService::Exchange(
    const std::string& address,
    const proto::PeerDigest& digest,
    Millis timeout,
    std::function<void(std::optional<proto::PeerDigest>)> done) {
  auto call = NewClientCall<proto::PeerDigest>(timeout);
  call->reader = StubFor(address).AsyncExchange(&call->context, digest,
                                                m_runtime->queue());
  NotifyOnReply(call, std::move(done));
}

void PeerService::FetchDocument(
    const std::string& address,
    uint64_t revision,
    Millis timeout,
    std::function<void(std::optional<proto::FetchDocumentReply>)> done) {
  auto call = NewClientCall<proto::FetchDocumentReply>(timeout);
  proto::FetchDocumentRequest request;
  request.set_newer_than_revision(revision);
  call->reader = StubFor(address).AsyncFetchDocument(&call->context, request,
                                                     m_runtime->queue());
  NotifyOnReply(call, std::move(done));
}

}  // namespace tanagervane
