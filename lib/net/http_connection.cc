// HttpConnection on non-blocking sockets.

#include "tanagervane/net/http_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <cerrno>
#include <utility>

#include "tanagervane/net/socket.h"

namespace tanagervane {

namespace {

/// Bytes read with one system call.
constexpr size_t kReadChunkBytes = 65536;

/// Responses to earlier requests that are skipped before the connection fails.
constexpr int kMaxSkippedResponses = 4;

/// Returns the memory that `text` takes outside of its object.
size_t HeapBytes(const std::string& text) {
  return text.capacity() > std::string().capacity() ? text.capacity() : 0;
}

}  // namespace

HttpConnection::HttpConnection(Poller& poller,
                               const sockaddr_in& address,
                               MessageLimits limits,
                               Millis ack_timeout,
                               ClosedHook on_idle_closed)
    : m_poller(poller),
      m_limits(limits),
      m_on_idle_closed(std::move(on_idle_closed)) {
  const auto descriptor = StartConnect(address, ack_timeout);
  if (!descriptor.ok()) {
    m_reusable = false;
    return;
  }
  m_descriptor = *descriptor;
  m_events = EPOLLIN | EPOLLOUT;
  m_poller.Add(m_descriptor, m_events,
               [this](uint32_t events) { OnEvents(events); });
}

HttpConnection::~HttpConnection() {
  if (m_descriptor >= 0) {
    m_poller.Remove(m_descriptor);
    close(m_descriptor);
  }
}

void HttpConnection::Send(std::string bytes,
                          bool is_head_request,
                          ResponseMatcher matches_request,
                          Done done,
                          std::shared_ptr<const std::string> body) {
  assert(!m_done && !failed() && "one request at a time");
  m_output = std::move(bytes);
  m_body = std::move(body);
  m_body_sent = 0;
  m_is_head_request = is_head_request;
  m_matches_request = std::move(matches_request);
  m_done = std::move(done);
  m_skipped_responses = 0;
  m_reader = std::make_unique<HttpResponseReader>(m_limits, is_head_request);
  if (m_connected) {
    Write();
  }
  UpdateCharge();
}

void HttpConnection::EnableKeepAliveProbes() {
  if (m_descriptor >= 0) {
    EnableKeepAlive(m_descriptor);
  }
}

void HttpConnection::OnEvents(uint32_t events) {
  if (!m_connected) {
    if (TakeSocketError(m_descriptor) != 0 ||
        (events & (EPOLLERR | EPOLLHUP)) != 0) {
      Fail(ExchangeError::kNotConnected);
      return;
    }
    m_connected = true;
    SetEvents(EPOLLIN);
    if (m_done) {
      Write();
    }
    return;
  }
  if ((events & EPOLLOUT) != 0) {
    Write();
  }
  if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0) {
    Read();
  }
}

std::string_view HttpConnection::UnsentBytes() const {
  if (!m_output.empty()) {
    return m_output;
  }
  return m_body ? std::string_view(*m_body).substr(m_body_sent)
                : std::string_view();
}

void HttpConnection::Write() {
  while (true) {
    const std::string_view unsent = UnsentBytes();
    if (unsent.empty()) {
      break;
    }
    // The header waits for the body, so that both fit in one segment.
    const bool more_follows = !m_output.empty() && m_body;
    const ssize_t count = send(m_descriptor, unsent.data(), unsent.size(),
                               MSG_NOSIGNAL | (more_follows ? MSG_MORE : 0));
    if (count < 0) {
      if (errno == EINTR) {
        continue;
      }
      if (errno == EAGAIN) {
        SetEvents(EPOLLIN | EPOLLOUT);
        return;
      }
      // Read() reports a lost connection, so `done` never runs inside Send().
      m_send_error = errno;
      SetEvents(EPOLLIN);
      return;
    }
    const auto sent = static_cast<size_t>(count);
    if (m_output.empty()) {
      m_body_sent += sent;
    } else {
      m_output.erase(0, sent);
    }
  }
  std::string().swap(m_output);
  m_body.reset();
  SetEvents(EPOLLIN);
}

