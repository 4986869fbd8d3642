// Implements the HTTP server and client with libsoup.

#include "tanagervane/edge/http.h"

#include <libsoup/soup.h>
#include <sys/socket.h>

#include <cassert>
#include <cerrno>
#include <charconv>
#include <utility>

#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

// GLib's default of 10 overflows when many clients connect at once; they
// then wait for a TCP retransmission.
constexpr int kListenBacklog = 1024;

std::string ErrorMessage(GError* error) {
  std::string message = error ? error->message : "no error detail given";
  g_clear_error(&error);
  return message;
}

absl::StatusOr<GSocketAddress*> ParseAddress(std::string_view address) {
  const size_t colon = address.rfind(':');
  unsigned port = 0;
  if (colon != std::string_view::npos) {
    const std::string_view digits = address.substr(colon + 1);
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size()) {
      port = 0;
    }
  }
  if (port == 0 || port > 65535) {
    return MakeError(ErrorCode::kInvalidRequest,
                     "address must have the form ip:port", address);
  }
  const std::string ip(address.substr(0, colon));
  GSocketAddress* result = g_inet_socket_address_new_from_string(
      ip.c_str(), static_cast<guint>(port));
  if (!result) {
    return MakeError(ErrorCode::kInvalidRequest, "not an IP address", address);
  }
  return result;
}

void CopyHeader(const char* name, const char* value, gpointer data) {
  auto* headers =
      static_cast<std::map<std::string, std::string, std::less<>>*>(data);
  gchar* lower = g_ascii_strdown(name, -1);
  (*headers)[lower] = value;
  g_free(lower);
}

HttpRequest ReadRequest(SoupServerMessage* message,
                        const char* path,
                        GHashTable* query) {
  HttpRequest request;
  request.method = soup_server_message_get_method(message);
  request.path = path;
  if (query) {
    GHashTableIter iter;
    gpointer key = nullptr;
    gpointer value = nullptr;
    g_hash_table_iter_init(&iter, query);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
      request.query_parameters[static_cast<char*>(key)] =
          static_cast<char*>(value);
    }
  }
  soup_message_headers_foreach(soup_server_message_get_request_headers(message),
                               CopyHeader, &request.headers);
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  GBytes* bytes = soup_message_body_flatten(body);
  gsize size = 0;
  const void* data = g_bytes_get_data(bytes, &size);
  request.body.assign(static_cast<const char*>(data), size);
  g_bytes_unref(bytes);
  return request;
}

void WriteResponse(SoupServerMessage* message, const HttpResponse& response) {
  soup_server_message_set_status(message, response.status, nullptr);
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message);
  for (const auto& [name, value] : response.headers) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  soup_server_message_set_response(message, response.content_type.c_str(),
                                   SOUP_MEMORY_COPY, response.body.data(),
                                   response.body.size());
}

// Refuses a request body that is too large or of unknown size, before it is
// read.
void CheckBodySize(SoupServer*,
                   SoupServerMessage* message,
                   const char*,
                   GHashTable*,
                   gpointer) {
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
  const goffset length = soup_message_headers_get_content_length(headers);
  const bool chunked = encoding == SOUP_ENCODING_CHUNKED;
  if (!chunked && length <= static_cast<goffset>(kMaxBodyBytes)) {
    return;
  }
  HttpResponse refusal;
  refusal.status = chunked ? 411U : 413U;
  refusal.body = chunked ? R"({"error":"invalid_request","outcome":"not_run",)"
                           R"("detail":"Content-Length is required"})"
                         : R"({"error":"body_too_large","outcome":"not_run",)"
                           R"("detail":"body exceeds 1 MiB"})";
  WriteResponse(message, refusal);
  // libsoup still reads the body to its end; without this it would also buffer
  // it.
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(message), FALSE);
  // The unread body follows on this connection, so it cannot be reused.
  soup_message_headers_replace(
      soup_server_message_get_response_headers(message), "Connection", "close");
}

}  // namespace

std::string HttpRequest::QueryParameterOr(std::string_view name,
                                          std::string_view fallback) const {
  const auto it = query_parameters.find(name);
  return std::string(it == query_parameters.end() ? fallback : it->second);
}

namespace {

/// State of one request, shared by its responder and the callbacks of its
/// connection.
struct Exchange {
  bool answered = false;
  bool disconnected = false;
  std::shared_ptr<std::function<void()>> on_disconnect;
  /// Watches the socket for a disconnect while the request has no response.
  GSource* socket_watch = nullptr;

