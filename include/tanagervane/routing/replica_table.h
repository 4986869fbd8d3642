// State that an entry keeps of each backend server.

#ifndef TANAGERVANE_ROUTING_REPLICA_TABLE_H_
#define TANAGERVANE_ROUTING_REPLICA_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "tanagervane/routing/concurrency_limit.h"
#include "tanagervane/routing/types.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// State of one backend server as this entry observes it.
struct Replica {
  ReplicaInfo info;
  ReplicaStatus status;
  bool has_status = false;
  /// No new work is sent. Never reset within an incarnation.
  bool leaving = false;
  /// When the incarnation was first seen.
  Millis first_seen;
  /// Send times of this entry's attempts in flight, by attempt id.
  std::map<uint64_t, Millis> in_flight;
  /// Peak-sensitive moving average of latency: it rises at once and decays
  /// slowly. Zero until the first reply.
  Millis peak_latency;
  /// When `peak_latency` was last updated.
  Millis latency_updated_at;
  uint64_t replies = 0;
  /// Load that the replica last reported, the time of the report, and the
  /// weight of reports in the score, in [0, 1]; the weight falls when latencies
  /// contradict the reports.
  ReportedLoad last_report;
  Millis reported_at;
  bool has_report = false;
  double report_weight = 1;
  /// Until this time no attempts are sent, not even probes.
  Millis avoid_until;
  uint32_t consecutive_failures = 0;
  ConcurrencyLimit limit;
  /// When the incarnation was first seen serving. The slow start begins here.
  std::optional<Millis> serving_since;
  /// Robust average of latency: single slow replies hardly change it.
  Millis baseline_latency;
  /// Mean absolute deviation of latencies from `baseline_latency`.
  Millis mean_deviation;
  /// This entry's attempts in flight when `last_report` was received.
  uint32_t own_in_flight_at_report = 0;
  /// Latest send time among the attempts that were answered.
  std::optional<Millis> last_answered_sent_at;
  /// Send time of the oldest attempt in flight that was sent no earlier than
  /// the latest answered one.
  std::optional<Millis> unanswered_since;
  /// An attempt was overdue when it ended, or failures caused a backoff: only
  /// probes are sent until a reply arrives.
  bool unresponsive = false;
  /// The connection or the status call failed, and neither has succeeded since.
  bool disconnected = false;
  /// The attempt in flight that was sent while the replica was avoided, and the
  /// earliest time of the next probe.
  std::optional<uint64_t> probe_attempt;
  Millis next_probe_at;
  uint32_t probes_sent = 0;
  std::optional<Millis> last_reply;
  std::optional<Millis> last_shed;
  uint32_t status_failures = 0;
};

/// Owns the state of all replicas. Has no clock of its own: callers pass the
/// time.
class ReplicaTable {
 public:
  explicit ReplicaTable(PolicyOptions options) : m_options(options) {}

  /// Adds a replica or updates its static properties.
  void Upsert(const ReplicaInfo& info, Millis now);
  void SetLeaving(const ReplicaId& id);
  void Remove(const ReplicaId& id);

  /// Applies a status reply. A new incarnation resets all statistics and
  /// `leaving`. Returns true when the incarnation differs from the previously
  /// known one.
  bool OnStatus(const ReplicaId& id, const ReplicaStatus& status, Millis now);
  void OnStatusFailed(const ReplicaId& id, Millis now);

  void OnSent(const ReplicaId& id, uint64_t attempt, Millis now);
  void OnReply(const ReplicaId& id,
               uint64_t attempt,
               std::optional<ReportedLoad> load,
               Millis now);
  void OnFailure(const ReplicaId& id,
                 uint64_t attempt,
                 FailureKind kind,
                 Millis now);
  void OnCancelled(const ReplicaId& id, uint64_t attempt, Millis now);

  const Replica* Find(const ReplicaId& id) const;

  /// Replicas that hold `version` of `index` for `shard`, leaving ones
  /// included, in ascending order of id. Valid until the table changes.
  std::span<const Replica* const> Holders(std::string_view index,
                                          uint64_t version,
                                          uint32_t shard) const;

  /// A version of an index that some replica holds, with its shard count.
  /// Versions() returns the newest first.
  struct KnownVersion {
    uint64_t version = 0;
    uint32_t shard_count = 0;
  };
  std::vector<KnownVersion> Versions(std::string_view index) const;

  /// True when the replica accepts new work: it is serving, not leaving, and
  /// not avoided at `now`.
  bool IsEligible(const Replica& replica, Millis now) const;

  /// True when the replica is serving and not leaving, even if it is avoided.
  bool IsUsable(const Replica& replica) const;

  /// True when an attempt in flight has been unanswered for too long, or one
  /// ended after being unanswered for too long, and no reply has arrived since.
  bool IsOverdue(const Replica& replica, Millis now) const;

  /// True when the replica is overdue but had no failures that cause a backoff.
  bool IsOverdueWithoutFailures(const Replica& replica, Millis now) const;

  /// True when an avoided replica may get one attempt to test whether it
  /// answers again.
  bool CanProbe(const Replica& replica, Millis now) const;

  /// The maximum number of attempts in flight, reduced during the slow start.
  uint32_t EffectiveLimit(const Replica& replica, Millis now) const;

  /// Robust average of latency over all replicas of `index`; zero before the
  /// first reply.
  Millis IndexLatency(std::string_view index) const;

  /// Calls `visit` for each replica in ascending order of id.
  void ForEach(const std::function<void(const Replica&)>& visit) const;

 private:
  /// Index, version and shard. Holds views, so that a lookup copies no string.
  using ShardKeyView = std::tuple<std::string_view, uint64_t, uint32_t>;

  struct ShardKey {
    std::string index;
    uint64_t version = 0;
    uint32_t shard = 0;

    ShardKeyView view() const { return {index, version, shard}; }
  };

  struct ShardKeyLess {
    using is_transparent = void;
    static ShardKeyView View(const ShardKey& key) { return key.view(); }
    static ShardKeyView View(const ShardKeyView& key) { return key; }
    bool operator()(const auto& a, const auto& b) const {
      return View(a) < View(b);
    }
  };

  struct ShardHolders {
    std::vector<const Replica*> replicas;
    /// Largest shard count that a holder reports.
    uint32_t shard_count = 0;
  };

  void AddToHolders(const Replica& replica);
  void RemoveFromHolders(const Replica& replica);

  /// Removes an attempt from those in flight. Returns its send time, or nullopt
  /// when the attempt is unknown.
  std::optional<Millis> RemoveAttempt(Replica& replica, uint64_t attempt);
  Replica* FindMutable(const ReplicaId& id);
  bool IsAvoided(const Replica& replica, Millis now) const;
  Millis OverdueTime(const Replica& replica) const;
  void RecordLatency(Replica& replica, Millis latency, Millis now);
  void OnUnansweredAttemptEnded(Replica& replica, Millis sent_at, Millis now);

  PolicyOptions m_options;
  std::map<ReplicaId, Replica> m_replicas;
  std::map<ShardKey, ShardHolders, ShardKeyLess> m_holders;
  std::map<std::string, Millis, std::less<>> m_index_latency;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_ROUTING_REPLICA_TABLE_H_
