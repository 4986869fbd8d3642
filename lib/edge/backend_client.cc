// Implements BackendClient with asynchronous gRPC calls.

#include "tanagervane/edge/backend_client.h"

#include <chrono>
#include <utility>

#include "backend.grpc.pb.h"

namespace tanagervane {

namespace {

FailureKind ClassifyFailure(const grpc::Status& status) {
  switch (status.error_code()) {
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
      return FailureKind::kShed;
    case grpc::StatusCode::FAILED_PRECONDITION:
      return FailureKind::kVersionGone;
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return FailureKind::kTimedOut;
    case grpc::StatusCode::UNAVAILABLE:
      return status.error_message() == "draining"
                 ? FailureKind::kDraining
                 : FailureKind::kConnectionLost;
    default:
      return FailureKind::kServerError;
  }
}

std::chrono::system_clock::time_point DeadlineAfter(Millis delay) {
  const double micros = delay.count() < 0 ? 0 : delay.count() * 1000.0;
  return std::chrono::system_clock::now() +
         std::chrono::microseconds(static_cast<int64_t>(micros));
}

ServerState FromProto(proto::ServerState state) {
  switch (state) {
    case proto::SERVER_STATE_SERVING:
      return ServerState::kServing;
    case proto::SERVER_STATE_DRAINING:
      return ServerState::kDraining;
    default:
      return ServerState::kStarting;
  }
}

BackendReply FromProto(proto::ExecuteReply& reply) {
  BackendReply result;
  result.request_id = reply.request_id();
  result.attempt_id = reply.attempt_id();
  result.shard = reply.shard();
  result.index_version = reply.index_version();
  result.rows.assign(std::make_move_iterator(reply.mutable_rows()->begin()),
                     std::make_move_iterator(reply.mutable_rows()->end()));
  result.row_count = reply.row_count();
  result.checksum = reply.checksum();
  if (reply.has_load()) {
    result.load = ReportedLoad{reply.load().in_flight(), reply.load().queued()};
  }
  return result;
}

ReplicaStatus FromProto(const proto::StatusReply& reply) {
  ReplicaStatus status;
  status.incarnation = reply.incarnation();
  status.state = FromProto(reply.state());
  status.load = {reply.load().in_flight(), reply.load().queued()};
  for (const proto::HeldVersion& held : reply.versions()) {
    status.versions.push_back(
        {held.index(), held.index_version(), held.shard(), held.shard_count()});
  }
  return status;
}

}  // namespace

struct BackendClient::Connection {
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<proto::Backend::Stub> stub;
};

struct BackendClient::Call {
  grpc::ClientContext context;
  proto::ExecuteReply reply;
  grpc::Status status;
  std::unique_ptr<grpc::ClientAsyncResponseReader<proto::ExecuteReply>> reader;
  // Keeps the channel alive until the call has ended.
  std::shared_ptr<Connection> connection;
};

BackendClient::BackendClient(EventLoop& loop, GrpcRuntime& runtime, Hooks hooks)
    : m_loop(loop), m_runtime(runtime), m_hooks(std::move(hooks)) {}

BackendClient::~BackendClient() {
  for (auto& [id, call] : m_calls) {
    call->context.TryCancel();
  }
}

void BackendClient::Connect(const ReplicaInfo& replica) {
  if (m_connections.contains(replica.id)) {
    return;
  }
  grpc::ChannelArguments arguments;
  // With the global subchannel pool, two channels to one address would share a
  // connection. Each channel must have its own, so that the connections of a
  // process can be counted.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 500);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  auto connection = std::make_shared<Connection>();
  connection->channel = grpc::CreateCustomChannel(
      "ipv4:" + replica.address, grpc::InsecureChannelCredentials(), arguments);
  connection->stub = proto::Backend::NewStub(connection->channel);
  connection->channel->GetState(/*try_to_connect=*/true);
  m_connections.emplace(replica.id, std::move(connection));
}

void BackendClient::Disconnect(const ReplicaId& replica) {
  m_connections.erase(replica);
}

bool BackendClient::IsConnected(const ReplicaId& replica) const {
  const auto it = m_connections.find(replica);
  return it != m_connections.end() &&
         it->second->channel->GetState(false) == GRPC_CHANNEL_READY;
}

void BackendClient::Send(const Attempt& attempt) {
  const auto it = m_connections.find(attempt.replica);
  if (it == m_connections.end() ||
      it->second->channel->GetState(true) != GRPC_CHANNEL_READY) {
    // Posted to the event loop, so that the hook never runs before Send()
    // returns.
    m_loop.Post([this, id = attempt.id] {
      m_hooks.on_failure(id, FailureKind::kConnectFailed);
    });
    return;
  }
  auto call = std::make_shared<Call>();
  call->connection = it->second;
  call->context.set_deadline(DeadlineAfter(attempt.deadline - m_loop.Now()));
  proto::ExecuteRequest request;
  request.set_request_id(attempt.request_id);
  request.set_attempt_id(attempt.id);
  request.set_index(attempt.index);
  request.set_shard(attempt.shard);
  request.set_index_version(attempt.index_version);
  request.set_class_name(attempt.class_name);
  request.set_payload(attempt.payload);
  request.set_row_limit(attempt.row_limit);
  m_calls.emplace(attempt.id, call);
  call->reader = it->second->stub->AsyncExecute(&call->context, request,
                                                m_runtime.queue());
  // The tag holds the call until gRPC has written the reply into it.
  call->reader->Finish(&call->reply, &call->status,
                       GrpcRuntime::MakeTag([this, call, id = attempt.id](
                                                bool) { FinishCall(id); }));
}

void BackendClient::FinishCall(AttemptId id) {
  const auto it = m_calls.find(id);
  if (it == m_calls.end()) {
    return;  // Cancel() has removed the call.
  }
  const std::shared_ptr<Call> call = it->second;
  m_calls.erase(it);
  if (call->status.ok()) {
    m_hooks.on_reply(id, FromProto(call->reply));
    return;
  }
  m_hooks.on_failure(id, ClassifyFailure(call->status));
}

void BackendClient::Cancel(AttemptId attempt) {
  const auto it = m_calls.find(attempt);
  if (it == m_calls.end()) {
    return;
  }
  it->second->context.TryCancel();
  m_calls.erase(it);
}

void BackendClient::RequestStatus(const ReplicaId& replica, Millis timeout) {
  const auto it = m_connections.find(replica);
  if (it == m_connections.end()) {
    return;
  }
  struct StatusCall {
    grpc::ClientContext context;
    proto::StatusReply reply;
    grpc::Status status;
    std::unique_ptr<grpc::ClientAsyncResponseReader<proto::StatusReply>> reader;
    std::shared_ptr<Connection> connection;
  };
  auto call = std::make_shared<StatusCall>();
  call->connection = it->second;
  call->context.set_deadline(DeadlineAfter(timeout));
  call->reader = it->second->stub->AsyncStatus(
      &call->context, proto::StatusRequest(), m_runtime.queue());
  call->reader->Finish(&call->reply, &call->status,
                       GrpcRuntime::MakeTag([this, call, replica](bool) {
                         if (call->status.ok()) {
                           m_hooks.on_status(replica, FromProto(call->reply));
                         } else {
                           m_hooks.on_status_failed(replica);
                         }
                       }));
}

}  // namespace tanagervane
