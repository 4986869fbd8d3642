// HttpListener::Connection on non-blocking sockets.

#include "listener_connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <optional>
#include <utility>

#include "tanagervane/net/poller.h"
#include "tanagervane/net/socket.h"

namespace tanagervane {

namespace {

/// Bytes read with one system call. Request headers and most bodies fit.
constexpr size_t kReadChunkBytes = 16384;

/// Reading from a connection pauses when more than this many bytes of pipelined
/// requests are buffered.
constexpr size_t kMaxPipelinedBytes = 8192;

/// A buffer of more than this is freed when it is empty.
constexpr size_t kKeptBufferBytes = 1024;

/// After an error response or a half-close, the connection stays open for this
/// long while its input is discarded, so that the caller can read the response.
constexpr Millis kDiscardTimeout{1000};

/// A caller that took no byte of its response for this long loses the
/// connection first when memory or connections run out.
constexpr Millis kOutputStall{500};

/// When a request refused for lack of memory may be repeated. Most requests end
/// within this time.
constexpr std::string_view kRetryAfterSeconds = "0.5";

HttpResponseMessage NoMemoryResponse() {
  HttpResponseMessage response;
  response.status = 503;
  response.fields.Add("Retry-After", kRetryAfterSeconds);
  return response;
}

void FreeIfEmpty(std::string& buffer) {
  if (buffer.empty() && buffer.capacity() > kKeptBufferBytes) {
    std::string().swap(buffer);
  }
}

}  // namespace

HttpListener::Connection::Connection(HttpListener& listener,
                                     uint64_t id,
                                     int descriptor,
                                     uint32_t peer)
    : m_listener(listener),
      m_id(id),
      m_descriptor(descriptor),
      m_peer(peer),
      m_reader(listener.m_options.limits),
      m_charge(listener.m_options.memory,
               peer,
               {.is_progressing = [this] { return IsOutputProgressing(); },
                .reclaim = [this] { ReclaimMemory(); }}),
      m_last_activity(Poller::Now()) {
  m_listener.m_poller.Add(m_descriptor, m_events,
                          [this](uint32_t events) { OnEvents(events); });
}

HttpListener::Connection::Scope::Scope(Connection& connection)
    : m_connection(connection) {
  ++m_connection.m_scopes;
}

HttpListener::Connection::Scope::~Scope() {
  if (--m_connection.m_scopes > 0) {
    return;
  }
  if (m_connection.m_descriptor < 0) {
    m_connection.FreeBuffers();
  } else {
    m_connection.UpdateCharge();
  }
}

void HttpListener::Connection::Close() {
  if (m_descriptor < 0) {
    return;
  }
  m_listener.m_poller.Remove(m_descriptor);
  close(m_descriptor);
  m_descriptor = -1;
  if (m_scopes == 0) {
    FreeBuffers();
  }
}

void HttpListener::Connection::FreeBuffers() {
  std::string().swap(m_input);
  std::string().swap(m_output);
  m_reader.Discard();
  m_charge.Set(MemoryUse::kInput, 0);
}

ExchangeId HttpListener::Connection::exchange() const {
  constexpr uint64_t kRequestNumberMask = (1U << kRequestNumberBits) - 1;
  return (m_id << kRequestNumberBits) | (m_request_count & kRequestNumberMask);
}

bool HttpListener::Connection::evictable() const {
  return !m_awaiting_response && (m_output.empty() || !IsOutputProgressing());
}

void HttpListener::Connection::Respond(const HttpResponseMessage& response) {
  const Scope scope(*this);
  m_awaiting_response = false;
  m_request_bytes = 0;
  m_close_after = m_close_after || m_listener.m_close_after_responses;
  AppendResponse(m_output, response, m_close_after, m_is_head_request);
  m_last_activity = Poller::Now();
  m_last_output_progress = m_last_activity;
  m_unused_since = m_last_activity;
  Write();
}

void HttpListener::Connection::CheckTimeouts(Millis now) {
  const Scope scope(*this);
  if (m_awaiting_response) {
    return;
  }
  const HttpListenerOptions& options = m_listener.m_options;
  NoteAcknowledgedOutput(now);
  if (!m_output.empty() &&
      now - m_last_output_progress > options.output_timeout) {
    ++m_listener.m_stats.output_timeouts;
    m_listener.CloseConnection(m_id);
    return;
  }
  if (m_discarding) {
    if (m_output.empty() && now - m_discard_started > kDiscardTimeout) {
      m_listener.CloseConnection(m_id);
      return;
    }
  } else if (m_reader.in_message() &&
             now - m_request_started > RequestTimeout()) {
    ++m_listener.m_stats.input_timeouts;
    RefuseRequest(408);
    return;
  }
  if (now - m_last_activity > options.idle_timeout) {
    m_listener.CloseConnection(m_id);
  }
}

Millis HttpListener::Connection::RequestTimeout() const {
  const HttpListenerOptions& options = m_listener.m_options;
  return m_reader.in_header() ? options.header_timeout
                              : options.header_timeout + options.idle_timeout;
}

void HttpListener::Connection::OnEvents(uint32_t events) {
  const Scope scope(*this);
  if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
    OnDisconnected();
    return;
  }
  if ((events & EPOLLOUT) != 0) {
    Write();
  }
  const bool reads = (m_events & EPOLLIN) != 0;
  if (m_descriptor >= 0 && !reads && (events & EPOLLRDHUP) != 0) {
    // Input is not read now, so the end of the stream is not read either. The
    // unread input would be buffered without a bound.
    OnDisconnected();
    return;
  }
  if (m_descriptor >= 0 && reads && (events & (EPOLLIN | EPOLLRDHUP)) != 0) {
    Read();
  }
}

