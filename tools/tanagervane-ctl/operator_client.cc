#include "operator_client.h"

#include <memory>
#include <optional>
#include <utility>

#include "fmt/format.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

std::string OperatorReply::TextOr(std::string_view key,
                                  std::string_view fallback) const {
  if (json.is_object()) {
    const auto found = json.find(std::string(key));
    if (found != json.end() && found->is_string()) {
      return found->get<std::string>();
    }
  }
  return std::string(fallback);
}

OperatorClient::OperatorClient(EventLoop& loop,
                               std::vector<std::string> addresses,
                               Millis timeout)
    : m_loop(loop),
      m_client(4),
      m_addresses(std::move(addresses)),
      m_timeout(timeout) {}

absl::StatusOr<OperatorReply> OperatorClient::Call(const std::string& address,
                                                   std::string_view method,
                                                   std::string_view path,
                                                   const HttpHeaders& headers,
                                                   std::string_view body,
                                                   Millis timeout) {
  const auto result =
      std::make_shared<std::optional<absl::StatusOr<HttpResponse>>>();
  m_client.Send(method, fmt::format("http://{}{}", address, path), headers,
                body, timeout,
                [this, result](absl::StatusOr<HttpResponse> response) {
                  *result = std::move(response);
                  m_loop.Quit();
                });
  // When the address is invalid, Send() has already called the callback.
  if (!*result) {
    m_loop.Run();
  }
  if (!(*result)->ok()) {
    LogEvent("call_failed")
        .Field("address", address)
        .Field("path", path)
        .Field("detail", GetErrorMessage((*result)->status()));
    return (*result)->status();
  }
  HttpResponse& response = ***result;
  auto json = nlohmann::json::parse(response.body, nullptr, false);
  return OperatorReply{response.status, std::move(response.body),
                       std::move(json), address};
}

absl::StatusOr<OperatorReply> OperatorClient::Read(std::string_view path,
                                                   Millis extra_time) {
  absl::StatusOr<OperatorReply> last_result =
      MakeError(ErrorCode::kNotReady, "no operator address is configured");
  for (size_t i = 0; i < m_addresses.size(); ++i) {
    auto reply = Call(m_addresses[m_address_index], "GET", path, {}, "",
                      m_timeout + extra_time);
    if (reply.ok() && reply->status < 500) {
      return reply;
    }
    // Prefer a 5xx reply, which has a body, over a connection error.
    if (reply.ok() || !last_result.ok()) {
      last_result = std::move(reply);
    }
    m_address_index = (m_address_index + 1) % m_addresses.size();
  }
  return last_result;
}

absl::StatusOr<OperatorReply> OperatorClient::Write(std::string_view method,
                                                    std::string_view path,
                                                    const HttpHeaders& headers,
                                                    std::string_view body) {
  absl::StatusOr<OperatorReply> reply =
      MakeError(ErrorCode::kNotReady, "no operator address is configured");
  for (size_t i = 0; i < m_addresses.size(); ++i) {
    reply = Call(m_addresses[m_address_index], method, path, headers, body,
                 m_timeout);
    if (reply.ok() || GetErrorCode(reply.status()) != ErrorCode::kNotReady) {
      return reply;
    }
    m_address_index = (m_address_index + 1) % m_addresses.size();
  }
  return reply;
}

void OperatorClient::Sleep(Millis duration) {
  m_loop.RunAfter(duration, [this] { m_loop.Quit(); });
  m_loop.Run();
}

}  // namespace tanagervane
