// Runs requests from admission over attempts, hedges and retries to the answer.

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

#include "tanagervane/identity/identity.h"
#include "tanagervane/quota/permit_decision.h"
#include "tanagervane/routing/quarantine.h"
#include "tanagervane/routing/types.h"
#include "tanagervane/serving/admission.h"
#include "tanagervane/serving/attempt_grace.h"
#include "tanagervane/serving/exchange.h"
#include "tanagervane/serving/plan.h"
#include "tanagervane/serving/precedence.h"
#include "tanagervane/serving/replica_chooser.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

struct DispatcherOptions {
  ServingPolicy policy;
  std::string data_centre;
  uint64_t seed = 1;
  /// Part of the objective reserved for transmitting the answer to the caller.
  Millis answer_margin{15};
};

/// One attempt: a sub-request that is to be sent to one replica.
struct OutgoingAttempt {
  uint64_t attempt_id = 0;
  std::shared_ptr<const CallerRequest> request;
  std::shared_ptr<ServingReplica> replica;
  /// Time until the request's deadline; sent to the replica.
  Millis time_left;
};

/// Callbacks through which the dispatcher acts. A hook must not call back into
/// the dispatcher.
struct DispatcherHooks {
  std::function<void(const OutgoingAttempt&)> send;
  /// Cancels an attempt whose result is no longer needed; the replica should
  /// stop working on it.
  std::function<void(uint64_t attempt, ServingReplica& replica)> cancel_attempt;
  /// Called once for each request that its caller has not abandoned.
  std::function<void(const FinalAnswer&)> answer;
  /// Called once for each request, before `answer`.
  std::function<void(const RequestReport&)> on_finished;
  /// Sends a health probe to a replica.
  std::function<void(const std::shared_ptr<ServingReplica>&)> probe;
  /// Ends a health probe that has not been answered in time.
  std::function<void(ServingReplica&)> cancel_probe;
  /// Asks for a permit for a request of a tenant. If the decision is kPending,
  /// Dispatcher::OnPermit() must be called. Requests need no permits while the
  /// hook is empty.
  std::function<PermitDecision(RequestKey, std::string_view tenant)> ask_permit;
  /// The decision on the request's permit is no longer needed.
  std::function<void(RequestKey)> cancel_permit;
  /// The request was granted a permit and will not run.
  std::function<void(RequestKey)> return_permit;
  /// Called when a replica becomes unresponsive or answers again.
  std::function<void(ServingReplica&, std::string_view reason)>
      on_health_changed;
  /// Returns how far the configuration in force can be relied on. Without this
  /// hook it is always up to date.
  std::function<ConfigCertainty(Millis now)> config_certainty;
};

struct DispatcherStats {
  uint64_t submitted = 0;
  uint64_t attempts = 0;
  uint64_t hedges = 0;
  uint64_t retries = 0;
  uint64_t cancelled_attempts = 0;
  uint64_t probes = 0;
  uint64_t probe_timeouts = 0;
  /// Attempts to replicas that state a rate limit, and the hedges and retries
  /// among them.
  uint64_t rate_limited_attempts = 0;
  uint64_t rate_limited_extra_attempts = 0;
  /// Attempts, hedges and retries that were not sent because the configuration
  /// was too old to rely on the request's key.
  uint64_t unproved_attempts = 0;
};

/// State machine of all running requests. It has no clock and does no I/O: the
/// owner passes the current time, and hooks send attempts and answers.
class Dispatcher {
 public:
  Dispatcher(DispatcherOptions options,
             ReplicaSet& replicas,
             Quarantine& quarantine,
             DispatcherHooks hooks);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Applies a configuration if its version is newer than the one in force.
  /// Returns whether it was applied.
  bool ApplyConfig(const ServingConfig& config);

  /// The configuration in force, or nullptr.
  const ServingPlan* plan() const { return m_plan.get(); }

  /// Starts a request and sets its tenant. The `answer` hook may be called
  /// before this returns. `presented_key` is not kept.
  void Submit(RequestKey key,
              std::shared_ptr<CallerRequest> caller_request,
              Millis now,
              const PresentedKey& presented_key = {});

