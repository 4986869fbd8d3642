// Queueing of requests and distribution over HTTP clients.

#include "send_queue.h"

#include <algorithm>
#include <utility>

#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

// The cost of each libsoup event grows with the messages of the session.
constexpr size_t kMaxConnectionsPerSession = 16;
constexpr Millis kOpenTimeout{2000};

absl::Status NoFreeConnectionError() {
  return MakeError(ErrorCode::kOverloaded,
                   "request not sent: no connection became free");
}

}  // namespace

SendQueue::SendQueue(EventLoop& loop, Limits limits)
    : m_loop(loop), m_limits(limits) {}

SendQueue::Host& SendQueue::FindOrCreateHost(const std::string& address) {
  Host& host = m_hosts[address];
  size_t unassigned = host.sessions.empty() ? m_limits.connections_per_host : 0;
  while (unassigned > 0) {
    const size_t connections = std::min(unassigned, kMaxConnectionsPerSession);
    host.sessions.push_back(std::make_unique<ClientSession>(connections));
    unassigned -= connections;
  }
  return host;
}

SendQueue::ClientSession* SendQueue::FindFreeSession(Host& host) {
  const auto best =
      std::max_element(host.sessions.begin(), host.sessions.end(),
                       [](const auto& a, const auto& b) {
                         return a->free_connections() < b->free_connections();
                       });
  return (*best)->free_connections() > 0 ? best->get() : nullptr;
}

void SendQueue::Send(PendingRequest request) {
  Host& host = FindOrCreateHost(request.address);
  ClientSession* session =
      host.queued.empty() ? FindFreeSession(host) : nullptr;
  if (session != nullptr) {
    Dispatch(host, *session, std::move(request));
  } else if (host.queued.size() < m_limits.max_queued_per_host) {
    host.queued.push_back(std::move(request));
  } else {
    request.done(NoFreeConnectionError());
  }
}

void SendQueue::Dispatch(Host& host,
                         ClientSession& session,
                         PendingRequest request) {
  ++session.in_flight;
  const Millis timeout(
      std::max(1.0, (request.response_deadline - m_loop.Now()).count()));
  const std::string url = "http://" + request.address + request.path;
  session.client.Send("POST", url, {}, request.body(), timeout,
                      [this, &host, &session, done = std::move(request.done)](
                          const absl::StatusOr<HttpResponse>& response) {
                        --session.in_flight;
                        done(response);
                        SendQueued(host);
                      });
}

void SendQueue::SendQueued(Host& host) {
  while (!host.queued.empty()) {
    ClientSession* session = FindFreeSession(host);
    if (session == nullptr) {
      return;
    }
    PendingRequest request = std::move(host.queued.front());
    host.queued.pop_front();
    if (request.response_deadline <= m_loop.Now()) {
      request.done(NoFreeConnectionError());
    } else {
      Dispatch(host, *session, std::move(request));
    }
  }
}

void SendQueue::OpenConnections(const std::vector<std::string>& addresses,
                                const std::function<void()>& done) {
  const auto pending = std::make_shared<size_t>(addresses.size() *
                                                m_limits.connections_per_host);
  for (const std::string& address : addresses) {
    Host& host = FindOrCreateHost(address);
    for (size_t i = 0; i < m_limits.connections_per_host; ++i) {
      ClientSession& session = *host.sessions[i / kMaxConnectionsPerSession];
      ++session.in_flight;
      session.client.Send("GET", "http://" + address + "/v1/addresses", {}, "",
                          kOpenTimeout, [pending, &session, done](const auto&) {
                            --session.in_flight;
                            if (--*pending == 0) {
                              done();
                            }
                          });
    }
  }
}

}  // namespace tanagervane
