// The thread that drains the completion queue.

#include "tanagervane/edge/grpc_runtime.h"

#include <utility>

namespace tanagervane {

GrpcRuntime::GrpcRuntime(EventLoop& loop, grpc::ServerBuilder* builder)
    : m_loop(loop) {
  if (!builder) {
    m_queue = std::make_unique<grpc::CompletionQueue>();
    return;
  }
  auto server_queue = builder->AddCompletionQueue();
  m_server_queue = server_queue.get();
  m_queue = std::move(server_queue);
}

GrpcRuntime::~GrpcRuntime() {
  m_queue->Shutdown();
  if (m_thread.joinable()) {
    m_thread.join();
  }
  // Drops the completions that the thread posted last: they belong to calls of
  // this queue and must not run after its destruction.
  m_loop.DropPostedTasks();
}

void GrpcRuntime::Start() {
  m_thread = std::thread([this] { DrainQueue(); });
}

void GrpcRuntime::DrainQueue() {
  void* completed_tag = nullptr;
  bool ok = false;
  while (m_queue->Next(&completed_tag, &ok)) {
    m_loop.Post([tag = std::shared_ptr<CompletionTag>(
                     static_cast<CompletionTag*>(completed_tag)),
                 ok] { tag->on_done(ok); });
  }
}

}  // namespace tanagervane
