// Blocking calls to the operator listeners of entries.

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

/// A response with its body parsed; `json` is discarded when the body is not
/// JSON.
struct OperatorReply {
  unsigned status = 0;
  std::string body;
  nlohmann::json json;
  std::string address;

  bool ok() const { return status == 200; }

  /// A member of the body as text, or `fallback`.
  std::string TextOr(std::string_view key, std::string_view fallback) const;
};

class OperatorClient {
 public:
  OperatorClient(EventLoop& loop,
                 std::vector<std::string> addresses,
                 Millis timeout);

  /// Reads from the first address that answers, starting with the one that
  /// answered last. An entry that answers 5xx counts as not answering while
  /// others are left.
  absl::StatusOr<OperatorReply> Read(std::string_view path,
                                     Millis extra_time = Millis());

  /// Sends a request that changes something. Another address is tried only
  /// when no connection was made (ErrorCode::kNotReady); any other error
  /// leaves open whether the request took effect.
  absl::StatusOr<OperatorReply> Write(std::string_view method,
                                      std::string_view path,
                                      const HttpHeaders& headers,
                                      std::string_view body);

  /// Lets `time` pass.
  void Sleep(Millis time);

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
  size_t m_current = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_CTL_OPERATOR_CLIENT_H_
