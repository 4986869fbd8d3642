// How a fan-out processes the replies and failures of its attempts.

#include "tanagervane/query/fanout.h"

#include <algorithm>
#include <cassert>

#include "tanagervane/support/hash.h"

namespace tanagervane {

namespace {

/// Failures that cost the backend server no work and rule out only this one
/// replica. The sub-request goes to another replica at once, without spending
/// retry budget.
bool AllowsImmediateFailover(FailureKind kind) {
  return kind == FailureKind::kDraining || kind == FailureKind::kVersionGone ||
         kind == FailureKind::kConnectFailed;
}

const char* FailureEvent(FailureKind kind) {
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
  return "attempt failed: reply does not match the attempt";
}

MissingReason MissingReasonFor(FailureKind kind) {
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

bool Fanout::ReplyMatches(AttemptId id,
                          const OpenAttempt& attempt,
                          const BackendReply& reply) const {
  return reply.attempt_id == id && reply.shard == attempt.shard &&
         reply.index_version == m_snapshot.version &&
         reply.request_id == m_attempt_template.request_id &&
         reply.row_count == reply.rows.size() &&
         reply.checksum == RowsChecksum(reply.rows);
}

OpenAttempt Fanout::CloseAttempt(AttemptId id) {
  OpenAttempt attempt = m_services.attempts.Close(id);
  std::erase(m_shards[attempt.shard].open_attempts, id);
  return attempt;
}

void Fanout::OnReply(AttemptId id, const BackendReply& reply, Millis now) {
  assert(!finished() && "a finished fan-out has no open attempts");
  const OpenAttempt* open_attempt = m_services.attempts.Find(id);
  assert(open_attempt != nullptr &&
         "the engine passes replies of open attempts");
  if (!ReplyMatches(id, *open_attempt, reply)) {
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
  assert(shard.state == ShardState::kInFlight &&
         "a shard with an open attempt is not settled");
  for (const AttemptId other : shard.open_attempts) {
    const OpenAttempt* superseded = m_services.attempts.Find(other);
    if (superseded->role == AttemptRole::kFirst) {
      m_services.hedging.OnLatency(index(), now - superseded->sent_at);
    }
  }
  CancelOpenAttempts(shard, now);
  shard.state = ShardState::kSettled;
  shard.rows = reply.rows;
  m_row_count += shard.rows.size();
  m_coverage.MarkCovered(attempt.shard);
  Advance(now);
}

void Fanout::RecordFailure(const OpenAttempt& attempt,
                           AttemptId id,
                           FailureKind kind,
                           Millis now) {
  if (ProvesNotRun(kind)) {
    ++m_attempts_proved_not_run;
  }
  if (kind == FailureKind::kServerError) {
    m_known_ran = true;
  }
  if (kind == FailureKind::kShed) {
    m_services.last_shed_at[{std::string(index()), attempt.shard}] = now;
  }
  if (kind == FailureKind::kVersionGone) {
    m_shards[attempt.shard].replicas_without_version.push_back(attempt.replica);
  }
  m_services.table.OnFailure(attempt.replica, id, kind, now);
  if (kind == FailureKind::kDraining || kind == FailureKind::kVersionGone) {
    m_services.snapshots.Invalidate();
  }
  m_request.trace->Add(now, FailureEvent(kind), attempt.shard, id,
                       attempt.replica);
}

void Fanout::OnFailure(AttemptId id, FailureKind kind, Millis now) {
  assert(!finished() && "a finished fan-out has no open attempts");
  const OpenAttempt attempt = CloseAttempt(id);
  RecordFailure(attempt, id, kind, now);
  Shard& shard = m_shards[attempt.shard];
  if (shard.open_attempts.empty()) {
    RetryOrGiveUp(attempt.shard, kind, now);
  } else {
    // Another attempt of the sub-request is still open and may be hedged.
    ArmHedgeTimer(shard, now);
  }
  Advance(now);
}

void Fanout::RetryOrGiveUp(uint32_t shard_number,
                           FailureKind kind,
                           Millis now) {
  Shard& shard = m_shards[shard_number];
  shard.wake_at.reset();
  if (remaining(now) <= Millis(0)) {
    SettleAsMissing(shard_number, MissingReason::kTimedOut, now);
    return;
  }
  if (m_request.at_most_once && !ProvesNotRun(kind)) {
    SettleAsMissing(shard_number, MissingReasonFor(kind), now);
    return;
  }
  if (AllowsImmediateFailover(kind) && HasUntriedHolder(shard_number)) {
    shard.state = ShardState::kReadyToSend;
    ++m_ready_count;
    return;
  }
  if (kind == FailureKind::kVersionGone) {
    OnNoReplica(shard_number, now);
    return;
  }
  const std::optional<Millis> delay = m_services.retrying.TryRetry(
      {.index = index(),
       .kind = kind,
       .idempotent = m_request.spec->idempotent && !m_request.at_most_once,
       .retries = shard.retries,
       .remaining = remaining(now)});
  if (!delay) {
    SettleAsMissing(shard_number, MissingReasonFor(kind), now);
    return;
  }
  ++shard.retries;
  shard.may_repeat_replica = true;
  if (*delay <= Millis(0)) {
    shard.state = ShardState::kReadyToSend;
    ++m_ready_count;
    return;
  }
  shard.state = ShardState::kBackoff;
  SetShardTimer(shard, now + *delay);
}

}  // namespace tanagervane
