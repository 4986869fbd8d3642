// One request's shards and attempts.

#include "tanagervane/query/fanout.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tanagervane {

namespace {

/// How long a replica's shedding keeps hedges away from its shard.
constexpr Millis kShedMemory{1000};

/// Keeps a hedge timer from being due at once when the observed latency is
/// almost zero.
constexpr Millis kSmallestHedgeDelay{0.2};

/// Hedges open at the same time for a shard. One alone may meet a slow reply
/// or a replica that has just frozen, as the first attempt did.
constexpr size_t kMaxHedges = 2;

/// A refused hedge is tried again after this share of the hedge delay.
constexpr double kHedgeRecheck = 0.25;

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
      m_ready(snapshot.shard_count),
      m_next_timer(m_request.deadline) {
  m_attempt.request_id = m_request.request->id;
  m_attempt.index = m_request.spec->index;
  m_attempt.index_version = m_snapshot.version;
  m_attempt.class_name = m_request.spec->name;
  m_attempt.payload = std::move(m_request.request->payload);
  m_attempt.deadline = m_request.deadline;
  if (m_request.spec->shape == RequestShape::kFirstMatches) {
    m_attempt.row_limit = m_request.spec->matches;
  }
}

void Fanout::Start(Millis now) {
  m_request.trace->Add(now, "started on index version", -1, m_snapshot.version);
  Advance(now);
}

bool Fanout::MayRun(const FanoutServices& services,
                    Fingerprint fingerprint,
                    Millis now) {
  return services.attempts.InFlight(fingerprint) == 0 ||
         services.quarantine.Check(fingerprint, now) !=
             Quarantine::Verdict::kSuspect;
}

bool Fanout::Restart(Millis now) {
  const std::optional<Snapshot> snapshot = m_services.snapshots.Choose(index());
  if (!snapshot || snapshot->version <= m_snapshot.version ||
      remaining(now) <= m_request.usual_latency * 0.5) {
    return false;
  }
  if (m_request.spec->shape == RequestShape::kOneServer &&
      snapshot->shard_count != 1) {
    return false;
  }
  m_request.trace->Add(now, "restarted on index version", -1,
                       snapshot->version);
  ++m_services.stats.restarts;
  CancelAll(now);
  // Results of the earlier version are dropped: an answer reflects one
  // snapshot.
  m_snapshot = *snapshot;
  m_attempt.index_version = m_snapshot.version;
  m_coverage = Coverage(m_snapshot.shard_count);
  m_shards.clear();
  m_shards.resize(m_snapshot.shard_count);
  m_ready = m_snapshot.shard_count;
  m_rows = 0;
  return true;
}

void Fanout::Advance(Millis now) {
  if (finished()) {
    return;
  }
  const bool enough_rows =
      m_request.spec->shape == RequestShape::kFirstMatches &&
      m_rows >= m_request.spec->matches;
  if (enough_rows && m_coverage.covered() > 0) {
    m_coverage.MissRest(MissingReason::kNotNeeded, /*replace=*/true);
    Finish(now);
    return;
  }
  if (!m_coverage.AllSettled() && remaining(now) <= Millis(0)) {
    Expire(now);
    return;
  }
  SendReady(now);
  if (!finished() && m_coverage.AllSettled()) {
    Finish(now);
  }
}

void Fanout::SendReady(Millis now) {
  m_waits_for_turn = false;
  while (m_ready > 0 && !finished() && !m_waits_for_turn) {
    // A restart replaces m_shards, so the size is read anew each time.
    for (uint32_t shard = 0; shard < m_shards.size(); ++shard) {
      if (m_shards[shard].state != ShardState::kReady) {
        continue;
      }
      SendNext(shard, now);
      if (finished() || m_waits_for_turn) {
        return;
      }
    }
  }
}

void Fanout::SendNext(uint32_t index_of_shard, Millis now) {
  const Quarantine::Verdict verdict =
      m_services.quarantine.Check(m_request.fingerprint, now);
  if (verdict == Quarantine::Verdict::kRefused) {
    Refuse(ErrorCode::kQuarantined,
           "two backend servers were lost while they ran this request", now);
    return;
  }
  if (verdict == Quarantine::Verdict::kSuspect &&
      m_services.attempts.InFlight(m_request.fingerprint) > 0) {
    m_waits_for_turn = true;
    return;
  }
  const std::optional<ReplicaId> replica = PickReplica(index_of_shard, now);
  if (!replica) {
    OnNoReplica(index_of_shard, now);
    return;
  }
  const AttemptRole role = m_shards[index_of_shard].attempts == 0
                               ? AttemptRole::kFirst
                               : AttemptRole::kRetry;
  Send(index_of_shard, *replica, role, now);
}

std::optional<ReplicaId> Fanout::PickReplica(uint32_t index_of_shard,
                                             Millis now) {
  const Shard& shard = m_shards[index_of_shard];
  PickRequest pick{.index = index(),
                   .version = m_snapshot.version,
                   .shard = index_of_shard,
                   .exclude = shard.tried,
                   .allow_over_limit = true};
  std::optional<ReplicaId> replica = m_services.selector.Pick(pick, now);
  if (!replica && shard.may_repeat_replica) {
    pick.exclude = shard.without_version;
    replica = m_services.selector.Pick(pick, now);
  }
  return replica;
}

bool Fanout::HasUntriedHolder(uint32_t index_of_shard) const {
  return std::ranges::any_of(
      m_services.table.Holders(index(), m_snapshot.version, index_of_shard),
      [&](const Replica* replica) {
        return !replica->leaving &&
               !Contains(m_shards[index_of_shard].tried, replica->info.id);
      });
}

bool Fanout::VersionIsGone(uint32_t index_of_shard) const {
  const std::vector<ReplicaId>& without =
      m_shards[index_of_shard].without_version;
  const bool held = std::ranges::any_of(
      m_services.table.Holders(index(), m_snapshot.version, index_of_shard),
      [&](const Replica* replica) {
        return !Contains(without, replica->info.id);
      });
  if (held) {
    return false;
  }
  const std::optional<Snapshot> chosen = m_services.snapshots.Choose(index());
  return !without.empty() || (chosen && chosen->version > m_snapshot.version);
}

void Fanout::OnNoReplica(uint32_t index_of_shard, Millis now) {
  const bool gone = VersionIsGone(index_of_shard);
  if (gone && Restart(now)) {
    return;
  }
  Miss(index_of_shard,
       gone ? MissingReason::kVersionGone : MissingReason::kNoReplica, now);
}

void Fanout::Send(uint32_t index_of_shard,
                  const ReplicaId& replica,
                  AttemptRole role,
                  Millis now) {
  assert(!finished() && "nothing is sent after the answer");
  assert(now < m_request.deadline && "nothing is sent after the deadline");
  assert((!m_request.once || m_sent == m_proved_not_run) &&
         "a once-only attempt is repeated only when proven not run");
  assert(!m_services.table.Find(replica)->leaving &&
         "a leaving backend server gets no new work");
  Shard& shard = m_shards[index_of_shard];
  if (shard.state == ShardState::kReady) {
    --m_ready;
  }
  shard.state = ShardState::kOpen;
  shard.tried.push_back(replica);
  ++shard.attempts;
  ++m_sent;
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
                                .shard = index_of_shard,
                                .role = role,
                                .sent_at = now});
  shard.open.push_back(id);
  ArmHedge(shard, now);
  m_services.table.OnSent(replica, id, now);
  m_request.trace->Add(
      now, role == AttemptRole::kHedge ? "hedge sent" : "attempt sent",
      index_of_shard, id, replica);
  m_attempt.id = id;
  m_attempt.replica = replica;
  m_attempt.shard = index_of_shard;
  m_services.hooks.send_attempt(m_attempt);
}

