// Tests of BackendPool without a reachable backend server.

#include "tanagervane/edge/backend_pool.h"

#include <gtest/gtest.h>

namespace tanagervane {
namespace {

// A backend server that left and restarted on the same VM must not be marked as
// leaving again when the next document is applied.
TEST(BackendPoolTest, RestartedServerIsSelectedAfterNewDocument) {
  EventLoop loop;
  GrpcRuntime runtime(loop);
  runtime.Start();
  QueryEngine engine(
      {.policy = {}, .data_centre = "a"},
      {[](const Attempt&) {}, [](AttemptId) {}, [](const Answer&) {}});
  BackendPool pool(loop, runtime, engine, 1);
  pool.set_on_engine_event([] {});
  pool.set_on_status_result([](const std::string&, bool) {});
  Document document;
  document.indexes = {{.name = "i", .connect_time = {}}};
  VmRecord vm{"p", VmRole::kBackendServer, VmState::kLive, "127.0.0.1:1", "a",
              "i"};
  ReplicaStatus status{1, ServerState::kServing, {}, {{"i", 1, 0, 1}}};
  const auto chosen_version = [&] {
    return engine.ChosenVersion("i", loop.Now());
  };

  pool.Enable();
  pool.ApplyDocument(document);
  pool.Upsert(vm);
  engine.OnReplicaStatus("p", status, loop.Now());
  EXPECT_EQ(chosen_version(), 1u);
  vm.state = VmState::kLeaving;
  pool.Upsert(vm);
  pool.SetLeaving("p");
  EXPECT_EQ(chosen_version(), 0u);

  vm.state = VmState::kLive;
  pool.Upsert(vm);
  engine.OnReplicaStatus("p", status, loop.Now());
  EXPECT_EQ(chosen_version(), 0u) << "the old process is still leaving";
  status.incarnation = 2;
  engine.OnReplicaStatus("p", status, loop.Now());
  EXPECT_EQ(chosen_version(), 1u);
  pool.ApplyDocument(document);
  EXPECT_EQ(chosen_version(), 1u);
}

}  // namespace
}  // namespace tanagervane
