// State of the replicas, fed by the events of attempts and status calls.

#include "tanagervane/routing/replica_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace tanagervane {
namespace {

// An attempt is overdue at this multiple of the usual latency...
constexpr double kOverdueRatio = 3;
// ...or at this many mean deviations above it, if that is later. With
// exponential service times, one attempt in twenty takes three times the usual
// latency, and avoiding their replicas overloads the others.
constexpr double kOverdueDeviations = 7;
// ...and not before this time, which covers pauses of the loop.
constexpr Millis kMinOverdue(5);
// Stands in for the usual latency before any reply is known.
constexpr Millis kDefaultLatency(20);

// Time in which `latency` forgets 63% of an increase.
constexpr Millis kLatencyMemory(200);
// A single slow reply raises `latency` to at most this multiple of the usual
// one: one reply in a hundred is slow without saying anything of the next.
constexpr double kMaxJump = 3;
// The usual latency falls faster than it rises, so that queueing, which comes
// and goes, does not become the norm.
constexpr double kUsualRise = 0.03;
constexpr double kUsualFall = 0.06;
constexpr double kUsualMaxRatio = 4;
constexpr double kDeviationWeight = 0.03;
constexpr double kIndexWeight = 0.01;

// Probes of an avoided replica: the first one soon, then less often.
constexpr Millis kFirstProbe(50);
constexpr Millis kMaxProbeInterval(1000);

// Avoidance after failures doubles from the first to the last value.
constexpr Millis kFirstBackoff(100);
constexpr Millis kMaxBackoff(5000);
// A server error may be the request's fault, a run of them is not.
constexpr uint32_t kErrorsBeforeAvoidance = 3;
constexpr uint32_t kStatusFailuresBeforeAvoidance = 2;
// Two status intervals: a further failure renews it in time.
constexpr Millis kStatusAvoidance(1000);
// A replica that answered within this time is up, whatever status says.
constexpr Millis kRecentReply(500);

constexpr Millis kSlowStart(4000);
constexpr double kSlowStartShare = 0.2;

// Trust is lost quickly and comes back slowly, but outlasts the one reply in
// a hundred that is slow by chance.
constexpr double kTrustLoss = 0.75;
constexpr double kTrustGain = 0.01;
constexpr Millis kReportFresh(1000);
constexpr double kContradictingSlowness = 3;

Millis Backoff(Millis first, Millis last, uint32_t step) {
  return std::min(last, first * std::exp2(std::min(step, 16U)));
}

uint32_t Total(const ReportedLoad& load) {
  return load.in_flight + std::min(load.queued, UINT32_MAX - load.in_flight);
}

// Compares the last report with what a reply just showed.
void UpdateTrust(Replica& replica,
                 Millis latency,
                 Millis index_latency,
                 Millis now) {
  if (now - replica.reported_at > kReportFresh || !replica.has_report ||
      index_latency <= Millis(0)) {
    return;
  }
  const uint32_t total = Total(replica.reported);
  const uint32_t slots = std::max(replica.info.slots, 1U);
  // With more own attempts than slots the wait is of this entry's making.
  const bool own_queue = replica.in_flight.size() > slots;
  const bool idle_but_slow = total <= slots / 2 && !own_queue &&
                             latency > index_latency * kContradictingSlowness;
  const bool busy_but_fast = total >= 2 * slots && latency <= index_latency;
  if (idle_but_slow || busy_but_fast) {
    replica.report_trust *= kTrustLoss;
  } else {
    replica.report_trust += (1 - replica.report_trust) * kTrustGain;
  }
}

}  // namespace

Replica* ReplicaTable::FindMutable(const ReplicaId& id) {
  auto it = m_replicas.find(id);
  return it == m_replicas.end() ? nullptr : &it->second;
}

const Replica* ReplicaTable::Find(const ReplicaId& id) const {
  auto it = m_replicas.find(id);
  return it == m_replicas.end() ? nullptr : &it->second;
}

void ReplicaTable::Upsert(const ReplicaInfo& info, Millis now) {
  auto [it, inserted] = m_replicas.try_emplace(info.id);
  Replica& replica = it->second;
  if (inserted) {
    replica.first_seen = now;
  }
  if (inserted || replica.info.slots != info.slots) {
    replica.limit = ConcurrencyLimit(info.slots);
  }
  replica.info = info;
}

void ReplicaTable::SetLeaving(const ReplicaId& id) {
  if (Replica* replica = FindMutable(id)) {
    replica->leaving = true;
  }
}

void ReplicaTable::Remove(const ReplicaId& id) {
  if (auto it = m_replicas.find(id); it != m_replicas.end()) {
    RemoveFromHolders(it->second);
    m_replicas.erase(it);
  }
}

