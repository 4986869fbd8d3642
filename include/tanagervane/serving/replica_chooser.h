// Choice of a replica for one attempt.

#ifndef TANAGERVANE_SERVING_REPLICA_CHOOSER_H_
#define TANAGERVANE_SERVING_REPLICA_CHOOSER_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "tanagervane/serving/admission.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// Switches that show the worth of each mechanism.
struct ServingPolicy {
  bool hedging = true;
  bool reported_load = true;
  bool slowness = true;
  bool admission = true;
  bool skipping = true;
  bool local_first = true;
};

/// What an attempt on one replica is expected to take.
struct ExpectedTime {
  /// Waiting for a slot.
  Millis wait;
  /// Waiting, running, connecting and the cost of likely failure.
  Millis total;
};

/// What is known of an attempt before it is sent.
struct AttemptProfile {
  /// The usual latency of an attempt of the route.
  Millis usual;
  /// The time within which the request's answer is on time.
  Millis objective;
};

class ReplicaChooser {
 public:
  ReplicaChooser(ServingPolicy policy, std::string data_centre, uint64_t seed);

  /// Whether the replica may get a request at all.
  static bool IsUsable(const ServingReplica& replica);

  /// True when no attempt can be sent now: all that this VM may have there are
  /// in flight, or it would need a new connection and the replica takes none.
  static bool IsFull(const ServingReplica& replica, Millis now);

  ExpectedTime Expect(const ServingReplica& replica,
                      const AttemptProfile& profile,
                      Millis now) const;

  /// The shortest wait among the usable replicas.
  PartOutlook Outlook(const Service& service,
                      const AttemptProfile& profile,
                      Millis now) const;

  /// The usable replica with the shortest expected time that is not full and
  /// not in `exclude`, or nullptr.
  std::shared_ptr<ServingReplica> Choose(
      const Service& service,
      const AttemptProfile& profile,
      std::span<const ServingReplica* const> exclude,
      Millis now);

  /// Takes the outcome of an attempt.
  void RecordLatency(ServingReplica& replica,
                     Millis latency,
                     Millis usual,
                     Millis now) const;
  static void RecordOutcome(ServingReplica& replica, bool failed, Millis now);

 private:
  double Slowness(const ServingReplica& replica, Millis now) const;
  double EstimatedLoad(const ServingReplica& replica, Millis now) const;

  ServingPolicy m_policy;
  std::string m_data_centre;
  Random m_random;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_REPLICA_CHOOSER_H_
