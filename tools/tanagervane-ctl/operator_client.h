// Blocking HTTP calls to the operator listeners of entries.

#ifndef TANAGERVANE_TOOLS_CTL_OPERATOR_CLIENT_H_
#define TANAGERVANE_TOOLS_CTL_OPERATOR_CLIENT_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"
#include "tanagervane/edge/http.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

using HttpHeaders = std::map<std::string, std::string, std::less<>>;

/// A response and its parsed body. `json` is `discarded` when the body is not
/// valid JSON.
struct OperatorReply {
  unsigned status = 0;
  std::string body;
  nlohmann::json json;
  /// The address that answered.
  std::string address;

  bool ok() const { return status == 200; }

  /// Returns a string member of the body, or `fallback`.
  std::string TextOr(std::string_view key, std::string_view fallback) const;
};

/// Calls one of several operator listeners and blocks until it replies.
class OperatorClient {
 public:
  OperatorClient(EventLoop& loop,
                 std::vector<std::string> addresses,
                 Millis timeout);

  /// Sends a GET request. Tries the addresses in turn, starting with the one
  /// that answered last, until one answers with a status below 500. When none
  /// does, returns the last 5xx reply, or else the last error. `extra_time` is
  /// added to the timeout of each call.
  absl::StatusOr<OperatorReply> Read(std::string_view path,
                                     Millis extra_time = Millis());

  /// Sends a request that may change state. The next address is tried only when
  /// no connection was made (ErrorCode::kNotReady); after any other error it is
  /// unknown whether the request took effect.
  absl::StatusOr<OperatorReply> Write(std::string_view method,
                                      std::string_view path,
                                      const HttpHeaders& headers,
                                      std::string_view body);

  /// Runs the event loop for `duration`.
  void Sleep(Millis duration);

  EventLoop& loop() { return m_loop; }

 private:
  absl::StatusOr<OperatorReply> Call(const std::string& address,
                                     std::string_view method,
                                     std::string_view path,
                                     const HttpHeaders& headers,
                                     std::string_view body,
                                     Millis timeout);

  EventLoop& m_loop;
  HttpClient m_client;
  std::vector<std::string> m_addresses;
  Millis m_timeout;
  /// Index in m_addresses of the address to try first.
  size_t m_address_index = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_CTL_OPERATOR_CLIENT_H_
