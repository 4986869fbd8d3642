// What the outcome of an attempt means for its shard.

#include "tanagervane/query/fanout.h"

#include <algorithm>
#include <cassert>

#include "tanagervane/support/hash.h"

namespace tanagervane {

namespace {

/// Failures that cost a backend server no work and name a replica that need
/// not be asked again.
bool IsFreeOfWork(FailureKind kind) {
  return kind == FailureKind::kDraining || kind == FailureKind::kVersionGone ||
         kind == FailureKind::kConnectFailed;
}

const char* Describe(FailureKind kind) {
  switch (kind) {
    case FailureKind::kShed:
      return "attempt failed: shed";
    case FailureKind::kDraining:
      return "attempt failed: draining";
    case FailureKind::kVersionGone:
      return "attempt failed: version gone";
    case FailureKind::kConnectFailed:
      return "attempt failed: connect failed";
    case FailureKind::kConnectionLost:
    case FailureKind::kNewConnectionLost:
      return "attempt failed: connection lost";
    case FailureKind::kTimedOut:
      return "attempt failed: timed out";
    case FailureKind::kServerError:
      return "attempt failed: server error";
    case FailureKind::kCorruptReply:
      break;
  }
  return "attempt failed: reply does not match";
}

MissingReason ReasonFor(FailureKind kind) {
  switch (kind) {
    case FailureKind::kShed:
      return MissingReason::kShed;
    case FailureKind::kDraining:
    case FailureKind::kConnectFailed:
      return MissingReason::kNoReplica;
    case FailureKind::kVersionGone:
      return MissingReason::kVersionGone;
    case FailureKind::kTimedOut:
      return MissingReason::kTimedOut;
    case FailureKind::kConnectionLost:
    case FailureKind::kNewConnectionLost:
    case FailureKind::kServerError:
    case FailureKind::kCorruptReply:
      break;
  }
  return MissingReason::kFailed;
}

}  // namespace

bool Fanout::Matches(AttemptId id,
                     const OpenAttempt& attempt,
                     const BackendReply& reply) const {
  return reply.attempt_id == id && reply.shard == attempt.shard &&
         reply.index_version == m_snapshot.version &&
         reply.request_id == m_attempt.request_id &&
         reply.row_count == reply.rows.size() &&
         reply.checksum == RowsChecksum(reply.rows);
}

OpenAttempt Fanout::CloseAttempt(AttemptId id) {
  OpenAttempt attempt = m_services.attempts.Close(id);
  std::erase(m_shards[attempt.shard].open, id);
  return attempt;
}

void Fanout::OnReply(AttemptId id, const BackendReply& reply, Millis now) {
  assert(!finished() && "a finished fan-out has no open attempts");
  const OpenAttempt* open = m_services.attempts.Find(id);
  assert(open != nullptr && "the engine passes replies of open attempts");
  if (!Matches(id, *open, reply)) {
    ++m_services.stats.dropped_replies;
    OnFailure(id, FailureKind::kCorruptReply, now);
    return;
  }
  const OpenAttempt attempt = CloseAttempt(id);
  m_known_ran = true;
  m_services.table.OnReply(attempt.replica, id, reply.load, now);
  m_services.quarantine.OnSuccess(m_request.fingerprint);
  if (attempt.role == AttemptRole::kFirst) {
    m_services.hedging.OnLatency(index(), now - attempt.sent_at);
  }
  m_request.trace->Add(now, "shard covered", attempt.shard, id,
                       attempt.replica);

  Shard& shard = m_shards[attempt.shard];
  assert(shard.state == ShardState::kOpen &&
         "a shard with an open attempt is not settled");
  for (const AttemptId other : shard.open) {
    const OpenAttempt* overtaken = m_services.attempts.Find(other);
    if (overtaken->role == AttemptRole::kFirst) {
      m_services.hedging.OnLatency(index(), now - overtaken->sent_at);
    }
  }
  CancelOpen(shard, now);
  shard.state = ShardState::kSettled;
  shard.rows = reply.rows;
  m_rows += shard.rows.size();
  m_coverage.Cover(attempt.shard);
  Advance(now);
}

void Fanout::RecordFailure(const OpenAttempt& attempt,
                           AttemptId id,
                           FailureKind kind,
                           Millis now) {
  if (ProvesNotRun(kind)) {
    ++m_proved_not_run;
  }
  if (kind == FailureKind::kServerError) {
    m_known_ran = true;
  }
  if (kind == FailureKind::kShed) {
    m_services.last_shed[{std::string(index()), attempt.shard}] = now;
  }
  if (kind == FailureKind::kVersionGone) {
    m_shards[attempt.shard].without_version.push_back(attempt.replica);
  }
  m_services.table.OnFailure(attempt.replica, id, kind, now);
  if (kind == FailureKind::kDraining || kind == FailureKind::kVersionGone) {
    m_services.snapshots.Invalidate();
  }
  m_request.trace->Add(now, Describe(kind), attempt.shard, id, attempt.replica);
}

void Fanout::OnFailure(AttemptId id, FailureKind kind, Millis now) {
  assert(!finished() && "a finished fan-out has no open attempts");
  const OpenAttempt attempt = CloseAttempt(id);
  RecordFailure(attempt, id, kind, now);
  Shard& shard = m_shards[attempt.shard];
  if (shard.open.empty()) {
    RetryOrGiveUp(attempt.shard, kind, now);
  } else {
    // The other attempt of the shard goes on and may be hedged in its turn.
    ArmHedge(shard, now);
  }
  Advance(now);
}

void Fanout::RetryOrGiveUp(uint32_t index_of_shard,
                           FailureKind kind,
                           Millis now) {
  Shard& shard = m_shards[index_of_shard];
  shard.wake.reset();
  if (remaining(now) <= Millis(0)) {
    Miss(index_of_shard, MissingReason::kTimedOut, now);
    return;
  }
  if (m_request.once && !ProvesNotRun(kind)) {
    Miss(index_of_shard, ReasonFor(kind), now);
    return;
  }
  if (IsFreeOfWork(kind) && HasUntriedHolder(index_of_shard)) {
    shard.state = ShardState::kReady;
    ++m_ready;
    return;
  }
  if (kind == FailureKind::kVersionGone) {
    OnNoReplica(index_of_shard, now);
    return;
  }
  const std::optional<Millis> delay = m_services.retrying.Decide(
      {.index = index(),
       .kind = kind,
       .idempotent = m_request.spec->idempotent && !m_request.once,
       .retries = shard.retries,
       .remaining = remaining(now)});
  if (!delay) {
    Miss(index_of_shard, ReasonFor(kind), now);
    return;
  }
  ++shard.retries;
  shard.may_repeat_replica = true;
  if (*delay <= Millis(0)) {
    shard.state = ShardState::kReady;
    ++m_ready;
    return;
  }
  shard.state = ShardState::kBackoff;
  WakeAt(shard, now + *delay);
}

}  // namespace tanagervane
