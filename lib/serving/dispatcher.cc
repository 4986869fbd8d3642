// Admission of requests and their progress.

#include "tanagervane/serving/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace tanagervane {

namespace {

/// Left between the answer and the end of the caller's patience: the caller
/// counts from when it sent the request, and the answer has a way back.
constexpr Millis kDeadlineMargin{10};

/// A request with less time than this cannot be served.
constexpr Millis kSmallestTimeLeft{2};

/// How long a request waits for a replica with room, as part of its
/// objective. A caller that is refused by then can still be served on time.
constexpr double kRoomWaitPart = 0.2;
constexpr Millis kRoomPoll{3};

/// The part of the objective that a request may spend waiting for a slot. The
/// most urgent kinds may wait longer, so that others are refused first.
constexpr double kUrgentWaitPart = 1.0;
constexpr double kPatientWaitPart = 0.8;
constexpr uint32_t kUrgentPriority = 1;

/// A refused hedge is tried again after this part of the hedge delay.
constexpr double kHedgeRecheck = 0.25;
constexpr Millis kSmallestHedgeDelay{3};

/// The hedge delay as multiples of the high and the median latency, and its
/// bound as part of the objective.
constexpr double kHedgeOverHigh = 1.1;
constexpr double kHedgeOverMedian = 1.6;
constexpr double kHedgeObjectivePart = 0.4;

/// What a hedge is expected to take, and the earliest time for one, both as
/// multiples of the median latency.
constexpr double kHedgeTakesMedians = 1.25;
constexpr double kHedgeAtLeastMedians = 1.25;

/// A replica that has not answered anything for this long is silent, or for
/// this many median latencies of a slower route.
constexpr Millis kSilentAfter{600};
constexpr double kSilentLatencies = 4;

/// Another VM knows the configuration, or this one soon will.
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

Millis Dispatcher::ObjectiveLeft(const PlannedRoute& route,
                                 const CallerRequest& caller) {
  const Millis objective = route.spec.objective;
  if (!caller.time_left) {
    return objective;
  }
  // A caller that tries again has spent a part of its time before.
  LatencyWindow& patience = route.stats->patience;
  const Millis spent =
      std::max(patience.median() - *caller.time_left, Millis(0));
  patience.Record(*caller.time_left);
  return std::max(objective - spent, Millis(0));
}

void Dispatcher::Submit(RequestKey key,
                        std::shared_ptr<const CallerRequest> caller,
                        Millis now) {
  ++m_stats.submitted;
  if (!m_plan) {
    Refuse(key, *caller, AnswerKind::kRefused, AnswerReason::kNoConfig,
           kNoConfigRetryAfter, nullptr);
    return;
  }
  PlannedRoute* route = m_plan->Find(caller->host, caller->target);
  if (route == nullptr) {
    Refuse(key, *caller, AnswerKind::kUnknownRoute, AnswerReason::kNone, {},
           nullptr);
    return;
  }
  const RouteSpec& spec = route->spec;
  const Millis time_left =
      std::min(caller->time_left.value_or(spec.timeout), spec.timeout);
  if (time_left < kSmallestTimeLeft) {
    Refuse(key, *caller, AnswerKind::kRefused, AnswerReason::kExpired,
           kShortRetryAfter, route);
    return;
  }
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.key = key;
  request.plan = m_plan;
  request.route = route;
  request.fingerprint = MakeFingerprint(caller->host, caller->target,
                                        caller->method + caller->body);
  request.arrived = now;
  request.deadline =
      now + std::max(time_left - kDeadlineMargin, kSmallestTimeLeft);
  request.objective_at = now + ObjectiveLeft(*route, *caller);
  request.answer_by = request.objective_at - m_options.answer_margin;
  if (m_quarantine.Check(request.fingerprint, now) ==
      Quarantine::Verdict::kRefused) {
    Refuse(key, *caller, AnswerKind::kRefused, AnswerReason::kQuarantined,
           kQuarantineRetryAfter, route);
    return;
  }
  if (spec.is_fanout()) {
    for (Service* shard : route->services) {
      request.parts.emplace_back().service = shard;
    }
  } else {
    request.parts.emplace_back().service = route->services[route->turn.Next()];
  }
  for (const Part& part : request.parts) {
    part.service->allowance.OnRequest(now);
  }
  const Admission admission = Admit(request, now);
  if (admission.refusal) {
    Refuse(key, *caller, AnswerKind::kRefused, *admission.refusal,
           admission.retry_after, route);
    return;
  }
  for (const size_t index : admission.skipped) {
    request.trace.push_back({TraceEvent::What::kSkipped,
                             static_cast<uint16_t>(index), Millis(0), nullptr});
    GiveUp(request, index, AnswerReason::kOverloaded);
  }
  request.caller = std::move(caller);
  request.timer = request.deadline;
  m_timers.emplace(request.timer.count(), key);
  m_requests[key] = std::move(owned);
  Advance(request, now);
}

Admission Dispatcher::Admit(const Request& request, Millis now) const {
  const RouteSpec& spec = request.route->spec;
  const AttemptProfile profile = ProfileOf(*request.route);
  std::vector<PartOutlook> outlooks;
  outlooks.reserve(request.parts.size());
  for (const Part& part : request.parts) {
    outlooks.push_back(m_chooser.Outlook(*part.service, profile, now));
  }
  const double wait_part =
      spec.priority <= kUrgentPriority ? kUrgentWaitPart : kPatientWaitPart;
  AdmissionLimits limits;
  limits.needed_parts = request.route->needed_parts;
  limits.longest_wait =
      m_options.policy.admission ? spec.objective * wait_part : spec.timeout;
  limits.on_time =
      m_options.policy.skipping ? request.answer_by - now : Millis(0);
  return tanagervane::Admit(outlooks, limits);
}

void Dispatcher::Refuse(RequestKey key,
                        const CallerRequest& caller,
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
  report.request = &caller;
  report.route = route != nullptr ? std::string_view(route->spec.name) : "";
  report.config_version = m_plan ? m_plan->version() : 0;
  report.kind = kind;
  report.reason = reason;
  report.objective = route != nullptr ? route->spec.objective : Millis(0);
  report.time_left_on_arrival = caller.time_left.value_or(Millis(0));
  m_hooks.finished(report);
  m_hooks.answer(answer);
}

void Dispatcher::Advance(Request& request, Millis now) {
  for (size_t i = 0; i < request.parts.size(); ++i) {
    AdvancePart(request, i, now);
  }
  if (FinishIfDue(request, now)) {
    return;
  }
  Schedule(request, now);
}

void Dispatcher::AdvancePart(Request& request, size_t index, Millis now) {
  Part& part = request.parts[index];
  if (part.state != PartState::kOpen || now >= request.deadline) {
    return;
  }
  if (part.open.empty()) {
    if (!part.retry_at || *part.retry_at <= now) {
      SendFirstOrRetry(request, index, now);
    }
    return;
  }
  if (part.hedge_at && *part.hedge_at <= now) {
    Hedge(request, index, now);
  }
}

void Dispatcher::SendFirstOrRetry(Request& request, size_t index, Millis now) {
  Part& part = request.parts[index];
  const RouteSpec& spec = request.route->spec;
  part.retry_at.reset();
  if ((part.may_have_run && !spec.idempotent) ||
      part.reached >= spec.attempts) {
    GiveUp(request, index, part.reason);
    return;
  }
  const auto replica = m_chooser.Choose(
      *part.service, ProfileOf(*request.route), part.tried, now);
  if (!replica) {
    const bool has_full =
        std::ranges::any_of(part.service->replicas, [&](const auto& candidate) {
          return ReplicaChooser::IsUsable(*candidate) &&
                 ReplicaChooser::IsFull(*candidate, now) &&
                 std::ranges::find(part.tried, candidate.get()) ==
                     part.tried.end();
        });
    if (has_full && now - request.arrived < spec.objective * kRoomWaitPart) {
      part.retry_at = now + kRoomPoll;
      return;
    }
    request.trace.push_back(
        {has_full ? TraceEvent::What::kNoRoom : TraceEvent::What::kNoReplica,
         static_cast<uint16_t>(index), now - request.arrived, nullptr});
    const AnswerReason none =
        has_full ? AnswerReason::kOverloaded : AnswerReason::kNoReplica;
    GiveUp(request, index,
           part.reason == AnswerReason::kNone ? none : part.reason);
    return;
  }
  const bool extra = part.arrivals > 0;
  if (extra && !part.service->allowance.TryTake(ExtraSend::kRetry, now)) {
    request.trace.push_back({TraceEvent::What::kNoAllowance,
                             static_cast<uint16_t>(index),
                             now - request.arrived, nullptr});
    GiveUp(request, index, AnswerReason::kNoAllowance);
    return;
  }
  m_stats.retries += extra ? 1 : 0;
  Send(request, index, replica,
       extra ? TraceEvent::What::kRetried : TraceEvent::What::kSent, now);
}

void Dispatcher::Hedge(Request& request, size_t index, Millis now) {
  Part& part = request.parts[index];
  const PlannedRoute& route = *request.route;
  const Millis median = route.stats->attempts.median();
  for (const uint64_t id : part.open) {
    MarkOverdue(*m_attempts.at(id).replica, now);
  }
  part.hedge_at.reset();
  if (part.reached >= route.spec.attempts || now + median > request.deadline) {
    return;
  }
  const auto replica =
      m_chooser.Choose(*part.service, ProfileOf(route), part.tried, now);
  if (!replica || !part.service->allowance.TryTake(ExtraSend::kHedge, now)) {
    part.hedge_at = now + HedgeDelay(request, now) * kHedgeRecheck;
    return;
  }
  ++m_stats.hedges;
  Send(request, index, replica, TraceEvent::What::kHedged, now);
}

AttemptProfile Dispatcher::ProfileOf(const PlannedRoute& route) {
  return {.usual = route.stats->attempts.median(),
          .objective = route.spec.objective};
}

Millis Dispatcher::HedgeDelay(const Request& request, Millis now) {
  const LatencyWindow& attempts = request.route->stats->attempts;
  const Millis median = attempts.median();
  const Millis observed =
      std::max(attempts.high() * kHedgeOverHigh, median * kHedgeOverMedian);
  const Millis bound = request.route->spec.objective * kHedgeObjectivePart;
  // A hedge that leaves later is answered too late.
  const Millis useful =
      std::max(request.answer_by - now - median * kHedgeTakesMedians,
               median * kHedgeAtLeastMedians);
  return std::max(std::min({observed, bound, useful}), kSmallestHedgeDelay);
}

Millis Dispatcher::SilenceLimit(const PlannedRoute& route) {
  return std::max(kSilentAfter,
                  route.stats->attempts.median() * kSilentLatencies);
}

void Dispatcher::Send(Request& request,
                      size_t index,
                      const std::shared_ptr<ServingReplica>& replica,
                      TraceEvent::What what,
                      Millis now) {
  Part& part = request.parts[index];
  const uint64_t id = ++m_next_attempt;
  Attempt attempt;
  attempt.request = request.key;
  attempt.part = index;
  attempt.replica = replica;
  attempt.stats = request.route->stats;
  attempt.fingerprint = request.fingerprint;
  attempt.sent = now;
  m_attempts[id] = std::move(attempt);
  replica->attempts.push_back(id);
  if (!replica->unanswered_since) {
    replica->unanswered_since = now;
    replica->silence_limit = Millis(0);
  }
  replica->silence_limit =
      std::max(replica->silence_limit, SilenceLimit(*request.route));
  part.open.push_back(id);
  part.tried.push_back(replica.get());
  ++part.reached;
  if (part.arrivals++ > 0) {
    ++request.extra_sends;
  }
  const bool may_hedge = m_options.policy.hedging &&
                         request.route->spec.idempotent &&
                         part.reached < request.route->spec.attempts;
  part.hedge_at =
      may_hedge ? std::optional(now + HedgeDelay(request, now)) : std::nullopt;
  request.trace.push_back(
      {what, static_cast<uint16_t>(index), now - request.arrived, replica});
  ++m_stats.sends;
  m_hooks.send({id, request.caller, replica, request.deadline - now});
}

void Dispatcher::GiveUp(Request& request, size_t index, AnswerReason reason) {
  Part& part = request.parts[index];
  part.state = PartState::kGivenUp;
  part.reason = reason;
  ++request.given_up;
}

bool Dispatcher::FinishIfDue(Request& request, Millis now) {
  const auto total = static_cast<uint32_t>(request.parts.size());
  const uint32_t open = total - request.done - request.given_up;
  const uint32_t needed = request.route->needed_parts;
  const bool decided = open == 0 || request.done + open < needed;
  const bool enough = request.done >= needed && now >= request.answer_by;
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
  for (const Part& part : request.parts) {
    if (part.state != PartState::kOpen) {
      continue;
    }
    const auto& due = part.open.empty() ? part.retry_at : part.hedge_at;
    if (due) {
      next = std::min(next, *due);
    }
  }
  if (next == request.timer) {
    return;
  }
  m_timers.erase({request.timer.count(), request.key});
  request.timer = next;
  m_timers.emplace(next.count(), request.key);
}

std::optional<Millis> Dispatcher::NextTimer() const {
  std::optional<Millis> next;
  if (!m_timers.empty()) {
    next = Millis(m_timers.begin()->first);
  }
  if (!m_abandon_timers.empty()) {
    const Millis abandon(m_abandon_timers.begin()->first);
    next = next ? std::min(*next, abandon) : abandon;
  }
  return next;
}

void Dispatcher::OnTick(Millis now) {
  while (!m_timers.empty() && m_timers.begin()->first <= now.count()) {
    const RequestKey key = m_timers.begin()->second;
    Request& request = *m_requests.at(key);
    // Schedule() may find the same time again; it must not loop here.
    m_timers.erase(m_timers.begin());
    request.timer = Millis(-1);
    Advance(request, now);
  }
  AbandonDue(now);
}

}  // namespace tanagervane