bool ReplicaTable::OnStatus(const ReplicaId& id,
                            const ReplicaStatus& status,
                            Millis now) {
  Replica* replica = FindMutable(id);
  if (!replica) {
    return false;
  }
  const bool restarted =
      replica->has_status && replica->status.incarnation != status.incarnation;
  if (restarted) {
    RemoveFromHolders(*replica);
    const ReplicaInfo info = replica->info;
    *replica = Replica();
    replica->info = info;
    replica->first_seen = now;
    replica->limit = ConcurrencyLimit(info.slots);
  }
  replica->has_status = true;
  replica->status_failures = 0;
  if (replica->disconnected) {
    // The server can be reached again: probe it now, not after the backoff.
    replica->disconnected = false;
    replica->avoid_until = std::min(replica->avoid_until, now);
  }
  if (replica->status.versions != status.versions) {
    RemoveFromHolders(*replica);
    replica->status = status;
    AddToHolders(*replica);
  } else {
    replica->status.incarnation = status.incarnation;
    replica->status.state = status.state;
    replica->status.load = status.load;
  }
  replica->leaving |= status.state == ServerState::kDraining;
  if (status.state == ServerState::kServing && !replica->serving_since) {
    replica->serving_since = now;
  }
  replica->reported = status.load;
  replica->reported_at = now;
  replica->has_report = true;
  replica->own_at_report = static_cast<uint32_t>(replica->in_flight.size());
  return restarted;
}

void ReplicaTable::OnStatusFailed(const ReplicaId& id, Millis now) {
  Replica* replica = FindMutable(id);
  if (!replica ||
      (replica->last_reply && now - *replica->last_reply < kRecentReply)) {
    return;
  }
  if (++replica->status_failures >= kStatusFailuresBeforeAvoidance) {
    replica->avoid_until =
        std::max(replica->avoid_until, now + kStatusAvoidance);
    replica->disconnected = true;
    replica->unresponsive = true;
  }
}

void ReplicaTable::OnSent(const ReplicaId& id, uint64_t attempt, Millis now) {
  Replica* replica = FindMutable(id);
  if (!replica) {
    return;
  }
  if (IsAvoided(*replica, now)) {
    replica->probe = attempt;
    replica->next_probe =
        now + Backoff(kFirstProbe, kMaxProbeInterval, replica->probes_sent);
    ++replica->probes_sent;
  }
  replica->in_flight[attempt] = now;
  if (!replica->waiting_since) {
    replica->waiting_since = now;
  }
}

std::optional<Millis> ReplicaTable::TakeAttempt(Replica& replica,
                                                uint64_t attempt) {
  auto it = replica.in_flight.find(attempt);
  if (it == replica.in_flight.end()) {
    return std::nullopt;
  }
  const Millis sent = it->second;
  replica.in_flight.erase(it);
  if (replica.probe == attempt) {
    replica.probe.reset();
  }
  return sent;
}

namespace {

// Attempts that a later one overtook say nothing about whether the replica
// answers, so they do not count as waiting.
void UpdateWaiting(Replica& replica) {
  replica.waiting_since.reset();
  for (const auto& [attempt, sent] : replica.in_flight) {
    const bool overtaken =
        replica.answered_sent && sent < *replica.answered_sent;
    if (!overtaken &&
        (!replica.waiting_since || sent < *replica.waiting_since)) {
      replica.waiting_since = sent;
    }
  }
}

}  // namespace

void ReplicaTable::RecordLatency(Replica& replica, Millis latency, Millis now) {
  auto [it, first] = m_index_latency.try_emplace(replica.info.index, latency);
  const Millis index_latency = it->second;
  if (!first) {
    const Millis bounded = std::min(latency, index_latency * kUsualMaxRatio);
    it->second += (bounded - index_latency) * kIndexWeight;
  }
  if (replica.replies == 0) {
    replica.latency = latency;
    replica.usual_latency = latency;
  } else {
    const Millis usual = replica.usual_latency;
    const Millis bounded = std::min(latency, usual * kUsualMaxRatio);
    const Millis distance = bounded > usual ? bounded - usual : usual - bounded;
    replica.deviation += (distance - replica.deviation) * kDeviationWeight;
    replica.usual_latency +=
        (bounded - usual) * (bounded > usual ? kUsualRise : kUsualFall);
    const Millis peak = std::min(latency, replica.usual_latency * kMaxJump);
    const double forgotten =
        1 - std::exp(-((now - replica.latency_updated) / kLatencyMemory));
    const Millis faded = replica.latency + (peak - replica.latency) * forgotten;
    replica.latency = std::max(peak, faded);
  }
  replica.latency_updated = now;
}

