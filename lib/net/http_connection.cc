// A client connection.

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

constexpr size_t kReadBytes = 65536;

/// Responses to earlier requests that are skipped before the one that belongs.
constexpr int kMostForeign = 4;

}  // namespace

HttpConnection::HttpConnection(Poller& poller,
                               const sockaddr_in& address,
                               MessageLimits limits,
                               Millis silence_limit,
                               ClosedHook on_idle_closed)
    : m_poller(poller),
      m_limits(limits),
      m_on_idle_closed(std::move(on_idle_closed)) {
  const auto descriptor = StartConnect(address, silence_limit);
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
  ReleaseBudget();
  if (m_descriptor >= 0) {
    m_poller.Remove(m_descriptor);
    close(m_descriptor);
  }
}

void HttpConnection::Send(std::string bytes,
                          bool head,
                          BelongsHook belongs,
                          Done done) {
  assert(!m_done && !failed() && "one request at a time");
  m_output = std::move(bytes);
  m_head = head;
  m_belongs = std::move(belongs);
  m_done = std::move(done);
  m_foreign = 0;
  m_reader = std::make_unique<HttpResponseReader>(m_limits, head);
  if (m_connected) {
    Write();
  }
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

void HttpConnection::Write() {
  while (!m_output.empty()) {
    const ssize_t count =
        send(m_descriptor, m_output.data(), m_output.size(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EINTR) {
        continue;
      }
      // A broken connection is reported by Read(), on the loop.
      SetEvents(errno == EAGAIN ? EPOLLIN | EPOLLOUT : EPOLLIN);
      return;
    }
    m_output.erase(0, static_cast<size_t>(count));
  }
  SetEvents(EPOLLIN);
}

void HttpConnection::Read() {
  std::array<char, kReadBytes> bytes;
  const ssize_t count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (!m_done) {
    // Nothing was asked, so neither bytes nor an end belong to a request.
    CloseIdle();
    return;
  }
  if (count < 0) {
    Fail(LossError());
    return;
  }
  if (count == 0) {
    ReadEnd();
    return;
  }
  m_received = true;
  if (!TakeBudget(static_cast<size_t>(count))) {
    Fail(ExchangeError::kInvalid);
    return;
  }
  m_input.append(bytes.data(), static_cast<size_t>(count));
  Parse();
}

bool HttpConnection::TakeBudget(size_t bytes) {
  if (m_budget == nullptr) {
    return true;
  }
  m_held += bytes;
  m_budget->Take(bytes);
  return m_budget->Allows(m_held);
}

void HttpConnection::ReleaseBudget() {
  if (m_budget != nullptr) {
    m_budget->Release(std::exchange(m_held, 0));
  }
}

void HttpConnection::ReadEnd() {
  m_reusable = false;
  if (m_reader->FeedEnd() != ReadState::kComplete) {
    Fail(LossError());
    return;
  }
  HttpResponseMessage response = m_reader->Take();
  if (!m_belongs(response)) {
    Fail(ExchangeError::kBroken);
    return;
  }
  Finish({std::nullopt, std::move(response)});
}

void HttpConnection::Parse() {
  while (true) {
    const ReadState state = m_reader->Feed(m_input);
    if (state == ReadState::kInvalid) {
      Fail(ExchangeError::kInvalid);
      return;
    }
    if (state == ReadState::kIncomplete) {
      return;
    }
    const bool keep_alive = m_reader->keep_alive();
    HttpResponseMessage response = m_reader->Take();
    if (m_belongs(response)) {
      // A response that came before the whole request was written, or that is
      // followed by further bytes, leaves the connection out of step.
      m_reusable =
          m_reusable && keep_alive && m_output.empty() && m_input.empty();
      Finish({std::nullopt, std::move(response)});
      return;
    }
    // A late response to an earlier request; the next one may be ours.
    m_reusable = false;
    if (++m_foreign > kMostForeign) {
      Fail(ExchangeError::kInvalid);
      return;
    }
    m_reader = std::make_unique<HttpResponseReader>(m_limits, m_head);
  }
}

ExchangeError HttpConnection::LossError() const {
  return m_received ? ExchangeError::kBroken : ExchangeError::kNewBroken;
}

void HttpConnection::Fail(ExchangeError error) {
  if (!m_done) {
    CloseIdle();
    return;
  }
  m_reusable = false;
  Finish({error, {}});
}

void HttpConnection::CloseIdle() {
  m_reusable = false;
  m_poller.Remove(m_descriptor);
  close(m_descriptor);
  m_descriptor = -1;
  const ClosedHook hook = m_on_idle_closed;
  hook();
}

void HttpConnection::Finish(ExchangeResult result) {
  m_reader.reset();
  ReleaseBudget();
  const Done done = std::exchange(m_done, nullptr);
  done(std::move(result));
}

void HttpConnection::SetEvents(uint32_t events) {
  if (events != m_events) {
    m_events = events;
    m_poller.Change(m_descriptor, events);
  }
}

}  // namespace tanagervane
