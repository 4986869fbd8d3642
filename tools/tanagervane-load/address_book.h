// Discovery of the entry addresses that the load generator sends requests to.

#ifndef TANAGERVANE_TOOLS_LOAD_ADDRESS_BOOK_H_
#define TANAGERVANE_TOOLS_LOAD_ADDRESS_BOOK_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"
#include "tanagervane/edge/http.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Fetches entry addresses with GET /v1/addresses and refreshes them after half
/// of their lifetime. Expired addresses are not used.
class AddressBook {
 public:
  struct Options {
    /// The first address list is fetched from these entries; later fetches
    /// rotate through known addresses and seeds.
    std::vector<std::string> seeds;
    /// Addresses in this data centre are preferred while one of them is neither
    /// excluded nor avoided.
    std::string data_centre;
    /// Sends requests to the seeds and fetches no addresses. Needed when the
    /// seeds are proxies, which fetched entry addresses would bypass.
    bool use_seeds = false;
  };

  AddressBook(EventLoop& loop, Options options);

  /// Starts fetching addresses. `ready` runs once, after the first successful
  /// fetch.
  void Start(std::function<void()> ready);

  /// Returns the next address in round-robin order; returns `excluded` only
  /// when it is the only one. Returns std::nullopt when all addresses have
  /// expired.
  std::optional<std::string> NextAddress(std::string_view excluded = "");

  /// Returns all addresses of the latest list, including avoided and expired
  /// ones.
  std::vector<std::string> AllAddresses() const;

  /// Avoids `address` for a second. Called after a connection error.
  void MarkFailed(const std::string& address);

  size_t fetch_failures() const { return m_fetch_failures; }

 private:
  struct KnownAddress {
    std::string address;
    bool in_preferred_data_centre = false;
  };

  void Fetch();
  void OnFetched(const std::string& source,
                 absl::StatusOr<HttpResponse> response);
  /// Replaces the address list; returns false when `json` is no valid list.
  bool ApplyAddressList(const nlohmann::json& json);
  /// Returns the unexpired addresses that share the best preference rank.
  std::vector<std::string> PreferredAddresses(std::string_view excluded) const;

  EventLoop& m_loop;
  Options m_options;
  HttpClient m_client;
  std::function<void()> m_ready;
  std::vector<KnownAddress> m_known_addresses;
  Millis m_lifetime;
  Millis m_expires_at;
  /// The time until which each address with a connection error is avoided.
  std::map<std::string, Millis, std::less<>> m_avoided_until;
  size_t m_next = 0;
  size_t m_next_source = 0;
  size_t m_fetch_failures = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_LOAD_ADDRESS_BOOK_H_
