// Outcomes of attempts, and what they tell of replicas.

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

#include "tanagervane/serving/dispatcher.h"

namespace tanagervane {

namespace {

/// How long an attempt that lost its request may run on, as a multiple of the
/// median latency. Most end sooner, and ending one costs the connection; one on
/// a slow replica takes the room of a request that is still wanted.
constexpr double kOrphanLatencies = 4;
constexpr Millis kShortestOrphanGrace{60};
constexpr Millis kLongestOrphanGrace{600};

/// The oldest attempt on a replica that owes an overdue answer runs on until it
/// has this age: its answer shows that the replica works again. Less than the
/// silence limit, after which health probes take over.
constexpr Millis kOverdueAttemptAge{550};

/// The same after the caller has gone.
constexpr Millis kGoneGrace{150};

/// A request that must not be repeated is not broken off before its time.
constexpr Millis kUnrepeatableGrace{500};

/// After a new connection was reset, its replica gets no other for this long.
constexpr Millis kConnectPause{250};

/// Time between the health probes of an unresponsive replica.
constexpr Millis kProbePeriod{500};

/// Age from which an attempt on an overdue replica is hedged, as a multiple of
/// the median latency.
constexpr double kOverdueAge = 0.5;

TraceEvent::What TraceOf(FailureKind kind) {
  switch (kind) {
    case FailureKind::kConnectFailed:
      return TraceEvent::What::kConnectFailed;
    case FailureKind::kCorruptReply:
      return TraceEvent::What::kCorrupt;
    default:
      return TraceEvent::What::kConnectionLost;
  }
}

bool IsConnectionLoss(FailureKind kind) {
  return kind == FailureKind::kConnectionLost ||
         kind == FailureKind::kNewConnectionLost;
}

}  // namespace

std::optional<Dispatcher::Attempt> Dispatcher::TakeAttempt(uint64_t id) {
  const auto it = m_attempts.find(id);
  if (it == m_attempts.end()) {
    return std::nullopt;
  }
  Attempt attempt = std::move(it->second);
  m_attempts.erase(it);
  std::erase(attempt.replica->attempts, id);
  if (attempt.abandon_at) {
    m_abandon_timers.erase({attempt.abandon_at->count(), id});
  }
  return attempt;
}

Dispatcher::Request* Dispatcher::FindOpen(const Attempt& attempt, uint64_t id) {
  if (attempt.abandon_at) {
    return nullptr;
  }
  const auto it = m_requests.find(attempt.request);
  if (it == m_requests.end()) {
    return nullptr;
  }
  std::erase(it->second->parts[attempt.part].open, id);
  return it->second.get();
}

void Dispatcher::LearnFromReply(Attempt& attempt,
                                const ReplicaReply& reply,
                                Millis now) {
  ServingReplica& replica = *attempt.replica;
  replica.answered_sent = std::max(replica.answered_sent, attempt.sent);
  replica.answered_at = now;
  replica.unanswered_since.reset();
  if (reply.load) {
    replica.load = reply.load;
    replica.load_at = now;
    replica.own_at_report = replica.attempts.size();
  }
  if (reply.kind == ReplyKind::kMisdirected) {
    MarkUnresponsive(replica, "misdirected", now);
    return;
  }
  MarkAnswering(replica, now);
  const bool success = reply.kind == ReplyKind::kSuccess;
  ReplicaChooser::RecordOutcome(replica, !success, now);
  if (success) {
    const Millis latency = now - attempt.sent;
    m_chooser.RecordLatency(replica, latency, attempt.stats->attempts.median(),
                            now);
    attempt.stats->attempts.Record(latency);
    m_quarantine.OnSuccess(attempt.fingerprint);
  }
}

void Dispatcher::OnReply(uint64_t id, ReplicaReply reply, Millis now) {
  auto attempt = TakeAttempt(id);
  if (!attempt) {
    return;
  }
  LearnFromReply(*attempt, reply, now);
  Request* request = FindOpen(*attempt, id);
  if (request == nullptr) {
    return;
  }
  Part& part = request->parts[attempt->part];
  if (part.state == PartState::kOpen) {
    HandleReply(*request, part, id, *attempt, std::move(reply), now);
  }
  Advance(*request, now);
}

void Dispatcher::HandleReply(Request& request,
                             Part& part,
                             uint64_t id,
                             const Attempt& attempt,
                             ReplicaReply reply,
                             Millis now) {
  const auto trace = [&](TraceEvent::What what) {
    request.trace.push_back({what, static_cast<uint16_t>(attempt.part),
                             now - request.arrived, attempt.replica});
  };
  switch (reply.kind) {
    case ReplyKind::kSuccess:
      trace(TraceEvent::What::kAnswered);
      part.state = PartState::kDone;
      part.reply = std::move(reply);
      ++request.done;
      for (const uint64_t other : std::exchange(part.open, {})) {
        assert(other != id);
        OrphanAttempt(other, now + OrphanGrace(request));
      }
      return;
    case ReplyKind::kFailed:
      trace(TraceEvent::What::kReplicaFailed);
      part.may_have_run = true;
      part.reason = AnswerReason::kReplicaFailed;
      part.failure = std::move(reply);
      return;
    case ReplyKind::kRejected:
      trace(TraceEvent::What::kRejected);
      part.reason = AnswerReason::kShed;
      return;
    case ReplyKind::kMisdirected:
      trace(TraceEvent::What::kMisdirected);
      part.reason = AnswerReason::kNoReplica;
      return;
    case ReplyKind::kCorrupt:
      trace(TraceEvent::What::kCorrupt);
      part.may_have_run = true;
      part.reason = AnswerReason::kReplicaFailed;
      return;
  }
}

void Dispatcher::OnFailure(uint64_t id, FailureKind kind, Millis now) {
  auto attempt = TakeAttempt(id);
  if (!attempt) {
    return;
  }
  ServingReplica& replica = *attempt->replica;
  ReplicaChooser::RecordOutcome(replica, true, now);
  const bool never_sent = kind == FailureKind::kConnectFailed;
  if (never_sent) {
    MarkUnresponsive(replica, "connect_failed", now);
  } else if (IsConnectionLoss(kind)) {
    if (kind == FailureKind::kNewConnectionLost) {
      replica.no_connect_until = now + kConnectPause;
    }
    replica.broke = true;
    const Quarantine::InFlight lost{attempt->fingerprint, attempt->sent};
    m_quarantine.OnReplicaLost(replica.key, {&lost, 1}, now);
  }
  Request* request = FindOpen(*attempt, id);
  if (request == nullptr) {
    return;
  }
  Part& part = request->parts[attempt->part];
  request->trace.push_back({TraceOf(kind), static_cast<uint16_t>(attempt->part),
                            now - request->arrived, attempt->replica});
  if (never_sent) {
    assert(part.reached > 0 && part.arrivals > 0);
    --part.reached;
    --part.arrivals;
  } else {
    part.may_have_run = true;
    part.reason = AnswerReason::kConnectionLost;
  }
  Advance(*request, now);
}

Millis Dispatcher::OrphanGrace(const Request& request) {
  const Millis usual = request.route->stats->attempts.median();
  return std::clamp(usual * kOrphanLatencies, kShortestOrphanGrace,
                    kLongestOrphanGrace);
}

void Dispatcher::OrphanAttempt(uint64_t id, Millis abandon_at) {
  Attempt& attempt = m_attempts.at(id);
  attempt.abandon_at = abandon_at;
  m_abandon_timers.emplace(abandon_at.count(), id);
}

bool Dispatcher::ShowsRecovery(const Attempt& attempt, uint64_t id) {
  const ServingReplica& replica = *attempt.replica;
  return replica.overdue && !attempt.caller_gone &&
         replica.attempts.front() == id && replica.answered_sent < attempt.sent;
}

void Dispatcher::AbandonDue(Millis now) {
  while (!m_abandon_timers.empty() &&
         m_abandon_timers.begin()->first <= now.count()) {
    const uint64_t id = m_abandon_timers.begin()->second;
    Attempt& due = m_attempts.at(id);
    if (now < due.sent + kOverdueAttemptAge && ShowsRecovery(due, id)) {
      m_abandon_timers.erase(m_abandon_timers.begin());
      OrphanAttempt(id, due.sent + kOverdueAttemptAge);
      continue;
    }
    const auto attempt = TakeAttempt(id);
    assert(attempt && "an abandon timer without its attempt");
    ++m_stats.abandoned;
    ServingReplica& replica = *attempt->replica;
    m_hooks.abandon(id, replica);
    // The replica takes at least this long.
    const Millis age = now - attempt->sent;
    const Millis usual = attempt->stats->attempts.median();
    if (age > usual) {
      m_chooser.RecordLatency(replica, age, usual, now);
    }
  }
}

void Dispatcher::MarkOverdue(ServingReplica& replica, Millis now) {
  if (replica.attempts.empty()) {
    return;
  }
  const Attempt& oldest = m_attempts.at(replica.attempts.front());
  // A later attempt was answered, so the replica runs and this one is slow.
  if (replica.overdue || replica.answered_sent >= oldest.sent) {
    return;
  }
  replica.overdue = true;
  for (const uint64_t id : replica.attempts) {
    const Attempt& attempt = m_attempts.at(id);
    const auto it = m_requests.find(attempt.request);
    if (attempt.abandon_at || it == m_requests.end()) {
      continue;
    }
    Part& part = it->second->parts[attempt.part];
    if (!part.hedge_at) {
      continue;
    }
    const Millis early =
        attempt.sent + attempt.stats->attempts.median() * kOverdueAge;
    part.hedge_at = std::min(*part.hedge_at, std::max(early, now));
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
  replica.next_probe = now + kProbePeriod;
  m_hooks.belief(replica, reason);
}

void Dispatcher::MarkAnswering(ServingReplica& replica, Millis now) {
  replica.overdue = false;
  if (std::exchange(replica.broke, false)) {
    m_quarantine.OnReplicaSurvived(replica.key);
  }
  if (std::exchange(replica.unresponsive, false)) {
    replica.next_probe = now;
    m_hooks.belief(replica, "answering");
  }
}

void Dispatcher::OnProbe(ServingReplica& replica, bool healthy, Millis now) {
  replica.probe_open = false;
  replica.next_probe = now + kProbePeriod;
  if (healthy) {
    replica.answered_at = now;
    replica.unanswered_since.reset();
    MarkAnswering(replica, now);
  }
}

void Dispatcher::Sweep(Millis now) {
  m_replicas.ForEachService([&](Service& service) {
    for (const auto& replica : service.replicas) {
      if (replica->unanswered_since &&
          now - *replica->unanswered_since >= replica->silence_limit) {
        MarkUnresponsive(*replica, "silent", now);
      }
      if (!replica->unresponsive || replica->leaving || replica->probe_open ||
          now < replica->next_probe) {
        continue;
      }
      replica->probe_open = true;
      ++m_stats.probes;
      m_hooks.probe(replica);
    }
  });
}

void Dispatcher::Release(Request& request, Millis now, bool caller_gone) {
  Millis abandon_at = now + (caller_gone ? kGoneGrace : OrphanGrace(request));
  if (!request.route->spec.idempotent) {
    abandon_at = request.deadline + kUnrepeatableGrace;
  }
  for (Part& part : request.parts) {
    for (const uint64_t id : std::exchange(part.open, {})) {
      m_attempts.at(id).caller_gone = caller_gone;
      OrphanAttempt(id, abandon_at);
    }
  }
}

}  // namespace tanagervane
