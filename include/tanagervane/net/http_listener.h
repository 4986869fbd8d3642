// An HTTP/1.1 server for many kept connections.

#ifndef TANAGERVANE_NET_HTTP_LISTENER_H_
#define TANAGERVANE_NET_HTTP_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "absl/status/status.h"
#include "tanagervane/http/message.h"
#include "tanagervane/http/reader.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Names one request that waits for its response.
using ExchangeId = uint64_t;

struct HttpListenerOptions {
  MessageLimits limits;
  /// How long a header may take to arrive.
  Millis header_timeout{3000};
  /// How long a connection may stay without a request, and how long a body may
  /// take after its header.
  Millis idle_timeout{15000};
  /// When that many are open, a new connection takes the place of the one that
  /// has been without a request for longest, at the peer with the most.
  size_t max_connections = 1000;
};

struct HttpListenerHooks {
  /// A request has been read in full. Respond() is called for it once, in the
  /// hook or later.
  std::function<void(ExchangeId, HttpRequestMessage)> request;
  /// The caller closed its connection before the response. Respond() is then
  /// ignored for this exchange.
  std::function<void(ExchangeId)> caller_gone;
};

struct HttpListenerStats {
  uint64_t accepted = 0;
  uint64_t requests = 0;
  uint64_t rejected = 0;
  /// Connections without a running request that made room for others.
  uint64_t evicted = 0;
  size_t connections = 0;
};

class HttpListener {
 public:
  HttpListener(Poller& poller,
               HttpListenerOptions options,
               HttpListenerHooks hooks);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Listens on `address` ("ip:port").
  absl::Status Listen(std::string_view address);

  /// Applies to requests that begin later.
  void SetOptions(const HttpListenerOptions& options);

  /// Answers an exchange. Unknown ones are ignored: their caller has gone.
  void Respond(ExchangeId exchange, const HttpResponseMessage& response);

  /// From now on each response closes its connection.
  void CloseAfterResponses();

  /// Closes the listening socket and the connections without a request.
  void StopAccepting();

  /// Enforces the timeouts; call it a few times a second.
  void Sweep();

  /// Requests without a response, and responses not yet written out.
  size_t pending() const;

  const HttpListenerStats& stats() const { return m_stats; }

 private:
  class Connection;

  void Accept();
  /// Closes a connection that runs no request. False when there is none.
  bool MakeRoom();
  void Drop(uint64_t connection);

  Poller& m_poller;
  HttpListenerOptions m_options;
  HttpListenerHooks m_hooks;
  HttpListenerStats m_stats;
  int m_descriptor = -1;
  bool m_closing = false;
  uint64_t m_next_connection = 0;
  /// Open connections by the peer's address, in network byte order.
  std::unordered_map<uint32_t, size_t> m_by_peer;
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> m_connections;
  /// Connections dropped while one of their hooks may still run.
  std::vector<std::unique_ptr<Connection>> m_dropped;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_HTTP_LISTENER_H_
