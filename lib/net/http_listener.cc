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

/// A caller whose bytes were no request may send on for this long before its
/// connection is closed, so that it can read why.
constexpr Millis kLingerTime{1000};

/// The exchange id of the n-th request of a connection. A connection's
/// requests come one at a time, so the counter only tells old from new.
constexpr unsigned kSequenceBits = 20;
constexpr uint64_t kSequenceMask = (1U << kSequenceBits) - 1;

}  // namespace

class HttpListener::Connection {
 public:
  Connection(HttpListener& owner, uint64_t id, int descriptor, uint32_t peer)
      : m_owner(owner),
        m_id(id),
        m_descriptor(descriptor),
        m_peer(peer),
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
  uint32_t peer() const { return m_peer; }
  /// When it last completed something, or was opened.
  Millis unused_since() const { return m_unused_since; }
  ExchangeId exchange() const {
    return (m_id << kSequenceBits) | (m_sequence & kSequenceMask);
  }

  void Respond(const HttpResponseMessage& response) {
    m_waiting = false;
    m_close_after = m_close_after || m_owner.m_closing;
    AppendResponse(m_output, response, m_close_after, m_head);
    m_since = Poller::Now();
    m_unused_since = m_since;
    Write();
  }

  void CheckTimeouts(Millis now) {
    if (m_waiting) {
      return;
    }
    const HttpListenerOptions& options = m_owner.m_options;
    if (m_discarding) {
      if (m_output.empty() && now - m_discard_since > kLingerTime) {
        m_owner.Drop(m_id);
        return;
      }
    } else if (m_reader.in_message() &&
               now - m_message_since > MessageTimeLimit()) {
      Reject(408);
      return;
    }
    if (now - m_since > options.idle_timeout) {
      m_owner.Drop(m_id);
    }
  }

 private:
  Millis MessageTimeLimit() const {
    const HttpListenerOptions& options = m_owner.m_options;
    return m_reader.in_header() ? options.header_timeout
                                : options.header_timeout + options.idle_timeout;
  }

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
      m_message_since = Poller::Now();
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

  void StartDiscarding() {
    if (!m_discarding) {
      m_discarding = true;
      m_discard_since = Poller::Now();
    }
  }

  /// Ends the sending side first: closing with unread bytes would reset the
  /// connection and could destroy the response on its way.
  void FinishOutput() {
    if (m_reader.in_message() || m_discarding || !m_input.empty()) {
      shutdown(m_descriptor, SHUT_WR);
      StartDiscarding();
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
  uint32_t m_peer;
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
  Millis m_unused_since = m_since;
  Millis m_message_since;
  Millis m_discard_since;
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
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int descriptor =
        accept4(m_descriptor, reinterpret_cast<sockaddr*>(&peer), &size,
                SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      const bool out_of_descriptors = errno == EMFILE || errno == ENFILE;
      if (out_of_descriptors && MakeRoom()) {
        continue;
      }
      return;
    }
    if (m_connections.size() >= m_options.max_connections && !MakeRoom()) {
      close(descriptor);
      ++m_stats.rejected;
      continue;
    }
    SetNoDelay(descriptor);
    const uint64_t id = ++m_next_connection;
    m_connections[id] = std::make_unique<Connection>(*this, id, descriptor,
                                                     peer.sin_addr.s_addr);
    ++m_by_peer[peer.sin_addr.s_addr];
    ++m_stats.accepted;
    m_stats.connections = m_connections.size();
  }
}

bool HttpListener::MakeRoom() {
  const Connection* chosen = nullptr;
  uint64_t chosen_id = 0;
  size_t chosen_held = 0;
  for (const auto& [id, connection] : m_connections) {
    if (connection->busy()) {
      continue;
    }
    const size_t held = m_by_peer.at(connection->peer());
    const bool better = chosen == nullptr || held > chosen_held ||
                        (held == chosen_held &&
                         connection->unused_since() < chosen->unused_since());
    if (better) {
      chosen = connection.get();
      chosen_id = id;
      chosen_held = held;
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  ++m_stats.evicted;
  Drop(chosen_id);
  return true;
}

void HttpListener::Drop(uint64_t connection) {
  const auto it = m_connections.find(connection);
  if (it == m_connections.end()) {
    return;
  }
  it->second->Close();
  if (const auto peer = m_by_peer.find(it->second->peer());
      --peer->second == 0) {
    m_by_peer.erase(peer);
  }
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
