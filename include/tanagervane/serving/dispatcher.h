// The life cycle of requests: admission, sends, hedges, retries, the answer.

#ifndef TANAGERVANE_SERVING_DISPATCHER_H_
#define TANAGERVANE_SERVING_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "tanagervane/routing/quarantine.h"
#include "tanagervane/routing/types.h"
#include "tanagervane/serving/admission.h"
#include "tanagervane/serving/exchange.h"
#include "tanagervane/serving/plan.h"
#include "tanagervane/serving/replica_chooser.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

struct DispatcherOptions {
  ServingPolicy policy;
  std::string data_centre;
  uint64_t seed = 1;
  /// Part of the objective that is left for the way back to the caller.
  Millis answer_margin{15};
};

/// One send of a request to one replica.
struct SendOrder {
  uint64_t attempt = 0;
  std::shared_ptr<const CallerRequest> request;
  std::shared_ptr<ServingReplica> replica;
  /// What the replica may take.
  Millis time_left;
};

/// What the dispatcher asks of its adapters. The hooks must not call back into
/// the dispatcher before they return.
struct DispatcherHooks {
  std::function<void(const SendOrder&)> send;
  /// The attempt's outcome is of no more use and its replica should stop.
  std::function<void(uint64_t attempt, ServingReplica& replica)> abandon;
  /// Called once for each request whose caller has not gone.
  std::function<void(const FinalAnswer&)> answer;
  /// Called once for each request, before its answer.
  std::function<void(const RequestReport&)> finished;
  /// Asks a replica for its health.
  std::function<void(const std::shared_ptr<ServingReplica>&)> probe;
  /// A replica became unresponsive, or answers again.
  std::function<void(ServingReplica&, std::string_view reason)> belief;
};

struct DispatcherStats {
  uint64_t submitted = 0;
  uint64_t sends = 0;
  uint64_t hedges = 0;
  uint64_t retries = 0;
  uint64_t abandoned = 0;
  uint64_t probes = 0;
};

/// Holds no clock and no socket: callers pass the time, hooks do the rest.
class Dispatcher {
 public:
  Dispatcher(DispatcherOptions options,
             ReplicaSet& replicas,
             Quarantine& quarantine,
             DispatcherHooks hooks);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Puts a configuration in force unless a newer one is. Returns whether it
  /// did.
  bool ApplyConfig(const ServingConfig& config);

  /// The configuration in force, or nullptr.
  const ServingPlan* plan() const { return m_plan.get(); }

  /// Takes a request. Its answer may come before this returns.
  void Submit(RequestKey key,
              std::shared_ptr<const CallerRequest> request,
              Millis now);

  /// The caller has gone: work that may be repeated is stopped.
  void Cancel(RequestKey key, Millis now);

  /// Ends all requests that still run, because the process stops.
  void Stop(Millis now);

  void OnReply(uint64_t attempt, ReplicaReply reply, Millis now);
  void OnFailure(uint64_t attempt, FailureKind kind, Millis now);
  void OnProbe(ServingReplica& replica, bool healthy, Millis now);

  void OnTick(Millis now);
  /// When OnTick() is due next, or nothing.
  std::optional<Millis> NextTimer() const;

  /// Notices silent replicas and starts the health probes that are due; call it
  /// a few times a second.
  void Sweep(Millis now);

  size_t running() const { return m_requests.size(); }
  const DispatcherStats& stats() const { return m_stats; }

 private:
  enum class PartState { kOpen, kDone, kGivenUp };

  /// One shard of a fan-out, or the whole of any other request.
  struct Part {
    Service* service = nullptr;
    PartState state = PartState::kOpen;
    std::vector<uint64_t> open;
    /// Replicas to which it was sent.
    std::vector<const ServingReplica*> tried;
    /// Those among them that a request reached.
    uint32_t reached = 0;
    /// Sends that reached a replica, rejected ones included.
    uint32_t arrivals = 0;
    bool may_have_run = false;
    std::optional<Millis> hedge_at;
    /// When a send that found no room is tried again.
    std::optional<Millis> retry_at;
    /// The latest failure that a replica answered.
    std::optional<ReplicaReply> failure;
    AnswerReason reason = AnswerReason::kNone;
    ReplicaReply reply;
  };

