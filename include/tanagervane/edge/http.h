// HTTP/1.1 server and client based on libsoup, for requests and responses with
// JSON bodies.

#ifndef TANAGERVANE_EDGE_HTTP_H_
#define TANAGERVANE_EDGE_HTTP_H_

#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Request bodies above this size are refused with 413 before they are read.
inline constexpr size_t kMaxBodyBytes = 1 << 20;

struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string, std::less<>> query_parameters;
  /// Header names are in lower case.
  std::map<std::string, std::string, std::less<>> headers;
  std::string body;
  /// Called at most once, when the caller disconnects before a response was
  /// sent. A handler may set it.
  std::shared_ptr<std::function<void()>> on_disconnect =
      std::make_shared<std::function<void()>>();

  /// Returns the query parameter `name`, or `fallback` when it is absent.
  std::string QueryParameterOr(std::string_view name,
                               std::string_view fallback) const;
};

struct HttpResponse {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string, std::less<>> headers;
};

/// Sends the response to one request. A handler calls it exactly once, before
/// it returns or later.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest&, HttpResponder)>;

/// An HTTP listener whose handler runs on the thread's default GLib context.
class HttpServer {
 public:
  explicit HttpServer(HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on `address` ("ip:port").
  absl::Status Listen(std::string_view address);

  /// Stops accepting connections; requests in progress continue.
  void StopAccepting();

  /// The number of requests without a response.
  size_t open_requests() const { return m_open_requests; }

 private:
  friend struct HttpServerCallbacks;

  HttpHandler m_handler;
  SoupServer* m_server;
  size_t m_open_requests = 0;
};

/// An HTTP client that keeps connections open for reuse.
class HttpClient {
 public:
  using Callback = std::function<void(absl::StatusOr<HttpResponse>)>;

  /// Opens at most `max_connections` connections at a time, to one host and in
  /// total; further requests wait for a free one.
  explicit HttpClient(int max_connections);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request. `done` runs once, with the response or with an error, for
  /// example when no response arrived within `timeout`. kNotReady means that no
  /// connection could be opened, so the request was not sent; after any other
  /// error the server may have acted on the request. Each PUT and DELETE uses a
  /// new connection, because libsoup resends a request when a reused connection
  /// was closed, and a conditional write that is sent twice would conflict with
  /// itself.
  void Send(std::string_view method,
            std::string_view url,
            const std::map<std::string, std::string, std::less<>>& headers,
            std::string_view body,
            Millis timeout,
            Callback done);

 private:
  SoupSession* m_session;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_HTTP_H_
