// Recognition of requests that crash the backend servers that run them.

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

/// Identifies a request by class, index and payload.
using Fingerprint = uint64_t;

Fingerprint MakeFingerprint(std::string_view class_name,
                            std::string_view index,
                            std::string_view payload);

/// What one entry tells another of a suspect.
struct QuarantineRecord {
  Fingerprint fingerprint = 0;
  /// Empty when the request succeeded: the losses before that are void.
  std::vector<ReplicaId> lost_replicas;
  /// Time since the latest loss, or since the success.
  Millis age;
};

class Quarantine {
 public:
  enum class Verdict {
    kClear,
    kSuspect,  ///< One replica was lost: run on one replica at a time.
    kRefused,  ///< As many replicas were lost as it takes.
  };

  /// A request is refused after `refused_after` lost replicas.
  explicit Quarantine(bool enabled, size_t refused_after = 2)
      : m_enabled(enabled), m_refused_after(refused_after) {}

  Verdict Check(Fingerprint fingerprint, Millis now) const;

  /// A request that ran on a replica whose connection was lost.
  struct InFlight {
    Fingerprint fingerprint = 0;
    Millis sent;
  };

  /// A replica's connection was lost while it ran these requests. A request
  /// that had been sent before the latest loss held against it is not blamed
  /// again: replicas that die together, for another cause, are one piece of
  /// evidence. Only a request that was sent after a loss and loses its replica
  /// as well adds to it.
  void OnReplicaLost(const ReplicaId& replica,
                     std::span<const InFlight> in_flight,
                     Millis now);

  /// The request succeeded somewhere: it is not to blame.
  void OnSuccess(Fingerprint fingerprint);

  /// The replica came back with its old incarnation: it had not crashed.
  void OnReplicaSurvived(const ReplicaId& replica);

  /// Takes what another entry knows.
  void Merge(std::span<const QuarantineRecord> records, Millis now);

  /// What to tell other entries; at most 64 records, the latest first.
  std::vector<QuarantineRecord> Export(Millis now) const;

  /// Forgets suspects older than ten minutes.
  void Expire(Millis now);

 private:
  struct Suspect {
    /// When each replica was lost.
    std::map<ReplicaId, Millis> losses;

    Millis latest_loss() const;
  };

  /// Losses up to `until` are void. `at` is the time of the success, or
  /// nothing when the suspect merely expired.
  struct Cleared {
    Millis until;
    std::optional<Millis> at;
  };

  void Clear(Fingerprint fingerprint, Millis until, std::optional<Millis> at);
  bool IsVoid(Fingerprint fingerprint,
              const ReplicaId& replica,
              Millis lost_at);
  void MergeOne(const QuarantineRecord& record, Millis now);

  bool m_enabled;
  size_t m_refused_after;
  /// Latest time seen; the events without a time of their own use it.
  mutable Millis m_now;
  std::map<Fingerprint, Suspect> m_suspects;
  std::map<Fingerprint, Cleared> m_cleared;
  /// Losses of these replicas up to the time given are void.
  std::map<ReplicaId, Millis> m_survived;
  /// Losses found void, as last dated: one that arrives again must stay void
  /// although its way here dates it later.
  std::map<std::pair<Fingerprint, ReplicaId>, Millis> m_voided;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_ROUTING_QUARANTINE_H_
