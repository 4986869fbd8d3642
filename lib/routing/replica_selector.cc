// Replica choice: the tier policy and the baselines it is compared with.

#include "tanagervane/routing/replica_selector.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace tanagervane {
namespace {

// Up to this many candidates are all compared; beyond, two of them.
constexpr size_t kCompareAll = 4;
// About a one-way latency between data centres (0.5 to 1.5 ms): a replica in
// the same data centre is chosen when its score is no worse by more.
constexpr Millis kLocalMargin(1);
constexpr Millis kReportHalfLife(500);
// Bounds the weight of a report, so that a replica that wrongly reports a
// huge load is still used now and then, and found out.
constexpr double kMaxReportedPerSlot = 2;
// Latency known before the first reply of any replica of the index.
constexpr Millis kDefaultLatency(5);
constexpr Millis kLatencyMemory(200);
// An unused replica drifts back to what its peers need, so that it is tried
// again.
constexpr Millis kUnusedHalfLife(5000);
// Weight of a shed attempt in the score, fading within kShedMemory.
constexpr double kShedPenalty = 2;
constexpr Millis kShedMemory(200);

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
    const double idle = std::max(0.0, (now - replica.latency_updated).count());
    const Millis usual =
        latency + (replica.usual_latency - latency) *
                      std::exp2(-idle / kUnusedHalfLife.count());
    latency = usual + (replica.latency - replica.usual_latency) *
                          std::exp(-idle / kLatencyMemory.count());
  }
  // An unanswered attempt already proves a latency of at least its age.
  if (replica.waiting_since) {
    latency = std::max(latency, now - *replica.waiting_since);
  }
  if (replica.last_shed) {
    latency = latency *
              (1 + kShedPenalty *
                       std::exp(-((now - *replica.last_shed) / kShedMemory)));
  }
  const double slots = std::max(replica.info.slots, 1U);
  auto load = static_cast<double>(replica.in_flight.size());
  if (m_options.reported_load && replica.has_report) {
    const double others =
        std::max(0.0, static_cast<double>(replica.reported.in_flight) +
                          replica.reported.queued - replica.own_at_report);
    const double weight = replica.report_trust *
                          std::exp2(-std::max(0.0, (now - replica.reported_at) /
                                                       kReportHalfLife));
    load += std::min(others, kMaxReportedPerSlot * slots) * weight;
  }
  return latency * (1 + load / slots);
}

std::optional<ReplicaId> ReplicaSelector::Pick(const PickRequest& request,
                                               Millis now) {
  // Only first attempts probe: a hedge or retry is meant to rescue.
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
    if (m_table.MayProbe(*replica, now) &&
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
  const auto collect = [&](const auto& accept) {
    m_candidates.clear();
    for (const Replica* replica : holders) {
      if (accept(*replica) &&
          std::ranges::find(request.exclude, replica->info.id) ==
              request.exclude.end()) {
        m_candidates.push_back(replica);
      }
    }
    return !m_candidates.empty();
  };
  const auto has_room = [&](const Replica& replica) {
    return replica.in_flight.size() < m_table.EffectiveLimit(replica, now);
  };
  const auto eligible = [&](const Replica& replica) {
    return m_table.IsEligible(replica, now);
  };
  const auto overdue = [&](const Replica& replica) {
    return m_table.IsMerelyOverdue(replica, now);
  };
  if (collect([&](const Replica& r) { return eligible(r) && has_room(r); }) ||
      (request.allow_over_limit && collect(eligible))) {
    return;
  }
  if (request.allow_over_limit) {
    // Without one of these the shard would be missing, so a replica that is
    // late, or late and full, is better than none.
    if (!collect([&](const Replica& r) { return overdue(r) && has_room(r); })) {
      collect(overdue);
    }
    return;
  }
  if (std::ranges::any_of(holders,
                          [&](const Replica* r) { return eligible(*r); })) {
    return;
  }
  // All holders overdue at once point to this entry or to overload rather
  // than to each of them, so they stay in use.
  collect([&](const Replica& r) { return overdue(r) && has_room(r); });
}

const Replica* ReplicaSelector::Choose(const PickRequest& request, Millis now) {
  switch (m_options.replica_policy) {
    case ReplicaPolicy::kTier:
      return ChooseByTier(now);
    case ReplicaPolicy::kRandom:
      return m_candidates[m_random.Below(m_candidates.size())];
    case ReplicaPolicy::kRoundRobin: {
      std::string key(request.index);
      key += '/' + std::to_string(request.shard);
      return m_candidates[m_round_robin[key]++ % m_candidates.size()];
    }
    case ReplicaPolicy::kLeastInFlight:
      return ChooseLeast(m_candidates, [](const Replica& replica) {
        return static_cast<double>(replica.in_flight.size());
      });
  }
  return m_candidates.front();
}

const Replica* ReplicaSelector::ChooseByTier(Millis now) {
  const auto cost = [&](const Replica& replica) {
    const Millis wait = ExpectedWait(replica, now);
    return (IsLocal(replica) ? wait : wait + kLocalMargin).count();
  };
  if (m_candidates.size() <= kCompareAll) {
    return ChooseLeast(m_candidates, cost);
  }
  // Two random ones of the same data centre and two of the others, so that
  // the sample nearly always offers a near one.
  const auto remote =
      std::partition(m_candidates.begin(), m_candidates.end(),
                     [&](const Replica* replica) { return IsLocal(*replica); });
  std::array<const Replica*, 4> sample{};
  size_t sampled = 0;
  const auto draw = [&](std::span<const Replica*> from) {
    for (size_t i = 0; i < 2 && i < from.size(); ++i) {
      std::swap(from[i], from[i + m_random.Below(from.size() - i)]);
      sample[sampled++] = from[i];
    }
  };
  draw({m_candidates.begin(), remote});
  draw({remote, m_candidates.end()});
  return ChooseLeast(std::span(sample).first(sampled), cost);
}

const Replica* ReplicaSelector::ChooseLeast(
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
    } else if (value == best_cost && m_random.Below(++ties) == 0) {
      // Exact ties are broken at random: by id, all entries would agree on
      // the same replica.
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
    const bool counted = any_eligible ? m_table.IsEligible(*replica, now)
                                      : m_table.IsMerelyOverdue(*replica, now);
    if (counted) {
      capacity.limit += m_table.EffectiveLimit(*replica, now);
      capacity.in_flight += static_cast<uint32_t>(replica->in_flight.size());
    }
  }
  return capacity;
}

}  // namespace tanagervane