  /// Returns the answer to a request whose header suffices to refuse it: no
  /// configuration, no route, or no identity. Reports the refusal like that of
  /// a submitted request. `header` has no body yet.
  std::optional<FinalAnswer> CheckHeader(const CallerRequest& header,
                                         const PresentedKey& presented_key,
                                         Millis now);

  /// Called when the caller cancels or disconnects. Attempts of idempotent
  /// routes are cancelled after a short grace time; others may run until
  /// shortly after the request's deadline.
  void Cancel(RequestKey key, Millis now);

  /// Sets when Stop() will be called. Requests that may not be answered by then
  /// are refused on arrival, so that another VM takes them.
  void SetStopDeadline(Millis deadline) { m_stop_deadline = deadline; }

  /// Answers all running requests because the process stops.
  void Stop(Millis now);

  /// Admits or refuses a request that awaits a permit.
  void OnPermit(RequestKey key, const PermitDecision& decision, Millis now);

  void OnReply(uint64_t attempt, ReplicaReply reply, Millis now);
  /// Called before OnFailure() when a response broke off after its header.
  void OnPartialReply(uint64_t attempt, const SelfReport& report, Millis now);
  void OnFailure(uint64_t attempt, FailureKind kind, Millis now);
  void OnProbeReply(ServingReplica& replica,
                    const ProbeReply& reply,
                    Millis now);

  void OnTick(Millis now);
  /// Time at which OnTick() must be called next; nullopt when no timer is set.
  std::optional<Millis> NextTimer() const;

  /// Marks replicas that stopped answering as unresponsive and starts the
  /// health probes that are due. Must be called a few times a second.
  void CheckReplicaHealth(Millis now);

  size_t running_requests() const { return m_requests.size(); }
  const Precedence& precedence() const { return m_precedence; }
  const ReplicaChooser& chooser() const { return m_chooser; }
  const DispatcherStats& stats() const { return m_stats; }

 private:
  enum class SubRequestState { kOpen, kAnswered, kFailed };

  /// What a request asks of one shard; a request that is not a fan-out has
  /// exactly one.
  struct SubRequest {
    Service* service = nullptr;
    SubRequestState state = SubRequestState::kOpen;
    std::vector<uint64_t> open_attempts;
    /// Replicas to which an attempt was started.
    std::vector<const ServingReplica*> attempted_replicas;
    /// Number of attempted replicas, without those to which no connection could
    /// be opened.
    uint32_t reached_replicas = 0;
    /// Attempts sent over a connection, including those that a replica
    /// rejected.
    uint32_t delivered_attempts = 0;
    bool may_have_run = false;
    std::optional<Millis> hedge_at;
    /// When the choice of a replica is repeated after all usable ones were
    /// full.
    std::optional<Millis> retry_at;
    /// Not sent although it could have been; see Admission::skipped.
    bool skipped = false;
    /// The latest reply in which a replica reported a failure.
    std::optional<ReplicaReply> failure_reply;
    AnswerReason failure_reason = AnswerReason::kNone;
    ReplicaReply reply;
  };

  struct Request {
    RequestKey key = 0;
    std::shared_ptr<const CallerRequest> caller_request;
    std::shared_ptr<ServingPlan> plan;
    PlannedRoute* route = nullptr;
    /// Belongs to `plan`; nullptr for a request that needs no key.
    const TenantSpec* tenant = nullptr;
    Fingerprint fingerprint = 0;
    /// The longest estimated wait for a slot with which the request is
    /// admitted; decided once, because the decision counts as demand.
    std::optional<Millis> max_wait;
    Millis arrived_at;
    Millis deadline;
    /// Arrival time plus what remains of the latency objective; see
    /// RemainingObjective().
    Millis objective_deadline;
    /// `objective_deadline` less DispatcherOptions::answer_margin.
    Millis answer_by;
    std::vector<SubRequest> sub_requests;
    uint32_t answered_count = 0;
    uint32_t failed_count = 0;
    uint32_t extra_attempts = 0;
    Millis timer_at;
    std::vector<TraceEvent> trace;
    /// Not admitted yet. Its timer is at the deadline.
    bool awaits_permit = false;
  };

