// The bridge between gRPC's completion queue and the event loop.

#ifndef TANAGERVANE_EDGE_GRPC_RUNTIME_H_
#define TANAGERVANE_EDGE_GRPC_RUNTIME_H_

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <thread>

#include "tanagervane/net/event_loop.h"

namespace tanagervane {

/// A heap-allocated completion tag. `on_done` runs on the event loop with the
/// operation's success flag; the tag is deleted after it.
struct GrpcTag {
  std::function<void(bool)> on_done;
};

/// Owns a completion queue and the thread that drains it. The thread makes no
/// decisions: it hands each finished operation to the event loop.
class GrpcRuntime {
 public:
  /// With `builder`, the queue also serves the server that it builds.
  explicit GrpcRuntime(EventLoop& loop, grpc::ServerBuilder* builder = nullptr);
  ~GrpcRuntime();
  GrpcRuntime(const GrpcRuntime&) = delete;
  GrpcRuntime& operator=(const GrpcRuntime&) = delete;

  grpc::CompletionQueue* queue() { return m_queue.get(); }

  /// The queue given to the builder in the constructor.
  grpc::ServerCompletionQueue* server_queue() { return m_server_queue; }

  /// Wraps `on_done` in a tag for an operation on the queue.
  static void* Tag(std::function<void(bool)> on_done) {
    return new GrpcTag{std::move(on_done)};
  }

  /// Starts draining; call after the server was built.
  void Start();

 private:
  void Drain();

  EventLoop& m_loop;
  std::unique_ptr<grpc::CompletionQueue> m_queue;
  grpc::ServerCompletionQueue* m_server_queue = nullptr;
  std::thread m_thread;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_GRPC_RUNTIME_H_
