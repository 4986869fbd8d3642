#include "tanagervane/serving/replica_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "tanagervane/serving/even_load.h"

namespace tanagervane {

namespace {

/// The measured slowness of a replica decays exponentially towards 1 with this
/// time constant, so that a replica that was slow is tried again.
constexpr Millis kSlownessTimeConstant{4000};

/// The measured fraction of failed attempts decays towards 0 likewise.
constexpr Millis kErrorTimeConstant{3000};

/// Time constant of the usual load of a replica. Long compared with requests,
/// short compared with changes of demand.
constexpr Millis kUsualLoadTimeConstant{4000};

/// Minimum slowness of a replica while it warms up.
constexpr double kWarmUpSlowness = 1.6;

/// Weight of a new sample in the moving averages of slowness and errors.
constexpr double kSlownessGain = 0.25;
constexpr double kErrorGain = 0.2;
constexpr double kMinSlownessSample = 0.3;

/// Bounds of the reported work time as a multiple of the usual one, so that an
/// invalid report does not exclude a replica.
constexpr double kMinWorkTime = 0.2;
constexpr double kMaxWorkTime = 20;

/// A latency sample counts as at most this multiple of the current slowness (or
/// of 1, if greater): one answer delayed by a pause does not predict the next.
constexpr double kMaxSampleFactor = 3;

/// Penalty for a failure, as a multiple of the median latency.
constexpr double kFailureCost = 4;

/// Penalty for an overdue replica, as a multiple of the median latency.
constexpr double kOverdueCost = 4;

/// Penalty for a replica whose registration lapsed, as a multiple of the median
/// latency: it may be leaving.
constexpr double kLapsedCost = 2;

/// Penalty for load, as a multiple of the median latency when as many requests
/// run as there are slots: spreads load before replicas are full.
constexpr double kContentionCost = 0.15;

/// Longest wait in the queue of a shard before its sub-requests are skipped, as
/// a fraction of the tightest objective of the routes that use the shard.
constexpr double kMaxQueueFraction = 0.75;

/// Penalty for traffic between data centres, in addition to its latency.
constexpr Millis kRemoteCost{8};

/// Estimated time to open a connection.
constexpr Millis kConnectCost{7};

/// Maximum random increase of an estimate, so that VMs with the same data do
/// not all choose the same replica.
constexpr double kJitter = 0.08;

/// The permits of all replicas of a shard.
class PermitStock {
 public:
  void Add(const RateLimiter& limiter, Millis now) {
    if (!limiter.limit()) {
      m_is_bounded = false;
      return;
    }
    m_count += limiter.CountPermits(kMaxCountedPermits, now);
    m_max_count += limiter.MaxPermits();
  }

  /// Nullopt if a replica has no limit.
  std::optional<double> Fraction() const {
    if (!m_is_bounded) {
      return std::nullopt;
    }
    return static_cast<double>(m_count) / std::max(m_max_count, kMinStock);
  }

 private:
  static constexpr size_t kMaxCountedPermits = 1000;
  /// With fewer permits than this in stock, the next request finds none.
  static constexpr double kMinStock = 2;

