// Detects requests that crash the backend servers that execute them, and
// refuses them.

#ifndef TANAGERVANE_ROUTING_QUARANTINE_H_
#define TANAGERVANE_ROUTING_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "tanagervane/routing/types.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Hash of a request's class, index and payload.
using Fingerprint = uint64_t;

Fingerprint MakeFingerprint(std::string_view class_name,
                            std::string_view index,
                            std::string_view payload);

/// Gossip record by which an entry reports the losses or the success of a
/// suspected request.
struct QuarantineRecord {
  Fingerprint fingerprint = 0;
  /// Empty when the request succeeded; losses before the success then no longer
  /// count.
  std::vector<ReplicaId> lost_replicas;
  /// Time since the latest loss, or since the success.
  Millis age;
};

class Quarantine {
 public:
  enum class Verdict {
    kClear,
    kSuspect,  ///< A replica was lost: have one attempt in flight at a time.
    kRefused,  ///< The refusal threshold is reached.
  };

  /// A request is refused once `refusal_threshold` replicas were lost while
  /// they executed it.
  explicit Quarantine(bool enabled, size_t refusal_threshold = 2)
      : m_enabled(enabled), m_refusal_threshold(refusal_threshold) {}

  Verdict Check(Fingerprint fingerprint, Millis now) const;

  /// A request that was in flight on a replica when its connection was lost.
  struct InFlightRequest {
    Fingerprint fingerprint = 0;
    Millis sent;
  };

  /// Records that a replica's connection was lost while these requests were in
  /// flight on it. The loss counts against a request only if the request was
  /// sent after all losses recorded for it so far. Replicas that fail together
  /// for another cause therefore count as one loss.
  void OnReplicaLost(const ReplicaId& replica,
                     std::span<const InFlightRequest> in_flight,
                     Millis now);

  /// Drops all losses of a request that a replica answered.
  void OnSuccess(Fingerprint fingerprint);

  /// Drops all losses of a replica that reports the same incarnation as before
  /// its connection was lost, so it did not crash.
  void OnCrashRuledOut(const ReplicaId& replica);

  /// Merges the records of another entry.
  void Merge(std::span<const QuarantineRecord> records, Millis now);

  /// Records to send to other entries: at most 64, suspects before successes,
  /// the most recent first.
  std::vector<QuarantineRecord> Export(Millis now) const;

  /// Drops suspects whose latest loss is ten minutes old or older.
  void Expire(Millis now);

 private:
  struct Suspect {
    /// Time of the loss by replica.
    std::map<ReplicaId, Millis> losses;

    Millis latest_loss() const;
  };

  /// Losses up to `losses_until` no longer count. `succeeded_at` is the time of
  /// the success, or nullopt when the suspect expired.
  struct Clearance {
    Millis losses_until;
    std::optional<Millis> succeeded_at;
  };

  void Clear(Fingerprint fingerprint,
             Millis losses_until,
             std::optional<Millis> succeeded_at);
  bool IsInvalidated(Fingerprint fingerprint,
                     const ReplicaId& replica,
                     Millis lost_at);
  void MergeRecord(const QuarantineRecord& record, Millis now);

  bool m_enabled;
  size_t m_refusal_threshold;
  /// The latest `now` that any call passed; used by events that carry no time.
  mutable Millis m_latest_time;
  std::map<Fingerprint, Suspect> m_suspects;
  std::map<Fingerprint, Clearance> m_cleared;
  /// Losses of these replicas up to the given time do not count.
  std::map<ReplicaId, Millis> m_crash_ruled_out;
  /// Losses that do not count, each with the latest time estimated for it. A
  /// record that arrives again yields a later estimate because of its transit,
  /// and must still be recognised as the same loss.
  std::map<std::pair<Fingerprint, ReplicaId>, Millis> m_invalidated;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_ROUTING_QUARANTINE_H_
