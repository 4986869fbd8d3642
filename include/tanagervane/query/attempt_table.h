#ifndef TANAGERVANE_QUERY_ATTEMPT_TABLE_H_
#define TANAGERVANE_QUERY_ATTEMPT_TABLE_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "tanagervane/query/types.h"
#include "tanagervane/routing/quarantine.h"
#include "tanagervane/routing/replica_table.h"

namespace tanagervane {

class Fanout;

enum class AttemptRole { kFirst, kHedge, kRetry };

/// An attempt that was sent and whose outcome is not known yet.
struct OpenAttempt {
  Fanout* fanout = nullptr;
  Fingerprint fingerprint = 0;
  ReplicaId replica;
  uint32_t shard = 0;
  AttemptRole role = AttemptRole::kFirst;
  Millis sent_at;
};

/// The open attempts of all fan-outs.
class AttemptTable {
 public:
  /// Adds an attempt and returns its id, which is never reused.
  AttemptId Open(OpenAttempt attempt);

  /// Removes an attempt, which must be open, and returns it.
  OpenAttempt Close(AttemptId id);

  /// Returns null when the attempt is not open.
  const OpenAttempt* Find(AttemptId id) const;

  /// The number of open attempts of requests with this fingerprint.
  uint32_t CountInFlight(Fingerprint fingerprint) const;

  /// The requests in flight at a replica: each fingerprint once, with the time
  /// at which its latest attempt was sent.
  std::vector<Quarantine::InFlightRequest> RequestsInFlightAt(
      const Replica& replica) const;

 private:
  AttemptId m_last_id = 0;
  std::unordered_map<AttemptId, OpenAttempt> m_open;
  std::unordered_map<Fingerprint, uint32_t> m_in_flight_by_fingerprint;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUERY_ATTEMPT_TABLE_H_
