// HTTP client for the platform's object API.

#ifndef TANAGERVANE_EDGE_PLATFORM_CLIENT_H_
#define TANAGERVANE_EDGE_PLATFORM_CLIENT_H_

#include <cstdint>
#include <string>

#include "tanagervane/edge/http.h"
#include "tanagervane/state/platform_api.h"

namespace tanagervane {

/// Reads, writes and watches the platform's objects and its VM list.
class PlatformClient {
 public:
  /// `address` is the platform's "ip:port".
  explicit PlatformClient(std::string address);

  /// Returns functions that call this client. They must not be used after its
  /// destruction.
  PlatformApi api();

  /// The number of calls made, including watches.
  uint64_t calls() const { return m_calls; }

 private:
  std::string ObjectUrl(const std::string& kind, const std::string& name) const;
  void Write(std::string_view method,
             const std::string& url,
             uint64_t expected_version,
             const std::string& value,
             PlatformApi::ObjectDone done);
  void Read(const std::string& url,
            Millis timeout,
            PlatformApi::ObjectDone done);

  std::string m_base_url;
  HttpClient m_http;
  uint64_t m_calls = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_PLATFORM_CLIENT_H_
