// Dispatcher: admission, attempts, hedges and timers. Replies are handled in
// dispatcher_attempts.cc, final answers in dispatcher_answers.cc.

#include "tanagervane/serving/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

#include "tanagervane/serving/hedging.h"

namespace tanagervane {

namespace {

/// Time between the last answer and the caller's deadline. The caller's timeout
/// starts when it sends the request, and the answer takes time to reach it.
constexpr Millis kDeadlineMargin{10};

/// A request with less time left than this is refused as expired.
constexpr Millis kMinTimeLeft{2};

/// How long a sub-request waits while all usable replicas are full, as a
/// fraction of the objective. A caller that is refused by then can still retry
/// and get an answer on time.
constexpr double kFullReplicasWaitFraction = 0.2;
constexpr Millis kFullReplicasPollInterval{3};

/// Maximum wait for a slot at admission, as a fraction of the objective.
/// Requests of the most urgent priorities may wait longer, so that others are
/// refused first.
constexpr double kUrgentMaxWaitFraction = 1.0;
constexpr double kNormalMaxWaitFraction = 0.8;
constexpr uint32_t kMaxUrgentPriority = 1;

/// When a hedge finds no replica or no budget, it is retried after this
/// fraction of the hedge delay.
constexpr double kHedgeRecheckFraction = 0.25;

/// A replica that leaves attempts unanswered for this long, or for this many
/// median latencies of a slower route, is unresponsive.
constexpr Millis kMinUnresponsiveTimeout{600};
constexpr double kUnresponsiveMedians = 4;

/// Short, because another VM has the configuration or this one soon will.
constexpr Millis kNoConfigRetryAfter{50};
constexpr Millis kShortRetryAfter{60};
constexpr Millis kQuarantineRetryAfter{60'000};

}  // namespace

Dispatcher::Dispatcher(DispatcherOptions options,
                       ReplicaSet& replicas,
                       Quarantine& quarantine,
                       DispatcherHooks hooks)
    : m_options(std::move(options)),
      m_replicas(replicas),
      m_quarantine(quarantine),
      m_hooks(std::move(hooks)),
      m_chooser(m_options.policy, m_options.data_centre, m_options.seed) {}

Dispatcher::~Dispatcher() = default;

bool Dispatcher::ApplyConfig(const ServingConfig& config) {
  if (m_plan && config.version <= m_plan->version()) {
    return false;
  }
  m_plan = std::make_shared<ServingPlan>(config, m_replicas, m_route_stats);
  return true;
}

Millis Dispatcher::RemainingObjective(const PlannedRoute& route,
                                      const CallerRequest& caller_request) {
  const Millis objective = route.spec.objective;
  if (!caller_request.time_left) {
    return objective;
  }
  // A caller that retries has spent a part of its time on earlier caller
  // attempts.
  LatencyWindow& caller_time_left = route.stats->caller_time_left;
  const Millis spent = std::max(
      caller_time_left.median() - *caller_request.time_left, Millis(0));
  caller_time_left.Record(*caller_request.time_left);
  return std::max(objective - spent, Millis(0));
}

void Dispatcher::Submit(RequestKey key,
                        std::shared_ptr<const CallerRequest> caller_request,
                        Millis now) {
  ++m_stats.submitted;
  if (!m_plan) {
    Refuse(key, *caller_request, AnswerKind::kRefused, AnswerReason::kNoConfig,
           kNoConfigRetryAfter, nullptr);
    return;
  }
  PlannedRoute* route =
      m_plan->Find(caller_request->host, caller_request->target);
  if (route == nullptr) {
    Refuse(key, *caller_request, AnswerKind::kUnknownRoute, AnswerReason::kNone,
           {}, nullptr);
    return;
  }
  const RouteSpec& spec = route->spec;
  const Millis time_left =
      std::min(caller_request->time_left.value_or(spec.timeout), spec.timeout);
  if (time_left < kMinTimeLeft) {
    Refuse(key, *caller_request, AnswerKind::kRefused, AnswerReason::kExpired,
           kShortRetryAfter, route);
    return;
  }
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.key = key;
  request.plan = m_plan;
  request.route = route;
  request.fingerprint =
      MakeFingerprint(caller_request->host, caller_request->target,
                      caller_request->method + caller_request->body);
  request.arrived_at = now;
  request.deadline = now + std::max(time_left - kDeadlineMargin, kMinTimeLeft);
  request.objective_deadline =
      now + RemainingObjective(*route, *caller_request);
  request.answer_by = request.objective_deadline - m_options.answer_margin;
  if (m_quarantine.Check(request.fingerprint, now) ==
      Quarantine::Verdict::kRefused) {
    Refuse(key, *caller_request, AnswerKind::kRefused,
           AnswerReason::kQuarantined, kQuarantineRetryAfter, route);
    return;
  }
  if (spec.is_fanout()) {
    for (Service* shard : route->services) {
      request.sub_requests.emplace_back().service = shard;
    }
  } else {
    request.sub_requests.emplace_back().service =
        route->services[route->service_picker.Next()];
  }
  for (const SubRequest& sub_request : request.sub_requests) {
    sub_request.service->retry_budget.CreditSubRequest(now);
  }
  const Admission admission = Admit(request, now);
  if (admission.refusal) {
    Refuse(key, *caller_request, AnswerKind::kRefused, *admission.refusal,
           admission.retry_after, route);
    return;
  }
  for (const size_t index : admission.skipped) {
    request.trace.push_back({TraceEvent::Type::kSkipped,
                             static_cast<uint16_t>(index), Millis(0), nullptr});
    FailSubRequest(request, index, AnswerReason::kOverloaded);
    request.sub_requests[index].skipped = m_options.policy.reopen_skipped;
  }
  request.caller_request = std::move(caller_request);
  request.timer_at = request.deadline;
  m_timers.emplace(request.timer_at.count(), key);
  m_requests[key] = std::move(owned);
  Advance(request, now);
}

Admission Dispatcher::Admit(const Request& request, Millis now) const {
  const RouteSpec& spec = request.route->spec;
  const AttemptProfile profile = MakeProfile(*request.route);
  std::vector<SubRequestEstimate> estimates;
  estimates.reserve(request.sub_requests.size());
  for (const SubRequest& sub_request : request.sub_requests) {
    estimates.push_back(
        m_chooser.EstimateSubRequest(*sub_request.service, profile, now));
  }
  const double wait_fraction = spec.priority <= kMaxUrgentPriority
                                   ? kUrgentMaxWaitFraction
                                   : kNormalMaxWaitFraction;
  AdmissionLimits limits;
  limits.needed_sub_requests = request.route->needed_sub_requests;
  limits.max_wait = m_options.policy.admission ? spec.objective * wait_fraction
                                               : spec.timeout;
  limits.time_to_answer =
      m_options.policy.skipping ? request.answer_by - now : Millis(0);
  return tanagervane::Admit(estimates, limits);
}

void Dispatcher::Refuse(RequestKey key,
                        const CallerRequest& caller_request,
                        AnswerKind kind,
                        AnswerReason reason,
                        Millis retry_after,
                        const PlannedRoute* route) {
  FinalAnswer answer;
  answer.key = key;
  answer.kind = kind;
  answer.reason = reason;
  answer.retry_after = retry_after;
  RequestReport report;
  report.request = &caller_request;
  report.route = route != nullptr ? std::string_view(route->spec.name) : "";
  report.config_version = m_plan ? m_plan->version() : 0;
  report.kind = kind;
  report.reason = reason;
  report.objective = route != nullptr ? route->spec.objective : Millis(0);
  report.time_left_on_arrival = caller_request.time_left.value_or(Millis(0));
  m_hooks.on_finished(report);
  m_hooks.answer(answer);
}

void Dispatcher::Advance(Request& request, Millis now) {
  for (size_t i = 0; i < request.sub_requests.size(); ++i) {
    AdvanceSubRequest(request, i, now);
  }
  ReopenSkipped(request, now);
  if (FinishIfDue(request, now)) {
    return;
  }
  Schedule(request, now);
}

void Dispatcher::AdvanceSubRequest(Request& request, size_t index, Millis now) {
  SubRequest& sub_request = request.sub_requests[index];
  if (sub_request.state != SubRequestState::kOpen || now >= request.deadline) {
    return;
  }
  if (sub_request.open_attempts.empty()) {
    if (!sub_request.retry_at || *sub_request.retry_at <= now) {
      SendFirstOrRetry(request, index, now);
    }
    return;
  }
  if (sub_request.hedge_at && *sub_request.hedge_at <= now) {
    Hedge(request, index, now);
  }
}

void Dispatcher::ReopenSkipped(Request& request, Millis now) {
  const size_t not_failed = request.sub_requests.size() - request.failed_count;
  const size_t needed = request.route->needed_sub_requests;
  if (not_failed >= needed) {
    return;
  }
  std::vector<size_t> reopenable;
  for (size_t i = 0; i < request.sub_requests.size(); ++i) {
    const SubRequest& sub_request = request.sub_requests[i];
    if (sub_request.skipped &&
        MayReopen(m_chooser.EstimateSubRequest(
                      *sub_request.service, MakeProfile(*request.route), now),
                  request.answer_by - now)) {
      reopenable.push_back(i);
    }
  }
  const size_t lacking = needed - not_failed;
  if (reopenable.size() < lacking) {
    return;
  }
  reopenable.resize(lacking);
  for (const size_t index : reopenable) {
    SubRequest& sub_request = request.sub_requests[index];
    sub_request.skipped = false;
    sub_request.state = SubRequestState::kOpen;
    sub_request.failure_reason = AnswerReason::kNone;
    --request.failed_count;
    request.trace.push_back({TraceEvent::Type::kReopened,
                             static_cast<uint16_t>(index),
                             now - request.arrived_at, nullptr});
    AdvanceSubRequest(request, index, now);
  }
}

void Dispatcher::SendFirstOrRetry(Request& request, size_t index, Millis now) {
  SubRequest& sub_request = request.sub_requests[index];
  const RouteSpec& spec = request.route->spec;
  sub_request.retry_at.reset();
  if ((sub_request.may_have_run && !spec.idempotent) ||
      sub_request.reached_replicas >= spec.max_replicas) {
    FailSubRequest(request, index, sub_request.failure_reason);
    return;
  }
  const auto replica =
      m_chooser.Choose(*sub_request.service, MakeProfile(*request.route),
                       sub_request.attempted_replicas, now);
  if (!replica) {
    const bool has_full_replica = std::ranges::any_of(
        sub_request.service->replicas, [&](const auto& candidate) {
          return ReplicaChooser::IsUsable(*candidate) &&
                 ReplicaChooser::IsFull(*candidate, now) &&
                 std::ranges::find(sub_request.attempted_replicas,
                                   candidate.get()) ==
                     sub_request.attempted_replicas.end();
        });
    if (has_full_replica &&
        now - request.arrived_at < spec.objective * kFullReplicasWaitFraction) {
      sub_request.retry_at = now + kFullReplicasPollInterval;
      return;
    }
    request.trace.push_back({has_full_replica ? TraceEvent::Type::kReplicasFull
                                              : TraceEvent::Type::kNoReplica,
                             static_cast<uint16_t>(index),
                             now - request.arrived_at, nullptr});
    const AnswerReason no_replica_reason =
        has_full_replica ? AnswerReason::kOverloaded : AnswerReason::kNoReplica;
    FailSubRequest(request, index,
                   sub_request.failure_reason == AnswerReason::kNone
                       ? no_replica_reason
                       : sub_request.failure_reason);
    return;
  }
  const bool is_retry = sub_request.delivered_attempts > 0;
  if (is_retry && !sub_request.service->retry_budget.TrySpend(
                      ExtraAttemptKind::kRetry, now)) {
    request.trace.push_back({TraceEvent::Type::kNoRetryBudget,
                             static_cast<uint16_t>(index),
                             now - request.arrived_at, nullptr});
    FailSubRequest(request, index, AnswerReason::kNoRetryBudget);
    return;
  }
  m_stats.retries += is_retry ? 1 : 0;
  Send(request, index, replica,
       is_retry ? TraceEvent::Type::kRetried : TraceEvent::Type::kSent, now);
}

void Dispatcher::Hedge(Request& request, size_t index, Millis now) {
  SubRequest& sub_request = request.sub_requests[index];
  const PlannedRoute& route = *request.route;
  const Millis median = route.stats->attempt_latency.median();
  for (const uint64_t id : sub_request.open_attempts) {
    MarkOverdue(*m_attempts.at(id).replica, now);
  }
  sub_request.hedge_at.reset();
  if (sub_request.reached_replicas >= route.spec.max_replicas ||
      now + median > request.deadline) {
    return;
  }
  const auto replica =
      m_chooser.Choose(*sub_request.service, MakeProfile(route),
                       sub_request.attempted_replicas, now);
  if (!replica || !MayHedgeOn(*replica, route, now) ||
      !sub_request.service->retry_budget.TrySpend(ExtraAttemptKind::kHedge,
                                                  now)) {
    sub_request.hedge_at =
        now + HedgeDelay(request, now) * kHedgeRecheckFraction;
    return;
  }
  ++m_stats.hedges;
  Send(request, index, replica, TraceEvent::Type::kHedged, now);
}

AttemptProfile Dispatcher::MakeProfile(const PlannedRoute& route) {
  return {.median_latency = route.stats->attempt_latency.median(),
          .objective = route.spec.objective};
}

Millis Dispatcher::HedgeDelay(const Request& request, Millis now) {
  return tanagervane::HedgeDelay(request.route->stats->attempt_latency,
                                 request.route->spec.objective,
                                 request.answer_by - now);
}

bool Dispatcher::MayHedgeOn(const ServingReplica& replica,
                            const PlannedRoute& route,
                            Millis now) const {
  const AttemptProfile profile = MakeProfile(route);
  return !m_options.policy.hedge_short_queues ||
         IsQueueShortEnoughToHedge(
             m_chooser.Estimate(replica, profile, now).wait,
             profile.median_latency);
}

Millis Dispatcher::UnresponsiveTimeout(const PlannedRoute& route) {
  return std::max(kMinUnresponsiveTimeout,
                  route.stats->attempt_latency.median() * kUnresponsiveMedians);
}

void Dispatcher::Send(Request& request,
                      size_t index,
                      const std::shared_ptr<ServingReplica>& replica,
                      TraceEvent::Type type,
                      Millis now) {
  assert(!replica->leaving && "an attempt is sent to a leaving replica");
  SubRequest& sub_request = request.sub_requests[index];
  const uint64_t id = ++m_last_attempt_id;
  Attempt attempt;
  attempt.request_key = request.key;
  attempt.sub_request_index = index;
  attempt.replica = replica;
  attempt.stats = request.route->stats;
  attempt.fingerprint = request.fingerprint;
  attempt.sent_at = now;
  m_attempts[id] = std::move(attempt);
  replica->attempts.push_back(id);
  if (!replica->unanswered_since) {
    replica->unanswered_since = now;
    replica->unresponsive_timeout = Millis(0);
  }
  replica->unresponsive_timeout = std::max(replica->unresponsive_timeout,
                                           UnresponsiveTimeout(*request.route));
  sub_request.open_attempts.push_back(id);
  sub_request.attempted_replicas.push_back(replica.get());
  ++sub_request.reached_replicas;
  if (sub_request.delivered_attempts++ > 0) {
    ++request.extra_attempts;
  }
  const bool may_hedge =
      m_options.policy.hedging && request.route->spec.idempotent &&
      sub_request.reached_replicas < request.route->spec.max_replicas;
  sub_request.hedge_at =
      may_hedge ? std::optional(now + HedgeDelay(request, now)) : std::nullopt;
  request.trace.push_back(
      {type, static_cast<uint16_t>(index), now - request.arrived_at, replica});
  ++m_stats.attempts;
  if (replica->rate_limit) {
    ++m_stats.rate_limited_attempts;
    m_stats.rate_limited_extra_attempts +=
        type == TraceEvent::Type::kSent ? 0 : 1;
  }
  m_hooks.send({id, request.caller_request, replica, request.deadline - now});
}

void Dispatcher::FailSubRequest(Request& request,
                                size_t index,
                                AnswerReason reason) {
  SubRequest& sub_request = request.sub_requests[index];
  sub_request.state = SubRequestState::kFailed;
  sub_request.failure_reason = reason;
  ++request.failed_count;
}

bool Dispatcher::FinishIfDue(Request& request, Millis now) {
  const auto total = static_cast<uint32_t>(request.sub_requests.size());
  const uint32_t open_count =
      total - request.answered_count - request.failed_count;
  const uint32_t needed = request.route->needed_sub_requests;
  const bool decided =
      open_count == 0 || request.answered_count + open_count < needed;
  const bool enough =
      request.answered_count >= needed && now >= request.answer_by;
  if (!decided && !enough && now < request.deadline) {
    return false;
  }
  Finish(request, now);
  return true;
}

void Dispatcher::Schedule(Request& request, Millis now) {
  Millis next = request.deadline;
  if (request.answer_by > now) {
    next = std::min(next, request.answer_by);
  }
  for (const SubRequest& sub_request : request.sub_requests) {
    if (sub_request.state != SubRequestState::kOpen) {
      continue;
    }
    const auto& due = sub_request.open_attempts.empty() ? sub_request.retry_at
                                                        : sub_request.hedge_at;
    if (due) {
      next = std::min(next, *due);
    }
  }
  if (next == request.timer_at) {
    return;
  }
  m_timers.erase({request.timer_at.count(), request.key});
  request.timer_at = next;
  m_timers.emplace(next.count(), request.key);
}

std::optional<Millis> Dispatcher::NextTimer() const {
  std::optional<Millis> next;
  if (!m_timers.empty()) {
    next = Millis(m_timers.begin()->first);
  }
  if (!m_cancel_timers.empty()) {
    const Millis cancel(m_cancel_timers.begin()->first);
    next = next ? std::min(*next, cancel) : cancel;
  }
  return next;
}

void Dispatcher::OnTick(Millis now) {
  while (!m_timers.empty() && m_timers.begin()->first <= now.count()) {
    const RequestKey key = m_timers.begin()->second;
    Request& request = *m_requests.at(key);
    // Schedule() may compute the same time again. The reset makes it insert the
    // timer anew instead of treating it as already set.
    m_timers.erase(m_timers.begin());
    request.timer_at = Millis(-1);
    Advance(request, now);
  }
  CancelDueAttempts(now);
}

}  // namespace tanagervane
