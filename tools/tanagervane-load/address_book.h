// The addresses of entries that requests are sent to.

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

/// Learns addresses with GET /v1/addresses and renews them at half of their
/// lifetime. Addresses past their lifetime are not used.
class AddressBook {
 public:
  struct Options {
    std::vector<std::string> seeds;
    /// Addresses in this data centre are used while one of them is usable.
    std::string data_centre;
    /// Sends to the seeds and asks for no addresses, so that a proxy in
    /// between is not bypassed.
    bool use_seeds = false;
  };

  AddressBook(EventLoop& loop, Options options);

  /// Starts fetching; `ready` runs once, when the first addresses are known.
  void Start(std::function<void()> ready);

  /// The next address in turn, not `excluded` where there is another. Nothing
  /// when no address is within its lifetime.
  std::optional<std::string> Pick(std::string_view excluded = "");

  /// Every address known at present.
  std::vector<std::string> All() const;

  /// Avoids an address for a second after a connection error.
  void MarkFailed(const std::string& address);

  size_t fetch_failures() const { return m_fetch_failures; }

 private:
  struct Known {
    std::string address;
    bool near = false;
  };

  void Fetch();
  void OnFetched(const std::string& source,
                 absl::StatusOr<HttpResponse> response);
  bool Adopt(const nlohmann::json& json);
  std::vector<std::string> Usable(std::string_view excluded) const;

  EventLoop& m_loop;
  Options m_options;
  HttpClient m_client;
  std::function<void()> m_ready;
  std::vector<Known> m_known;
  Millis m_lifetime;
  Millis m_valid_until;
  /// Addresses with a recent connection error, and until when they are avoided.
  std::map<std::string, Millis, std::less<>> m_avoided;
  size_t m_next = 0;
  size_t m_next_source = 0;
  size_t m_fetch_failures = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_LOAD_ADDRESS_BOOK_H_