void Fanout::ArmHedge(Shard& shard, Millis now) {
  shard.wake.reset();
  if (m_request.once || !m_request.spec->idempotent) {
    return;
  }
  if (const auto delay = m_services.hedging.Delay(index())) {
    WakeAt(shard, now + std::max(*delay, kSmallestHedgeDelay));
  }
}

void Fanout::Hedge(uint32_t index_of_shard, Millis now) {
  Shard& shard = m_shards[index_of_shard];
  shard.wake.reset();
  if (shard.open.empty() || shard.open.size() > kMaxHedges ||
      m_services.quarantine.Check(m_request.fingerprint, now) !=
          Quarantine::Verdict::kClear) {
    return;
  }
  const std::optional<Millis> delay = m_services.hedging.Delay(index());
  const OpenAttempt* open = m_services.attempts.Find(shard.open.back());
  // The delay has grown since it was set: others have spent the budget.
  if (delay && now < open->sent_at + *delay) {
    WakeAt(shard, open->sent_at + *delay);
    return;
  }
  const std::optional<ReplicaId> replica =
      m_services.selector.Pick({.index = index(),
                                .version = m_snapshot.version,
                                .shard = index_of_shard,
                                .exclude = shard.tried,
                                .allow_over_limit = false},
                               now);
  if (replica && TakeHedgeBudget(index_of_shard, now)) {
    Send(index_of_shard, *replica, AttemptRole::kHedge, now);
    return;
  }
  // Budget and capacity may be back soon.
  WakeAt(shard, now + std::max(kSmallestHedgeDelay,
                               delay.value_or(Millis(0)) * kHedgeRecheck));
}