void HttpConnection::Read() {
  std::array<char, kReadChunkBytes> bytes;
  const ssize_t count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (!m_done) {
    // No request is in flight, so neither data nor an end of stream is
    // expected.
    CloseIdleConnection();
    return;
  }
  if (count < 0) {
    Fail(ConnectionLostError());
    return;
  }
  if (count == 0) {
    OnEndOfStream();
    return;
  }
  m_has_received = true;
  m_input.append(bytes.data(), static_cast<size_t>(count));
  UpdateCharge();
  if (m_memory != nullptr && !m_memory->AllowsResponse(*m_charge)) {
    Fail(ExchangeError::kInvalidResponse);
    return;
  }
  ParseResponses();
}

void HttpConnection::SetMemoryAccount(MemoryAccount* account) {
  m_memory = account;
  m_charge = std::make_unique<MemoryCharge>(account, 0, MemoryChargeHooks{});
}

void HttpConnection::UpdateCharge() {
  if (!m_charge) {
    return;
  }
  const size_t response_bytes = m_reader ? m_reader->held_bytes() : 0;
  m_charge->Set(MemoryUse::kReplicas,
                HeapBytes(m_output) + HeapBytes(m_input) + response_bytes);
}

void HttpConnection::OnEndOfStream() {
  m_reusable = false;
  if (IsReset() || m_reader->ParseEndOfStream() != ReadState::kComplete) {
    Fail(ConnectionLostError());
    return;
  }
  HttpResponseMessage response = m_reader->TakeMessage();
  if (!m_matches_request(response)) {
    Fail(ExchangeError::kConnectionLost);
    return;
  }
  Finish({std::nullopt, std::move(response)});
}

bool HttpConnection::IsReset() const {
  // EPIPE: the peer had ended its response in order before the reset.
  return m_send_error != 0 && m_send_error != EPIPE;
}

void HttpConnection::ParseResponses() {
  while (true) {
    const ReadState state = m_reader->Parse(m_input);
    if (state == ReadState::kInvalid) {
      Fail(ExchangeError::kInvalidResponse);
      return;
    }
    if (state == ReadState::kIncomplete) {
      if (m_input.empty()) {
        std::string().swap(m_input);
      }
      UpdateCharge();
      return;
    }
    const bool keep_alive = m_reader->keep_alive();
    HttpResponseMessage response = m_reader->TakeMessage();
    if (m_matches_request(response)) {
      // If the response arrived before the whole request was written, or more
      // bytes follow it, later responses can't be matched to their requests.
      m_reusable =
          m_reusable && keep_alive && UnsentBytes().empty() && m_input.empty();
      Finish({std::nullopt, std::move(response)});
      return;
    }
    // A late response to an earlier request; the next one may match.
    m_reusable = false;
    if (++m_skipped_responses > kMaxSkippedResponses) {
      Fail(ExchangeError::kInvalidResponse);
      return;
    }
    m_reader =
        std::make_unique<HttpResponseReader>(m_limits, m_is_head_request);
  }
}

ExchangeError HttpConnection::ConnectionLostError() const {
  return m_has_received ? ExchangeError::kConnectionLost
                        : ExchangeError::kNewConnectionLost;
}

void HttpConnection::Fail(ExchangeError error) {
  if (!m_done) {
    CloseIdleConnection();
    return;
  }
  m_reusable = false;
  std::optional<HttpResponseMessage> header = m_reader->Header();
  const bool has_header = header && m_matches_request(*header);
  Finish({error, has_header ? *std::move(header) : HttpResponseMessage()});
}

void HttpConnection::CloseIdleConnection() {
  m_reusable = false;
  m_poller.Remove(m_descriptor);
  close(m_descriptor);
  m_descriptor = -1;
  const ClosedHook hook = m_on_idle_closed;
  hook();
}

void HttpConnection::Finish(ExchangeResult result) {
  m_reader.reset();
  // An idle connection holds no buffers.
  std::string().swap(m_input);
  std::string().swap(m_output);
  m_body.reset();
  UpdateCharge();
  const Done done = std::exchange(m_done, nullptr);
  done(std::move(result));
}

void HttpConnection::SetEvents(uint32_t events) {
  if (events != m_events) {
    m_events = events;
    m_poller.Modify(m_descriptor, events);
  }
}

}  // namespace tanagervane