void ReplicaTable::OnReply(const ReplicaId& id,
                           uint64_t attempt,
                           std::optional<ReportedLoad> load,
                           Millis now) {
  Replica* replica = FindMutable(id);
  if (!replica) {
    return;
  }
  const auto in_flight = static_cast<uint32_t>(replica->in_flight.size());
  const std::optional<Millis> sent = TakeAttempt(*replica, attempt);
  if (!sent) {
    return;
  }
  const Millis latency = now - *sent;
  UpdateTrust(*replica, latency, IndexLatency(replica->info.index), now);
  replica->limit.OnReply(in_flight, latency, replica->usual_latency);
  RecordLatency(*replica, latency, now);
  ++replica->replies;
  replica->last_reply = now;
  replica->answered_sent =
      replica->answered_sent ? std::max(*replica->answered_sent, *sent) : *sent;
  UpdateWaiting(*replica);
  replica->unresponsive = false;
  replica->disconnected = false;
  replica->avoid_until = Millis();
  replica->consecutive_failures = 0;
  replica->status_failures = 0;
  replica->probes_sent = 0;
  replica->next_probe = Millis();
  if (load) {
    replica->reported = *load;
    replica->reported_at = now;
    replica->has_report = true;
    replica->own_at_report = static_cast<uint32_t>(replica->in_flight.size());
  }
}

void ReplicaTable::EndUnanswered(Replica& replica, Millis sent, Millis now) {
  const bool overtaken = replica.answered_sent && sent < *replica.answered_sent;
  if (!overtaken && now - sent > OverdueAfter(replica)) {
    replica.unresponsive = true;
    replica.next_probe = std::max(replica.next_probe, now + kFirstProbe);
  }
  UpdateWaiting(replica);
}

void ReplicaTable::OnFailure(const ReplicaId& id,
                             uint64_t attempt,
                             FailureKind kind,
                             Millis now) {
  Replica* replica = FindMutable(id);
  if (!replica) {
    return;
  }
  const std::optional<Millis> sent = TakeAttempt(*replica, attempt);
  // An unknown attempt belonged to an earlier incarnation.
  if (!sent) {
    return;
  }
  EndUnanswered(*replica, *sent, now);
  switch (kind) {
    case FailureKind::kDraining:
      replica->leaving = true;
      return;
    case FailureKind::kShed:
      replica->limit.OnShed(now);
      replica->last_shed = now;
      replica->unresponsive = false;
      return;
    case FailureKind::kVersionGone:
      replica->unresponsive = false;
      return;
    case FailureKind::kTimedOut:
      return;
    case FailureKind::kServerError:
    case FailureKind::kCorruptReply:
      if (++replica->consecutive_failures < kErrorsBeforeAvoidance) {
        return;
      }
      break;
    case FailureKind::kConnectFailed:
    case FailureKind::kConnectionLost:
    case FailureKind::kNewConnectionLost:
      // All attempts on a connection fail together: one event, one step.
      if (replica->avoid_until > now) {
        return;
      }
      ++replica->consecutive_failures;
      replica->disconnected = true;
      break;
  }
  // After the backoff one attempt at a time shows whether it works again.
  replica->unresponsive = true;
  replica->avoid_until = std::max(
      replica->avoid_until, now + Backoff(kFirstBackoff, kMaxBackoff,
                                          replica->consecutive_failures - 1));
}

void ReplicaTable::OnCancelled(const ReplicaId& id,
                               uint64_t attempt,
                               Millis now) {
  Replica* replica = FindMutable(id);
  if (!replica) {
    return;
  }
  const std::optional<Millis> sent = TakeAttempt(*replica, attempt);
  if (!sent) {
    return;
  }
  EndUnanswered(*replica, *sent, now);
  // The age is a lower bound of the latency. Without it a slow replica whose
  // attempts are all overtaken by hedges would keep its good figures.
  if (replica->replies > 0 && now - *sent > replica->latency) {
    RecordLatency(*replica, now - *sent, now);
  }
}

Millis ReplicaTable::OverdueAfter(const Replica& replica) const {
  Millis usual = replica.usual_latency;
  if (replica.replies == 0) {
    usual = std::max(IndexLatency(replica.info.index), kDefaultLatency);
  }
  return std::max({kMinOverdue, usual * kOverdueRatio,
                   usual + replica.deviation * kOverdueDeviations});
}

