// Dispatcher: attempts, hedges and timers. Requests are admitted in
// dispatcher_admission.cc, replies handled in dispatcher_attempts.cc and final
// answers made in dispatcher_answers.cc.

#include "tanagervane/serving/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

#include "tanagervane/serving/hedging.h"

namespace tanagervane {

namespace {

/// How long a sub-request waits while all usable replicas are full, as a
/// fraction of the objective. A caller that is refused by then can still retry
/// and get an answer on time.
constexpr double kFullReplicasWaitFraction = 0.2;
constexpr Millis kFullReplicasPollInterval{3};

/// When a hedge finds no replica or no budget, it is retried after this
/// fraction of the hedge delay.
constexpr double kHedgeRecheckFraction = 0.25;

/// A replica with a rate limit gets a hedge only if a permit remains for a
/// first attempt.
constexpr size_t kMinPermitsToHedge = 2;

/// A replica that leaves attempts unanswered for this long, or for this many
/// median latencies of a slower route, is unresponsive.
constexpr Millis kMinUnresponsiveTimeout{600};
constexpr double kUnresponsiveMedians = 4;

}  // namespace

Dispatcher::Dispatcher(DispatcherOptions options,
                       ReplicaSet& replicas,
                       Quarantine& quarantine,
                       DispatcherHooks hooks)
    : m_options(std::move(options)),
      m_replicas(replicas),
      m_quarantine(quarantine),
      m_hooks(std::move(hooks)),
      m_chooser(m_options.policy, m_options.data_centre, m_options.seed),
      m_precedence(m_options.seed) {}

Dispatcher::~Dispatcher() = default;

bool Dispatcher::ApplyConfig(const ServingConfig& config) {
  if (m_plan && config.version <= m_plan->version()) {
    return false;
  }
  m_plan = std::make_shared<ServingPlan>(config, m_replicas, m_route_stats);
  m_precedence.ApplyConfig(config);
  return true;
}

void Dispatcher::Advance(Request& request, Millis now) {
  if (request.awaits_permit) {
    RefuseParked(request.key, AnswerReason::kExpired);
    return;
  }
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
  if (!MaySendFor(request, now)) {
    FailSubRequest(request, index, AnswerReason::kConfigUnproved);
    return;
  }
  if ((sub_request.may_have_run && !spec.idempotent) ||
      sub_request.reached_replicas >= spec.max_replicas) {
    FailSubRequest(request, index, sub_request.failure_reason);
    return;
  }
  const auto replica =
      m_chooser.Choose(*sub_request.service, MakeProfile(*request.route),
                       sub_request.attempted_replicas, now);
  if (!replica) {
    HandleNoReplica(request, index, now);
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

void Dispatcher::HandleNoReplica(Request& request, size_t index, Millis now) {
  SubRequest& sub_request = request.sub_requests[index];
  const auto has_replica = [&](ReplicaAvailability availability) {
    return std::ranges::any_of(
        sub_request.service->replicas, [&](const auto& replica) {
          return ReplicaChooser::Classify(*replica, now) == availability &&
                 std::ranges::find(sub_request.attempted_replicas,
                                   replica.get()) ==
                     sub_request.attempted_replicas.end();
        });
  };
  const bool full = has_replica(ReplicaAvailability::kFull);
  if (full && now - request.arrived_at <
                  request.route->spec.objective * kFullReplicasWaitFraction) {
    sub_request.retry_at = now + kFullReplicasPollInterval;
    return;
  }
  TraceEvent::Type type = TraceEvent::Type::kNoReplica;
  AnswerReason reason = AnswerReason::kNoReplica;
  if (full) {
    type = TraceEvent::Type::kReplicasFull;
    reason = AnswerReason::kOverloaded;
  } else if (has_replica(ReplicaAvailability::kRateLimited)) {
    type = TraceEvent::Type::kRateLimited;
    reason = AnswerReason::kRateLimited;
  }
  request.trace.push_back(
      {type, static_cast<uint16_t>(index), now - request.arrived_at, nullptr});
  FailSubRequest(request, index,
                 sub_request.failure_reason == AnswerReason::kNone
                     ? reason
                     : sub_request.failure_reason);
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
      now + median > request.deadline || !MaySendFor(request, now)) {
    return;
  }
  AttemptProfile profile = MakeProfile(route);
  profile.min_permits = kMinPermitsToHedge;
  const auto replica = m_chooser.Choose(*sub_request.service, profile,
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
  assert(replica->limits->NextRequestAt(now) <= now &&
         "an attempt exceeds the limit that a replica states");
  replica->limits->rate_limiter.UsePermit(now);
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
  if (replica->limits->rate_limiter.limit()) {
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
