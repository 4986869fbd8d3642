// Updates the state of replicas from attempt and status events.

#include "tanagervane/routing/replica_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace tanagervane {
namespace {

// An attempt is overdue at the latest of three times: this multiple of the
// baseline latency, kOverdueDeviations mean deviations above the baseline
// latency, and kMinOverdueTime.
constexpr double kOverdueRatio = 3;
// With exponential service times, one attempt in twenty takes three times the
// baseline latency, and avoiding the replicas of all those overloads the
// others.
constexpr double kOverdueDeviations = 7;
// Covers pauses of the event loop.
constexpr Millis kMinOverdueTime(5);
// Used as the baseline latency before the first reply.
constexpr Millis kDefaultLatency(20);

// Time constant of the decay of `peak_latency`: 63% of an increase is gone
// after it.
constexpr Millis kPeakDecayTime(200);
// Bounds `peak_latency` after a slow reply to this multiple of the baseline
// latency. One reply in a hundred is slow, which predicts nothing about the
// next.
constexpr double kMaxPeakRatio = 3;
// The baseline latency falls faster than it rises, so that temporary queueing
// does not become part of it.
constexpr double kBaselineRiseWeight = 0.03;
constexpr double kBaselineFallWeight = 0.06;
// Latencies are clipped to this multiple of an average before they enter it.
constexpr double kMaxSampleRatio = 4;
constexpr double kDeviationWeight = 0.03;
constexpr double kIndexLatencyWeight = 0.01;

// Interval between probes of an avoided replica; doubles from the minimum to
// the maximum.
constexpr Millis kMinProbeInterval(50);
constexpr Millis kMaxProbeInterval(1000);

// Duration of avoidance after failures; doubles from the minimum to the
// maximum.
constexpr Millis kMinBackoff(100);
constexpr Millis kMaxBackoff(5000);
// The request may be the cause of a single server error, but not of several
// consecutive ones.
constexpr uint32_t kErrorsBeforeAvoidance = 3;
constexpr uint32_t kStatusFailuresBeforeAvoidance = 2;
// Two status intervals, so that the next failure extends the avoidance before
// it ends.
constexpr Millis kStatusAvoidanceTime(1000);
// A replica that replied within this time is up, even if status calls fail.
constexpr Millis kRecentReplyAge(500);

constexpr Millis kSlowStartDuration(4000);
constexpr double kSlowStartFraction = 0.2;

// The weight of reports falls quickly and recovers slowly, but one reply in a
// hundred that is slow by chance must not keep it low.
constexpr double kReportWeightDecay = 0.75;
constexpr double kReportWeightRecovery = 0.01;
constexpr Millis kMaxReportAge(1000);
constexpr double kContradictingLatencyRatio = 3;

Millis Backoff(Millis min_delay, Millis max_delay, uint32_t step) {
  return std::min(max_delay, min_delay * std::exp2(std::min(step, 16U)));
}

uint32_t TotalLoad(const ReportedLoad& load) {
  return load.in_flight + std::min(load.queued, UINT32_MAX - load.in_flight);
}

// Adjusts the weight of reports: lowers it when the latency of a reply
// contradicts the last report, raises it otherwise.
void UpdateReportWeight(Replica& replica,
                        Millis latency,
                        Millis index_latency,
                        Millis now) {
  if (now - replica.reported_at > kMaxReportAge || !replica.has_report ||
      index_latency <= Millis(0)) {
    return;
  }
  const uint32_t total_load = TotalLoad(replica.last_report);
  const uint32_t slots = std::max(replica.info.slots, 1U);
  // With more own attempts than slots, this entry itself causes the queueing.
  const bool own_queue = replica.in_flight.size() > slots;
  const bool idle_but_slow =
      total_load <= slots / 2 && !own_queue &&
      latency > index_latency * kContradictingLatencyRatio;
  const bool busy_but_fast =
      total_load >= 2 * slots && latency <= index_latency;
  if (idle_but_slow || busy_but_fast) {
    replica.report_weight *= kReportWeightDecay;
  } else {
    replica.report_weight +=
        (1 - replica.report_weight) * kReportWeightRecovery;
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
    // The server is reachable again: probe it now instead of after the backoff.
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
  replica->last_report = status.load;
  replica->reported_at = now;
  replica->has_report = true;
  replica->own_in_flight_at_report =
      static_cast<uint32_t>(replica->in_flight.size());
  return restarted;
}

void ReplicaTable::OnStatusFailed(const ReplicaId& id, Millis now) {
  Replica* replica = FindMutable(id);
  if (!replica ||
      (replica->last_reply && now - *replica->last_reply < kRecentReplyAge)) {
    return;
  }
  if (++replica->status_failures >= kStatusFailuresBeforeAvoidance) {
    replica->avoid_until =
        std::max(replica->avoid_until, now + kStatusAvoidanceTime);
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
    replica->probe_attempt = attempt;
    replica->next_probe_at = now + Backoff(kMinProbeInterval, kMaxProbeInterval,
                                           replica->probes_sent);
    ++replica->probes_sent;
  }
  replica->in_flight[attempt] = now;
  if (!replica->unanswered_since) {
    replica->unanswered_since = now;
  }
}

std::optional<Millis> ReplicaTable::RemoveAttempt(Replica& replica,
                                                  uint64_t attempt) {
  auto it = replica.in_flight.find(attempt);
  if (it == replica.in_flight.end()) {
    return std::nullopt;
  }
  const Millis sent_at = it->second;
  replica.in_flight.erase(it);
  if (replica.probe_attempt == attempt) {
    replica.probe_attempt.reset();
  }
  return sent_at;
}

namespace {

// Sets `unanswered_since`. An attempt sent before an answered one is slow but
// does not show that the replica stopped answering, so it does not count.
void UpdateUnansweredSince(Replica& replica) {
  replica.unanswered_since.reset();
  for (const auto& [attempt, sent_at] : replica.in_flight) {
    const bool overtaken = replica.last_answered_sent_at &&
                           sent_at < *replica.last_answered_sent_at;
    if (!overtaken &&
        (!replica.unanswered_since || sent_at < *replica.unanswered_since)) {
      replica.unanswered_since = sent_at;
    }
  }
}

}  // namespace

void ReplicaTable::RecordLatency(Replica& replica, Millis latency, Millis now) {
  auto [it, first] = m_index_latency.try_emplace(replica.info.index, latency);
  const Millis index_latency = it->second;
  if (!first) {
    const Millis clipped = std::min(latency, index_latency * kMaxSampleRatio);
    it->second += (clipped - index_latency) * kIndexLatencyWeight;
  }
  if (replica.replies == 0) {
    replica.peak_latency = latency;
    replica.baseline_latency = latency;
  } else {
    const Millis baseline = replica.baseline_latency;
    const Millis clipped = std::min(latency, baseline * kMaxSampleRatio);
    const Millis distance =
        clipped > baseline ? clipped - baseline : baseline - clipped;
    replica.mean_deviation +=
        (distance - replica.mean_deviation) * kDeviationWeight;
    replica.baseline_latency +=
        (clipped - baseline) *
        (clipped > baseline ? kBaselineRiseWeight : kBaselineFallWeight);
    const Millis peak_sample =
        std::min(latency, replica.baseline_latency * kMaxPeakRatio);
    const double decayed_fraction =
        1 - std::exp(-((now - replica.latency_updated_at) / kPeakDecayTime));
    const Millis decayed_peak =
        replica.peak_latency +
        (peak_sample - replica.peak_latency) * decayed_fraction;
    replica.peak_latency = std::max(peak_sample, decayed_peak);
  }
  replica.latency_updated_at = now;
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
  const std::optional<Millis> sent_at = RemoveAttempt(*replica, attempt);
  if (!sent_at) {
    return;
  }
  const Millis latency = now - *sent_at;
  UpdateReportWeight(*replica, latency, IndexLatency(replica->info.index), now);
  replica->limit.OnReply(in_flight, latency, replica->baseline_latency);
  RecordLatency(*replica, latency, now);
  ++replica->replies;
  replica->last_reply = now;
  replica->last_answered_sent_at =
      replica->last_answered_sent_at
          ? std::max(*replica->last_answered_sent_at, *sent_at)
          : *sent_at;
  UpdateUnansweredSince(*replica);
  replica->unresponsive = false;
  replica->disconnected = false;
  replica->avoid_until = Millis();
  replica->consecutive_failures = 0;
  replica->status_failures = 0;
  replica->probes_sent = 0;
  replica->next_probe_at = Millis();
  if (load) {
    replica->last_report = *load;
    replica->reported_at = now;
    replica->has_report = true;
    replica->own_in_flight_at_report =
        static_cast<uint32_t>(replica->in_flight.size());
  }
}

void ReplicaTable::OnUnansweredAttemptEnded(Replica& replica,
                                            Millis sent_at,
                                            Millis now) {
  const bool overtaken =
      replica.last_answered_sent_at && sent_at < *replica.last_answered_sent_at;
  if (!overtaken && now - sent_at > OverdueTime(replica)) {
    replica.unresponsive = true;
    replica.next_probe_at =
        std::max(replica.next_probe_at, now + kMinProbeInterval);
  }
  UpdateUnansweredSince(replica);
}

void ReplicaTable::OnFailure(const ReplicaId& id,
                             uint64_t attempt,
                             FailureKind kind,
                             Millis now) {
  Replica* replica = FindMutable(id);
  if (!replica) {
    return;
  }
  const std::optional<Millis> sent_at = RemoveAttempt(*replica, attempt);
  // The attempt is unknown because a new incarnation reset the replica.
  if (!sent_at) {
    return;
  }
  OnUnansweredAttemptEnded(*replica, *sent_at, now);
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
      // All attempts on a connection fail together. Only the first increases
      // the backoff.
      if (replica->avoid_until > now) {
        return;
      }
      ++replica->consecutive_failures;
      replica->disconnected = true;
      break;
  }
  // After the backoff, only one probe at a time is sent until a reply arrives.
  replica->unresponsive = true;
  replica->avoid_until = std::max(
      replica->avoid_until, now + Backoff(kMinBackoff, kMaxBackoff,
                                          replica->consecutive_failures - 1));
}

void ReplicaTable::OnCancelled(const ReplicaId& id,
                               uint64_t attempt,
                               Millis now) {
  Replica* replica = FindMutable(id);
  if (!replica) {
    return;
  }
  const std::optional<Millis> sent_at = RemoveAttempt(*replica, attempt);
  if (!sent_at) {
    return;
  }
  OnUnansweredAttemptEnded(*replica, *sent_at, now);
  // The attempt's age is a lower bound of its latency. Without this sample, a
  // slow replica whose attempts are all superseded by hedges would keep a low
  // latency estimate.
  if (replica->replies > 0 && now - *sent_at > replica->peak_latency) {
    RecordLatency(*replica, now - *sent_at, now);
  }
}

Millis ReplicaTable::OverdueTime(const Replica& replica) const {
  Millis baseline = replica.baseline_latency;
  if (replica.replies == 0) {
    baseline = std::max(IndexLatency(replica.info.index), kDefaultLatency);
  }
  return std::max({kMinOverdueTime, baseline * kOverdueRatio,
                   baseline + replica.mean_deviation * kOverdueDeviations});
}

bool ReplicaTable::IsOverdue(const Replica& replica, Millis now) const {
  return replica.unresponsive ||
         (replica.unanswered_since &&
          now - *replica.unanswered_since > OverdueTime(replica));
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

bool ReplicaTable::IsOverdueWithoutFailures(const Replica& replica,
                                            Millis now) const {
  return IsUsable(replica) && IsOverdue(replica, now) &&
         now >= replica.avoid_until && !replica.disconnected &&
         replica.consecutive_failures < kErrorsBeforeAvoidance;
}

bool ReplicaTable::CanProbe(const Replica& replica, Millis now) const {
  if (!IsUsable(replica) || !IsAvoided(replica, now) || replica.probe_attempt ||
      now < replica.next_probe_at || now < replica.avoid_until) {
    return false;
  }
  // Before a probe is sent, the overdue attempt in flight gets more time: its
  // reply shows as well that the replica answers again.
  return !replica.unanswered_since ||
         now - *replica.unanswered_since >
             OverdueTime(replica) + kMinProbeInterval;
}

uint32_t ReplicaTable::EffectiveLimit(const Replica& replica,
                                      Millis now) const {
  const uint32_t limit = replica.limit.limit();
  if (!m_options.slow_start || !replica.serving_since) {
    return limit;
  }
  const double age = (now - *replica.serving_since) / kSlowStartDuration;
  const double fraction =
      kSlowStartFraction + (1 - kSlowStartFraction) * std::clamp(age, 0.0, 1.0);
  return std::max(1U, static_cast<uint32_t>(limit * fraction));
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
    auto position =
        std::lower_bound(holders.replicas.begin(), holders.replicas.end(),
                         &replica, [](const Replica* a, const Replica* b) {
                           return a->info.id < b->info.id;
                         });
    if (position == holders.replicas.end() || *position != &replica) {
      holders.replicas.insert(position, &replica);
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
      for (const HeldVersion& other_held : other->status.versions) {
        if (other_held.index == held.index &&
            other_held.version == held.version &&
            other_held.shard == held.shard) {
          holders.shard_count =
              std::max(holders.shard_count, other_held.shard_count);
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
