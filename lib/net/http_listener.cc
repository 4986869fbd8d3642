// HttpListener on non-blocking sockets.

#include "tanagervane/net/http_listener.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>
#include <vector>

#include "tanagervane/net/socket.h"

namespace tanagervane {

namespace {

/// Bytes read with one system call. Request headers and most bodies fit.
constexpr size_t kReadChunkBytes = 16384;

/// Reading from a connection pauses when more than this many bytes of pipelined
/// requests are buffered.
constexpr size_t kMaxPipelinedBytes = 65536;

/// After an error response or a half-close, the connection stays open for this
/// long while its input is discarded, so that the caller can read the response.
constexpr Millis kDiscardTimeout{1000};

/// An exchange id consists of a connection id and, in its low bits, the number
/// of the request on that connection. A connection runs one request at a time,
/// so the number only has to differ from those of recent requests.
constexpr unsigned kRequestNumberBits = 20;
constexpr uint64_t kRequestNumberMask = (1U << kRequestNumberBits) - 1;

}  // namespace

class HttpListener::Connection {
 public:
  Connection(HttpListener& listener, uint64_t id, int descriptor, uint32_t peer)
      : m_listener(listener),
        m_id(id),
        m_descriptor(descriptor),
        m_peer(peer),
        m_reader(listener.m_options.limits),
        m_last_activity(Poller::Now()) {
    m_listener.m_poller.Add(m_descriptor, m_events,
                            [this](uint32_t events) { OnEvents(events); });
  }

  ~Connection() { Close(); }

  void Close() {
    if (m_descriptor < 0) {
      return;
    }
    m_listener.m_poller.Remove(m_descriptor);
    close(m_descriptor);
    m_descriptor = -1;
  }

  /// Whether a request has been read and not yet answered.
  bool awaiting_response() const { return m_awaiting_response; }
  /// Whether no request has begun and no response is left to write.
  bool idle() const {
    return !m_awaiting_response && m_output.empty() && !m_reader.in_message() &&
           m_input.empty();
  }
  /// Whether a request is running or its response is being written.
  bool busy() const { return m_awaiting_response || !m_output.empty(); }
  uint32_t peer() const { return m_peer; }
  /// When the connection last got a response, or was opened.
  Millis unused_since() const { return m_unused_since; }
  ExchangeId exchange() const {
    return (m_id << kRequestNumberBits) |
           (m_request_count & kRequestNumberMask);
  }

  void Respond(const HttpResponseMessage& response) {
    m_awaiting_response = false;
    m_close_after = m_close_after || m_listener.m_close_after_responses;
    AppendResponse(m_output, response, m_close_after, m_is_head_request);
    m_last_activity = Poller::Now();
    m_unused_since = m_last_activity;
    Write();
  }

  void CheckTimeouts(Millis now) {
    if (m_awaiting_response) {
      return;
    }
    const HttpListenerOptions& options = m_listener.m_options;
    if (m_discarding) {
      if (m_output.empty() && now - m_discard_started > kDiscardTimeout) {
        m_listener.CloseConnection(m_id);
        return;
      }
    } else if (m_reader.in_message() &&
               now - m_request_started > RequestTimeout()) {
      RefuseRequest(408);
      return;
    }
    if (now - m_last_activity > options.idle_timeout) {
      m_listener.CloseConnection(m_id);
    }
  }

 private:
  Millis RequestTimeout() const {
    const HttpListenerOptions& options = m_listener.m_options;
    return m_reader.in_header() ? options.header_timeout
                                : options.header_timeout + options.idle_timeout;
  }

  void OnEvents(uint32_t events) {
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
      OnDisconnected();
      return;
    }
    if ((events & EPOLLOUT) != 0) {
      Write();
    }
    if (m_descriptor >= 0 && (events & (EPOLLIN | EPOLLRDHUP)) != 0) {
      Read();
    }
  }