  struct Attempt {
    RequestKey request_key = 0;
    size_t sub_request_index = 0;
    std::shared_ptr<ServingReplica> replica;
    std::shared_ptr<RouteStats> stats;
    Fingerprint fingerprint = 0;
    Millis sent_at;
    /// Set once the request or sub-request no longer needs the attempt, which
    /// is cancelled at this time.
    std::optional<Millis> cancel_at;
    bool request_abandoned = false;
  };

  // Identity.
  /// Requires a plan, to which `route` belongs.
  Identity IdentifySender(const PlannedRoute& route,
                          const PresentedKey& presented_key,
                          Millis now) const;
  ConfigCertainty CertaintyOfConfig(Millis now) const;
  /// Whether an attempt may be sent now: while the VM ran or was stopped, the
  /// key of the request's tenant may have been revoked.
  bool MaySendFor(const Request& request, Millis now);
  /// Returns the answer to a request that was not admitted. Its key is unset.
  static FinalAnswer MakeIdentityRefusal(const Identity& identity);

  // Admission.
  static FinalAnswer MakeNoConfigRefusal();
  /// The route's objective less the time that the caller has spent on earlier
  /// caller attempts of this request.
  static Millis RemainingObjective(const PlannedRoute& route,
                                   const CallerRequest& caller_request);
  std::unique_ptr<Request> MakeRequest(RequestKey key,
                                       PlannedRoute& route,
                                       const CallerRequest& caller_request,
                                       Millis time_left,
                                       Millis now) const;
  /// Adds a sub-request for each shard, or one for the service that is next in
  /// the route's traffic split, and credits the retry budgets.
  static void AddSubRequests(Request& request, Millis now);
  Admission Admit(Request& request,
                  const CallerRequest& caller_request,
                  Millis now);
  /// Returns the longest wait for a slot with which the request is admitted.
  Millis MaxWait(const Request& request,
                 const CallerRequest& caller_request,
                 Millis now);
  /// Leaves out a sub-request that could be sent.
  void Skip(Request& request,
            size_t index,
            TraceEvent::Type type,
            AnswerReason reason) const;
  void Refuse(RequestKey key,
              const CallerRequest& caller_request,
              AnswerKind kind,
              AnswerReason reason,
              Millis retry_after,
              const PlannedRoute* route);
  void Refuse(const FinalAnswer& answer,
              const CallerRequest& caller_request,
              const PlannedRoute* route);
  void ReportRefusal(const FinalAnswer& answer,
                     const CallerRequest& caller_request,
                     const PlannedRoute* route) const;

  /// Runs a request that is admitted.
  void Start(std::unique_ptr<Request> request,
             const Admission& admission,
             Millis now);

  // Permits.
  /// Returns true if the request needs no permit or was granted one. Otherwise
  /// refuses the request or parks it until OnPermit().
  bool ObtainPermit(std::unique_ptr<Request>& request);
  std::unique_ptr<Request> Unpark(RequestKey key);
  void RefuseWithoutPermit(const Request& request,
                           const PermitDecision& decision);
  void RefuseParked(RequestKey key, AnswerReason reason);
  void RefuseAllParked(AnswerReason reason);

  // Progress. Advance() and FinishIfDue() may delete the request; Finish()
  // always does.
  void Advance(Request& request, Millis now);
  void AdvanceSubRequest(Request& request, size_t index, Millis now);
  /// Sends skipped sub-requests after all if the answer needs them and becomes
  /// possible with them.
  void ReopenSkipped(Request& request, Millis now);
  void SendFirstOrRetry(Request& request, size_t index, Millis now);
  /// Waits for a while when replicas are full, else fails the sub-request.
  void HandleNoReplica(Request& request, size_t index, Millis now);
  void Hedge(Request& request, size_t index, Millis now);
  void Send(Request& request,
            size_t index,
            const std::shared_ptr<ServingReplica>& replica,
            TraceEvent::Type type,
            Millis now);
  static void FailSubRequest(Request& request,
                             size_t index,
                             AnswerReason reason);
  bool FinishIfDue(Request& request, Millis now);
  void Schedule(Request& request, Millis now);

