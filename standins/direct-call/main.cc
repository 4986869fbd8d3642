// Calls one replica of each shard directly, without an entry server, and prints
// quantiles of the latency of the slowest call of each round. This is the
// baseline for measuring the latency that an entry server adds.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "fmt/format.h"
#include "tanagervane/edge/backend_client.h"
#include "tanagervane/edge/grpc_runtime.h"
#include "tanagervane/metrics/log_linear_histogram.h"
#include "tanagervane/program/flags.h"

ABSL_FLAG(
    std::vector<std::string>,
    addresses,
    {},
    "comma-separated ip:port of one replica of each shard, in shard order "
    "(required)");
ABSL_FLAG(std::string, index, "", "index name (required)");
ABSL_FLAG(std::string, class_name, "", "request class of the calls");
ABSL_FLAG(uint32_t,
          count,
          300,
          "number of rounds; a round is one call to each shard");
ABSL_FLAG(double,
          period_ms,
          10,
          "interval between the starts of rounds, in ms");

namespace tanagervane::standins {
namespace {

// Time for the connections to open before the first round.
constexpr Millis kConnectDelay{500};
constexpr Millis kCallTimeout{1000};

class DirectCaller {
 public:
  DirectCaller(EventLoop& loop, GrpcRuntime& runtime)
      : m_loop(loop),
        m_client(
            loop,
            runtime,
            {.on_reply = [this](AttemptId,
                                const BackendReply&) { OnCallFinished(true); },
             .on_failure = [this](AttemptId,
                                  FailureKind) { OnCallFinished(false); },
             .on_status = [](const ReplicaId&, const ReplicaStatus&) {},
             .on_status_failed = [](const ReplicaId&) {}}),
        m_addresses(absl::GetFlag(FLAGS_addresses)) {
    for (const std::string& address : m_addresses) {
      ReplicaInfo replica;
      replica.id = address;
      replica.address = address;
      m_client.Connect(replica);
    }
  }

  /// Starts a round, unless calls of the last round are still pending.
  void StartRound() {
    if (m_pending_calls > 0) {
      return;
    }
    m_round_start = m_loop.Now();
    m_pending_calls = m_addresses.size();
    for (uint32_t shard = 0; shard < m_addresses.size(); ++shard) {
      ++m_last_id;
      m_client.Send({.id = m_last_id,
                     .request_id = fmt::format("direct-{}", m_last_id),
                     .replica = m_addresses[shard],
                     .index = absl::GetFlag(FLAGS_index),
                     .shard = shard,
                     .index_version = 1,
                     .class_name = absl::GetFlag(FLAGS_class_name),
                     .payload = "direct",
                     .deadline = m_round_start + kCallTimeout});
    }
  }

  void PrintSummary() const {
    fmt::print("rounds={} failed={} p50_ms={:.3f} p99_ms={:.3f}\n",
               m_round_latency.count(), m_failed_calls,
               m_round_latency.Quantile(0.5).count(),
               m_round_latency.Quantile(0.99).count());
  }

 private:
  void OnCallFinished(bool ok) {
    m_failed_calls += ok ? 0 : 1;
    if (--m_pending_calls > 0) {
      return;
    }
    m_round_latency.Record(m_loop.Now() - m_round_start);
    if (m_round_latency.count() >= absl::GetFlag(FLAGS_count)) {
      m_loop.Quit();
    }
  }

  EventLoop& m_loop;
  BackendClient m_client;
  std::vector<std::string> m_addresses;
  LogLinearHistogram m_round_latency;
  Millis m_round_start;
  size_t m_pending_calls = 0;
  uint64_t m_failed_calls = 0;
  AttemptId m_last_id = 0;
};

int Main() {
  if (absl::GetFlag(FLAGS_addresses).empty()) {
    ExitWithUsageError("--addresses: required");
  }
  EventLoop loop;
  GrpcRuntime runtime(loop);
  runtime.Start();
  DirectCaller caller(loop, runtime);
  loop.RunAfter(kConnectDelay, [&] {
    loop.RunEvery(Millis(absl::GetFlag(FLAGS_period_ms)),
                  [&caller] { caller.StartRound(); });
  });
  loop.SetStopSignalHandler([&loop] { loop.Quit(); });
  loop.Run();
  caller.PrintSummary();
  return 0;
}

}  // namespace
}  // namespace tanagervane::standins

int main(int argc, char** argv) {
  tanagervane::ParseFlagsWithoutArguments(
      argc, argv,
      {.name = "direct-call",
       .version = TANAGERVANE_VERSION,
       .usage = "Calls backend servers directly and prints the latency.\n"
                "direct-call --index=NAME --addresses=IP:PORT,..."});
  return tanagervane::standins::Main();
}
