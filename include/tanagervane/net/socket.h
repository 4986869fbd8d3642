// Helpers for IPv4 sockets. All sockets are non-blocking.

#ifndef TANAGERVANE_NET_SOCKET_H_
#define TANAGERVANE_NET_SOCKET_H_

#include <netinet/in.h>

#include <string_view>

#include "absl/status/statusor.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Parses "ip:port". Fails with kInvalidRequest.
absl::StatusOr<sockaddr_in> ParseSocketAddress(std::string_view address);

/// Formats `address` as "ip:port".
std::string FormatAddress(const sockaddr_in& address);

/// Opens a non-blocking TCP listener. The caller owns the descriptor.
absl::StatusOr<int> ListenTcp(const sockaddr_in& address);

/// Starts a non-blocking connection. The caller owns the descriptor, which
/// becomes writable once the connection is established or has failed. The
/// connection fails when sent bytes stay unacknowledged for `ack_timeout`.
absl::StatusOr<int> StartConnect(const sockaddr_in& address,
                                 Millis ack_timeout);

/// Returns and clears the pending error (SO_ERROR) of a socket, or zero.
int TakeSocketError(int descriptor);

/// Returns the bytes that were sent on a TCP socket and that the peer has not
/// acknowledged, or -1 if that is unknown.
int UnacknowledgedBytes(int descriptor);

/// Opens a non-blocking UDP socket bound to `address`. The caller owns the
/// descriptor.
absl::StatusOr<int> BindUdp(const sockaddr_in& address);

/// Turns on TCP keep-alive: a probe after each second without traffic. The
/// connection fails after two unanswered probes.
void EnableKeepAlive(int descriptor);

/// Turns off Nagle's algorithm, which delays small segments.
void SetNoDelay(int descriptor);

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_SOCKET_H_
