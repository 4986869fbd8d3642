// Replica selection by lowest expected wait, and the policies used for
// comparison in experiments.

#include "tanagervane/routing/replica_selector.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace tanagervane {
namespace {

// Up to this many candidates are all compared. Of more, a random sample is.
constexpr size_t kMaxFullComparison = 4;
// About the one-way latency between data centres (0.5 to 1.5 ms). A replica in
// another data centre is chosen only when its score is better by more than
// this.
constexpr Millis kLocalMargin(1);
constexpr Millis kReportHalfLife(500);
// Bounds the effect of a report. A replica that wrongly reports a huge load is
// still chosen occasionally, so that its replies can disprove the report.
constexpr double kMaxReportedLoadPerSlot = 2;
// Assumed latency before the first reply of any replica of the index.
constexpr Millis kDefaultLatency(5);
constexpr Millis kPeakDecayTime(200);
// The baseline latency of an idle replica converges to the index latency, so
// that the replica is tried again.
constexpr Millis kIdleHalfLife(5000);
// A recently shed attempt multiplies the score by up to 1 + kShedPenalty. The
// effect decays with kShedDecayTime.
constexpr double kShedPenalty = 2;
constexpr Millis kShedDecayTime(200);

}  // namespace

ReplicaSelector::ReplicaSelector(const ReplicaTable& table,
                                 PolicyOptions options,
                                 std::string data_centre,
                                 uint64_t seed)
    : m_table(table),
      m_options(options),
      m_data_centre(std::move(data_centre)),
      m_random(seed) {}

bool ReplicaSelector::IsLocal(const Replica& replica) const {
  return replica.info.data_centre == m_data_centre;
}

Millis ReplicaSelector::ExpectedWait(const Replica& replica, Millis now) const {
  const Millis index_latency = m_table.IndexLatency(replica.info.index);
  Millis latency = index_latency > Millis(0) ? index_latency : kDefaultLatency;
  if (replica.replies > 0) {
    const double idle =
        std::max(0.0, (now - replica.latency_updated_at).count());
    const Millis baseline =
        latency + (replica.baseline_latency - latency) *
                      std::exp2(-idle / kIdleHalfLife.count());
    latency = baseline + (replica.peak_latency - replica.baseline_latency) *
                             std::exp(-idle / kPeakDecayTime.count());
  }
  // An unanswered attempt proves a latency of at least its age.
  if (replica.unanswered_since) {
    latency = std::max(latency, now - *replica.unanswered_since);
  }
  if (replica.last_shed) {
    latency =
        latency * (1 + kShedPenalty * std::exp(-((now - *replica.last_shed) /
                                                 kShedDecayTime)));
  }
  const double slots = std::max(replica.info.slots, 1U);
  auto load = static_cast<double>(replica.in_flight.size());
  if (m_options.reported_load && replica.has_report) {
    const double other_load = std::max(
        0.0, static_cast<double>(replica.last_report.in_flight) +
                 replica.last_report.queued - replica.own_in_flight_at_report);
    const double weight = replica.report_weight *
                          std::exp2(-std::max(0.0, (now - replica.reported_at) /
                                                       kReportHalfLife));
    load += std::min(other_load, kMaxReportedLoadPerSlot * slots) * weight;
  }
  return latency * (1 + load / slots);
}

std::optional<ReplicaId> ReplicaSelector::Pick(const PickRequest& request,
                                               Millis now) {
  // Only first attempts probe: a hedge or retry needs a replica that is likely
  // to answer.
  if (request.exclude.empty()) {
    if (std::optional<ReplicaId> probe = PickProbe(request, now)) {
      return probe;
    }
  }
  CollectCandidates(request, now);
  if (m_candidates.empty()) {
    return PickProbe(request, now);
  }
  return Choose(request, now)->info.id;
}

std::optional<ReplicaId> ReplicaSelector::PickProbe(const PickRequest& request,
                                                    Millis now) {
  for (const Replica* replica :
       m_table.Holders(request.index, request.version, request.shard)) {
    if (m_table.CanProbe(*replica, now) &&
        std::ranges::find(request.exclude, replica->info.id) ==
            request.exclude.end()) {
      return replica->info.id;
    }
  }
  return std::nullopt;
}