  // Completion.
  void Finish(Request& request, Millis now);
  FinalAnswer MakeAnswer(Request& request, Millis now) const;
  static FinalAnswer MakeMerged(const Request& request);
  FinalAnswer MakeFailure(Request& request, Millis now) const;
  void ReleaseAttempts(Request& request, Millis now, ReleaseCause cause);
  void Report(const Request& request,
              const FinalAnswer& answer,
              Millis now,
              bool abandoned);

  // Attempts.
  /// Removes and returns the attempt; nullopt when it is unknown, for instance
  /// because it was cancelled.
  std::optional<Attempt> RemoveAttempt(uint64_t id);
  /// How long a replica may leave attempts of the route unanswered before it
  /// counts as unresponsive.
  static Millis UnresponsiveTimeout(const PlannedRoute& route);
  static Millis MedianLatency(const Request& request) {
    return request.route->stats->attempt_latency.median();
  }
  void ScheduleCancel(uint64_t id, Millis cancel_at);
  /// Whether the attempt is the oldest in flight on an overdue replica and its
  /// request is not abandoned. Its reply would end the overdue state, so it is
  /// not cancelled before kMaxOverdueAttemptAge.
  static bool MayShowRecovery(const Attempt& attempt, uint64_t id);
  void RecordSelfReport(ServingReplica& replica,
                        const SelfReport& report,
                        Millis now);
  /// Ends the replica's rate limit because a success in response to a request
  /// that was sent at `sent_at` states none. Failures, rejections and replies
  /// to health probes may lack the statement although the limit holds.
  void EndRateLimit(const ServingReplica& replica, Millis sent_at, Millis now);
  void RecordReply(Attempt& attempt, const ReplicaReply& reply, Millis now);
  void ApplyReply(Request& request,
                  SubRequest& sub_request,
                  uint64_t id,
                  const Attempt& attempt,
                  ReplicaReply reply,
                  Millis now);
  /// Whether a request of this route can be answered before the process stops.
  bool MayFinishBeforeStop(const RouteSpec& route,
                           Millis time_left,
                           Millis now) const;
  void MarkOverdue(ServingReplica& replica, Millis now);
  void MarkUnresponsive(ServingReplica& replica,
                        std::string_view reason,
                        Millis now);
  /// Cancels the replica's health probe if it is not answered in time.
  void CancelOverdueProbe(ServingReplica& replica, Millis now);
  void MarkResponsive(ServingReplica& replica, Millis now);
  void CancelDueAttempts(Millis now);
  static Millis HedgeDelay(const Request& request, Millis now);
  bool MayHedgeOn(const ServingReplica& replica,
                  const PlannedRoute& route,
                  Millis now) const;
  static AttemptProfile MakeProfile(const PlannedRoute& route);
  /// Removes the attempt from its sub-request and returns the request; nullptr
  /// when the attempt is superseded or its request has ended.
  Request* DetachFromRequest(const Attempt& attempt, uint64_t id);

  DispatcherOptions m_options;
  ReplicaSet& m_replicas;
  Quarantine& m_quarantine;
  DispatcherHooks m_hooks;
  ReplicaChooser m_chooser;
  Precedence m_precedence;
  DispatcherStats m_stats;
  RouteStatsByName m_route_stats;
  std::shared_ptr<ServingPlan> m_plan;
  std::unordered_map<RequestKey, std::unique_ptr<Request>> m_requests;
  std::unordered_map<uint64_t, Attempt> m_attempts;
  uint64_t m_last_attempt_id = 0;
  std::set<std::pair<double, RequestKey>> m_timers;
  std::set<std::pair<double, uint64_t>> m_cancel_timers;
  std::optional<Millis> m_stop_deadline;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_DISPATCHER_H_
