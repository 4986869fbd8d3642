#ifndef TANAGERVANE_STANDINS_FAKE_BACKEND_REPLICA_H_
#define TANAGERVANE_STANDINS_FAKE_BACKEND_REPLICA_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"
#include "server.h"
#include "standins/common/timer_queue.h"
#include "tanagervane/routing/types.h"
#include "tanagervane/support/random.h"

namespace tanagervane::standins {

enum class Distribution { kConstant, kExponential, kLognormal };

/// Settings that are fixed when the process starts.
struct ReplicaConfig {
  std::string id;
  std::string index;
  std::string data_centre;
  std::string address;  ///< "ip:port".
  uint32_t shard = 0;
  uint32_t shards = 1;
  /// Maximum requests that run concurrently.
  uint32_t slots = 1;
  /// Maximum requests that wait for a slot.
  uint32_t queue_limit = 0;
  uint64_t initial_version = 1;
  double mean_service_ms = 0;
  Distribution distribution = Distribution::kExponential;
  /// Time in state "starting" after each start.
  double start_ms = 0;
  /// Right after a start, service times are multiplied by `cold_factor`. The
  /// factor falls linearly to 1 within `cold_ms`.
  double cold_factor = 1;
  double cold_ms = 0;
  uint64_t seed = 0;
};

/// Settings that the control port can change.
struct Behaviour {
  /// A frozen replica keeps its connections open but neither processes nor
  /// answers anything.
  bool frozen = false;
  /// Service times are divided by this.
  double speed = 1;
  /// Fraction of requests whose service time is multiplied by `slow_factor`.
  double slow_rate = 0;
  double slow_factor = 10;
  /// Reported in place of the true load (JSON key "lie").
  std::optional<ReportedLoad> load_override;
  /// The reported load is the load of this long ago.
  double report_age_ms = 0;
  bool draining = false;
  /// Fraction of executed requests that fail with INTERNAL.
  double error_rate = 0;
  /// Fraction of replies with one flipped bit in the first row.
  double corrupt_rate = 0;
  /// Fraction of replies that contain all rows twice.
  double duplicate_rate = 0;
  /// Fraction of replies that are replaced by the reply to another request
  /// (JSON key "crossed_rate").
  double wrong_reply_rate = 0;
  /// One-way delay, added to each request and to each reply.
  double latency_ms = 0;
  /// A request whose payload contains this text crashes the replica. Empty: no
  /// request does.
  std::string crash_on;
  /// Whether a crash by `crash_on` ends the whole process or only this
  /// replica's server.
  bool crash_process = false;
  /// Time between a crash and the restart.
  double restart_ms = 1000;
};

/// Counters of the calls to a replica, reported on the control port.
struct ReplicaCounters {
  uint64_t received = 0;
  uint64_t executed = 0;
  uint64_t answered = 0;
  /// Rejected with RESOURCE_EXHAUSTED: starting, or the queue is full.
  uint64_t shed = 0;
  uint64_t rejected_draining = 0;
  /// Rejected because the replica does not hold the index version (JSON key
  /// "version_gone").
  uint64_t rejected_version = 0;
  uint64_t cancelled_before_running = 0;
  uint64_t cancelled_running = 0;
  uint64_t crashes = 0;
  uint64_t status_calls = 0;
};

/// Counts the executions of all replicas of the process.
struct ExecutionLog {
  /// Number of executions by class and payload.
  std::map<std::pair<std::string, std::string>, uint64_t> counts;
  /// Executions that were not counted because `counts` was full.
  uint64_t not_counted = 0;
  /// Classes whose executions are counted even when `counts` is full: the
  /// non-idempotent ones.
  std::vector<std::string> recorded_classes;

  bool IsRecorded(const std::string& class_name) const;
  void Record(const std::string& class_name, const std::string& payload);
};

/// One simulated replica: slots, queue, service times and faults.
class Replica {
 public:
  Replica(ReplicaConfig config,
          TimerQueue& timers,
          ExecutionLog& execution_log);
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Starts listening. Returns false when the port is in use.
  bool Start();

  const ReplicaConfig& config() const { return m_config; }
  const Behaviour& behaviour() const { return m_behaviour; }
  void SetBehaviour(const Behaviour& behaviour);

