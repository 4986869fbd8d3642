#include "tanagervane/state/entry_directory.h"

#include <algorithm>
#include <utility>

namespace tanagervane {

EntryDirectory::EntryDirectory(const PeerTable& peers, uint64_t seed)
    : m_peers(peers), m_random(seed) {}

EntryAddresses EntryDirectory::Addresses(std::string_view data_centre,
                                         Millis now) {
  EntryAddresses result;
  result.lifetime = kAddressLifetime;
  for (PeerRecord& record : m_peers.Serving(now)) {
    result.addresses.push_back({std::move(record.id),
                                std::move(record.caller_address),
                                std::move(record.data_centre)});
  }
  auto& addresses = result.addresses;
  for (size_t i = addresses.size(); i > 1; --i) {
    std::swap(addresses[i - 1], addresses[m_random.NextBelow(i)]);
  }
  std::stable_partition(addresses.begin(), addresses.end(),
                        [data_centre](const EntryAddress& address) {
                          return address.data_centre == data_centre;
                        });
  return result;
}

Millis EntryDirectory::ServeUntil(Millis leaving_since,
                                  Millis max_request_duration) {
  return leaving_since + kLeavePropagationDelay + kAddressLifetime +
         max_request_duration;
}

}  // namespace tanagervane
