// fake-backend: simulates many backend servers in one process.

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/flags/flag.h"
#include "control.h"
#include "fmt/format.h"
#include "replica.h"
#include "standins/common/control.h"
#include "tanagervane/program/flags.h"
#include "tanagervane/support/hash.h"
#include "tanagervane/support/log.h"

ABSL_FLAG(std::string, index, "", "name of the index (required)");
ABSL_FLAG(uint32_t, shards, 1, "shards of the index");
ABSL_FLAG(uint32_t,
          first_shard,
          0,
          "shard of the first replica; the next replicas get the next shards, "
          "modulo --shards");
ABSL_FLAG(uint32_t, count, 1, "number of replicas in this process");
ABSL_FLAG(std::string, data_centre, "", "data centre of the replicas");
ABSL_FLAG(std::string,
          id_prefix,
          "",
          "prefix of VM ids; default <index>-<data_centre>");
ABSL_FLAG(std::string, host, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(uint32_t, base_port, 0, "port of the first replica (required)");
ABSL_FLAG(uint32_t, control_port, 0, "port of the control listener (required)");
ABSL_FLAG(uint32_t,
          slots,
          1,
          "maximum requests that a replica runs at the same time");
ABSL_FLAG(uint32_t, queue, 20, "maximum requests that a replica queues");
ABSL_FLAG(uint64_t, index_version, 1, "index version held at the start");
ABSL_FLAG(double, service_ms, 5, "mean service time in ms");
ABSL_FLAG(std::string,
          distribution,
          "exponential",
          "distribution of service times: constant, exponential or lognormal");
ABSL_FLAG(double, latency_ms, 0, "one-way network delay in ms");
ABSL_FLAG(double,
          start_ms,
          0,
          "time in state \"starting\" after each start, in ms");
ABSL_FLAG(double,
          cold_factor,
          1,
          "factor of the service time right after a start");
ABSL_FLAG(double,
          cold_ms,
          0,
          "time in ms over which the cold factor falls linearly to 1");
ABSL_FLAG(std::vector<std::string>,
          recorded_classes,
          std::vector<std::string>({"place-order", "record-tally"}),
          "non-idempotent classes; every execution is recorded");
ABSL_FLAG(double,
          stop_ms,
          5000,
          "maximum wait in ms for running requests after SIGTERM");
ABSL_FLAG(uint64_t, seed, 1, "seed of all random choices");

namespace tanagervane::standins {
namespace {

constexpr double kDrainPollMillis = 10;

void ValidateFlags() {
  if (absl::GetFlag(FLAGS_index).empty()) {
    ExitWithUsageError("--index: required");
  }
  const uint32_t count = absl::GetFlag(FLAGS_count);
  const uint32_t base_port = absl::GetFlag(FLAGS_base_port);
  const uint32_t control_port = absl::GetFlag(FLAGS_control_port);
  if (count == 0 || count > 60000) {
    ExitWithUsageError("--count: must be from 1 to 60000");
  }
  if (base_port == 0 || base_port + count > 65536) {
    ExitWithUsageError("--base_port: ports must be from 1 to 65535");
  }
  if (control_port == 0 || control_port > 65535) {
    ExitWithUsageError("--control_port: must be from 1 to 65535");
  }
  if (control_port >= base_port && control_port < base_port + count) {
    ExitWithUsageError("--control_port: must not be the port of a replica");
  }
  if (absl::GetFlag(FLAGS_shards) == 0 || absl::GetFlag(FLAGS_slots) == 0) {
    ExitWithUsageError("--shards, --slots: must be positive");
  }
  if (absl::GetFlag(FLAGS_first_shard) >= absl::GetFlag(FLAGS_shards)) {
    ExitWithUsageError("--first_shard: must be below --shards");
  }
  if (absl::GetFlag(FLAGS_index_version) == 0) {
    ExitWithUsageError("--index_version: must be positive");
  }
  for (double millis :
       {absl::GetFlag(FLAGS_service_ms), absl::GetFlag(FLAGS_latency_ms),
        absl::GetFlag(FLAGS_start_ms), absl::GetFlag(FLAGS_cold_ms),
        absl::GetFlag(FLAGS_stop_ms)}) {
    if (!(millis >= 0 && millis <= 1e7)) {
      ExitWithUsageError("--*_ms: each of these flags must be from 0 to 1e7");
    }
  }
  if (!(absl::GetFlag(FLAGS_cold_factor) >= 1)) {
    ExitWithUsageError("--cold_factor: must be at least 1");
  }
}

Distribution ParseDistribution() {
  const std::string name = absl::GetFlag(FLAGS_distribution);
  if (name == "constant") {
    return Distribution::kConstant;
  }
  if (name == "exponential") {
    return Distribution::kExponential;
  }
  if (name == "lognormal") {
    return Distribution::kLognormal;
  }
  ExitWithUsageError(
      "--distribution: must be constant, exponential or lognormal");
}

ReplicaConfig MakeConfig(uint32_t ordinal, Distribution distribution) {
  ReplicaConfig config;
  config.index = absl::GetFlag(FLAGS_index);
  config.data_centre = absl::GetFlag(FLAGS_data_centre);
  std::string prefix = absl::GetFlag(FLAGS_id_prefix);
  if (prefix.empty()) {
    prefix = config.data_centre.empty()
                 ? config.index
                 : fmt::format("{}-{}", config.index, config.data_centre);
  }
  config.id = fmt::format("{}-{}", prefix, ordinal);
  config.address = fmt::format("{}:{}", absl::GetFlag(FLAGS_host),
                               absl::GetFlag(FLAGS_base_port) + ordinal);
  config.shards = absl::GetFlag(FLAGS_shards);
  config.shard = (absl::GetFlag(FLAGS_first_shard) + ordinal) % config.shards;
  config.slots = absl::GetFlag(FLAGS_slots);
  config.queue_limit = absl::GetFlag(FLAGS_queue);
  config.initial_version = absl::GetFlag(FLAGS_index_version);
  config.mean_service_ms = absl::GetFlag(FLAGS_service_ms);
  config.distribution = distribution;
  config.start_ms = absl::GetFlag(FLAGS_start_ms);
  config.cold_factor = absl::GetFlag(FLAGS_cold_factor);
  config.cold_ms = absl::GetFlag(FLAGS_cold_ms);
  config.seed = StableHash(config.id, absl::GetFlag(FLAGS_seed));
  return config;
}

// Drains the replicas, waits up to --stop_ms for their open requests, stops
// their servers and quits the loop.
class GracefulShutdown {
 public:
  GracefulShutdown(EventLoop& loop,
                   std::vector<std::unique_ptr<Replica>>& replicas)
      : m_loop(loop), m_replicas(replicas) {}

  void StartShutdown() {
    if (m_started) {
      return;
    }
    m_started = true;
    LogEvent("stopping").Field("replicas", m_replicas.size());
    for (const auto& replica : m_replicas) {
      Behaviour behaviour = replica->behaviour();
      behaviour.draining = true;
      replica->SetBehaviour(behaviour);
    }
    m_deadline = m_loop.Now() + Millis(absl::GetFlag(FLAGS_stop_ms));
    PollDrain();
  }

 private:
  void PollDrain() {
    size_t busy_replicas = 0;
    for (const auto& replica : m_replicas) {
      busy_replicas += replica->idle() ? 0 : 1;
    }
    if (busy_replicas > 0 && m_loop.Now().count() < m_deadline.count()) {
      m_loop.RunAfter(Millis(kDrainPollMillis), [this] { PollDrain(); });
      return;
    }
    m_stopping_replicas = m_replicas.size();
    for (const auto& replica : m_replicas) {
      replica->Stop([this, busy_replicas] {
        if (--m_stopping_replicas == 0) {
          LogEvent("stopped").Field("interrupted_replicas", busy_replicas);
          m_loop.Quit();
        }
      });
    }
  }

  EventLoop& m_loop;
  std::vector<std::unique_ptr<Replica>>& m_replicas;
  bool m_started = false;
  Millis m_deadline;
  size_t m_stopping_replicas = 0;
};

int Main() {
  ValidateFlags();
  const Distribution distribution = ParseDistribution();
  EventLoop loop;
  TimerQueue timers(loop);
  ExecutionLog execution_log;
  execution_log.recorded_classes = absl::GetFlag(FLAGS_recorded_classes);
  std::vector<std::unique_ptr<Replica>> replicas;
  Behaviour behaviour;
  behaviour.latency_ms = absl::GetFlag(FLAGS_latency_ms);
  for (uint32_t i = 0; i < absl::GetFlag(FLAGS_count); ++i) {
    replicas.push_back(std::make_unique<Replica>(MakeConfig(i, distribution),
                                                 timers, execution_log));
    replicas.back()->SetBehaviour(behaviour);
    if (!replicas.back()->Start()) {
      LogEvent("listen_failed")
          .Field("address", replicas.back()->config().address);
      return 1;
    }
  }
  BackendControl control(replicas, execution_log);
  HttpServer server([&](const HttpRequest& request, const HttpResponder& done) {
    done(control.HandleRequest(request));
  });
  const std::string address = fmt::format("{}:{}", absl::GetFlag(FLAGS_host),
                                          absl::GetFlag(FLAGS_control_port));
  if (const absl::Status status = server.Listen(address); !status.ok()) {
    LogEvent("listen_failed")
        .Field("address", address)
        .Field("detail", status.ToString());
    return 1;
  }
  GracefulShutdown shutdown(loop, replicas);
  loop.SetStopSignalHandler([&] { shutdown.StartShutdown(); });
  LogEvent("ready")
      .Field("index", absl::GetFlag(FLAGS_index))
      .Field("replicas", replicas.size())
      .Field("base_port", absl::GetFlag(FLAGS_base_port))
      .Field("control", address);
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace tanagervane::standins

int main(int argc, char** argv) {
  tanagervane::ParseFlagsWithoutArguments(
      argc, argv,
      {.name = "fake-backend",
       .version = TANAGERVANE_VERSION,
       .usage = "Simulates backend servers.\n"
                "fake-backend --index=NAME --base_port=PORT "
                "--control_port=PORT [flags]"});
  return tanagervane::standins::Main();
}
