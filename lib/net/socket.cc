// Helpers for IPv4 sockets.

#include "tanagervane/net/socket.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <string>

#include "fmt/format.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

/// Connections that may wait to be accepted. When the queue is full,
/// new connections are dropped, and callers wait seconds for the next SYN.
constexpr int kListenBacklog = 1024;

/// Interval of keep-alive probes in seconds, and the number of unanswered
/// probes after which the connection fails.
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kMaxLostProbes = 2;

absl::Status SystemError(std::string_view system_call) {
  return MakeError(
      ErrorCode::kNotReady,
      fmt::format("{} failed: {}", system_call, std::strerror(errno)));
}

absl::StatusOr<int> Bind(int type, const sockaddr_in& address) {
  const int descriptor =
      socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return SystemError("socket");
  }
  const int enabled = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    const absl::Status status = SystemError("bind");
    close(descriptor);
    return status;
  }
  return descriptor;
}

}  // namespace

absl::StatusOr<sockaddr_in> ParseSocketAddress(std::string_view address) {
  const auto invalid = [&](std::string_view reason) {
    return MakeError(ErrorCode::kInvalidRequest,
                     fmt::format("\"{}\" is not ip:port: {}", address, reason));
  };
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return invalid("no colon");
  }
  sockaddr_in result{};
  result.sin_family = AF_INET;
  const std::string ip(address.substr(0, colon));
  if (inet_pton(AF_INET, ip.c_str(), &result.sin_addr) != 1) {
    return invalid("no valid IPv4 address");
  }
  const std::string_view digits = address.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      port == 0) {
    return invalid("no valid port");
  }
  result.sin_port = htons(port);
  return result;
}

std::string FormatAddress(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> ip{};
  inet_ntop(AF_INET, &address.sin_addr, ip.data(), ip.size());
  return fmt::format("{}:{}", ip.data(), ntohs(address.sin_port));
}

absl::StatusOr<int> ListenTcp(const sockaddr_in& address) {
  absl::StatusOr<int> descriptor = Bind(SOCK_STREAM, address);
  if (!descriptor.ok()) {
    return descriptor;
  }
  if (listen(*descriptor, kListenBacklog) != 0) {
    const absl::Status status = SystemError("listen");
    close(*descriptor);
    return status;
  }
  return descriptor;
}

absl::StatusOr<int> StartConnect(const sockaddr_in& address,
                                 Millis ack_timeout) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return SystemError("socket");
  }
  SetNoDelay(descriptor);
  const auto timeout_ms = static_cast<unsigned>(ack_timeout.count());
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof(timeout_ms));
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    const absl::Status status = SystemError("connect");
    close(descriptor);
    return status;
  }
  return descriptor;
}

int TakeSocketError(int descriptor) {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

int UnacknowledgedBytes(int descriptor) {
  int bytes = 0;
  return ioctl(descriptor, SIOCOUTQ, &bytes) == 0 ? bytes : -1;
}

absl::StatusOr<int> BindUdp(const sockaddr_in& address) {
  return Bind(SOCK_DGRAM, address);
}

void EnableKeepAlive(int descriptor) {
  const int enabled = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
  for (const int option : {TCP_KEEPIDLE, TCP_KEEPINTVL}) {
    setsockopt(descriptor, IPPROTO_TCP, option, &kKeepAliveIntervalSeconds,
               sizeof(kKeepAliveIntervalSeconds));
  }
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kMaxLostProbes,
             sizeof(kMaxLostProbes));
}

void SetNoDelay(int descriptor) {
  const int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

}  // namespace tanagervane
