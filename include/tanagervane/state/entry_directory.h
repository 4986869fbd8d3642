// Addresses of entries for callers.

#ifndef TANAGERVANE_STATE_ENTRY_DIRECTORY_H_
#define TANAGERVANE_STATE_ENTRY_DIRECTORY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/state/peer_table.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// How long a caller may use an address.
inline constexpr Millis kAddressLifetime{5000};

/// Time after which no entry returns the address of an entry that began to
/// leave: either it has received the state kLeaving by gossip, or it suspects
/// the leaving entry, whose heartbeat has not progressed for kSuspectTimeout.
inline constexpr Millis kLeavePropagationDelay{2000};

struct EntryAddress {
  std::string id;
  std::string caller_address;
  std::string data_centre;
};

struct EntryAddresses {
  std::vector<EntryAddress> addresses;
  Millis lifetime;
};

/// Selects the addresses of entries that callers may use.
class EntryDirectory {
 public:
  /// `peers` must outlive the directory.
  EntryDirectory(const PeerTable& peers, uint64_t seed);

  /// Returns the serving entries, those in `data_centre` first, in random order
  /// within each group.
  EntryAddresses Addresses(std::string_view data_centre, Millis now);

  /// Returns the time until which an entry that began to leave at
  /// `leaving_since` must accept and finish requests. `max_request_duration` is
  /// the longest time that a request may take.
  static Millis ServeUntil(Millis leaving_since, Millis max_request_duration);

 private:
  const PeerTable& m_peers;
  Random m_random;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_ENTRY_DIRECTORY_H_
