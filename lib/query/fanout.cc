#include "tanagervane/query/fanout.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tanagervane {

namespace {

/// A shard is not hedged for this long after one of its replicas shed an
/// attempt.
constexpr Millis kHedgePauseAfterShed{1000};

/// Keeps hedge timers from being due at once when observed latencies are close
/// to zero.
constexpr Millis kMinHedgeDelay{0.2};

/// Limit on the open hedges of one sub-request. A single hedge may also reach a
/// slow or unresponsive replica, as the first attempt did.
constexpr size_t kMaxOpenHedges = 2;

/// A hedge that the policy did not allow is tried again after this fraction of
/// the hedge delay.
constexpr double kHedgeRecheckFraction = 0.25;

bool Contains(const std::vector<ReplicaId>& replicas, const ReplicaId& id) {
  return std::ranges::find(replicas, id) != replicas.end();
}

}  // namespace

Fanout::Fanout(FanoutServices& services,
               FanoutRequest request,
               Snapshot snapshot)
    : m_services(services),
      m_request(std::move(request)),
      m_snapshot(snapshot),
      m_coverage(snapshot.shard_count),
      m_shards(snapshot.shard_count),
      m_ready_count(snapshot.shard_count),
      m_next_timer(m_request.deadline) {
  m_attempt_template.request_id = m_request.request->id;
  m_attempt_template.index = m_request.spec->index;
  m_attempt_template.index_version = m_snapshot.version;
  m_attempt_template.class_name = m_request.spec->name;
  m_attempt_template.payload = std::move(m_request.request->payload);
  m_attempt_template.deadline = m_request.deadline;
  if (m_request.spec->shape == RequestShape::kFirstMatches) {
    m_attempt_template.row_limit = m_request.spec->matches;
  }
}

void Fanout::Start(Millis now) {
  m_request.trace->Add(now, "started on index version", -1, m_snapshot.version);
  Advance(now);
}

bool Fanout::CanResume(const FanoutServices& services,
                       Fingerprint fingerprint,
                       Millis now) {
  return services.attempts.CountInFlight(fingerprint) == 0 ||
         services.quarantine.Check(fingerprint, now) !=
             Quarantine::Verdict::kSuspect;
}

bool Fanout::TryRestart(Millis now) {
  const std::optional<Snapshot> snapshot = m_services.snapshots.Choose(index());
  if (!snapshot || snapshot->version <= m_snapshot.version ||
      remaining(now) <= m_request.estimated_latency * 0.5) {
    return false;
  }
  if (m_request.spec->shape == RequestShape::kOneServer &&
      snapshot->shard_count != 1) {
    return false;
  }
  m_request.trace->Add(now, "restarted on index version", -1,
                       snapshot->version);
  ++m_services.stats.fanout_restarts;
  CancelAllAttempts(now);
  // Drops the results of the earlier version: all results of an answer come
  // from one index version.
  m_snapshot = *snapshot;
  m_attempt_template.index_version = m_snapshot.version;
  m_coverage = Coverage(m_snapshot.shard_count);
  m_shards.clear();
  m_shards.resize(m_snapshot.shard_count);
  m_ready_count = m_snapshot.shard_count;
  m_row_count = 0;
  return true;
}

void Fanout::Advance(Millis now) {
  if (finished()) {
    return;
  }
  const bool enough_rows =
      m_request.spec->shape == RequestShape::kFirstMatches &&
      m_row_count >= m_request.spec->matches;
  if (enough_rows && m_coverage.covered() > 0) {
    m_coverage.MarkRestMissing(MissingReason::kNotNeeded, /*replace=*/true);
    Finish(now);
    return;
  }
  if (!m_coverage.AllSettled() && remaining(now) <= Millis(0)) {
    FinishAtDeadline(now);
    return;
  }
  SendReadyShards(now);
  if (!finished() && m_coverage.AllSettled()) {
    Finish(now);
  }
}

void Fanout::SendReadyShards(Millis now) {
  m_waits_for_other_attempt = false;
  while (m_ready_count > 0 && !finished() && !m_waits_for_other_attempt) {
    // Reads the size in each iteration, because a restart replaces m_shards.
    for (uint32_t shard = 0; shard < m_shards.size(); ++shard) {
      if (m_shards[shard].state != ShardState::kReadyToSend) {
        continue;
      }
      SendNextAttempt(shard, now);
      if (finished() || m_waits_for_other_attempt) {
        return;
      }
    }
  }
}