  void Read() {
    std::array<char, kReadChunkBytes> bytes;
    const ssize_t count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (count == 0) {
      OnDisconnected();
      return;
    }
    if (count < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        OnDisconnected();
      }
      return;
    }
    if (m_discarding) {
      return;
    }
    m_input.append(bytes.data(), static_cast<size_t>(count));
    if (m_awaiting_response || !m_output.empty()) {
      // Stop reading until the response is written. EPOLLRDHUP still reports a
      // close.
      if (m_input.size() > kMaxPipelinedBytes) {
        SetEvents(m_events & ~EPOLLIN);
      }
      return;
    }
    ParseRequest();
  }

  void ParseRequest() {
    if (!m_reader.in_message()) {
      m_reader.SetLimits(m_listener.m_options.limits);
      m_request_started = Poller::Now();
    }
    m_last_activity = Poller::Now();
    switch (m_reader.Parse(m_input)) {
      case ReadState::kIncomplete:
        if (m_reader.ConsumeExpectContinue()) {
          m_output += "HTTP/1.1 100 Continue\r\n\r\n";
          Write();
        }
        return;
      case ReadState::kInvalid:
        RefuseRequest(m_reader.error_status());
        return;
      case ReadState::kComplete:
        break;
    }
    m_close_after = !m_reader.keep_alive();
    HttpRequestMessage request = m_reader.TakeMessage();
    m_is_head_request = request.method == "HEAD";
    m_awaiting_response = true;
    ++m_request_count;
    ++m_listener.m_stats.requests;
    m_listener.m_hooks.on_request(exchange(), std::move(request));
  }

  /// Answers an invalid or late request with an error. The end of that request
  /// is unknown, so all further input is discarded until the caller closes.
  void RefuseRequest(unsigned status) {
    ++m_listener.m_stats.refused;
    m_close_after = true;
    HttpResponseMessage response;
    response.status = status;
    AppendResponse(m_output, response, true, false);
    m_input.clear();
    StartDiscarding();
    Write();
  }

  void Write() {
    while (!m_output.empty()) {
      const ssize_t count =
          send(m_descriptor, m_output.data(), m_output.size(), MSG_NOSIGNAL);
      if (count < 0) {
        if (errno == EINTR) {
          continue;
        }
        if (errno != EAGAIN) {
          OnDisconnected();
          return;
        }
        SetEvents(m_events | EPOLLOUT);
        return;
      }
      m_output.erase(0, static_cast<size_t>(count));
    }
    SetEvents((m_events | EPOLLIN) & ~EPOLLOUT);
    if (m_awaiting_response) {
      return;
    }
    if (m_close_after) {
      CloseAfterOutput();
      return;
    }
    if (!m_input.empty()) {
      ParseRequest();
    }
  }

  void StartDiscarding() {
    if (!m_discarding) {
      m_discarding = true;
      m_discard_started = Poller::Now();
    }
  }

  /// Closes the connection after its last response. With unread input, only the
  /// sending side is shut down first: close() would reset the connection, and
  /// the caller could lose the response.
  void CloseAfterOutput() {
    if (m_reader.in_message() || m_discarding || !m_input.empty()) {
      shutdown(m_descriptor, SHUT_WR);
      StartDiscarding();
      return;
    }
    m_listener.CloseConnection(m_id);
  }

  void OnDisconnected() {
    const bool request_running = m_awaiting_response;
    const ExchangeId abandoned = exchange();
    HttpListener& listener = m_listener;
    listener.CloseConnection(m_id);
    if (request_running) {
      listener.m_hooks.on_caller_disconnected(abandoned);
    }
  }

  void SetEvents(uint32_t events) {
    if (events != m_events && m_descriptor >= 0) {
      m_events = events;
      m_listener.m_poller.Modify(m_descriptor, events);
    }
  }

  HttpListener& m_listener;
  uint64_t m_id;
  int m_descriptor;
  uint32_t m_peer;
  uint32_t m_events = EPOLLIN | EPOLLRDHUP;
  HttpRequestReader m_reader;
  std::string m_input;
  std::string m_output;
  bool m_awaiting_response = false;
  bool m_is_head_request = false;
  bool m_close_after = false;
  bool m_discarding = false;
  uint64_t m_request_count = 0;
  /// When input was last parsed or a response was last queued.
  Millis m_last_activity;
  /// When the last response was queued, or the connection was opened.
  Millis m_unused_since = m_last_activity;
  Millis m_request_started;
  Millis m_discard_started;
};

HttpListener::HttpListener(Poller& poller,
                           HttpListenerOptions options,
                           HttpListenerHooks hooks)
    : m_poller(poller), m_options(options), m_hooks(std::move(hooks)) {}

HttpListener::~HttpListener() {
  if (m_listen_descriptor >= 0) {
    m_poller.Remove(m_listen_descriptor);
    close(m_listen_descriptor);
  }
}