  struct Request {
    RequestKey key = 0;
    std::shared_ptr<const CallerRequest> caller;
    std::shared_ptr<ServingPlan> plan;
    PlannedRoute* route = nullptr;
    Fingerprint fingerprint = 0;
    Millis arrived;
    Millis deadline;
    /// When an answer is on time, and when it must leave for that.
    Millis objective_at;
    Millis answer_by;
    std::vector<Part> parts;
    uint32_t done = 0;
    uint32_t given_up = 0;
    uint32_t extra_sends = 0;
    Millis timer;
    std::vector<TraceEvent> trace;
  };

  struct Attempt {
    RequestKey request = 0;
    size_t part = 0;
    std::shared_ptr<ServingReplica> replica;
    std::shared_ptr<RouteStats> stats;
    Fingerprint fingerprint = 0;
    Millis sent;
    /// Its request has ended; it is abandoned at this time.
    std::optional<Millis> abandon_at;
    bool caller_gone = false;
  };

  // Admission.
  /// What is left of the objective when the caller's earlier tries count.
  static Millis ObjectiveLeft(const PlannedRoute& route,
                              const CallerRequest& caller);
  Admission Admit(const Request& request, Millis now) const;
  void Refuse(RequestKey key,
              const CallerRequest& caller,
              AnswerKind kind,
              AnswerReason reason,
              Millis retry_after,
              const PlannedRoute* route);

  // Progress. Advance() and Finish() may delete the request.
  void Advance(Request& request, Millis now);
  void AdvancePart(Request& request, size_t index, Millis now);
  void SendFirstOrRetry(Request& request, size_t index, Millis now);
  void Hedge(Request& request, size_t index, Millis now);
  void Send(Request& request,
            size_t index,
            const std::shared_ptr<ServingReplica>& replica,
            TraceEvent::What what,
            Millis now);
  void GiveUp(Request& request, size_t index, AnswerReason reason);
  bool FinishIfDue(Request& request, Millis now);
  void Schedule(Request& request, Millis now);

  // Ends.
  void Finish(Request& request, Millis now);
  FinalAnswer MakeAnswer(Request& request, Millis now) const;
  static FinalAnswer MakeMerged(const Request& request);
  FinalAnswer MakeFailure(Request& request, Millis now) const;
  void Release(Request& request, Millis now, bool caller_gone);
  void Report(const Request& request,
              const FinalAnswer& answer,
              Millis now,
              bool caller_gone);

  // Attempts.
  std::optional<Attempt> TakeAttempt(uint64_t id);
  static Millis SilenceLimit(const PlannedRoute& route);
  /// How long attempts run on after the request has ended.
  static Millis OrphanGrace(const Request& request);
  void OrphanAttempt(uint64_t id, Millis abandon_at);
  /// Whether the attempt's answer would be the first sign that its overdue
  /// replica works again.
  static bool ShowsRecovery(const Attempt& attempt, uint64_t id);
  void LearnFromReply(Attempt& attempt, const ReplicaReply& reply, Millis now);
  void HandleReply(Request& request,
                   Part& part,
                   uint64_t id,
                   const Attempt& attempt,
                   ReplicaReply reply,
                   Millis now);
  void MarkOverdue(ServingReplica& replica, Millis now);
  void MarkUnresponsive(ServingReplica& replica,
                        std::string_view reason,
                        Millis now);
  void MarkAnswering(ServingReplica& replica, Millis now);
  void AbandonDue(Millis now);
  static Millis HedgeDelay(const Request& request, Millis now);
  static AttemptProfile ProfileOf(const PlannedRoute& route);
  Request* FindOpen(const Attempt& attempt, uint64_t id);

  DispatcherOptions m_options;
  ReplicaSet& m_replicas;
  Quarantine& m_quarantine;
  DispatcherHooks m_hooks;
  ReplicaChooser m_chooser;
  DispatcherStats m_stats;
  RouteStatsByName m_route_stats;
  std::shared_ptr<ServingPlan> m_plan;
  std::unordered_map<RequestKey, std::unique_ptr<Request>> m_requests;
  std::unordered_map<uint64_t, Attempt> m_attempts;
  uint64_t m_next_attempt = 0;
  std::set<std::pair<double, RequestKey>> m_timers;
  std::set<std::pair<double, uint64_t>> m_abandon_timers;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_DISPATCHER_H_
