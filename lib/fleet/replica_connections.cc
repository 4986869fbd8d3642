#include "tanagervane/fleet/replica_connections.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <utility>

#include "tanagervane/net/socket.h"

namespace tanagervane {

namespace {

/// A replica that does not accept a connection within this time counts as
/// unreachable.
constexpr Millis kConnectTimeout{400};

/// A connection fails when sent bytes stay unacknowledged for this long.
constexpr Millis kUnacknowledgedTimeout{3000};

/// How long an idle connection is kept when the response has no keep-alive
/// timeout.
constexpr Millis kDefaultKeepAlive{4000};

/// An idle connection is closed this long before its replica closes it, so that
/// no request is sent on a connection that is being closed. For short timeouts
/// the margin is at most half of the timeout.
constexpr Millis kKeepAliveMargin{1000};

constexpr MessageLimits kResponseLimits = {.header_bytes = 32768,
                                           .body_bytes = 4 << 20};

/// Returns how long the connection of a response may stay idle.
Millis IdleTimeout(const HttpResponseMessage& response) {
  const std::string* value = response.fields.Find("Keep-Alive");
  if (value == nullptr) {
    return kDefaultKeepAlive;
  }
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const size_t position = value->find(kTimeoutParameter);
  if (position == std::string::npos) {
    return kDefaultKeepAlive;
  }
  unsigned seconds = 0;
  const char* begin = value->data() + position + kTimeoutParameter.size();
  const auto [end, error] =
      std::from_chars(begin, value->data() + value->size(), seconds);
  if (error != std::errc()) {
    return kDefaultKeepAlive;
  }
  const Millis timeout(seconds * 1000.0);
  return std::max(timeout - kKeepAliveMargin, timeout * 0.5);
}

}  // namespace

ReplicaConnections::ReplicaConnections(Poller& poller,
                                       MemoryAccount& memory,
                                       ReplicaConnectionsHooks hooks)
    : m_poller(poller), m_memory(memory), m_hooks(std::move(hooks)) {}

ReplicaConnections::~ReplicaConnections() = default;

std::unique_ptr<ReplicaConnections::Connection> ReplicaConnections::PopIdle(
    ServingReplica& replica,
    Millis now) {
  const auto it = m_idle.find(replica.key);
  if (it == m_idle.end()) {
    return nullptr;
  }
  std::unique_ptr<Connection> popped;
  while (!it->second.empty() && !popped) {
    popped = std::move(it->second.back());
    it->second.pop_back();
    if (popped->expires <= now) {
      popped.reset();
    }
  }
  replica.idle_connections = static_cast<uint32_t>(it->second.size());
  return popped;
}

std::unique_ptr<ReplicaConnections::Connection> ReplicaConnections::Open(
    const std::shared_ptr<ServingReplica>& replica) {
  const auto address = ParseSocketAddress(replica->registration.address);
  assert(address.ok() &&
         "DecodeReplica() rejects entries without a valid address");
  auto connection = std::make_unique<Connection>();
  Connection* raw = connection.get();
  connection->replica = replica;
  connection->started = Poller::Now();
  connection->http = std::make_unique<HttpConnection>(
      m_poller, *address, kResponseLimits, kUnacknowledgedTimeout,
      [this, key = replica->key, raw] { OnIdleClosed(key, raw); });
  connection->http->SetMemoryAccount(&m_memory);
  ++m_stats.opened;
  return connection;
}

void ReplicaConnections::Start(uint64_t exchange,
                               const std::shared_ptr<ServingReplica>& replica,
                               EncodedRequest request,
                               bool new_connection) {
  const Millis now = Poller::Now();
  std::unique_ptr<Connection> connection =
      new_connection ? nullptr : PopIdle(*replica, now);
  if (connection) {
    ++m_stats.reused;
  } else {
    connection = Open(replica);
  }
  connection->started = now;
  if (connection->http->failed()) {
    m_failed_on_open.push_back(exchange);
  } else {
    connection->http->Send(
        std::move(request.bytes), request.is_head,
        std::move(request.response_matches),
        [this, exchange](ExchangeResult result) {
          OnDone(exchange, std::move(result));
        },
        std::move(request.body));
  }
  m_active[exchange] = std::move(connection);
}

void ReplicaConnections::OnDone(uint64_t exchange, ExchangeResult result) {
  const auto it = m_active.find(exchange);
  assert(it != m_active.end() && "a cancelled exchange has no connection");
  std::unique_ptr<Connection> connection = std::move(it->second);
  m_active.erase(it);
  m_stats.invalid += result.error == ExchangeError::kInvalidResponse ? 1 : 0;
  KeepOrClose(std::move(connection), result, Poller::Now());
  m_hooks.done(exchange, std::move(result));
}

void ReplicaConnections::KeepOrClose(std::unique_ptr<Connection> connection,
                                     const ExchangeResult& result,
                                     Millis now) {
  ServingReplica& replica = *connection->replica;
  if (result.error || !connection->http->reusable() || replica.leaving) {
    return;
  }
  connection->expires = now + IdleTimeout(result.response);
  IdleConnections& idle = m_idle[replica.key];
  idle.push_back(std::move(connection));
  replica.idle_connections = static_cast<uint32_t>(idle.size());
}

void ReplicaConnections::OnIdleClosed(const std::string& key,
                                      const Connection* connection) {
  const auto it = m_idle.find(key);
  if (it == m_idle.end()) {
    return;
  }
  IdleConnections& idle = it->second;
  const auto found = std::ranges::find(
      idle, connection, [](const auto& owned) { return owned.get(); });
  if (found == idle.end()) {
    return;
  }
  const std::unique_ptr<Connection> closed = std::move(*found);
  idle.erase(found);
  closed->replica->idle_connections = static_cast<uint32_t>(idle.size());
}

void ReplicaConnections::CancelExchange(uint64_t exchange) {
  m_active.erase(exchange);
}

void ReplicaConnections::CloseIdle(ServingReplica& replica) {
  m_idle.erase(replica.key);
  replica.idle_connections = 0;
}

void ReplicaConnections::EnforceTimeouts(Millis now) {
  std::vector<uint64_t> failed = std::exchange(m_failed_on_open, {});
  for (const auto& [exchange, connection] : m_active) {
    if (!connection->http->connected() && !connection->http->failed() &&
        now - connection->started > kConnectTimeout) {
      failed.push_back(exchange);
    }
  }
  for (const uint64_t exchange : failed) {
    if (m_active.erase(exchange) > 0) {
      m_hooks.done(exchange, {ExchangeError::kNotConnected, {}});
    }
  }
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    IdleConnections& idle = it->second;
    ServingReplica* replica =
        idle.empty() ? nullptr : idle.front()->replica.get();
    std::erase_if(idle, [&](const auto& connection) {
      return connection->expires <= now || connection->replica->leaving;
    });
    if (replica != nullptr) {
      replica->idle_connections = static_cast<uint32_t>(idle.size());
    }
    it = idle.empty() ? m_idle.erase(it) : std::next(it);
  }
  m_stats.open = m_active.size();
  for (const auto& [key, idle] : m_idle) {
    m_stats.open += idle.size();
  }
}

}  // namespace tanagervane