absl::Status HttpListener::Listen(std::string_view address) {
  if (m_listen_descriptor >= 0) {
    return absl::OkStatus();
  }
  const auto parsed = ParseSocketAddress(address);
  if (!parsed.ok()) {
    return parsed.status();
  }
  const auto descriptor = ListenTcp(*parsed);
  if (!descriptor.ok()) {
    return descriptor.status();
  }
  m_listen_descriptor = *descriptor;
  m_poller.Add(m_listen_descriptor, EPOLLIN, [this](uint32_t) { Accept(); });
  return absl::OkStatus();
}

void HttpListener::SetOptions(const HttpListenerOptions& options) {
  m_options = options;
}

void HttpListener::Accept() {
  while (true) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int descriptor =
        accept4(m_listen_descriptor, reinterpret_cast<sockaddr*>(&peer), &size,
                SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      const bool out_of_descriptors = errno == EMFILE || errno == ENFILE;
      if (out_of_descriptors && EvictConnection()) {
        continue;
      }
      return;
    }
    if (m_connections.size() >= m_options.max_connections &&
        !EvictConnection()) {
      close(descriptor);
      ++m_stats.refused;
      continue;
    }
    SetNoDelay(descriptor);
    const uint64_t id = ++m_last_connection_id;
    m_connections[id] = std::make_unique<Connection>(*this, id, descriptor,
                                                     peer.sin_addr.s_addr);
    ++m_connections_per_peer[peer.sin_addr.s_addr];
    ++m_stats.accepted;
    m_stats.connections = m_connections.size();
  }
}

bool HttpListener::EvictConnection() {
  const Connection* victim = nullptr;
  uint64_t victim_id = 0;
  size_t victim_peer_connections = 0;
  for (const auto& [id, connection] : m_connections) {
    if (connection->busy()) {
      continue;
    }
    const size_t peer_connections =
        m_connections_per_peer.at(connection->peer());
    const bool is_better_victim =
        victim == nullptr || peer_connections > victim_peer_connections ||
        (peer_connections == victim_peer_connections &&
         connection->unused_since() < victim->unused_since());
    if (is_better_victim) {
      victim = connection.get();
      victim_id = id;
      victim_peer_connections = peer_connections;
    }
  }
  if (victim == nullptr) {
    return false;
  }
  ++m_stats.evicted;
  CloseConnection(victim_id);
  return true;
}

void HttpListener::CloseConnection(uint64_t id) {
  const auto it = m_connections.find(id);
  if (it == m_connections.end()) {
    return;
  }
  it->second->Close();
  if (const auto peer = m_connections_per_peer.find(it->second->peer());
      --peer->second == 0) {
    m_connections_per_peer.erase(peer);
  }
  // One of its methods may be on the stack, so EnforceTimeouts() deletes it
  // later.
  m_closed_connections.push_back(std::move(it->second));
  m_connections.erase(it);
  m_stats.connections = m_connections.size();
}

void HttpListener::Respond(ExchangeId exchange,
                           const HttpResponseMessage& response) {
  const auto it = m_connections.find(exchange >> kRequestNumberBits);
  if (it == m_connections.end() || !it->second->awaiting_response() ||
      it->second->exchange() != exchange) {
    return;
  }
  it->second->Respond(response);
}

void HttpListener::CloseAfterResponses() {
  m_close_after_responses = true;
}

void HttpListener::StopAccepting() {
  if (m_listen_descriptor >= 0) {
    m_poller.Remove(m_listen_descriptor);
    close(m_listen_descriptor);
    m_listen_descriptor = -1;
  }
  m_close_after_responses = true;
  std::vector<uint64_t> idle;
  for (const auto& [id, connection] : m_connections) {
    if (connection->idle()) {
      idle.push_back(id);
    }
  }
  for (const uint64_t id : idle) {
    CloseConnection(id);
  }
}

void HttpListener::EnforceTimeouts() {
  m_closed_connections.clear();
  const Millis now = Poller::Now();
  std::vector<Connection*> connections;
  connections.reserve(m_connections.size());
  for (const auto& [id, connection] : m_connections) {
    connections.push_back(connection.get());
  }
  for (Connection* connection : connections) {
    connection->CheckTimeouts(now);
  }
}

size_t HttpListener::pending() const {
  size_t count = 0;
  for (const auto& [id, connection] : m_connections) {
    count += connection->busy() ? 1 : 0;
  }
  return count;
}

}  // namespace tanagervane