bool ReplicaTable::IsOverdue(const Replica& replica, Millis now) const {
  return replica.unresponsive ||
         (replica.waiting_since &&
          now - *replica.waiting_since > OverdueAfter(replica));
}

bool ReplicaTable::IsAvoided(const Replica& replica, Millis now) const {
  return m_options.avoidance &&
         (now < replica.avoid_until || IsOverdue(replica, now));
}

bool ReplicaTable::IsUsable(const Replica& replica) const {
  return replica.has_status && !replica.leaving &&
         replica.status.state == ServerState::kServing;
}

bool ReplicaTable::IsEligible(const Replica& replica, Millis now) const {
  return IsUsable(replica) && !IsAvoided(replica, now);
}

bool ReplicaTable::IsMerelyOverdue(const Replica& replica, Millis now) const {
  return IsUsable(replica) && IsOverdue(replica, now) &&
         now >= replica.avoid_until && !replica.disconnected &&
         replica.consecutive_failures < kErrorsBeforeAvoidance;
}

bool ReplicaTable::MayProbe(const Replica& replica, Millis now) const {
  if (!IsUsable(replica) || !IsAvoided(replica, now) || replica.probe ||
      now < replica.next_probe || now < replica.avoid_until) {
    return false;
  }
  // For a while the overdue attempt itself shows when the replica answers.
  return !replica.waiting_since ||
         now - *replica.waiting_since > OverdueAfter(replica) + kFirstProbe;
}

uint32_t ReplicaTable::EffectiveLimit(const Replica& replica,
                                      Millis now) const {
  const uint32_t limit = replica.limit.limit();
  if (!m_options.slow_start || !replica.serving_since) {
    return limit;
  }
  const double age = (now - *replica.serving_since) / kSlowStart;
  const double share =
      kSlowStartShare + (1 - kSlowStartShare) * std::clamp(age, 0.0, 1.0);
  return std::max(1U, static_cast<uint32_t>(limit * share));
}

Millis ReplicaTable::IndexLatency(std::string_view index) const {
  auto it = m_index_latency.find(index);
  return it == m_index_latency.end() ? Millis() : it->second;
}

void ReplicaTable::AddToHolders(const Replica& replica) {
  for (const HeldVersion& held : replica.status.versions) {
    if (held.shard >= held.shard_count) {
      continue;
    }
    ShardHolders& holders =
        m_holders[ShardKey{held.index, held.version, held.shard}];
    auto at =
        std::lower_bound(holders.replicas.begin(), holders.replicas.end(),
                         &replica, [](const Replica* a, const Replica* b) {
                           return a->info.id < b->info.id;
                         });
    if (at == holders.replicas.end() || *at != &replica) {
      holders.replicas.insert(at, &replica);
    }
    holders.shard_count = std::max(holders.shard_count, held.shard_count);
  }
}

void ReplicaTable::RemoveFromHolders(const Replica& replica) {
  for (const HeldVersion& held : replica.status.versions) {
    auto it =
        m_holders.find(ShardKeyView(held.index, held.version, held.shard));
    if (it == m_holders.end()) {
      continue;
    }
    ShardHolders& holders = it->second;
    std::erase(holders.replicas, &replica);
    if (holders.replicas.empty()) {
      m_holders.erase(it);
      continue;
    }
    holders.shard_count = 0;
    for (const Replica* other : holders.replicas) {
      for (const HeldVersion& same : other->status.versions) {
        if (same.index == held.index && same.version == held.version &&
            same.shard == held.shard) {
          holders.shard_count = std::max(holders.shard_count, same.shard_count);
        }
      }
    }
  }
}

std::span<const Replica* const> ReplicaTable::Holders(std::string_view index,
                                                      uint64_t version,
                                                      uint32_t shard) const {
  auto it = m_holders.find(ShardKeyView(index, version, shard));
  if (it == m_holders.end()) {
    return {};
  }
  return it->second.replicas;
}

std::vector<ReplicaTable::KnownVersion> ReplicaTable::Versions(
    std::string_view index) const {
  std::vector<KnownVersion> versions;
  for (auto it = m_holders.lower_bound(ShardKeyView(index, 0, 0));
       it != m_holders.end() && it->first.index == index; ++it) {
    if (versions.empty() || versions.back().version != it->first.version) {
      versions.push_back({it->first.version, 0});
    }
    versions.back().shard_count =
        std::max(versions.back().shard_count, it->second.shard_count);
  }
  std::reverse(versions.begin(), versions.end());
  return versions;
}

void ReplicaTable::ForEach(
    const std::function<void(const Replica&)>& visit) const {
  for (const auto& [id, replica] : m_replicas) {
    visit(replica);
  }
}

}  // namespace tanagervane
