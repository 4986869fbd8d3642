// Dispatcher: replies and failures of attempts, health state of replicas.

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

#include "tanagervane/serving/dispatcher.h"

namespace tanagervane {

namespace {

/// The oldest attempt on an overdue replica runs on until this age, because its
/// answer shows that the replica works again. Less than
/// kMinUnresponsiveTimeout, after which health probes take over.
constexpr Millis kMaxOverdueAttemptAge{550};

/// Attempts of a route that is not idempotent are cancelled this long after the
/// request's deadline, because the request cannot be repeated.
constexpr Millis kNonIdempotentGrace{500};

/// After a replica reset a new connection, no other is opened for this long.
constexpr Millis kConnectBackoff{250};

/// Interval between health probes of an unresponsive replica.
constexpr Millis kProbeInterval{500};

/// Time after which an unanswered health probe is cancelled and another one is
/// sent over a new connection: the connection may have gone silent. The time
/// doubles with each unanswered probe, because a probe waits for a slot like a
/// request and would lose its place in a long queue.
constexpr Millis kMinProbeTimeout{2000};
constexpr Millis kMaxProbeTimeout{8000};

/// Minimum age at which an attempt on an overdue replica is hedged, as a
/// multiple of the median latency.
constexpr double kOverdueHedgeMedians = 0.5;

TraceEvent::Type ClassifyFailure(FailureKind kind) {
  switch (kind) {
    case FailureKind::kConnectFailed:
      return TraceEvent::Type::kConnectFailed;
    case FailureKind::kCorruptReply:
      return TraceEvent::Type::kCorrupt;
    default:
      return TraceEvent::Type::kConnectionLost;
  }
}

bool IsConnectionLoss(FailureKind kind) {
  return kind == FailureKind::kConnectionLost ||
         kind == FailureKind::kNewConnectionLost;
}

}  // namespace

std::optional<Dispatcher::Attempt> Dispatcher::RemoveAttempt(uint64_t id) {
  const auto it = m_attempts.find(id);
  if (it == m_attempts.end()) {
    return std::nullopt;
  }
  Attempt attempt = std::move(it->second);
  m_attempts.erase(it);
  std::erase(attempt.replica->attempts, id);
  if (attempt.cancel_at) {
    m_cancel_timers.erase({attempt.cancel_at->count(), id});
  }
  return attempt;
}

Dispatcher::Request* Dispatcher::DetachFromRequest(const Attempt& attempt,
                                                   uint64_t id) {
  if (attempt.cancel_at) {
    return nullptr;
  }
  const auto it = m_requests.find(attempt.request_key);
  if (it == m_requests.end()) {
    return nullptr;
  }
  std::erase(it->second->sub_requests[attempt.sub_request_index].open_attempts,
             id);
  return it->second.get();
}

void Dispatcher::RecordSelfReport(ServingReplica& replica,
                                  const SelfReport& report,
                                  Millis now) {
  if (report.load) {
    ReplicaChooser::RecordLoad(replica, *report.load, now);
  }
  if (report.rate_limit) {
    m_replicas.RecordRateLimit(replica, report.rate_limit, now);
  }
  if (report.backoff) {
    m_replicas.RecordBackoff(replica, *report.backoff, now);
  }
  if (report.leaving) {
    m_replicas.MarkLeaving(replica, "stated_leaving", now);
  }
}

void Dispatcher::EndRateLimit(const ServingReplica& replica,
                              Millis sent_at,
                              Millis now) {
  const RateLimiter& limiter = replica.limits->rate_limiter;
  // A response that crossed the latest statement on its way does not end it.
  if (limiter.limit() && sent_at >= limiter.stated_at()) {
    m_replicas.RecordRateLimit(replica, std::nullopt, now);
  }
}

void Dispatcher::RecordReply(Attempt& attempt,
                             const ReplicaReply& reply,
                             Millis now) {
  ServingReplica& replica = *attempt.replica;
  replica.last_answered_sent_at =
      std::max(replica.last_answered_sent_at, attempt.sent_at);
  replica.last_answer_at = now;
  replica.unanswered_since.reset();
  if (reply.kind == ReplyKind::kMisdirected) {
    MarkUnresponsive(replica, "misdirected", now);
    return;
  }
  const bool success = reply.kind == ReplyKind::kSuccess;
  RecordSelfReport(replica, reply.self_report, now);
  if (success && !reply.self_report.rate_limit) {
    EndRateLimit(replica, attempt.sent_at, now);
  }
  MarkResponsive(replica, now);
  ReplicaChooser::RecordOutcome(replica, !success, now);
  if (success) {
    const Millis latency = now - attempt.sent_at;
    ReplicaChooser::RecordLatency(replica, latency,
                                  attempt.stats->attempt_latency.median(), now);
    attempt.stats->attempt_latency.Record(latency);
    m_quarantine.OnSuccess(attempt.fingerprint);
  }
}

void Dispatcher::OnReply(uint64_t id, ReplicaReply reply, Millis now) {
  auto attempt = RemoveAttempt(id);
  if (!attempt) {
    return;
  }
  RecordReply(*attempt, reply, now);
  Request* request = DetachFromRequest(*attempt, id);
  if (request == nullptr) {
    return;
  }
  SubRequest& sub_request = request->sub_requests[attempt->sub_request_index];
  if (sub_request.state == SubRequestState::kOpen) {
    ApplyReply(*request, sub_request, id, *attempt, std::move(reply), now);
  }
  Advance(*request, now);
}

void Dispatcher::ApplyReply(Request& request,
                            SubRequest& sub_request,
                            uint64_t id,
                            const Attempt& attempt,
                            ReplicaReply reply,
                            Millis now) {
  const auto trace = [&](TraceEvent::Type type) {
    request.trace.push_back({type,
                             static_cast<uint16_t>(attempt.sub_request_index),
                             now - request.arrived_at, attempt.replica});
  };
  switch (reply.kind) {
    case ReplyKind::kSuccess:
      trace(TraceEvent::Type::kAnswered);
      sub_request.state = SubRequestState::kAnswered;
      sub_request.reply = std::move(reply);
      ++request.answered_count;
      for (const uint64_t other :
           std::exchange(sub_request.open_attempts, {})) {
        assert(other != id);
        ScheduleCancel(other, now + ReleaseGrace(ReleaseCause::kAnswered,
                                                 MedianLatency(request)));
      }
      return;
    case ReplyKind::kFailed:
      trace(TraceEvent::Type::kReplicaFailed);
      sub_request.may_have_run = true;
      sub_request.failure_reason = AnswerReason::kReplicaFailed;
      sub_request.failure_reply = std::move(reply);
      return;
    case ReplyKind::kRejected:
      trace(TraceEvent::Type::kRejected);
      sub_request.failure_reason = AnswerReason::kShed;
      return;
    case ReplyKind::kMisdirected:
      trace(TraceEvent::Type::kMisdirected);
      sub_request.failure_reason = AnswerReason::kNoReplica;
      return;
    case ReplyKind::kCorrupt:
      trace(TraceEvent::Type::kCorrupt);
      sub_request.may_have_run = true;
      sub_request.failure_reason = AnswerReason::kReplicaFailed;
      return;
  }
}

void Dispatcher::OnPartialReply(uint64_t id,
                                const SelfReport& report,
                                Millis now) {
  const auto it = m_attempts.find(id);
  if (it != m_attempts.end()) {
    RecordSelfReport(*it->second.replica, report, now);
  }
}

void Dispatcher::OnFailure(uint64_t id, FailureKind kind, Millis now) {
  auto attempt = RemoveAttempt(id);
  if (!attempt) {
    return;
  }
  ServingReplica& replica = *attempt->replica;
  ReplicaChooser::RecordOutcome(replica, true, now);
  const bool not_sent = kind == FailureKind::kConnectFailed;
  if (not_sent) {
    MarkUnresponsive(replica, "connect_failed", now);
  } else if (IsConnectionLoss(kind)) {
    if (kind == FailureKind::kNewConnectionLost) {
      replica.no_connect_until = now + kConnectBackoff;
    }
    replica.connection_lost = true;
    const Quarantine::InFlightRequest lost_attempt{attempt->fingerprint,
                                                   attempt->sent_at};
    m_quarantine.OnReplicaLost(replica.key, {&lost_attempt, 1}, now);
  }
  Request* request = DetachFromRequest(*attempt, id);
  if (request == nullptr) {
    return;
  }
  SubRequest& sub_request = request->sub_requests[attempt->sub_request_index];
  request->trace.push_back({ClassifyFailure(kind),
                            static_cast<uint16_t>(attempt->sub_request_index),
                            now - request->arrived_at, attempt->replica});
  if (not_sent) {
    assert(sub_request.reached_replicas > 0 &&
           sub_request.delivered_attempts > 0);
    --sub_request.reached_replicas;
    --sub_request.delivered_attempts;
  } else {
    sub_request.may_have_run = true;
    sub_request.failure_reason = AnswerReason::kConnectionLost;
  }
  Advance(*request, now);
}

void Dispatcher::ScheduleCancel(uint64_t id, Millis cancel_at) {
  Attempt& attempt = m_attempts.at(id);
  attempt.cancel_at = cancel_at;
  m_cancel_timers.emplace(cancel_at.count(), id);
}

bool Dispatcher::MayShowRecovery(const Attempt& attempt, uint64_t id) {
  const ServingReplica& replica = *attempt.replica;
  return replica.overdue && !attempt.request_abandoned &&
         replica.attempts.front() == id &&
         replica.last_answered_sent_at < attempt.sent_at;
}

void Dispatcher::CancelDueAttempts(Millis now) {
  while (!m_cancel_timers.empty() &&
         m_cancel_timers.begin()->first <= now.count()) {
    const uint64_t id = m_cancel_timers.begin()->second;
    Attempt& due = m_attempts.at(id);
    if (now < due.sent_at + kMaxOverdueAttemptAge && MayShowRecovery(due, id)) {
      m_cancel_timers.erase(m_cancel_timers.begin());
      ScheduleCancel(id, due.sent_at + kMaxOverdueAttemptAge);
      continue;
    }
    const auto attempt = RemoveAttempt(id);
    assert(attempt && "m_cancel_timers contains an unknown attempt");
    ++m_stats.cancelled_attempts;
    ServingReplica& replica = *attempt->replica;
    m_hooks.cancel_attempt(id, replica);
    // The age is a lower bound of the replica's latency.
    const Millis age = now - attempt->sent_at;
    const Millis median_latency = attempt->stats->attempt_latency.median();
    if (age > median_latency) {
      ReplicaChooser::RecordLatency(replica, age, median_latency, now);
    }
  }
}

void Dispatcher::MarkOverdue(ServingReplica& replica, Millis now) {
  if (replica.attempts.empty()) {
    return;
  }
  const Attempt& oldest = m_attempts.at(replica.attempts.front());
  // A later attempt was answered: the replica works and only this attempt is
  // slow.
  if (replica.overdue || replica.last_answered_sent_at >= oldest.sent_at) {
    return;
  }
  replica.overdue = true;
  for (const uint64_t id : replica.attempts) {
    const Attempt& attempt = m_attempts.at(id);
    const auto it = m_requests.find(attempt.request_key);
    if (attempt.cancel_at || it == m_requests.end()) {
      continue;
    }
    SubRequest& sub_request =
        it->second->sub_requests[attempt.sub_request_index];
    if (!sub_request.hedge_at) {
      continue;
    }
    const Millis earliest_hedge =
        attempt.sent_at +
        attempt.stats->attempt_latency.median() * kOverdueHedgeMedians;
    sub_request.hedge_at =
        std::min(*sub_request.hedge_at, std::max(earliest_hedge, now));
    Schedule(*it->second, now);
  }
}

void Dispatcher::MarkUnresponsive(ServingReplica& replica,
                                  std::string_view reason,
                                  Millis now) {
  if (replica.unresponsive) {
    return;
  }
  replica.unresponsive = true;
  replica.next_probe_at = now + kProbeInterval;
  m_hooks.on_health_changed(replica, reason);
}

void Dispatcher::MarkResponsive(ServingReplica& replica, Millis now) {
  replica.overdue = false;
  if (std::exchange(replica.connection_lost, false)) {
    m_quarantine.OnCrashRuledOut(replica.key);
  }
  if (std::exchange(replica.unresponsive, false)) {
    replica.next_probe_at = now;
    m_hooks.on_health_changed(replica, "answering");
  }
}

void Dispatcher::OnProbeReply(ServingReplica& replica,
                              const ProbeReply& reply,
                              Millis now) {
  replica.probe_in_flight = false;
  replica.probe_timeout.reset();
  replica.next_probe_at = now + kProbeInterval;
  RecordSelfReport(replica, reply.self_report, now);
  if (reply.healthy) {
    replica.last_answer_at = now;
    replica.unanswered_since.reset();
    MarkResponsive(replica, now);
  }
}

void Dispatcher::CancelOverdueProbe(ServingReplica& replica, Millis now) {
  const Millis timeout = replica.probe_timeout.value_or(kMinProbeTimeout);
  if (!replica.probe_in_flight || now - replica.probe_sent_at < timeout) {
    return;
  }
  replica.probe_in_flight = false;
  replica.probe_timeout = std::min(timeout * 2, kMaxProbeTimeout);
  ++m_stats.probe_timeouts;
  m_hooks.cancel_probe(replica);
}

void Dispatcher::CheckReplicaHealth(Millis now) {
  m_replicas.ForEachService([&](Service& service) {
    for (const auto& replica : service.replicas) {
      if (replica->unanswered_since &&
          now - *replica->unanswered_since >= replica->unresponsive_timeout) {
        MarkUnresponsive(*replica, "silent", now);
      }
      CancelOverdueProbe(*replica, now);
      if (!replica->unresponsive || replica->leaving ||
          replica->probe_in_flight || now < replica->next_probe_at ||
          replica->limits->NextRequestAt(now) > now) {
        continue;
      }
      replica->probe_in_flight = true;
      replica->probe_sent_at = now;
      replica->limits->rate_limiter.UsePermit(now);
      ++m_stats.probes;
      m_hooks.probe(replica);
    }
  });
}

void Dispatcher::ReleaseAttempts(Request& request,
                                 Millis now,
                                 ReleaseCause cause) {
  Millis cancel_at = now + ReleaseGrace(cause, MedianLatency(request));
  if (!request.route->spec.idempotent) {
    cancel_at = request.deadline + kNonIdempotentGrace;
  }
  for (SubRequest& sub_request : request.sub_requests) {
    for (const uint64_t id : std::exchange(sub_request.open_attempts, {})) {
      m_attempts.at(id).request_abandoned = cause == ReleaseCause::kAbandoned;
      ScheduleCancel(id, cancel_at);
    }
  }
}

}  // namespace tanagervane
