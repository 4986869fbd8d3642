// The attempts in flight of all fan-outs.

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

/// An attempt between its sending and its end.
struct OpenAttempt {
  Fanout* fanout = nullptr;
  Fingerprint fingerprint = 0;
  ReplicaId replica;
  uint32_t shard = 0;
  AttemptRole role = AttemptRole::kFirst;
  Millis sent_at;
};

class AttemptTable {
 public:
  /// Records an attempt and gives it an id that was never used before.
  AttemptId Open(OpenAttempt attempt);

  /// Ends an attempt, which must be open, and returns its record.
  OpenAttempt Close(AttemptId id);

  const OpenAttempt* Find(AttemptId id) const;

  /// How many attempts of a fingerprint are in flight.
  uint32_t InFlight(Fingerprint fingerprint) const;

  /// The requests in flight at a replica, each once, with its latest sending.
  std::vector<Quarantine::InFlight> InFlightAt(const Replica& replica) const;

 private:
  AttemptId m_last_id = 0;
  std::unordered_map<AttemptId, OpenAttempt> m_open;
  std::unordered_map<Fingerprint, uint32_t> m_in_flight;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUERY_ATTEMPT_TABLE_H_
