// Runs completions of asynchronous gRPC operations on the event loop.

#ifndef TANAGERVANE_EDGE_GRPC_RUNTIME_H_
#define TANAGERVANE_EDGE_GRPC_RUNTIME_H_

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <thread>

#include "tanagervane/net/event_loop.h"

namespace tanagervane {

/// A heap-allocated completion tag. `on_done` runs on the event loop with the
/// operation's success flag; the tag is deleted afterwards.
struct CompletionTag {
  std::function<void(bool)> on_done;
};

/// Owns a completion queue and the thread that drains it. The thread only
/// posts each finished operation to the event loop, where `on_done` runs.
class GrpcRuntime {
 public:
  /// With `builder`, the queue also serves the server that it builds.
  explicit GrpcRuntime(EventLoop& loop, grpc::ServerBuilder* builder = nullptr);
  ~GrpcRuntime();
  GrpcRuntime(const GrpcRuntime&) = delete;
  GrpcRuntime& operator=(const GrpcRuntime&) = delete;

  grpc::CompletionQueue* queue() { return m_queue.get(); }

  /// The queue that the constructor added to `builder`; null without one.
  grpc::ServerCompletionQueue* server_queue() { return m_server_queue; }

  /// Returns a tag that runs `on_done` when the operation started with it
  /// finishes. Use each tag for one operation.
  static void* MakeTag(std::function<void(bool)> on_done) {
    return new CompletionTag{std::move(on_done)};
  }

  /// Starts the thread. Call it after the builder has built the server.
  void Start();

 private:
  void DrainQueue();

  EventLoop& m_loop;
  std::unique_ptr<grpc::CompletionQueue> m_queue;
  grpc::ServerCompletionQueue* m_server_queue = nullptr;
  std::thread m_thread;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_GRPC_RUNTIME_H_
