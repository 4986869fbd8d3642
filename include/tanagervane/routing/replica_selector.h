// Chooses the replica to which an attempt is sent.

#ifndef TANAGERVANE_ROUTING_REPLICA_SELECTOR_H_
#define TANAGERVANE_ROUTING_REPLICA_SELECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/routing/replica_table.h"
#include "tanagervane/routing/types.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

struct PickRequest {
  std::string_view index;
  uint64_t version = 0;
  uint32_t shard = 0;
  /// Replicas already tried for this shard; they are not chosen.
  std::span<const ReplicaId> exclude;
  /// Whether a replica at its concurrency limit, or else an overdue one, may be
  /// chosen when no other is left.
  bool allow_over_limit = false;
};

class ReplicaSelector {
 public:
  ReplicaSelector(const ReplicaTable& table,
                  PolicyOptions options,
                  std::string data_centre,
                  uint64_t seed);

  /// The replica to send to, or nullopt when none may be chosen. May return an
  /// avoided replica as a probe.
  std::optional<ReplicaId> Pick(const PickRequest& request, Millis now);

  /// Latency expected of an attempt sent now, the score that the default policy
  /// minimises: recent latency scaled by the load per slot.
  Millis ExpectedWait(const Replica& replica, Millis now) const;

  /// Sums of the concurrency limits and of the attempts in flight of a shard's
  /// eligible replicas. When none is eligible, overdue replicas count instead.
  struct ShardCapacity {
    uint32_t limit = 0;
    uint32_t in_flight = 0;
  };
  ShardCapacity Capacity(std::string_view index,
                         uint64_t version,
                         uint32_t shard,
                         Millis now) const;

 private:
  bool IsLocal(const Replica& replica) const;
  std::optional<ReplicaId> PickProbe(const PickRequest& request, Millis now);
  /// Sets `m_candidates` to the replicas that the replica policy chooses from.
  void CollectCandidates(const PickRequest& request, Millis now);
  const Replica* Choose(const PickRequest& request, Millis now);
  const Replica* ChooseLowestWait(Millis now);
  const Replica* ChooseLowestCost(
      std::span<const Replica* const> candidates,
      const std::function<double(const Replica&)>& cost);

  const ReplicaTable& m_table;
  PolicyOptions m_options;
  std::string m_data_centre;
  Random m_random;
  std::map<std::string, uint64_t, std::less<>> m_round_robin_counts;
  /// Member only to reuse its allocation between calls.
  std::vector<const Replica*> m_candidates;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_ROUTING_REPLICA_SELECTOR_H_
