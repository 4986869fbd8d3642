// Scores replicas by expected time.

#include "tanagervane/serving/replica_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagervane {

namespace {

/// What is learnt of a replica's speed fades towards the usual speed, so that
/// a replica that was slow is tried again.
constexpr Millis kSlownessMemory{4000};

/// What is learnt of a replica's failures fades likewise.
constexpr Millis kErrorMemory{3000};

/// A reported load loses half of its weight in this time.
constexpr Millis kLoadHalfLife{150};

/// How much a replica is slower while it warms up.
constexpr double kColdFactor = 1.6;

/// Weight of a new latency sample.
constexpr double kSlownessGain = 0.25;
constexpr double kErrorGain = 0.2;
constexpr double kSmallestSlowness = 0.3;

/// A sample counts as at most this multiple of what is known: an answer that
/// was held up by a pause says nothing of the next.
constexpr double kGreatestJump = 3;

/// Cost of a failure, as a multiple of the usual latency.
constexpr double kFailureCost = 4;

/// Extra cost of a replica that owes an overdue answer, likewise.
constexpr double kOverdueCost = 4;

/// Extra cost of a replica whose entry is gone, likewise: it may be leaving.
constexpr double kLapsedCost = 2;

/// Cost of a busy slot, likewise: spreads load before replicas are full.
constexpr double kContentionCost = 0.15;

/// Cost of bytes between data centres, on top of the way there.
constexpr Millis kRemoteCost{8};

/// Cost of a new connection.
constexpr Millis kConnectCost{7};

/// Random part of a score, so that VMs with the same knowledge do not all
/// choose the same replica.
constexpr double kJitter = 0.08;

double Fade(Millis age, Millis memory) {
  return std::exp(-std::max(0.0, age / memory));
}

}  // namespace

ReplicaChooser::ReplicaChooser(ServingPolicy policy,
                               std::string data_centre,
                               uint64_t seed)
    : m_policy(policy), m_data_centre(std::move(data_centre)), m_random(seed) {}

bool ReplicaChooser::IsUsable(const ServingReplica& replica) {
  return !replica.leaving && !replica.unresponsive;
}

bool ReplicaChooser::IsFull(const ServingReplica& replica, Millis now) {
  return replica.attempts.size() >= replica.service->connection_cap ||
         (replica.idle_connections == 0 && now < replica.no_connect_until);
}

double ReplicaChooser::Slowness(const ServingReplica& replica,
                                Millis now) const {
  if (!m_policy.slowness) {
    return 1;
  }
  const double fade = Fade(now - replica.slowness_at, kSlownessMemory);
  const double learnt = 1 + (replica.slowness - 1) * fade;
  return now < replica.warm_until ? std::max(learnt, kColdFactor) : learnt;
}

double ReplicaChooser::EstimatedLoad(const ServingReplica& replica,
                                     Millis now) const {
  const auto own = static_cast<double>(replica.attempts.size());
  if (!m_policy.reported_load || !replica.load) {
    return own;
  }
  const double weight = std::exp2(-((now - replica.load_at) / kLoadHalfLife));
  const double reported = replica.load->running + replica.load->waiting;
  const double others =
      std::max(0.0, reported - static_cast<double>(replica.own_at_report));
  return own + others * weight;
}

ExpectedTime ReplicaChooser::Expect(const ServingReplica& replica,
                                    const AttemptProfile& profile,
                                    Millis now) const {
  const Millis usual = profile.usual;
  const Millis run = usual * Slowness(replica, now);
  const double slots = std::max<uint32_t>(1, replica.entry.slots);
  const double load = EstimatedLoad(replica, now);
  ExpectedTime expected;
  expected.wait = run * (std::max(0.0, load + 1 - slots) / slots);
  expected.total = expected.wait + run;
  expected.total += usual * (kContentionCost * load / slots);
  const double errors =
      replica.error_share * Fade(now - replica.error_at, kErrorMemory);
  // What fails is sent again, unless the allowance for that is spent; then the
  // answer comes without this part.
  const double scarcity = replica.service->allowance.UsedPart(now);
  expected.total += usual * (errors * kFailureCost);
  expected.total += profile.objective * (errors * scarcity);
  if (replica.overdue) {
    expected.total += usual * kOverdueCost;
  }
  if (replica.lapsed_at) {
    expected.total += usual * kLapsedCost;
  }
  if (replica.idle_connections == 0) {
    expected.total += kConnectCost;
  }
  if (m_policy.local_first && replica.entry.data_centre != m_data_centre) {
    expected.total += kRemoteCost;
  }
  return expected;
}

PartOutlook ReplicaChooser::Outlook(const Service& service,
                                    const AttemptProfile& profile,
                                    Millis now) const {
  PartOutlook outlook;
  for (const auto& replica : service.replicas) {
    if (!IsUsable(*replica)) {
      continue;
    }
    const Millis wait = Expect(*replica, profile, now).wait;
    outlook.wait = outlook.wait ? std::min(*outlook.wait, wait) : wait;
  }
  return outlook;
}

std::shared_ptr<ServingReplica> ReplicaChooser::Choose(
    const Service& service,
    const AttemptProfile& profile,
    std::span<const ServingReplica* const> exclude,
    Millis now) {
  std::shared_ptr<ServingReplica> best;
  double best_cost = 0;
  for (const auto& replica : service.replicas) {
    if (!IsUsable(*replica) || IsFull(*replica, now) ||
        std::ranges::find(exclude, replica.get()) != exclude.end()) {
      continue;
    }
    const double jitter = 1 + kJitter * m_random.Unit();
    const double cost = Expect(*replica, profile, now).total.count() * jitter;
    if (!best || cost < best_cost) {
      best = replica;
      best_cost = cost;
    }
  }
  return best;
}

void ReplicaChooser::RecordLatency(ServingReplica& replica,
                                   Millis latency,
                                   Millis usual,
                                   Millis now) const {
  const double fade = Fade(now - replica.slowness_at, kSlownessMemory);
  const double current = 1 + (replica.slowness - 1) * fade;
  const double sample =
      std::clamp(latency / std::max(usual, Millis(0.1)), kSmallestSlowness,
                 std::max(1.0, current) * kGreatestJump);
  replica.slowness = current + (sample - current) * kSlownessGain;
  replica.slowness_at = now;
}

void ReplicaChooser::RecordOutcome(ServingReplica& replica,
                                   bool failed,
                                   Millis now) {
  const double current =
      replica.error_share * Fade(now - replica.error_at, kErrorMemory);
  replica.error_share = current + ((failed ? 1 : 0) - current) * kErrorGain;
  replica.error_at = now;
}

}  // namespace tanagervane