void Fanout::SendNextAttempt(uint32_t shard_number, Millis now) {
  const Quarantine::Verdict verdict =
      m_services.quarantine.Check(m_request.fingerprint, now);
  if (verdict == Quarantine::Verdict::kRefused) {
    FinishWithRefusal(
        ErrorCode::kQuarantined,
        "two backend servers were lost while they ran this request", now);
    return;
  }
  if (verdict == Quarantine::Verdict::kSuspect &&
      m_services.attempts.CountInFlight(m_request.fingerprint) > 0) {
    m_waits_for_other_attempt = true;
    return;
  }
  const std::optional<ReplicaId> replica = PickReplica(shard_number, now);
  if (!replica) {
    OnNoReplica(shard_number, now);
    return;
  }
  const AttemptRole role = m_shards[shard_number].attempts == 0
                               ? AttemptRole::kFirst
                               : AttemptRole::kRetry;
  Send(shard_number, *replica, role, now);
}

std::optional<ReplicaId> Fanout::PickReplica(uint32_t shard_number,
                                             Millis now) {
  const Shard& shard = m_shards[shard_number];
  PickRequest pick{.index = index(),
                   .version = m_snapshot.version,
                   .shard = shard_number,
                   .exclude = shard.tried_replicas,
                   .allow_over_limit = true};
  std::optional<ReplicaId> replica = m_services.selector.Pick(pick, now);
  if (!replica && shard.may_repeat_replica) {
    pick.exclude = shard.replicas_without_version;
    replica = m_services.selector.Pick(pick, now);
  }
  return replica;
}

bool Fanout::HasUntriedHolder(uint32_t shard_number) const {
  return std::ranges::any_of(
      m_services.table.Holders(index(), m_snapshot.version, shard_number),
      [&](const Replica* replica) {
        return !replica->leaving &&
               !Contains(m_shards[shard_number].tried_replicas,
                         replica->info.id);
      });
}

bool Fanout::IsVersionGone(uint32_t shard_number) const {
  const std::vector<ReplicaId>& known_without_version =
      m_shards[shard_number].replicas_without_version;
  const bool has_holder = std::ranges::any_of(
      m_services.table.Holders(index(), m_snapshot.version, shard_number),
      [&](const Replica* replica) {
        return !Contains(known_without_version, replica->info.id);
      });
  if (has_holder) {
    return false;
  }
  const std::optional<Snapshot> chosen = m_services.snapshots.Choose(index());
  return !known_without_version.empty() ||
         (chosen && chosen->version > m_snapshot.version);
}

void Fanout::OnNoReplica(uint32_t shard_number, Millis now) {
  const bool version_gone = IsVersionGone(shard_number);
  if (version_gone && TryRestart(now)) {
    return;
  }
  SettleAsMissing(
      shard_number,
      version_gone ? MissingReason::kVersionGone : MissingReason::kNoReplica,
      now);
}

void Fanout::Send(uint32_t shard_number,
                  const ReplicaId& replica,
                  AttemptRole role,
                  Millis now) {
  assert(!finished() && "no attempt is sent after the answer");
  assert(now < m_request.deadline && "no attempt is sent after the deadline");
  assert(
      (!m_request.at_most_once ||
       m_attempts_sent == m_attempts_proved_not_run) &&
      "an at-most-once attempt is repeated only if it proved not to have run");
  assert(!m_services.table.Find(replica)->leaving &&
         "a leaving backend server gets no new attempt");
  Shard& shard = m_shards[shard_number];
  if (shard.state == ShardState::kReadyToSend) {
    --m_ready_count;
  }
  shard.state = ShardState::kInFlight;
  shard.tried_replicas.push_back(replica);
  ++shard.attempts;
  ++m_attempts_sent;
  if (role == AttemptRole::kFirst) {
    ++m_services.stats.sub_requests;
    m_services.hedging.OnSubRequest(index());
    m_services.retrying.OnSubRequest(index());
  } else if (role == AttemptRole::kHedge) {
    ++m_services.stats.hedges;
  } else {
    ++m_services.stats.retries;
  }
  const AttemptId id =
      m_services.attempts.Open({.fanout = this,
                                .fingerprint = m_request.fingerprint,
                                .replica = replica,
                                .shard = shard_number,
                                .role = role,
                                .sent_at = now});
  shard.open_attempts.push_back(id);
  ArmHedgeTimer(shard, now);
  m_services.table.OnSent(replica, id, now);
  m_request.trace->Add(
      now, role == AttemptRole::kHedge ? "hedge sent" : "attempt sent",
      shard_number, id, replica);
  m_attempt_template.id = id;
  m_attempt_template.replica = replica;
  m_attempt_template.shard = shard_number;
  m_services.hooks.send_attempt(m_attempt_template);
}

void Fanout::ArmHedgeTimer(Shard& shard, Millis now) {
  shard.wake_at.reset();
  if (m_request.at_most_once || !m_request.spec->idempotent) {
    return;
  }
  if (const auto delay = m_services.hedging.HedgeDelay(index())) {
    SetShardTimer(shard, now + std::max(*delay, kMinHedgeDelay));
  }
}