  bool m_is_bounded = true;
  size_t m_count = 0;
  double m_max_count = 0;
};

double Decay(Millis age, Millis time_constant) {
  return std::exp(-std::max(0.0, age / time_constant));
}

/// Returns the reported work time as a multiple of the usual one.
double WorkTime(const ServingReplica& replica, Millis now) {
  if (!replica.load) {
    return 1;
  }
  const double reported = std::clamp(replica.load->work_time_percent / 100.0,
                                     kMinWorkTime, kMaxWorkTime);
  return 1 + (reported - 1) *
                 Decay(now - replica.load_reported_at, kSlownessTimeConstant);
}

/// What the replicas of a service have reported.
struct ServiceReports {
  /// Mean usual load for each slot.
  double busy_fraction = 0;
  /// Mean weight of the reports by their age.
  double freshness = 0;
};

ServiceReports SummariseReports(const Service& service, Millis now) {
  double load = 0;
  double slots = 0;
  ServiceReports reports;
  for (const auto& replica : service.replicas) {
    if (replica->load) {
      load += replica->usual_load;
      slots += std::max<uint32_t>(1, replica->registration.slots);
      reports.freshness += ReportWeight(now - replica->load_reported_at);
    }
  }
  if (slots > 0) {
    reports.busy_fraction = load / slots;
    reports.freshness /= static_cast<double>(service.replicas.size());
  }
  return reports;
}

}  // namespace

ReplicaChooser::ReplicaChooser(ServingPolicy policy,
                               std::string data_centre,
                               uint64_t seed)
    : m_policy(policy), m_data_centre(std::move(data_centre)), m_random(seed) {}

ReplicaAvailability ReplicaChooser::Classify(const ServingReplica& replica,
                                             Millis now) {
  if (replica.leaving || replica.unresponsive || replica.evacuated) {
    return ReplicaAvailability::kUnusable;
  }
  if (replica.limits->NextRequestAt(now) > now) {
    return ReplicaAvailability::kRateLimited;
  }
  const bool full =
      replica.attempts.size() >= replica.service->max_own_connections ||
      (replica.idle_connections == 0 && now < replica.no_connect_until);
  return full ? ReplicaAvailability::kFull : ReplicaAvailability::kAvailable;
}

double ReplicaChooser::Slowness(const ServingReplica& replica,
                                Millis now) const {
  if (!m_policy.slowness) {
    return 1;
  }
  const double decay =
      Decay(now - replica.slowness_updated_at, kSlownessTimeConstant);
  double learned = 1 + (replica.slowness - 1) * decay;
  if (m_policy.even_load) {
    const double included = 1 + (replica.slowness_work_time - 1) * decay;
    learned = learned / included * WorkTime(replica, now);
  }
  return now < replica.warming_up_until ? std::max(learned, kWarmUpSlowness)
                                        : learned;
}

double ReplicaChooser::EstimatedLoad(const ServingReplica& replica,
                                     Millis now) const {
  const auto own_attempts = static_cast<double>(replica.attempts.size());
  if (!m_policy.reported_load || !replica.load) {
    return own_attempts;
  }
  return own_attempts +
         replica.other_load * ReportWeight(now - replica.load_reported_at);
}

double ReplicaChooser::QueueLength(const ServingReplica& replica,
                                   Millis now) const {
  const double slots = std::max<uint32_t>(1, replica.registration.slots);
  if (!replica.load) {
    return std::max(0.0, EstimatedLoad(replica, now) + 1 - slots);
  }
  const auto own = static_cast<double>(replica.attempts.size());
  return ExpectedQueue(ForecastLoad({.latest = replica.other_load,
                                     .usual = replica.usual_other_load,
                                     .age = now - replica.load_reported_at},
                                    own),
                       slots);
}

std::optional<double> ReplicaChooser::ChoicePreference(const Service& service,
                                                       Millis now) const {
  if (!m_policy.even_load || !m_policy.reported_load) {
    return std::nullopt;
  }
  const ServiceReports reports = SummariseReports(service, now);
  if (!ShouldSpread(reports.busy_fraction)) {
    return std::nullopt;
  }
  return Preference(reports.freshness, reports.busy_fraction);
}

double ReplicaChooser::ChoiceCost(const ServingReplica& replica,
                                  const AttemptProfile& profile,
                                  std::optional<double> preference,
                                  Millis now) {
  TimeEstimate estimate = Estimate(replica, profile, now);
  if (!preference) {
    return estimate.total.count() * (1 + kJitter * m_random.NextDouble());
  }
  const double slots = std::max<uint32_t>(1, replica.registration.slots);
  const Millis run_time = profile.median_latency * Slowness(replica, now);
  estimate.total +=
      run_time * (QueueLength(replica, now) / slots) - estimate.wait;
  // The lowest of these values belongs to a replica with a probability
  // proportional to slots / cost ^ preference.
  const double exponential = -std::log(1 - m_random.NextDouble());
  return *preference * std::log(estimate.total.count()) - std::log(slots) +
         std::log(exponential);
}

TimeEstimate ReplicaChooser::Estimate(const ServingReplica& replica,
                                      const AttemptProfile& profile,
                                      Millis now) const {
  const Millis median_latency = profile.median_latency;
  const Millis run_time = median_latency * Slowness(replica, now);
  const double slots = std::max<uint32_t>(1, replica.registration.slots);
  const double load = EstimatedLoad(replica, now);
  TimeEstimate estimate;
  estimate.wait = run_time * (std::max(0.0, load + 1 - slots) / slots);
  estimate.total = estimate.wait + run_time;
  estimate.total += median_latency * (kContentionCost * load / slots);
  const double decayed_error_fraction =
      replica.error_fraction *
      Decay(now - replica.error_updated_at, kErrorTimeConstant);
  // A failed attempt is retried while the retry budget lasts. Without budget
  // the answer misses this shard, which costs more.
  const double used_budget = replica.service->retry_budget.UsedFraction(now);
  estimate.total += median_latency * (decayed_error_fraction * kFailureCost);
  estimate.total += profile.objective * (decayed_error_fraction * used_budget);
  if (replica.overdue) {
    estimate.total += median_latency * kOverdueCost;
  }
  if (replica.lapsed_at) {
    estimate.total += median_latency * kLapsedCost;
  }
  if (replica.idle_connections == 0) {
    estimate.total += kConnectCost;
  }
  if (m_policy.local_first &&
      replica.registration.data_centre != m_data_centre) {
    estimate.total += kRemoteCost;
  }
  return estimate;
}

SubRequestEstimate ReplicaChooser::EstimateSubRequest(
    const Service& service,
    const AttemptProfile& profile,
    Millis now) const {
  SubRequestEstimate estimate;
  if (m_policy.short_queues && service.tightest_objective) {
    estimate.max_queue_wait = *service.tightest_objective * kMaxQueueFraction;
  }
  PermitStock permits;
  for (const auto& replica : service.replicas) {
    const ReplicaAvailability availability = Classify(*replica, now);
    if (availability == ReplicaAvailability::kUnusable) {
      continue;
    }
    permits.Add(replica->limits->rate_limiter, now);
    if (availability == ReplicaAvailability::kRateLimited) {
      const Millis delay = replica->limits->NextRequestAt(now) - now;
      estimate.limit_delay =
          estimate.limit_delay ? std::min(*estimate.limit_delay, delay) : delay;
      continue;
    }
    const Millis wait = Estimate(*replica, profile, now).wait;
    estimate.min_wait =
        estimate.min_wait ? std::min(*estimate.min_wait, wait) : wait;
  }
  estimate.permit_fraction = permits.Fraction();
  return estimate;
}

std::shared_ptr<ServingReplica> ReplicaChooser::Choose(
    const Service& service,
    const AttemptProfile& profile,
    std::span<const ServingReplica* const> exclude,
    Millis now) {
  std::shared_ptr<ServingReplica> best;
  double best_cost = 0;
  const std::optional<double> preference = ChoicePreference(service, now);
  for (const auto& replica : service.replicas) {
    const RateLimiter& limiter = replica->limits->rate_limiter;
    if (Classify(*replica, now) != ReplicaAvailability::kAvailable ||
        limiter.CountPermits(profile.min_permits, now) < profile.min_permits ||
        std::ranges::find(exclude, replica.get()) != exclude.end()) {
      continue;
    }
    if (exclude.empty() && limiter.IsStale(now) && !replica->overdue) {
      return replica;
    }
    const double cost = ChoiceCost(*replica, profile, preference, now);
    if (!best || cost < best_cost) {
      best = replica;
      best_cost = cost;
    }
  }
  return best;
}

std::optional<double> ReplicaChooser::LoadSpread(const Service& service,
                                                 Millis now) const {
  double sum = 0;
  double squares = 0;
  double count = 0;
  for (const auto& replica : service.replicas) {
    if (!replica->load) {
      continue;
    }
    const double slots = std::max<uint32_t>(1, replica->registration.slots);
    const double load = EstimatedLoad(*replica, now) / slots;
    sum += load;
    squares += load * load;
    ++count;
  }
  if (count < 2) {
    return std::nullopt;
  }
  const double mean = sum / count;
  return std::sqrt(std::max(0.0, squares / count - mean * mean));
}

void ReplicaChooser::RecordLatency(ServingReplica& replica,
                                   Millis latency,
                                   Millis median_latency,
                                   Millis now) {
  const double decay =
      Decay(now - replica.slowness_updated_at, kSlownessTimeConstant);
  const double current = 1 + (replica.slowness - 1) * decay;
  const double sample =
      std::clamp(latency / std::max(median_latency, Millis(0.1)),
                 kMinSlownessSample, std::max(1.0, current) * kMaxSampleFactor);
  replica.slowness = current + (sample - current) * kSlownessGain;
  const double work_time = 1 + (replica.slowness_work_time - 1) * decay;
  replica.slowness_work_time =
      work_time + (WorkTime(replica, now) - work_time) * kSlownessGain;
  replica.slowness_updated_at = now;
}

void ReplicaChooser::RecordLoad(ServingReplica& replica,
                                const LoadReport& load,
                                Millis now) {
  const double reported = load.running + load.waiting;
  const double other =
      std::max(0.0, reported - static_cast<double>(replica.attempts.size()));
  const double kept = replica.load ? Decay(now - replica.load_reported_at,
                                           kUsualLoadTimeConstant)
                                   : 0;
  replica.usual_load = reported + (replica.usual_load - reported) * kept;
  replica.usual_other_load = other + (replica.usual_other_load - other) * kept;
  replica.load = load;
  replica.load_reported_at = now;
  replica.other_load = other;
}

void ReplicaChooser::RecordOutcome(ServingReplica& replica,
                                   bool failed,
                                   Millis now) {
  const double current =
      replica.error_fraction *
      Decay(now - replica.error_updated_at, kErrorTimeConstant);
  replica.error_fraction = current + ((failed ? 1 : 0) - current) * kErrorGain;
  replica.error_updated_at = now;
}

}  // namespace tanagervane