  void StopSocketWatch() {
    if (GSource* watch = std::exchange(socket_watch, nullptr)) {
      g_source_destroy(watch);
      g_source_unref(watch);
    }
  }

  void Disconnect() {
    StopSocketWatch();
    disconnected = true;
    if (!answered && *on_disconnect) {
      std::exchange(*on_disconnect, nullptr)();
    }
  }
};

using ExchangePointer = std::shared_ptr<Exchange>;

void OnDisconnected(SoupServerMessage*, gpointer data) {
  const ExchangePointer exchange = *static_cast<ExchangePointer*>(data);
  exchange->Disconnect();
}

// A readable socket has either been closed by the client or holds a pipelined
// request; a read of zero bytes tells them apart.
gboolean OnSocketReadable(GSocket* socket, GIOCondition, gpointer data) {
  const ExchangePointer exchange = *static_cast<ExchangePointer*>(data);
  char byte = 0;
  const ssize_t count =
      recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // The error of a reset is taken off the socket here.
  if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
    exchange->Disconnect();
  } else {
    exchange->StopSocketWatch();
  }
  return G_SOURCE_REMOVE;
}

void DeleteExchange(gpointer data) {
  delete static_cast<ExchangePointer*>(data);
}

void DeleteExchangeClosure(gpointer data, GClosure*) {
  DeleteExchange(data);
}

// libsoup does not read from a connection whose request is paused, so it does
// not notice that the client disconnects.
void WatchSocket(SoupServerMessage* message, const ExchangePointer& exchange) {
  GSocket* socket = soup_server_message_get_socket(message);
  if (!socket) {
    return;
  }
  GSource* watch = g_socket_create_source(socket, G_IO_IN, nullptr);
  g_source_set_callback(watch, G_SOURCE_FUNC(OnSocketReadable),
                        new ExchangePointer(exchange), DeleteExchange);
  g_source_attach(watch, g_main_context_get_thread_default());
  exchange->socket_watch = watch;
}

}  // namespace

/// libsoup callbacks with access to HttpServer's private members.
struct HttpServerCallbacks {
  static void Handle(SoupServer*,
                     SoupServerMessage* message,
                     const char* path,
                     GHashTable* query,
                     gpointer user_data) {
    auto* server = static_cast<HttpServer*>(user_data);
    const HttpRequest request = ReadRequest(message, path, query);
    auto exchange = std::make_shared<Exchange>();
    exchange->on_disconnect = request.on_disconnect;
    g_signal_connect_data(message, "disconnected", G_CALLBACK(OnDisconnected),
                          new ExchangePointer(exchange), DeleteExchangeClosure,
                          static_cast<GConnectFlags>(0));
    g_object_ref(message);
    soup_server_message_pause(message);
    ++server->m_open_requests;
    WatchSocket(message, exchange);
    server->m_handler(request, [server, message,
                                exchange](const HttpResponse& response) {
      assert(!exchange->answered && "an HTTP request is answered exactly once");
      exchange->answered = true;
      --server->m_open_requests;
      if (!exchange->disconnected) {
        WriteResponse(message, response);
        soup_server_message_unpause(message);
      }
      g_object_unref(message);
    });
  }
};

HttpServer::HttpServer(HttpHandler handler)
    : m_handler(std::move(handler)),
      m_server(soup_server_new("server-header", "tanagervane", nullptr)) {
  soup_server_add_early_handler(m_server, nullptr, CheckBodySize, this,
                                nullptr);
  soup_server_add_handler(m_server, nullptr, HttpServerCallbacks::Handle, this,
                          nullptr);
}

HttpServer::~HttpServer() {
  soup_server_disconnect(m_server);
  g_object_unref(m_server);
}

