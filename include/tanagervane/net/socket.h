// Thin helpers over IPv4 sockets.

#ifndef TANAGERVANE_NET_SOCKET_H_
#define TANAGERVANE_NET_SOCKET_H_

#include <netinet/in.h>

#include <string_view>

#include "absl/status/statusor.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Parses "ip:port". Fails with kInvalidRequest.
absl::StatusOr<sockaddr_in> ParseSocketAddress(std::string_view address);

/// The same address as "ip:port".
std::string FormatAddress(const sockaddr_in& address);

/// A non-blocking TCP listener. The descriptor belongs to the caller.
absl::StatusOr<int> ListenTcp(const sockaddr_in& address);

/// Starts a non-blocking connection. The descriptor belongs to the caller;
/// it becomes writable when the connection stands or has failed. Bytes that
/// stay unacknowledged for `silence_limit` end the connection.
absl::StatusOr<int> StartConnect(const sockaddr_in& address,
                                 Millis silence_limit);

/// The pending error of a socket, zero when there is none.
int TakeSocketError(int descriptor);

/// A bound non-blocking UDP socket. The descriptor belongs to the caller.
absl::StatusOr<int> BindUdp(const sockaddr_in& address);

/// Has the kernel probe a quiet peer every second and give up after two lost
/// probes.
void EnableKeepAlive(int descriptor);

/// Switches off the delay of small segments.
void SetNoDelay(int descriptor);

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_SOCKET_H_
