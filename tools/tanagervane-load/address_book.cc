// Fetching, expiry and selection of entry addresses.

#include "address_book.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr Millis kFetchTimeout{1000};
constexpr Millis kFetchRetryInterval{200};
constexpr Millis kAvoidDuration{1000};
// A lifetime near zero would make the refresh timer a busy loop.
constexpr double kMinLifetimeMs = 100;

}  // namespace

AddressBook::AddressBook(EventLoop& loop, Options options)
    : m_loop(loop), m_options(std::move(options)), m_client(4) {
  if (m_options.use_seeds) {
    for (const std::string& seed : m_options.seeds) {
      m_known_addresses.push_back({seed, false});
    }
  }
}

void AddressBook::Start(std::function<void()> ready) {
  if (m_options.use_seeds) {
    m_loop.Post(std::move(ready));
    return;
  }
  m_ready = std::move(ready);
  Fetch();
}

void AddressBook::Fetch() {
  std::vector<std::string> sources = PreferredAddresses("");
  // Fetches rotate through known addresses and seeds, so that they go on when
  // either group is unreachable.
  sources.insert(sources.end(), m_options.seeds.begin(), m_options.seeds.end());
  const std::string source = sources[m_next_source++ % sources.size()];
  std::string url = fmt::format("http://{}/v1/addresses", source);
  if (!m_options.data_centre.empty()) {
    url += "?data_centre=" + m_options.data_centre;
  }
  m_client.Send("GET", url, {}, "", kFetchTimeout,
                [this, source](absl::StatusOr<HttpResponse> response) {
                  OnFetched(source, std::move(response));
                });
}

void AddressBook::OnFetched(const std::string& source,
                            absl::StatusOr<HttpResponse> response) {
  const bool applied =
      response.ok() && response->status == 200 &&
      ApplyAddressList(nlohmann::json::parse(response->body, nullptr, false));
  if (!applied) {
    ++m_fetch_failures;
    LogEvent("addresses_failed")
        .Field("source", source)
        .Field("detail",
               response.ok()
                   ? fmt::format("http status {}, no valid address list",
                                 response->status)
                   : std::string(response.status().message()));
    m_loop.RunAfter(kFetchRetryInterval, [this] { Fetch(); });
    return;
  }
  m_loop.RunAfter(m_lifetime * 0.5, [this] { Fetch(); });
  if (m_ready) {
    std::exchange(m_ready, nullptr)();
  }
}

bool AddressBook::ApplyAddressList(const nlohmann::json& json) {
  if (!json.is_object() || !json.contains("addresses") ||
      !json["addresses"].is_array() || !json.contains("lifetime_ms") ||
      !json["lifetime_ms"].is_number()) {
    return false;
  }
  std::vector<KnownAddress> addresses;
  for (const auto& item : json["addresses"]) {
    if (!item.is_object() || !item.contains("address") ||
        !item["address"].is_string()) {
      return false;
    }
    const bool in_preferred_data_centre =
        !m_options.data_centre.empty() && item.contains("data_centre") &&
        item["data_centre"] == m_options.data_centre;
    addresses.push_back(
        {item["address"].get<std::string>(), in_preferred_data_centre});
  }
  if (addresses.empty()) {
    return false;
  }
  m_known_addresses = std::move(addresses);
  m_lifetime =
      Millis(std::max(json["lifetime_ms"].get<double>(), kMinLifetimeMs));
  m_expires_at = m_loop.Now() + m_lifetime;
  return true;
}

std::vector<std::string> AddressBook::PreferredAddresses(
    std::string_view excluded) const {
  const Millis now = m_loop.Now();
  if (!m_options.use_seeds && now >= m_expires_at) {
    return {};
  }
  // Rank, best first: in the preferred data centre and not avoided, not
  // avoided, not excluded, any.
  std::vector<std::string> best;
  int best_rank = -1;
  for (const KnownAddress& known : m_known_addresses) {
    const auto avoided_until = m_avoided_until.find(known.address);
    const bool available =
        avoided_until == m_avoided_until.end() || avoided_until->second <= now;
    int rank = 0;
    if (known.address != excluded) {
      rank = 1 + (available ? 2 : 0) +
             (known.in_preferred_data_centre && available ? 1 : 0);
    }
    if (rank > best_rank) {
      best.clear();
      best_rank = rank;
    }
    if (rank == best_rank) {
      best.push_back(known.address);
    }
  }
  return best;
}

std::optional<std::string> AddressBook::NextAddress(std::string_view excluded) {
  const auto candidates = PreferredAddresses(excluded);
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[m_next++ % candidates.size()];
}

std::vector<std::string> AddressBook::AllAddresses() const {
  std::vector<std::string> all;
  all.reserve(m_known_addresses.size());
  for (const KnownAddress& known : m_known_addresses) {
    all.push_back(known.address);
  }
  return all;
}

void AddressBook::MarkFailed(const std::string& address) {
  m_avoided_until[address] = m_loop.Now() + kAvoidDuration;
}

}  // namespace tanagervane
