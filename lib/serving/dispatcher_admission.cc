// Dispatcher: new requests, which are admitted or refused.

#include <algorithm>
#include <utility>
#include <vector>

#include "tanagervane/serving/dispatcher.h"

namespace tanagervane {

namespace {

/// Time between the last answer and the caller's deadline. The caller's timeout
/// starts when it sends the request, and the answer takes time to reach it.
constexpr Millis kDeadlineMargin{10};

/// A request with less time left than this is refused as expired.
constexpr Millis kMinTimeLeft{2};

/// Maximum wait for a slot at admission, as a fraction of the objective.
/// Requests of the most urgent priorities may wait longer, so that others are
/// refused first.
constexpr double kUrgentMaxWaitFraction = 1.0;
constexpr double kNormalMaxWaitFraction = 0.8;
constexpr uint32_t kMaxUrgentPriority = 1;

/// Short, because another VM has the configuration or this one soon will.
constexpr Millis kNoConfigRetryAfter{50};
constexpr Millis kShortRetryAfter{60};
constexpr Millis kQuarantineRetryAfter{60'000};

/// Returns the longest wait for a slot at which a request is admitted.
Millis MaxWaitOf(uint32_t priority, Millis objective) {
  return objective * (priority <= kMaxUrgentPriority ? kUrgentMaxWaitFraction
                                                     : kNormalMaxWaitFraction);
}

}  // namespace

FinalAnswer Dispatcher::MakeNoConfigRefusal() {
  FinalAnswer answer;
  answer.kind = AnswerKind::kRefused;
  answer.reason = AnswerReason::kNoConfig;
  answer.retry_after = kNoConfigRetryAfter;
  return answer;
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
                        std::shared_ptr<CallerRequest> caller_request,
                        Millis now,
                        const PresentedKey& presented_key) {
  ++m_stats.submitted;
  if (!m_plan) {
    FinalAnswer answer = MakeNoConfigRefusal();
    answer.key = key;
    Refuse(answer, *caller_request, nullptr);
    return;
  }
  PlannedRoute* route =
      m_plan->Find(caller_request->host, caller_request->target);
  if (route == nullptr) {
    Refuse(key, *caller_request, AnswerKind::kUnknownRoute, AnswerReason::kNone,
           {}, nullptr);
    return;
  }
  const Identity identity = IdentifySender(*route, presented_key, now);
  if (!identity.admitted()) {
    FinalAnswer answer = MakeIdentityRefusal(identity);
    answer.key = key;
    Refuse(answer, *caller_request, route);
    return;
  }
  if (identity.tenant != nullptr) {
    caller_request->tenant = identity.tenant->name;
  }
  const RouteSpec& spec = route->spec;
  const Millis time_left =
      std::min(caller_request->time_left.value_or(spec.timeout), spec.timeout);
  // Written so that a time limit that is no number is refused, too: it must not
  // become a key of m_timers.
  if (!(time_left >= kMinTimeLeft)) {
    Refuse(key, *caller_request, AnswerKind::kRefused, AnswerReason::kExpired,
           kShortRetryAfter, route);
    return;
  }
  if (!MayFinishBeforeStop(spec, time_left, now)) {
    Refuse(key, *caller_request, AnswerKind::kRefused, AnswerReason::kStopping,
           kShortRetryAfter, route);
    return;
  }
  std::unique_ptr<Request> request =
      MakeRequest(key, *route, *caller_request, time_left, now);
  request->tenant = identity.tenant;
  if (m_quarantine.Check(request->fingerprint, now) ==
      Quarantine::Verdict::kRefused) {
    Refuse(key, *caller_request, AnswerKind::kRefused,
           AnswerReason::kQuarantined, kQuarantineRetryAfter, route);
    return;
  }
  AddSubRequests(*request, now);
  const Admission admission = Admit(*request, *caller_request, now);
  if (admission.refusal) {
    Refuse(key, *caller_request, AnswerKind::kRefused, *admission.refusal,
           admission.retry_after, route);
    return;
  }
  request->caller_request = std::move(caller_request);
  if (ObtainPermit(request)) {
    Start(std::move(request), admission, now);
  }
}

void Dispatcher::Start(std::unique_ptr<Request> request,
                       const Admission& admission,
                       Millis now) {
  m_precedence.RecordAdmitted(request->route->spec, now);
  for (const size_t index : admission.skipped) {
    Skip(*request, index, TraceEvent::Type::kSkipped,
         AnswerReason::kOverloaded);
  }
  for (const size_t index : admission.spared) {
    Skip(*request, index, TraceEvent::Type::kRateLimited,
         AnswerReason::kRateLimited);
  }
  Request& running = *request;
  m_requests[running.key] = std::move(request);
  m_timers.emplace(running.timer_at.count(), running.key);
  Advance(running, now);
}

bool Dispatcher::MayFinishBeforeStop(const RouteSpec& route,
                                     Millis time_left,
                                     Millis now) const {
  // A request that is not idempotent cannot be repeated after a cut, so all of
  // its time must be left.
  const Millis needed =
      route.idempotent ? std::min(route.objective, time_left) : time_left;
  return !m_stop_deadline || now + needed <= *m_stop_deadline;
}

std::unique_ptr<Dispatcher::Request> Dispatcher::MakeRequest(
    RequestKey key,
    PlannedRoute& route,
    const CallerRequest& caller_request,
    Millis time_left,
    Millis now) const {
  auto request = std::make_unique<Request>();
  request->key = key;
  request->plan = m_plan;
  request->route = &route;
  request->fingerprint =
      MakeFingerprint(caller_request.host, caller_request.target,
                      caller_request.method + caller_request.body);
  request->arrived_at = now;
  request->deadline = now + std::max(time_left - kDeadlineMargin, kMinTimeLeft);
  request->objective_deadline = now + RemainingObjective(route, caller_request);
  request->answer_by = request->objective_deadline - m_options.answer_margin;
  request->timer_at = request->deadline;
  return request;
}

void Dispatcher::AddSubRequests(Request& request, Millis now) {
  PlannedRoute& route = *request.route;
  if (route.spec.is_fanout()) {
    for (Service* shard : route.services) {
      request.sub_requests.emplace_back().service = shard;
    }
  } else {
    request.sub_requests.emplace_back().service =
        route.services[route.service_picker.Next()];
  }
  for (const SubRequest& sub_request : request.sub_requests) {
    sub_request.service->retry_budget.CreditSubRequest(now);
  }
}

void Dispatcher::Skip(Request& request,
                      size_t index,
                      TraceEvent::Type type,
                      AnswerReason reason) const {
  request.trace.push_back(
      {type, static_cast<uint16_t>(index), Millis(0), nullptr});
  FailSubRequest(request, index, reason);
  request.sub_requests[index].skipped = m_options.policy.reopen_skipped;
}

Millis Dispatcher::MaxWait(const Request& request,
                           const CallerRequest& caller_request,
                           Millis now) {
  const RouteSpec& spec = request.route->spec;
  if (!m_options.policy.precedence) {
    const uint32_t priority =
        request.tenant != nullptr
            ? request.tenant->priority.value_or(spec.priority)
            : spec.priority;
    return MaxWaitOf(priority, spec.objective);
  }
  const Millis median = request.route->stats->attempt_latency.median();
  return m_precedence.MaxWait({.route = spec,
                               .tenant = caller_request.tenant,
                               .max_wait = MaxWaitOf,
                               .late = request.answer_by <= now,
                               .latest_start = request.deadline - median - now},
                              now);
}

Admission Dispatcher::Admit(Request& request,
                            const CallerRequest& caller_request,
                            Millis now) {
  if (!request.max_wait) {
    request.max_wait = m_options.policy.admission
                           ? MaxWait(request, caller_request, now)
                           : request.route->spec.timeout;
  }
  const AttemptProfile profile = MakeProfile(*request.route);
  std::vector<SubRequestEstimate> estimates;
  estimates.reserve(request.sub_requests.size());
  for (const SubRequest& sub_request : request.sub_requests) {
    estimates.push_back(
        m_chooser.EstimateSubRequest(*sub_request.service, profile, now));
  }
  AdmissionLimits limits;
  limits.needed_sub_requests = request.route->needed_sub_requests;
  limits.max_wait = *request.max_wait;
  limits.time_to_answer =
      m_options.policy.skipping ? request.answer_by - now : Millis(0);
  limits.spare_permits = m_options.policy.spare_permits;
  Admission admission = tanagervane::Admit(estimates, limits);
  if (m_options.policy.precedence &&
      admission.refusal == AnswerReason::kOverloaded) {
    admission.retry_after = m_precedence.SpreadRetryAfter(
        admission.retry_after, request.deadline - now);
  }
  return admission;
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
  Refuse(answer, caller_request, route);
}

void Dispatcher::Refuse(const FinalAnswer& answer,
                        const CallerRequest& caller_request,
                        const PlannedRoute* route) {
  ReportRefusal(answer, caller_request, route);
  m_hooks.answer(answer);
}

void Dispatcher::ReportRefusal(const FinalAnswer& answer,
                               const CallerRequest& caller_request,
                               const PlannedRoute* route) const {
  RequestReport report;
  report.request = &caller_request;
  report.route = route != nullptr ? std::string_view(route->spec.name) : "";
  report.config_version = m_plan ? m_plan->version() : 0;
  report.kind = answer.kind;
  report.reason = answer.reason;
  report.objective = route != nullptr ? route->spec.objective : Millis(0);
  report.time_left_on_arrival = caller_request.time_left.value_or(Millis(0));
  m_hooks.on_finished(report);
}

}  // namespace tanagervane