absl::Status HttpServer::Listen(std::string_view address) {
  auto parsed = ParseAddress(address);
  if (!parsed.ok()) {
    return parsed.status();
  }
  GSocketAddress* socket_address = *parsed;
  GError* error = nullptr;
  GSocket* socket =
      g_socket_new(g_socket_address_get_family(socket_address),
                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
  bool ok = socket != nullptr;
  if (ok) {
    g_socket_set_listen_backlog(socket, kListenBacklog);
    ok = g_socket_bind(socket, socket_address, TRUE, &error) &&
         g_socket_listen(socket, &error) &&
         soup_server_listen_socket(
             m_server, socket, static_cast<SoupServerListenOptions>(0), &error);
    g_object_unref(socket);
  }
  g_object_unref(socket_address);
  if (!ok) {
    return MakeError(ErrorCode::kInternal, ErrorMessage(error), address);
  }
  return absl::OkStatus();
}

void HttpServer::StopAccepting() {
  GSList* listeners = soup_server_get_listeners(m_server);
  for (GSList* item = listeners; item; item = item->next) {
    g_socket_close(static_cast<GSocket*>(item->data), nullptr);
  }
  g_slist_free(listeners);
}

namespace {

struct PendingSend {
  HttpClient::Callback done;
  SoupMessage* message;
  GCancellable* cancellable;
  guint timeout_source = 0;
};

// Returns kNotReady when no connection was opened, so that the request cannot
// have reached the server.
ErrorCode ClassifySendError(const GError* error) {
  if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
    return ErrorCode::kDeadlineExceeded;
  }
  for (int code : {G_IO_ERROR_CONNECTION_REFUSED, G_IO_ERROR_HOST_UNREACHABLE,
                   G_IO_ERROR_NETWORK_UNREACHABLE}) {
    if (g_error_matches(error, G_IO_ERROR, code)) {
      return ErrorCode::kNotReady;
    }
  }
  return ErrorCode::kInternal;
}

gboolean OnSendTimeout(gpointer data) {
  auto* pending = static_cast<PendingSend*>(data);
  pending->timeout_source = 0;
  g_cancellable_cancel(pending->cancellable);
  return G_SOURCE_REMOVE;
}

void OnSendDone(GObject* source, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<PendingSend> pending(static_cast<PendingSend*>(data));
  if (pending->timeout_source != 0) {
    g_source_remove(pending->timeout_source);
  }
  GError* error = nullptr;
  GBytes* bytes =
      soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
  absl::StatusOr<HttpResponse> response_or_error = HttpResponse{};
  if (bytes) {
    gsize size = 0;
    const void* body = g_bytes_get_data(bytes, &size);
    response_or_error->status = soup_message_get_status(pending->message);
    response_or_error->body.assign(static_cast<const char*>(body), size);
    soup_message_headers_foreach(
        soup_message_get_response_headers(pending->message), CopyHeader,
        &response_or_error->headers);
    g_bytes_unref(bytes);
  } else {
    const ErrorCode code = ClassifySendError(error);
    response_or_error = MakeError(code, ErrorMessage(error));
  }
  g_object_unref(pending->message);
  g_object_unref(pending->cancellable);
  pending->done(std::move(response_or_error));
}

}  // namespace

HttpClient::HttpClient(int max_connections)
    : m_session(soup_session_new_with_options("max-conns",
                                              max_connections,
                                              "max-conns-per-host",
                                              max_connections,
                                              nullptr)) {}

HttpClient::~HttpClient() {
  soup_session_abort(m_session);
  g_object_unref(m_session);
}

void HttpClient::Send(
    std::string_view method,
    std::string_view url,
    const std::map<std::string, std::string, std::less<>>& headers,
    std::string_view body,
    Millis timeout,
    Callback done) {
  const std::string method_text(method);
  const std::string url_text(url);
  SoupMessage* message =
      soup_message_new(method_text.c_str(), url_text.c_str());
  if (!message) {
    done(MakeError(ErrorCode::kInvalidRequest, "not a URL", url));
    return;
  }
  if (method == "PUT" || method == "DELETE") {
    // When the server has closed a reused connection, libsoup sends these
    // methods again. A conditional write sent twice would report a conflict
    // with its own first sending.
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
  }
  for (const auto& [name, value] : headers) {
    soup_message_headers_replace(soup_message_get_request_headers(message),
                                 name.c_str(), value.c_str());
  }
  if (!body.empty()) {
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
  }
  auto* pending =
      new PendingSend{std::move(done), message, g_cancellable_new(), 0};
  pending->timeout_source = g_timeout_add(static_cast<guint>(timeout.count()),
                                          OnSendTimeout, pending);
  soup_session_send_and_read_async(m_session, message, G_PRIORITY_DEFAULT,
                                   pending->cancellable, OnSendDone, pending);
}

}  // namespace tanagervane
