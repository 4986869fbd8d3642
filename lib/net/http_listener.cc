// Accepting connections, reading requests and writing responses.

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

/// Bytes taken with one read. Requests and most bodies fit.
constexpr size_t kReadBytes = 16384;

/// Bytes of later requests that a connection may send ahead.
constexpr size_t kPipelinedBytes = 65536;

/// The exchange id of the n-th request of a connection. A connection's
/// requests come one at a time, so the counter only tells old from new.
constexpr unsigned kSequenceBits = 20;
constexpr uint64_t kSequenceMask = (1U << kSequenceBits) - 1;

}  // namespace

class HttpListener::Connection {
 public:
  Connection(HttpListener& owner, uint64_t id, int descriptor)
      : m_owner(owner),
        m_id(id),
        m_descriptor(descriptor),
        m_reader(owner.m_options.limits),
        m_since(Poller::Now()) {
    m_owner.m_poller.Add(m_descriptor, m_events,
                         [this](uint32_t events) { OnEvents(events); });
  }

  ~Connection() { Close(); }

  void Close() {
    if (m_descriptor < 0) {
      return;
    }
    m_owner.m_poller.Remove(m_descriptor);
    close(m_descriptor);
    m_descriptor = -1;
  }

  bool waits_for_response() const { return m_waiting; }
  bool idle() const {
    return !m_waiting && m_output.empty() && !m_reader.in_message() &&
           m_input.empty();
  }
  bool busy() const { return m_waiting || !m_output.empty(); }
  ExchangeId exchange() const {
    return (m_id << kSequenceBits) | (m_sequence & kSequenceMask);
  }

  void Respond(const HttpResponseMessage& response) {
    m_waiting = false;
    m_close_after = m_close_after || m_owner.m_closing;
    AppendResponse(m_output, response, m_close_after, m_head);
    m_since = Poller::Now();
    Write();
  }

  void CheckTimeouts(Millis now) {
    if (m_waiting) {
      return;
    }
    const HttpListenerOptions& options = m_owner.m_options;
    if (m_reader.in_header() && now - m_header_since > options.header_timeout) {
      Reject(408);
    } else if (now - m_since > options.idle_timeout) {
      m_owner.Drop(m_id);
    }
  }

 private:
  void OnEvents(uint32_t events) {
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
      Gone();
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
    std::array<char, kReadBytes> bytes;
    const ssize_t count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (count == 0) {
      Gone();
      return;
    }
    if (count < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        Gone();
      }
      return;
    }
    if (m_discarding) {
      return;
    }
    m_input.append(bytes.data(), static_cast<size_t>(count));
    if (m_waiting || !m_output.empty()) {
      // Reading stops until the response is out; a close is still seen.
      if (m_input.size() > kPipelinedBytes) {
        SetEvents(m_events & ~EPOLLIN);
      }
      return;
    }
    Parse();
  }

  void Parse() {
    if (!m_reader.in_message()) {
      m_reader.SetLimits(m_owner.m_options.limits);
      m_header_since = Poller::Now();
    }
    m_since = Poller::Now();
    switch (m_reader.Feed(m_input)) {
      case ReadState::kIncomplete:
        if (m_reader.TakeExpectsContinue()) {
          m_output += "HTTP/1.1 100 Continue\r\n\r\n";
          Write();
        }
        return;
      case ReadState::kInvalid:
        Reject(m_reader.error_status());
        return;
      case ReadState::kComplete:
        break;
    }
    m_close_after = !m_reader.keep_alive();
    HttpRequestMessage request = m_reader.Take();
    m_head = request.method == "HEAD";
    m_waiting = true;
    ++m_sequence;
    ++m_owner.m_stats.requests;
    m_owner.m_hooks.request(exchange(), std::move(request));
  }

  /// Answers bytes that are no request. What follows cannot be framed, so it
  /// is discarded until the caller closes.
  void Reject(unsigned status) {
    ++m_owner.m_stats.rejected;
    m_close_after = true;
    HttpResponseMessage response;
    response.status = status;
    AppendResponse(m_output, response, true, false);
    m_input.clear();
    m_discarding = true;
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
          Gone();
          return;
        }
        SetEvents(m_events | EPOLLOUT);
        return;
      }
      m_output.erase(0, static_cast<size_t>(count));
    }
    SetEvents((m_events | EPOLLIN) & ~EPOLLOUT);
    if (m_waiting) {
      return;
    }
    if (m_close_after) {
      FinishOutput();
      return;
    }
    if (!m_input.empty()) {
      Parse();
    }
  }

  /// Ends the sending side first: closing with unread bytes would reset the
  /// connection and could destroy the response on its way.
  void FinishOutput() {
    if (m_reader.in_message() || m_discarding || !m_input.empty()) {
      shutdown(m_descriptor, SHUT_WR);
      m_discarding = true;
      return;
    }
    m_owner.Drop(m_id);
  }

  void Gone() {
    const bool tell = m_waiting;
    const ExchangeId gone = exchange();
    HttpListener& owner = m_owner;
    owner.Drop(m_id);
    if (tell) {
      owner.m_hooks.caller_gone(gone);
    }
  }

  void SetEvents(uint32_t events) {
    if (events != m_events && m_descriptor >= 0) {
      m_events = events;
      m_owner.m_poller.Change(m_descriptor, events);
    }
  }

  HttpListener& m_owner;
  uint64_t m_id;
  int m_descriptor;
  uint32_t m_events = EPOLLIN | EPOLLRDHUP;
  HttpRequestReader m_reader;
  std::string m_input;
  std::string m_output;
  bool m_waiting = false;
  bool m_head = false;
  bool m_close_after = false;
  bool m_discarding = false;
  uint64_t m_sequence = 0;
  /// Last sign of activity.
  Millis m_since;
  Millis m_header_since;
};

