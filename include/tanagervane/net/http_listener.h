// The server side of HTTP/1.1 over persistent connections.

#ifndef TANAGERVANE_NET_HTTP_LISTENER_H_
#define TANAGERVANE_NET_HTTP_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "absl/status/status.h"
#include "tanagervane/http/message.h"
#include "tanagervane/http/reader.h"
#include "tanagervane/net/memory_account.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Identifies a request that has been read and not yet answered.
using ExchangeId = uint64_t;

struct HttpListenerOptions {
  MessageLimits limits;
  /// Time within which a request header must arrive.
  Millis header_timeout{3000};
  /// Time for which a connection may stay without a request, and which a body
  /// may take in addition to `header_timeout`.
  Millis idle_timeout{15000};
  /// When this many connections are open, a new one evicts the connection
  /// without a running request that has been unused for longest, among those of
  /// the peer with the most connections.
  size_t max_connections = 1000;
  /// A connection whose caller takes no byte of its response for this long is
  /// closed.
  Millis output_timeout{5000};
  /// Bounds what the connections hold, together with those of other listeners.
  /// May be nullptr; must outlive the listener otherwise.
  MemoryAccount* memory = nullptr;
};

struct HttpListenerHooks {
  /// Called when a request has been read in full. Respond() must then be called
  /// once for it, in the hook or later.
  std::function<void(ExchangeId, HttpRequestMessage)> on_request;
  /// Called when the caller has closed its connection before the response.
  /// Respond() is then ignored for this exchange.
  std::function<void(ExchangeId)> on_caller_disconnected;
  /// Called once for a request when its header is complete and before its body
  /// is read; the message has no body yet. If it returns a response, that is
  /// sent, `on_request` is not called, and the connection is closed unless the
  /// whole request has arrived already. May be empty.
  std::function<std::optional<HttpResponseMessage>(const HttpRequestMessage&)>
      on_header{};
};

struct HttpListenerStats {
  uint64_t accepted = 0;
  uint64_t requests = 0;
  /// Requests answered with an error because they were malformed, too large or
  /// too slow, and connections closed on accept because of `max_connections`.
  uint64_t refused = 0;
  /// Connections without a running request that were closed to free a slot or a
  /// descriptor for a new connection.
  uint64_t evicted = 0;
  /// Requests that the header hook answered.
  uint64_t answered_at_header = 0;
  /// Requests refused as not run, and connections closed while their caller did
  /// not take a response, because of the memory limit.
  uint64_t refused_for_memory = 0;
  uint64_t closed_for_memory = 0;
  /// Requests that did not arrive in time, and connections closed because their
  /// caller took no byte of a response in time.
  uint64_t input_timeouts = 0;
  uint64_t output_timeouts = 0;
  /// Connections that are open now.
  size_t connections = 0;
};

/// An HTTP/1.1 server for many persistent connections, each of which carries
/// one request at a time.
class HttpListener {
 public:
  HttpListener(Poller& poller,
               HttpListenerOptions options,
               HttpListenerHooks hooks);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Listens on `address` ("ip:port"). Does nothing after a success.
  absl::Status Listen(std::string_view address);

  /// Replaces the options. Message limits apply to requests that begin later.
  void SetOptions(const HttpListenerOptions& options);

  /// Answers an exchange. An unknown exchange is ignored, because its caller
  /// has disconnected.
  void Respond(ExchangeId exchange, const HttpResponseMessage& response);

  /// From now on, closes each connection after its next response.
  void CloseAfterResponses();

  /// Closes the listening socket and all idle connections.
  void StopAccepting();

  /// Enforces the timeouts and frees closed connections. Call it a few times a
  /// second.
  void EnforceTimeouts();

  /// Number of connections whose request is unanswered or whose response is not
  /// yet fully written.
  size_t pending() const;

  const HttpListenerStats& stats() const { return m_stats; }

 private:
  class Connection;

  void Accept();
  /// Closes a connection that neither runs a request nor writes a response.
  /// Returns false if there is none.
  bool EvictConnection();
  void CloseConnection(uint64_t id);

  Poller& m_poller;
  HttpListenerOptions m_options;
  HttpListenerHooks m_hooks;
  HttpListenerStats m_stats;
  int m_listen_descriptor = -1;
  bool m_close_after_responses = false;
  uint64_t m_last_connection_id = 0;
  /// Number of open connections by peer address in network byte order.
  std::unordered_map<uint32_t, size_t> m_connections_per_peer;
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> m_connections;
  /// Closed connections whose hooks may still be on the stack.
  std::vector<std::unique_ptr<Connection>> m_closed_connections;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_HTTP_LISTENER_H_