void HttpListener::Connection::Read() {
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
  if (busy()) {
    // Stop reading until the response is written. EPOLLRDHUP still reports a
    // close.
    if (m_input.size() > kMaxPipelinedBytes) {
      SetEvents(m_events & ~EPOLLIN);
    }
    return;
  }
  ParseRequests();
}

void HttpListener::Connection::ParseRequests() {
  // A request that is answered at once must not parse the next one within its
  // own call: the stack would grow with the number of pipelined requests.
  if (m_parsing) {
    return;
  }
  m_parsing = true;
  uint64_t parsed = 0;
  do {
    parsed = m_listener.m_stats.requests;
    ParseRequest();
  } while (m_descriptor >= 0 && !busy() && !m_discarding && !m_close_after &&
           !m_input.empty() && parsed != m_listener.m_stats.requests);
  m_parsing = false;
}

void HttpListener::Connection::ParseRequest() {
  if (!m_reader.in_message()) {
    m_reader.SetLimits(m_listener.m_options.limits);
    m_request_started = Poller::Now();
    m_header_handled = false;
  }
  m_last_activity = Poller::Now();
  if (!ParseHeader()) {
    return;
  }
  switch (m_reader.Parse(m_input)) {
    case ReadState::kIncomplete:
      if (m_reader.ConsumeExpectContinue()) {
        m_output += "HTTP/1.1 100 Continue\r\n\r\n";
        m_last_output_progress = Poller::Now();
        Write();
      }
      return;
    case ReadState::kInvalid:
      RefuseRequest(m_reader.error_status());
      return;
    case ReadState::kComplete:
      break;
  }
  HandleRequest();
}

bool HttpListener::Connection::ParseHeader() {
  switch (m_reader.ParseHeader(m_input)) {
    case ReadState::kIncomplete:
      return false;
    case ReadState::kInvalid:
      RefuseRequest(m_reader.error_status());
      return false;
    case ReadState::kComplete:
      break;
  }
  if (std::exchange(m_header_handled, true) || !m_listener.m_hooks.on_header) {
    return true;
  }
  const std::optional<HttpResponseMessage> response =
      m_listener.m_hooks.on_header(m_reader.header());
  if (response) {
    AnswerAtHeader(*response);
  }
  return !response;
}

void HttpListener::Connection::AnswerAtHeader(
    const HttpResponseMessage& response) {
  ++m_listener.m_stats.answered_at_header;
  m_is_head_request = m_reader.header().method == "HEAD";
  if (m_reader.Parse(m_input) != ReadState::kComplete) {
    RefuseRequest(response);
    return;
  }
  m_close_after = !m_reader.keep_alive();
  m_reader.TakeMessage();
  ++m_listener.m_stats.requests;
  Respond(response);
}

