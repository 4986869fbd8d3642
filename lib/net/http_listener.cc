// HttpListener on non-blocking sockets.

#include "tanagervane/net/http_listener.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>
#include <vector>

#include "listener_connection.h"
#include "tanagervane/net/socket.h"

namespace tanagervane {

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
    if (!connection->evictable()) {
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
  const auto it =
      m_connections.find(exchange >> Connection::kRequestNumberBits);
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