bool Fanout::TakeHedgeBudget(uint32_t index_of_shard, Millis now) {
  const auto capacity = m_services.selector.Capacity(
      index(), m_snapshot.version, index_of_shard, now);
  const double utilisation =
      capacity.limit == 0
          ? 1
          : std::min(1.0,
                     static_cast<double>(capacity.in_flight) / capacity.limit);
  const auto shed =
      m_services.last_shed.find({std::string(index()), index_of_shard});
  const bool recently_shed =
      shed != m_services.last_shed.end() && now - shed->second < kShedMemory;
  return m_services.hedging.TryHedge(index(), utilisation, recently_shed);
}

void Fanout::OnTimer(Millis now) {
  if (finished()) {
    return;
  }
  if (remaining(now) <= Millis(0)) {
    Expire(now);
    return;
  }
  for (uint32_t i = 0; i < m_shards.size(); ++i) {
    Shard& shard = m_shards[i];
    if (!shard.wake || *shard.wake > now) {
      continue;
    }
    if (shard.state == ShardState::kOpen) {
      Hedge(i, now);
    } else if (shard.state == ShardState::kBackoff) {
      shard.wake.reset();
      shard.state = ShardState::kReady;
      ++m_ready;
    }
  }
  m_next_timer = m_request.deadline;
  for (const Shard& shard : m_shards) {
    if (shard.wake) {
      m_next_timer = std::min(m_next_timer, *shard.wake);
    }
  }
  Advance(now);
}

void Fanout::Resume(Millis now) {
  Advance(now);
}

void Fanout::WakeAt(Shard& shard, Millis at) {
  shard.wake = at;
  m_next_timer = std::min(m_next_timer, at);
}

void Fanout::Miss(uint32_t index_of_shard, MissingReason reason, Millis now) {
  Shard& shard = m_shards[index_of_shard];
  assert(shard.open.empty() && "a missing shard has no open attempt");
  if (shard.state == ShardState::kReady) {
    --m_ready;
  }
  shard.state = ShardState::kSettled;
  shard.wake.reset();
  m_coverage.Miss(index_of_shard, reason);
  m_request.trace->Add(now, "shard missing", index_of_shard, 0,
                       ToString(reason));
}

void Fanout::CancelOpen(Shard& shard, Millis now) {
  for (const AttemptId id : shard.open) {
    const OpenAttempt attempt = m_services.attempts.Close(id);
    m_services.table.OnCancelled(attempt.replica, id, now);
    m_request.trace->Add(now, "attempt cancelled", attempt.shard, id,
                         attempt.replica);
    m_services.hooks.cancel_attempt(id);
  }
  shard.open.clear();
  shard.wake.reset();
}

void Fanout::CancelAll(Millis now) {
  for (Shard& shard : m_shards) {
    CancelOpen(shard, now);
  }
}

}  // namespace tanagervane