HttpListener::HttpListener(Poller& poller,
                           HttpListenerOptions options,
                           HttpListenerHooks hooks)
    : m_poller(poller), m_options(options), m_hooks(std::move(hooks)) {}

HttpListener::~HttpListener() {
  if (m_descriptor >= 0) {
    m_poller.Remove(m_descriptor);
    close(m_descriptor);
  }
}

absl::Status HttpListener::Listen(std::string_view address) {
  const auto parsed = ParseSocketAddress(address);
  if (!parsed.ok()) {
    return parsed.status();
  }
  const auto descriptor = ListenTcp(*parsed);
  if (!descriptor.ok()) {
    return descriptor.status();
  }
  m_descriptor = *descriptor;
  m_poller.Add(m_descriptor, EPOLLIN, [this](uint32_t) { Accept(); });
  return absl::OkStatus();
}

void HttpListener::SetOptions(const HttpListenerOptions& options) {
  m_options = options;
}

void HttpListener::Accept() {
  while (true) {
    const int descriptor =
        accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    if (m_connections.size() >= m_options.max_connections) {
      close(descriptor);
      ++m_stats.rejected;
      continue;
    }
    SetNoDelay(descriptor);
    const uint64_t id = ++m_next_connection;
    m_connections[id] = std::make_unique<Connection>(*this, id, descriptor);
    ++m_stats.accepted;
    m_stats.connections = m_connections.size();
  }
}

void HttpListener::Drop(uint64_t connection) {
  const auto it = m_connections.find(connection);
  if (it == m_connections.end()) {
    return;
  }
  it->second->Close();
  // The connection may be on the stack, so it is deleted in Sweep().
  m_dropped.push_back(std::move(it->second));
  m_connections.erase(it);
  m_stats.connections = m_connections.size();
}

void HttpListener::Respond(ExchangeId exchange,
                           const HttpResponseMessage& response) {
  const auto it = m_connections.find(exchange >> kSequenceBits);
  if (it == m_connections.end() || !it->second->waits_for_response() ||
      it->second->exchange() != exchange) {
    return;
  }
  it->second->Respond(response);
}

void HttpListener::CloseAfterResponses() {
  m_closing = true;
}

void HttpListener::StopAccepting() {
  if (m_descriptor >= 0) {
    m_poller.Remove(m_descriptor);
    close(m_descriptor);
    m_descriptor = -1;
  }
  m_closing = true;
  std::vector<uint64_t> idle;
  for (const auto& [id, connection] : m_connections) {
    if (connection->idle()) {
      idle.push_back(id);
    }
  }
  for (const uint64_t id : idle) {
    Drop(id);
  }
}

void HttpListener::Sweep() {
  m_dropped.clear();
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