  /// Adds an index version and drops all but the two newest. Of the new
  /// version, the replica holds the shards to which its configured shard maps.
  void Publish(uint64_t version, uint32_t shards);

  uint64_t newest_version() const { return m_held_versions.back().version; }
  uint32_t newest_shards() const { return m_held_versions.back().shard_count; }

  /// Closes all connections, drops all requests and starts a new incarnation
  /// after `Behaviour::restart_ms`.
  void Crash();

  /// Returns whether no request is in transit, queued or running.
  bool idle() const { return m_pending_count == 0; }

  /// Stops the server without a restart and calls `done` on the loop.
  void Stop(EventLoop::Task done);

  void ResetCounters() { m_counters = {}; }
  nlohmann::json ToJson() const;

 private:
  /// A received call from its arrival to its reply.
  struct PendingCall {
    std::shared_ptr<ExecuteCall> call;
    /// Value of `m_generation` when the call arrived.
    uint64_t generation = 0;
    enum class Stage {
      kReceived,
      kQueued,
      kRunning,
      kReplying
    } stage = Stage::kReceived;
    TimerQueue::Handle timer;
  };
  using PendingCallPtr = std::shared_ptr<PendingCall>;

  void OnExecute(const std::shared_ptr<ExecuteCall>& call);
  void OnCancelled(const std::shared_ptr<ExecuteCall>& call);
  void OnStatus(const std::shared_ptr<StatusCall>& call);
  /// Runs, queues or rejects a call.
  void Admit(const PendingCallPtr& pending);
  void Execute(const PendingCallPtr& pending);
  void Complete(const PendingCallPtr& pending);
  /// Runs queued calls while slots are free.
  void StartQueued();
  void FinishCall(const PendingCallPtr& pending, const grpc::Status& status);
  void FillStatusReply(const std::shared_ptr<StatusCall>& call);

  /// Runs `step` after the simulated network delay, or, when the replica is
  /// frozen by then, when it is unfrozen.
  void AfterNetworkDelay(EventLoop::Task step);
  /// Runs `step` now, or when the replica is unfrozen.
  void RunOrDefer(EventLoop::Task step);

  /// Returns whether a call is unanswered and no crash has dropped it.
  bool IsOpen(const PendingCallPtr& pending) const;
  bool Holds(const proto::ExecuteRequest& request) const;
  bool IsStarting() const;
  /// Draws a random service time.
  double DrawServiceMillis();
  void FillReply(const proto::ExecuteRequest& request,
                 proto::ExecuteReply& reply);
  void InjectReplyFaults(const PendingCallPtr& pending);
  void BeginIncarnation();
  void RecordLoad();
  /// Returns the load to report: the override, or the load `report_age_ms` ago.
  ReportedLoad GetReportedLoad() const;

  const ReplicaConfig m_config;
  TimerQueue& m_timers;
  ExecutionLog& m_execution_log;
  Random m_random;
  Behaviour m_behaviour;
  ReplicaCounters m_counters;
  std::vector<HeldVersion> m_held_versions;
  BackendServer m_server;

  uint64_t m_incarnation = 0;
  /// Incremented by each crash. Pending steps of requests from an earlier
  /// generation do nothing.
  uint64_t m_generation = 0;
  /// True from a crash to the restart.
  bool m_down = false;
  bool m_stop_requested = false;
  /// True while a crash closes the server. If Stop() is called meanwhile,
  /// `m_on_stopped` runs once the server is closed.
  bool m_server_stopping = false;
  EventLoop::Task m_on_stopped;
  Millis m_start_time;

  std::map<const ExecuteCall*, PendingCallPtr> m_pending_calls;
  std::deque<PendingCallPtr> m_queue;
  std::vector<PendingCallPtr> m_running;
  size_t m_pending_count = 0;
  /// Steps that run when the replica is unfrozen.
  std::vector<EventLoop::Task> m_deferred_steps;
  /// The last reply without injected faults, for `wrong_reply_rate`.
  std::optional<proto::ExecuteReply> m_last_reply;
  /// Past loads with the time from which each was current.
  std::deque<std::pair<Millis, ReportedLoad>> m_load_history;
};

}  // namespace tanagervane::standins

#endif  // TANAGERVANE_STANDINS_FAKE_BACKEND_REPLICA_H_