void ReplicaSelector::CollectCandidates(const PickRequest& request,
                                        Millis now) {
  const auto holders =
      m_table.Holders(request.index, request.version, request.shard);
  const auto collect_if = [&](const auto& predicate) {
    m_candidates.clear();
    for (const Replica* replica : holders) {
      if (predicate(*replica) &&
          std::ranges::find(request.exclude, replica->info.id) ==
              request.exclude.end()) {
        m_candidates.push_back(replica);
      }
    }
    return !m_candidates.empty();
  };
  const auto below_limit = [&](const Replica& replica) {
    return replica.in_flight.size() < m_table.EffectiveLimit(replica, now);
  };
  const auto eligible = [&](const Replica& replica) {
    return m_table.IsEligible(replica, now);
  };
  const auto overdue = [&](const Replica& replica) {
    return m_table.IsOverdueWithoutFailures(replica, now);
  };
  if (collect_if(
          [&](const Replica& r) { return eligible(r) && below_limit(r); }) ||
      (request.allow_over_limit && collect_if(eligible))) {
    return;
  }
  if (request.allow_over_limit) {
    // Every eligible replica has been tried. An overdue replica is used, even
    // at its limit, because the shard would otherwise be missing from the
    // answer.
    if (!collect_if(
            [&](const Replica& r) { return overdue(r) && below_limit(r); })) {
      collect_if(overdue);
    }
    return;
  }
  if (std::ranges::any_of(holders,
                          [&](const Replica* r) { return eligible(*r); })) {
    return;
  }
  // When no holder is eligible because all are overdue, the cause is more
  // likely this entry or general overload than each replica, so they stay in
  // use.
  collect_if([&](const Replica& r) { return overdue(r) && below_limit(r); });
}

const Replica* ReplicaSelector::Choose(const PickRequest& request, Millis now) {
  switch (m_options.replica_policy) {
    case ReplicaPolicy::kLowestExpectedWait:
      return ChooseLowestWait(now);
    case ReplicaPolicy::kRandom:
      return m_candidates[m_random.NextBelow(m_candidates.size())];
    case ReplicaPolicy::kRoundRobin: {
      std::string key(request.index);
      key += '/' + std::to_string(request.shard);
      return m_candidates[m_round_robin_counts[key]++ % m_candidates.size()];
    }
    case ReplicaPolicy::kLeastInFlight:
      return ChooseLowestCost(m_candidates, [](const Replica& replica) {
        return static_cast<double>(replica.in_flight.size());
      });
  }
  return m_candidates.front();
}

const Replica* ReplicaSelector::ChooseLowestWait(Millis now) {
  const auto cost = [&](const Replica& replica) {
    const Millis wait = ExpectedWait(replica, now);
    return (IsLocal(replica) ? wait : wait + kLocalMargin).count();
  };
  if (m_candidates.size() <= kMaxFullComparison) {
    return ChooseLowestCost(m_candidates, cost);
  }
  // Samples two random candidates of the local data centre and two of the
  // others, so that the sample nearly always contains a local one.
  const auto remote =
      std::partition(m_candidates.begin(), m_candidates.end(),
                     [&](const Replica* replica) { return IsLocal(*replica); });
  std::array<const Replica*, 4> sample{};
  size_t sampled = 0;
  const auto add_samples = [&](std::span<const Replica*> group) {
    for (size_t i = 0; i < 2 && i < group.size(); ++i) {
      std::swap(group[i], group[i + m_random.NextBelow(group.size() - i)]);
      sample[sampled++] = group[i];
    }
  };
  add_samples({m_candidates.begin(), remote});
  add_samples({remote, m_candidates.end()});
  return ChooseLowestCost(std::span(sample).first(sampled), cost);
}

const Replica* ReplicaSelector::ChooseLowestCost(
    std::span<const Replica* const> candidates,
    const std::function<double(const Replica&)>& cost) {
  const Replica* best = nullptr;
  double best_cost = 0;
  uint64_t ties = 0;
  for (const Replica* replica : candidates) {
    const double value = cost(*replica);
    if (!best || value < best_cost) {
      best = replica;
      best_cost = value;
      ties = 1;
    } else if (value == best_cost && m_random.NextBelow(++ties) == 0) {
      // Ties are broken at random. With a tie-break by id, all entries would
      // choose the same replica.
      best = replica;
    }
  }
  return best;
}

ReplicaSelector::ShardCapacity ReplicaSelector::Capacity(std::string_view index,
                                                         uint64_t version,
                                                         uint32_t shard,
                                                         Millis now) const {
  const auto holders = m_table.Holders(index, version, shard);
  const bool any_eligible = std::ranges::any_of(
      holders, [&](const Replica* r) { return m_table.IsEligible(*r, now); });
  ShardCapacity capacity;
  for (const Replica* replica : holders) {
    const bool counted = any_eligible
                             ? m_table.IsEligible(*replica, now)
                             : m_table.IsOverdueWithoutFailures(*replica, now);
    if (counted) {
      capacity.limit += m_table.EffectiveLimit(*replica, now);
      capacity.in_flight += static_cast<uint32_t>(replica->in_flight.size());
    }
  }
  return capacity;
}

}  // namespace tanagervane