void HttpListener::Connection::HandleRequest() {
  m_close_after = !m_reader.keep_alive();
  m_request_bytes = m_reader.held_bytes();
  HttpRequestMessage request = m_reader.TakeMessage();
  m_is_head_request = request.method == "HEAD";
  ++m_request_count;
  ++m_listener.m_stats.requests;
  const MemoryAccount* memory = m_listener.m_options.memory;
  if (memory != nullptr && !memory->AdmitsRequest()) {
    ++m_listener.m_stats.refused_for_memory;
    Respond(NoMemoryResponse());
    return;
  }
  m_awaiting_response = true;
  m_charge.Set(MemoryUse::kRunning, m_request_bytes);
  m_listener.m_hooks.on_request(exchange(), std::move(request));
}

void HttpListener::Connection::RefuseRequest(unsigned status) {
  ++m_listener.m_stats.refused;
  m_is_head_request = false;
  HttpResponseMessage response;
  response.status = status;
  RefuseRequest(response);
}

void HttpListener::Connection::RefuseRequest(
    const HttpResponseMessage& response) {
  m_close_after = true;
  AppendResponse(m_output, response, true, m_is_head_request);
  m_last_output_progress = Poller::Now();
  m_input.clear();
  m_reader.Discard();
  StartDiscarding();
  Write();
}

void HttpListener::Connection::Write() {
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
    m_last_output_progress = Poller::Now();
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
    ParseRequests();
  }
}

void HttpListener::Connection::StartDiscarding() {
  if (!m_discarding) {
    m_discarding = true;
    m_discard_started = Poller::Now();
  }
}

void HttpListener::Connection::CloseAfterOutput() {
  if (m_reader.in_message() || m_discarding || !m_input.empty()) {
    shutdown(m_descriptor, SHUT_WR);
    StartDiscarding();
    return;
  }
  m_listener.CloseConnection(m_id);
}

void HttpListener::Connection::OnDisconnected() {
  const bool request_running = m_awaiting_response;
  const ExchangeId abandoned = exchange();
  HttpListener& listener = m_listener;
  listener.CloseConnection(m_id);
  if (request_running) {
    listener.m_hooks.on_caller_disconnected(abandoned);
  }
}

void HttpListener::Connection::SetEvents(uint32_t events) {
  if (events != m_events && m_descriptor >= 0) {
    m_events = events;
    m_listener.m_poller.Modify(m_descriptor, events);
  }
}

void HttpListener::Connection::NoteAcknowledgedOutput(Millis now) {
  if (m_output.empty()) {
    return;
  }
  // The socket becomes writable only when a third of its buffer is free, which
  // takes a slow reader many seconds.
  const int unacknowledged = UnacknowledgedBytes(m_descriptor);
  if (unacknowledged != m_unacknowledged) {
    m_unacknowledged = unacknowledged;
    m_last_output_progress = now;
  }
}

bool HttpListener::Connection::IsOutputProgressing() const {
  return Poller::Now() - m_last_output_progress < kOutputStall;
}

void HttpListener::Connection::ReclaimMemory() {
  const Scope scope(*this);
  if (idle()) {
    // It holds nothing but the buffers of earlier requests.
    FreeBuffers();
    return;
  }
  if (m_discarding || !m_output.empty()) {
    ++m_listener.m_stats.closed_for_memory;
    m_listener.CloseConnection(m_id);
    return;
  }
  ++m_listener.m_stats.refused_for_memory;
  m_is_head_request = false;
  RefuseRequest(NoMemoryResponse());
  std::string().swap(m_input);
  if (m_output.empty()) {
    std::string().swap(m_output);
  }
}

void HttpListener::Connection::UpdateCharge() {
  if (m_descriptor < 0) {
    return;
  }
  FreeIfEmpty(m_input);
  FreeIfEmpty(m_output);
  MemoryUse use = MemoryUse::kInput;
  if (m_awaiting_response) {
    use = MemoryUse::kRunning;
  } else if (!m_output.empty()) {
    use = MemoryUse::kOutput;
  }
  m_charge.Set(use, m_input.capacity() + m_output.capacity() +
                        m_reader.held_bytes() + m_request_bytes);
  if (m_listener.m_options.memory != nullptr) {
    m_listener.m_options.memory->Reclaim();
  }
}

}  // namespace tanagervane