void Fanout::MaybeSendHedge(uint32_t shard_number, Millis now) {
  Shard& shard = m_shards[shard_number];
  shard.wake_at.reset();
  if (shard.open_attempts.empty() ||
      shard.open_attempts.size() > kMaxOpenHedges ||
      m_services.quarantine.Check(m_request.fingerprint, now) !=
          Quarantine::Verdict::kClear) {
    return;
  }
  const std::optional<Millis> delay = m_services.hedging.HedgeDelay(index());
  const OpenAttempt* latest_attempt =
      m_services.attempts.Find(shard.open_attempts.back());
  // The hedge delay has grown since the timer was set, because other hedges
  // spent budget.
  if (delay && now < latest_attempt->sent_at + *delay) {
    SetShardTimer(shard, latest_attempt->sent_at + *delay);
    return;
  }
  const std::optional<ReplicaId> replica =
      m_services.selector.Pick({.index = index(),
                                .version = m_snapshot.version,
                                .shard = shard_number,
                                .exclude = shard.tried_replicas,
                                .allow_over_limit = false},
                               now);
  if (replica && TrySpendHedgeBudget(shard_number, now)) {
    Send(shard_number, *replica, AttemptRole::kHedge, now);
    return;
  }
  // Checks again soon: budget is credited and replicas become free.
  SetShardTimer(
      shard, now + std::max(kMinHedgeDelay,
                            delay.value_or(Millis(0)) * kHedgeRecheckFraction));
}

bool Fanout::TrySpendHedgeBudget(uint32_t shard_number, Millis now) {
  const auto capacity = m_services.selector.Capacity(
      index(), m_snapshot.version, shard_number, now);
  const double utilisation =
      capacity.limit == 0
          ? 1
          : std::min(1.0,
                     static_cast<double>(capacity.in_flight) / capacity.limit);
  const auto last_shed =
      m_services.last_shed_at.find({std::string(index()), shard_number});
  const bool recently_shed = last_shed != m_services.last_shed_at.end() &&
                             now - last_shed->second < kHedgePauseAfterShed;
  return m_services.hedging.TryHedge(index(), utilisation, recently_shed);
}

void Fanout::OnTimer(Millis now) {
  if (finished()) {
    return;
  }
  if (remaining(now) <= Millis(0)) {
    FinishAtDeadline(now);
    return;
  }
  for (uint32_t i = 0; i < m_shards.size(); ++i) {
    Shard& shard = m_shards[i];
    if (!shard.wake_at || *shard.wake_at > now) {
      continue;
    }
    if (shard.state == ShardState::kInFlight) {
      MaybeSendHedge(i, now);
    } else if (shard.state == ShardState::kBackoff) {
      shard.wake_at.reset();
      shard.state = ShardState::kReadyToSend;
      ++m_ready_count;
    }
  }
  m_next_timer = m_request.deadline;
  for (const Shard& shard : m_shards) {
    if (shard.wake_at) {
      m_next_timer = std::min(m_next_timer, *shard.wake_at);
    }
  }
  Advance(now);
}

void Fanout::Resume(Millis now) {
  Advance(now);
}

void Fanout::SetShardTimer(Shard& shard, Millis at) {
  shard.wake_at = at;
  m_next_timer = std::min(m_next_timer, at);
}

void Fanout::SettleAsMissing(uint32_t shard_number,
                             MissingReason reason,
                             Millis now) {
  Shard& shard = m_shards[shard_number];
  assert(shard.open_attempts.empty() && "a missing shard has no open attempt");
  if (shard.state == ShardState::kReadyToSend) {
    --m_ready_count;
  }
  shard.state = ShardState::kSettled;
  shard.wake_at.reset();
  m_coverage.MarkMissing(shard_number, reason);
  m_request.trace->Add(now, "shard missing", shard_number, 0, ToString(reason));
}

void Fanout::CancelOpenAttempts(Shard& shard, Millis now) {
  for (const AttemptId id : shard.open_attempts) {
    const OpenAttempt attempt = m_services.attempts.Close(id);
    m_services.table.OnCancelled(attempt.replica, id, now);
    m_request.trace->Add(now, "attempt cancelled", attempt.shard, id,
                         attempt.replica);
    m_services.hooks.cancel_attempt(id);
  }
  shard.open_attempts.clear();
  shard.wake_at.reset();
}

void Fanout::CancelAllAttempts(Millis now) {
  for (Shard& shard : m_shards) {
    CancelOpenAttempts(shard, now);
  }
}

}  // namespace tanagervane
