// Chooses a replica for an attempt by estimated latency.

#ifndef TANAGERVANE_SERVING_REPLICA_CHOOSER_H_
#define TANAGERVANE_SERVING_REPLICA_CHOOSER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "tanagervane/serving/admission.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// Switches each mechanism off separately, to measure its effect.
struct ServingPolicy {
  /// Hedges attempts of idempotent routes.
  bool hedging = true;
  /// Includes the load that replicas report in estimates.
  bool reported_load = true;
  /// Includes ServingReplica::slowness and warm-up in estimates.
  bool slowness = true;
  /// Bounds the estimated wait for a slot by a fraction of the latency
  /// objective instead of by the timeout of the route.
  bool admission = true;
  /// Skips sub-requests that the answer can do without; see Admit().
  bool skipping = true;
  /// Skips sub-requests as soon as a shard's queue is too long for the tightest
  /// objective of the routes that use the shard; see Admit().
  bool short_queues = true;
  /// Sends skipped sub-requests after all when others of the request fail.
  bool reopen_skipped = true;
  /// Skips shards with scarce permits that the answer can do without; see
  /// Admit().
  bool spare_permits = true;
  /// Sends hedges only to replicas with a short queue; see
  /// IsQueueShortEnoughToHedge().
  bool hedge_short_queues = true;
  /// Cancels the attempts of a failed request at once; see ReleaseGrace().
  bool cancel_failed = true;
  /// Prefers replicas of the own data centre.
  bool local_first = true;
  /// Spreads the choices of VMs that know little about the present load, and
  /// includes the reported work time in estimates; see even_load.h.
  bool even_load = true;
  /// Refuses requests under overload in the order of their priority, of the
  /// share of their tenant and of what callers gain; see precedence.h.
  bool precedence = false;
};

/// Whether an attempt can be sent to a replica.
enum class ReplicaAvailability {
  kAvailable,
  kUnusable,     ///< The replica is leaving, unresponsive or evacuated.
  kRateLimited,  ///< The replica takes no request now, as it has stated.
  kFull,         ///< The attempts in flight use all connections that this VM
                 ///< may have to the replica, or a new connection is needed
                 ///< while the replica resets new connections.
};

/// Estimated duration of an attempt on one replica.
struct TimeEstimate {
  /// Wait for a slot.
  Millis wait;
  /// Wait, run time, connection set-up and penalties, for instance for likely
  /// failure.
  Millis total;
};

/// Properties of an attempt that are known before it is sent.
struct AttemptProfile {
  /// Median latency of the route's attempts.
  Millis median_latency;
  /// Latency objective of the route.
  Millis objective;
  /// Permits that a replica with a rate limit must have left for the attempt.
  size_t min_permits = 1;
};

/// Estimates how long an attempt on each replica would take and chooses the
/// replica with the lowest estimate.
class ReplicaChooser {
 public:
  ReplicaChooser(ServingPolicy policy, std::string data_centre, uint64_t seed);

  static ReplicaAvailability Classify(const ServingReplica& replica,
                                      Millis now);

  TimeEstimate Estimate(const ServingReplica& replica,
                        const AttemptProfile& profile,
                        Millis now) const;

  /// Returns the shortest estimated wait among the usable replicas that take
  /// requests now, and when others take one.
  SubRequestEstimate EstimateSubRequest(const Service& service,
                                        const AttemptProfile& profile,
                                        Millis now) const;

  /// Returns the replica with the lowest estimate among those that are
  /// available and not in `exclude`; nullptr when there is none. A first
  /// attempt goes to a replica with a stale rate limit, because the response
  /// tells whether the limit has ended.
  std::shared_ptr<ServingReplica> Choose(
      const Service& service,
      const AttemptProfile& profile,
      std::span<const ServingReplica* const> exclude,
      Millis now);

  /// Returns the standard deviation of the estimated requests per slot among
  /// the service's replicas; nullopt if fewer than two have reported a load.
  std::optional<double> LoadSpread(const Service& service, Millis now) const;

  /// Updates the replica's slowness with the latency of an attempt.
  static void RecordLatency(ServingReplica& replica,
                            Millis latency,
                            Millis median_latency,
                            Millis now);

  /// Records a load report of the replica.
  static void RecordLoad(ServingReplica& replica,
                         const LoadReport& load,
                         Millis now);

  /// Updates the replica's fraction of failed attempts with an outcome.
  static void RecordOutcome(ServingReplica& replica, bool failed, Millis now);

 private:
  double Slowness(const ServingReplica& replica, Millis now) const;
  double EstimatedLoad(const ServingReplica& replica, Millis now) const;
  /// Expected number of requests that must end before the replica has a slot.
  double QueueLength(const ServingReplica& replica, Millis now) const;
  /// Returns how strongly the choice prefers a lower cost if choices are spread
  /// over the replicas; see Preference(). Nullopt if they are not.
  std::optional<double> ChoicePreference(const Service& service,
                                         Millis now) const;
  /// Returns a partly random value; the replica with the lowest one is chosen.
  double ChoiceCost(const ServingReplica& replica,
                    const AttemptProfile& profile,
                    std::optional<double> preference,
                    Millis now);

  ServingPolicy m_policy;
  std::string m_data_centre;
  Random m_random;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_REPLICA_CHOOSER_H_
