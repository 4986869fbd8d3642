#include "replica.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "standins/common/rows.h"
#include "tanagervane/support/hash.h"
#include "tanagervane/support/log.h"

namespace tanagervane::standins {

namespace {

// Bounds the memory for the execution counts of idempotent requests.
constexpr size_t kMaxCountedPayloads = 200000;
constexpr size_t kMaxHeldVersions = 2;
constexpr double kLognormalSigma = 0.5;
constexpr int kCrashExitStatus = 70;

double DrawStandardNormal(Random& random) {
  // Box-Muller transform. 1 - NextDouble() is never zero.
  return std::sqrt(-2 * std::log(1 - random.NextDouble())) *
         std::cos(2 * M_PI * random.NextDouble());
}

std::string_view ToString(proto::ServerState state) {
  switch (state) {
    case proto::SERVER_STATE_DRAINING:
      return "draining";
    case proto::SERVER_STATE_SERVING:
      return "serving";
    default:
      return "starting";
  }
}

}  // namespace

bool ExecutionLog::IsRecorded(const std::string& class_name) const {
  return std::find(recorded_classes.begin(), recorded_classes.end(),
                   class_name) != recorded_classes.end();
}

void ExecutionLog::Record(const std::string& class_name,
                          const std::string& payload) {
  const auto key = std::make_pair(class_name, payload);
  if (const auto it = counts.find(key); it != counts.end()) {
    ++it->second;
  } else if (counts.size() < kMaxCountedPayloads || IsRecorded(class_name)) {
    counts.emplace(key, 1);
  } else {
    ++not_counted;
  }
}

Replica::Replica(ReplicaConfig config,
                 TimerQueue& timers,
                 ExecutionLog& execution_log)
    : m_config(std::move(config)),
      m_timers(timers),
      m_execution_log(execution_log),
      m_random(m_config.seed),
      m_server(timers.loop(),
               {.on_execute = [this](const auto& call) { OnExecute(call); },
                .on_execute_cancelled =
                    [this](const auto& call) { OnCancelled(call); },
                .on_status = [this](const auto& call) { OnStatus(call); },
                .on_status_cancelled =
                    [](const auto& call) {
                      call->Finish(grpc::Status::CANCELLED);
                    }}) {
  Publish(m_config.initial_version, m_config.shards);
}

bool Replica::Start() {
  BeginIncarnation();
  return m_server.Start(m_config.address);
}

void Replica::BeginIncarnation() {
  m_incarnation = static_cast<uint64_t>(EventLoop::WallMillis()) << 16 |
                  m_random.NextBelow(1 << 16);
  m_start_time = m_timers.loop().Now();
  m_down = false;
  m_load_history.clear();
  RecordLoad();
}

void Replica::SetBehaviour(const Behaviour& behaviour) {
  m_behaviour = behaviour;
  if (!m_behaviour.frozen) {
    const std::vector<EventLoop::Task> steps =
        std::exchange(m_deferred_steps, {});
    for (const EventLoop::Task& step : steps) {
      step();
    }
  }
}

void Replica::Publish(uint64_t version, uint32_t shards) {
  // With fewer shards than before, several replicas hold the same shard. With
  // more, a replica holds several shards, so that every shard is held.
  for (uint32_t shard = m_config.shard % shards; shard < shards;
       shard += m_config.shards) {
    m_held_versions.push_back({m_config.index, version, shard, shards});
  }
  std::vector<uint64_t> versions;
  for (const HeldVersion& held : m_held_versions) {
    versions.push_back(held.version);
  }
  std::sort(versions.begin(), versions.end(), std::greater<>());
  versions.erase(std::unique(versions.begin(), versions.end()), versions.end());
  if (versions.size() > kMaxHeldVersions) {
    std::erase_if(m_held_versions, [&](const HeldVersion& held) {
      return held.version < versions[kMaxHeldVersions - 1];
    });
  }
}

void Replica::Crash() {
  if (m_down || m_stop_requested) {
    return;
  }
  LogEvent("replica_crashed").Field("replica", m_config.id);
  ++m_counters.crashes;
  m_down = true;
  ++m_generation;
  for (const PendingCallPtr& pending : m_running) {
    m_timers.Cancel(pending->timer);
  }
  m_running.clear();
  m_queue.clear();
  m_pending_calls.clear();
  m_pending_count = 0;
  m_last_reply.reset();
  m_server_stopping = true;
  m_server.Stop([this] {
    m_server_stopping = false;
    if (m_stop_requested) {
      m_on_stopped();
      return;
    }
    m_timers.RunAfter(Millis(m_behaviour.restart_ms), [this] {
      if (m_stop_requested) {
        return;
      }
      if (!Start()) {
        LogEvent("restart_failed").Field("replica", m_config.id);
        return;
      }
      LogEvent("replica_restarted").Field("replica", m_config.id);
    });
  });
}

void Replica::Stop(EventLoop::Task done) {
  m_stop_requested = true;
  if (m_server_stopping) {
    m_on_stopped = std::move(done);
    return;
  }
  m_server.Stop(std::move(done));
}

bool Replica::IsOpen(const PendingCallPtr& pending) const {
  return pending->generation == m_generation && !pending->call->finished();
}

bool Replica::Holds(const proto::ExecuteRequest& request) const {
  return std::any_of(m_held_versions.begin(), m_held_versions.end(),
                     [&](const HeldVersion& held) {
                       return held.index == request.index() &&
                              held.version == request.index_version() &&
                              held.shard == request.shard();
                     });
}

bool Replica::IsStarting() const {
  const Millis age = m_timers.loop().Now() - m_start_time;
  return age.count() < m_config.start_ms;
}

void Replica::AfterNetworkDelay(EventLoop::Task step) {
  if (m_behaviour.latency_ms <= 0) {
    RunOrDefer(std::move(step));
    return;
  }
  m_timers.RunAfter(Millis(m_behaviour.latency_ms),
                    [this, step = std::move(step)] { RunOrDefer(step); });
}

void Replica::RunOrDefer(EventLoop::Task step) {
  if (m_behaviour.frozen) {
    m_deferred_steps.push_back(std::move(step));
    return;
  }
  step();
}

void Replica::OnExecute(const std::shared_ptr<ExecuteCall>& call) {
  if (m_down) {
    return;  // OnCancelled() finishes the call when its connection closes.
  }
  ++m_counters.received;
  ++m_pending_count;
  auto pending = std::make_shared<PendingCall>();
  pending->call = call;
  pending->generation = m_generation;
  m_pending_calls.emplace(call.get(), pending);
  AfterNetworkDelay([this, pending] {
    if (IsOpen(pending)) {
      Admit(pending);
    }
  });
}

void Replica::Admit(const PendingCallPtr& pending) {
  using grpc::StatusCode;
  if (m_behaviour.draining) {
    ++m_counters.rejected_draining;
    FinishCall(pending, {StatusCode::UNAVAILABLE, "draining"});
    return;
  }
  if (IsStarting()) {
    ++m_counters.shed;
    FinishCall(pending, {StatusCode::RESOURCE_EXHAUSTED, "starting"});
    return;
  }
  if (!Holds(pending->call->request())) {
    ++m_counters.rejected_version;
    FinishCall(pending, {StatusCode::FAILED_PRECONDITION, "version not held"});
    return;
  }
  if (m_running.size() < m_config.slots) {
    Execute(pending);
    return;
  }
  if (m_queue.size() >= m_config.queue_limit) {
    ++m_counters.shed;
    FinishCall(pending, {StatusCode::RESOURCE_EXHAUSTED, "queue full"});
    return;
  }
  pending->stage = PendingCall::Stage::kQueued;
  m_queue.push_back(pending);
  RecordLoad();
}

double Replica::DrawServiceMillis() {
  double millis = m_config.mean_service_ms;
  switch (m_config.distribution) {
    case Distribution::kConstant:
      break;
    case Distribution::kExponential:
      millis *= -std::log(1 - m_random.NextDouble());
      break;
    case Distribution::kLognormal:
      // The second term keeps the mean at `mean_service_ms`.
      millis *= std::exp(kLognormalSigma * DrawStandardNormal(m_random) -
                         kLognormalSigma * kLognormalSigma / 2);
      break;
  }
  if (m_random.NextDouble() < m_behaviour.slow_rate) {
    millis *= m_behaviour.slow_factor;
  }
  const double age = (m_timers.loop().Now() - m_start_time).count();
  if (age < m_config.cold_ms) {
    millis *= 1 + (m_config.cold_factor - 1) * (1 - age / m_config.cold_ms);
  }
  return millis / m_behaviour.speed;
}

void Replica::Execute(const PendingCallPtr& pending) {
  const proto::ExecuteRequest& request = pending->call->request();
  ++m_counters.executed;
  m_execution_log.Record(request.class_name(), request.payload());
  if (!m_behaviour.crash_on.empty() &&
      request.payload().find(m_behaviour.crash_on) != std::string::npos) {
    if (m_behaviour.crash_process) {
      LogEvent("process_crashed").Field("replica", m_config.id);
      std::_Exit(kCrashExitStatus);
    }
    Crash();
    return;
  }
  pending->stage = PendingCall::Stage::kRunning;
  m_running.push_back(pending);
  RecordLoad();
  pending->timer =
      m_timers.RunAfter(Millis(DrawServiceMillis()), [this, pending] {
        RunOrDefer([this, pending] {
          if (IsOpen(pending)) {
            Complete(pending);
          }
        });
      });
}

void Replica::Complete(const PendingCallPtr& pending) {
  FillReply(pending->call->request(), pending->call->reply());
  const bool failed = m_random.NextDouble() < m_behaviour.error_rate;
  if (!failed) {
    InjectReplyFaults(pending);
  }
  pending->stage = PendingCall::Stage::kReplying;
  std::erase(m_running, pending);
  RecordLoad();
  const ReportedLoad load = GetReportedLoad();
  proto::Load* reported_load = pending->call->reply().mutable_load();
  reported_load->set_in_flight(load.in_flight);
  reported_load->set_queued(load.queued);
  AfterNetworkDelay([this, pending, failed] {
    if (!IsOpen(pending)) {
      return;
    }
    ++m_counters.answered;
    FinishCall(pending,
               failed ? grpc::Status(grpc::StatusCode::INTERNAL, "injected")
                      : grpc::Status::OK);
  });
  StartQueued();
}

void Replica::StartQueued() {
  while (!m_queue.empty() && m_running.size() < m_config.slots) {
    const PendingCallPtr pending = m_queue.front();
    m_queue.pop_front();
    if (Holds(pending->call->request())) {
      Execute(pending);
      continue;
    }
    ++m_counters.rejected_version;
    FinishCall(pending,
               {grpc::StatusCode::FAILED_PRECONDITION, "version not held"});
  }
  RecordLoad();
}

void Replica::FinishCall(const PendingCallPtr& pending,
                         const grpc::Status& status) {
  m_pending_calls.erase(pending->call.get());
  --m_pending_count;
  pending->call->Finish(status);
}

void Replica::OnCancelled(const std::shared_ptr<ExecuteCall>& call) {
  const auto it = m_pending_calls.find(call.get());
  if (it == m_pending_calls.end()) {
    call->Finish(grpc::Status::CANCELLED);
    return;
  }
  const PendingCallPtr pending = it->second;
  if (pending->stage == PendingCall::Stage::kRunning) {
    ++m_counters.cancelled_running;
    m_timers.Cancel(pending->timer);
    std::erase(m_running, pending);
  } else if (pending->stage != PendingCall::Stage::kReplying) {
    ++m_counters.cancelled_before_running;
    std::erase(m_queue, pending);
  }
  FinishCall(pending, grpc::Status::CANCELLED);
  // While the replica is frozen, no queued call may start.
  RunOrDefer([this, generation = m_generation] {
    if (generation == m_generation) {
      StartQueued();
    }
  });
}

void Replica::FillReply(const proto::ExecuteRequest& request,
                        proto::ExecuteReply& reply) {
  reply.set_request_id(request.request_id());
  reply.set_attempt_id(request.attempt_id());
  reply.set_shard(request.shard());
  reply.set_index_version(request.index_version());
  const std::vector<std::string> rows =
      ExpectedRows(request.index(), request.index_version(), request.shard(),
                   request.payload(), request.row_limit());
  reply.mutable_rows()->Clear();
  for (const std::string& row : rows) {
    reply.add_rows(row);
  }
  reply.set_row_count(static_cast<uint32_t>(rows.size()));
  reply.set_checksum(RowsChecksum(rows));
}

void Replica::InjectReplyFaults(const PendingCallPtr& pending) {
  proto::ExecuteReply& reply = pending->call->reply();
  const proto::ExecuteReply original = reply;
  if (m_random.NextDouble() < m_behaviour.corrupt_rate) {
    (*reply.mutable_rows(0))[0] ^= 1;
  }
  if (m_random.NextDouble() < m_behaviour.duplicate_rate) {
    // The row count and the checksum stay those of the original rows.
    const std::vector<std::string> rows(reply.rows().begin(),
                                        reply.rows().end());
    for (const std::string& row : rows) {
      reply.add_rows(row);
    }
  }
  if (m_random.NextDouble() < m_behaviour.wrong_reply_rate) {
    // The complete reply to another request: to one that is running, or
    // otherwise to the last completed one.
    const auto other = std::find_if(
        m_running.begin(), m_running.end(),
        [&](const PendingCallPtr& running) { return running != pending; });
    if (other != m_running.end()) {
      FillReply((*other)->call->request(), reply);
    } else if (m_last_reply) {
      reply = *m_last_reply;
    }
  }
  m_last_reply = original;
}

void Replica::RecordLoad() {
  const Millis now = m_timers.loop().Now();
  const ReportedLoad load{static_cast<uint32_t>(m_running.size()),
                          static_cast<uint32_t>(m_queue.size())};
  m_load_history.emplace_back(now, load);
  const double cutoff = now.count() - m_behaviour.report_age_ms;
  while (m_load_history.size() > 1 &&
         m_load_history[1].first.count() <= cutoff) {
    m_load_history.pop_front();
  }
}

ReportedLoad Replica::GetReportedLoad() const {
  if (m_behaviour.load_override) {
    return *m_behaviour.load_override;
  }
  const double cutoff =
      m_timers.loop().Now().count() - m_behaviour.report_age_ms;
  ReportedLoad load = m_load_history.front().second;
  for (const auto& [since, past] : m_load_history) {
    if (since.count() > cutoff) {
      break;
    }
    load = past;
  }
  return load;
}

void Replica::OnStatus(const std::shared_ptr<StatusCall>& call) {
  if (m_down) {
    return;
  }
  ++m_counters.status_calls;
  AfterNetworkDelay([this, call, generation = m_generation] {
    if (call->finished() || generation != m_generation) {
      return;
    }
    FillStatusReply(call);
    AfterNetworkDelay([call] { call->Finish(grpc::Status::OK); });
  });
}

void Replica::FillStatusReply(const std::shared_ptr<StatusCall>& call) {
  proto::StatusReply& reply = call->reply();
  reply.set_incarnation(m_incarnation);
  reply.set_state(m_behaviour.draining ? proto::SERVER_STATE_DRAINING
                  : IsStarting()       ? proto::SERVER_STATE_STARTING
                                       : proto::SERVER_STATE_SERVING);
  const ReportedLoad load = GetReportedLoad();
  reply.mutable_load()->set_in_flight(load.in_flight);
  reply.mutable_load()->set_queued(load.queued);
  for (const HeldVersion& held : m_held_versions) {
    proto::HeldVersion* version = reply.add_versions();
    version->set_index(held.index);
    version->set_index_version(held.version);
    version->set_shard(held.shard);
    version->set_shard_count(held.shard_count);
  }
}

nlohmann::json Replica::ToJson() const {
  nlohmann::json versions = nlohmann::json::array();
  for (const HeldVersion& held : m_held_versions) {
    versions.push_back({{"version", held.version},
                        {"shard", held.shard},
                        {"shard_count", held.shard_count}});
  }
  const proto::ServerState state = m_behaviour.draining
                                       ? proto::SERVER_STATE_DRAINING
                                   : IsStarting() ? proto::SERVER_STATE_STARTING
                                                  : proto::SERVER_STATE_SERVING;
  return {{"id", m_config.id},
          {"address", m_config.address},
          {"shard", m_config.shard},
          {"incarnation", m_incarnation},
          {"state", m_down ? "down" : ToString(state)},
          {"frozen", m_behaviour.frozen},
          {"running", m_running.size()},
          {"queued", m_queue.size()},
          {"versions", versions},
          {"counters",
           {{"received", m_counters.received},
            {"executed", m_counters.executed},
            {"answered", m_counters.answered},
            {"shed", m_counters.shed},
            {"refused_draining", m_counters.rejected_draining},
            {"version_gone", m_counters.rejected_version},
            {"cancelled_before_running", m_counters.cancelled_before_running},
            {"cancelled_running", m_counters.cancelled_running},
            {"crashes", m_counters.crashes},
            {"status_calls", m_counters.status_calls}}}};
}

}  // namespace tanagervane::standins
