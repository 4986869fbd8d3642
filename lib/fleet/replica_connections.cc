// The connection pools.

#include "tanagervane/fleet/replica_connections.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <utility>

#include "tanagervane/net/socket.h"

namespace tanagervane {

namespace {

/// A replica that does not accept within this time counts as unreachable.
constexpr Millis kConnectTimeout{400};

/// Sent bytes that stay unacknowledged for this long end a connection.
constexpr Millis kSilenceLimit{3000};

/// How long an idle connection is kept when its replica states no time.
constexpr Millis kDefaultKeepAlive{4000};

/// A connection is closed this long before its replica does it, so that no
/// request meets the close. Half of shorter times.
constexpr Millis kKeepAliveMargin{1000};

constexpr MessageLimits kResponseLimits = {.header_bytes = 32768,
                                           .body_bytes = 4 << 20};

Millis KeepAliveTime(const HttpResponseMessage& response) {
  const std::string* value = response.fields.Find("Keep-Alive");
  if (value == nullptr) {
    return kDefaultKeepAlive;
  }
  constexpr std::string_view kKey = "timeout=";
  const size_t at = value->find(kKey);
  if (at == std::string::npos) {
    return kDefaultKeepAlive;
  }
  unsigned seconds = 0;
  const char* begin = value->data() + at + kKey.size();
  const auto [end, error] =
      std::from_chars(begin, value->data() + value->size(), seconds);
  if (error != std::errc()) {
    return kDefaultKeepAlive;
  }
  const Millis stated(seconds * 1000.0);
  return std::max(stated - kKeepAliveMargin, stated * 0.5);
}

}  // namespace

ReplicaConnections::ReplicaConnections(Poller& poller,
                                       size_t response_bytes,
                                       ReplicaConnectionsHooks hooks)
    : m_poller(poller), m_hooks(std::move(hooks)), m_budget(response_bytes) {}

ReplicaConnections::~ReplicaConnections() = default;

std::unique_ptr<ReplicaConnections::Connection> ReplicaConnections::TakeIdle(
    ServingReplica& replica,
    Millis now) {
  const auto it = m_idle.find(replica.key);
  if (it == m_idle.end()) {
    return nullptr;
  }
  std::unique_ptr<Connection> taken;
  while (!it->second.empty() && !taken) {
    taken = std::move(it->second.back());
    it->second.pop_back();
    if (taken->expires <= now) {
      taken.reset();
    }
  }
  replica.idle_connections = static_cast<uint32_t>(it->second.size());
  return taken;
}

std::unique_ptr<ReplicaConnections::Connection> ReplicaConnections::Open(
    const std::shared_ptr<ServingReplica>& replica) {
  const auto address = ParseSocketAddress(replica->entry.address);
  assert(address.ok() && "entries are checked when they are decoded");
  auto connection = std::make_unique<Connection>();
  Connection* raw = connection.get();
  connection->replica = replica;
  connection->started = Poller::Now();
  connection->http = std::make_unique<HttpConnection>(
      m_poller, *address, kResponseLimits, kSilenceLimit,
      [this, key = replica->key, raw] { OnIdleClosed(key, raw); });
  connection->http->SetBudget(&m_budget);
  ++m_stats.opened;
  return connection;
}

void ReplicaConnections::Start(uint64_t exchange,
                               const std::shared_ptr<ServingReplica>& replica,
                               EncodedRequest request,
                               bool fresh) {
  const Millis now = Poller::Now();
  std::unique_ptr<Connection> connection =
      fresh ? nullptr : TakeIdle(*replica, now);
  if (connection) {
    ++m_stats.reused;
  } else {
    connection = Open(replica);
  }
  connection->started = now;
  if (connection->http->failed()) {
    m_failed_at_once.push_back(exchange);
  } else {
    connection->http->Send(std::move(request.bytes), request.head,
                           std::move(request.belongs),
                           [this, exchange](ExchangeResult result) {
                             OnDone(exchange, std::move(result));
                           });
  }
  m_busy[exchange] = std::move(connection);
}

void ReplicaConnections::OnDone(uint64_t exchange, ExchangeResult result) {
  const auto it = m_busy.find(exchange);
  assert(it != m_busy.end() && "an abandoned exchange has no connection");
  std::unique_ptr<Connection> connection = std::move(it->second);
  m_busy.erase(it);
  m_stats.invalid += result.error == ExchangeError::kInvalid ? 1 : 0;
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
  connection->expires = now + KeepAliveTime(result.response);
  Idle& idle = m_idle[replica.key];
  idle.push_back(std::move(connection));
  replica.idle_connections = static_cast<uint32_t>(idle.size());
}

void ReplicaConnections::OnIdleClosed(const std::string& key,
                                      const Connection* connection) {
  const auto it = m_idle.find(key);
  if (it == m_idle.end()) {
    return;
  }
  Idle& idle = it->second;
  const auto found = std::ranges::find(
      idle, connection, [](const auto& owned) { return owned.get(); });
  if (found == idle.end()) {
    return;
  }
  const std::unique_ptr<Connection> closed = std::move(*found);
  idle.erase(found);
  closed->replica->idle_connections = static_cast<uint32_t>(idle.size());
}

void ReplicaConnections::Abandon(uint64_t exchange) {
  m_busy.erase(exchange);
}

void ReplicaConnections::DropIdle(ServingReplica& replica) {
  m_idle.erase(replica.key);
  replica.idle_connections = 0;
}

void ReplicaConnections::Sweep(Millis now) {
  std::vector<uint64_t> failed = std::exchange(m_failed_at_once, {});
  for (const auto& [exchange, connection] : m_busy) {
    if (!connection->http->connected() && !connection->http->failed() &&
        now - connection->started > kConnectTimeout) {
      failed.push_back(exchange);
    }
  }
  for (const uint64_t exchange : failed) {
    if (m_busy.erase(exchange) > 0) {
      m_hooks.done(exchange, {ExchangeError::kNotConnected, {}});
    }
  }
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    Idle& idle = it->second;
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
  m_stats.open = m_busy.size();
  for (const auto& [key, idle] : m_idle) {
    m_stats.open += idle.size();
  }
}

}  // namespace tanagervane
