#include "proxy.h"

#include <arpa/inet.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "tanagervane/support/error.h"

namespace tanagervane::standins {

namespace {

constexpr int kListenBacklog = 1024;
constexpr size_t kReadBytes = 65536;
// Bounds the memory for a receiver that reads too slowly.
constexpr size_t kMaxBufferedBytes = 1 << 20;

sockaddr_in ToAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Closes a socket so that its peer sees a reset.
void CloseWithReset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(fd);
}

bool IsTransientError(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}  // namespace

ProxyPair::ProxyPair(Endpoint listen, Endpoint target, TimerQueue& timers)
    : m_listen(std::move(listen)),
      m_target(std::move(target)),
      m_timers(timers) {}

ProxyPair::~ProxyPair() {
  CloseListener();
}

absl::Status ProxyPair::Open() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToAddress(m_listen);
  const bool ok = fd >= 0 &&
                  bind(fd, reinterpret_cast<const sockaddr*>(&address),
                       sizeof(address)) == 0 &&
                  listen(fd, kListenBacklog) == 0;
  if (!ok) {
    const std::string detail = std::strerror(errno);
    if (fd >= 0) {
      close(fd);
    }
    return MakeError(ErrorCode::kInternal, detail,
                     fmt::format("{}:{}", m_listen.ip, m_listen.port));
  }
  m_listen_fd = fd;
  m_listen_source = g_unix_fd_add(fd, G_IO_IN, OnAcceptReady, this);
  return absl::OkStatus();
}

void ProxyPair::CloseListener() {
  if (m_listen_source != 0) {
    g_source_remove(std::exchange(m_listen_source, 0));
  }
  if (m_listen_fd >= 0) {
    close(std::exchange(m_listen_fd, -1));
  }
}

gboolean ProxyPair::OnAcceptReady(gint, GIOCondition, gpointer self) {
  static_cast<ProxyPair*>(self)->Accept();
  return G_SOURCE_CONTINUE;
}

void ProxyPair::Accept() {
  while (true) {
    const int fd =
        accept4(m_listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    if (m_faults.limit != 0 && m_connections.size() >= m_faults.limit) {
      ++m_refused_connections;
      CloseWithReset(fd);
      continue;
    }
    SetNoDelay(fd);
    ++m_accepted_connections;
    auto connection = std::make_unique<Connection>(*this, fd);
    Connection* connection_ptr = connection.get();
    m_connections.emplace(connection_ptr, std::move(connection));
    m_max_connections = std::max(m_max_connections, m_connections.size());
    connection_ptr->Start();
  }
}

void ProxyPair::Remove(Connection* connection) {
  m_connections.erase(connection);
}

void ProxyPair::ResetAll() {
  m_reset_connections += m_connections.size();
  for (const auto& [key, connection] : m_connections) {
    connection->Reset();
  }
  m_connections.clear();
}

void ProxyPair::SetFaults(const PairFaults& faults) {
  const bool was_cut = m_faults.cut;
  m_faults = faults;
  if (m_faults.cut && !was_cut) {
    CloseListener();
    ResetAll();
  } else if (!m_faults.cut && was_cut) {
    // The port was in use by this proxy before the cut, so listening should
    // succeed. A failure is visible as "listening": false on the control port.
    Open().IgnoreError();
  }
  std::vector<Connection*> open;
  for (const auto& [key, connection] : m_connections) {
    open.push_back(key);
  }
  for (Connection* connection : open) {
    if (m_connections.contains(connection)) {
      connection->TransferBytes();
    }
  }
}

void ProxyPair::ResetCounters() {
  m_max_connections = m_connections.size();
  m_accepted_connections = m_refused_connections = m_reset_connections =
      m_target_failures = m_read_bytes = 0;
}

nlohmann::json ProxyPair::ToJson() const {
  return {{"listen", fmt::format("{}:{}", m_listen.ip, m_listen.port)},
          {"target", fmt::format("{}:{}", m_target.ip, m_target.port)},
          {"listening", m_listen_fd >= 0},
          {"connections", m_connections.size()},
          {"max_connections", m_max_connections},
          {"accepted", m_accepted_connections},
          {"refused", m_refused_connections},
          {"reset", m_reset_connections},
          {"target_failures", m_target_failures},
          {"bytes", m_read_bytes},
          {"cut", m_faults.cut},
          {"blackhole", m_faults.blackhole},
          {"one_way", m_faults.one_way},
          {"delay_ms", m_faults.delay_ms},
          {"accept_delay_ms", m_faults.accept_delay_ms},
          {"limit", m_faults.limit}};
}

Connection::Connection(ProxyPair& pair, int client_fd)
    : m_pair(pair), m_client_fd(client_fd) {
  m_to_target.from_fd = &m_client_fd;
  m_to_target.to_fd = &m_target_fd;
  m_to_client.from_fd = &m_target_fd;
  m_to_client.to_fd = &m_client_fd;
}

Connection::~Connection() {
  RemoveSources();
  if (m_timer_set) {
    m_pair.timers().Cancel(m_timer);
  }
  for (int* fd : {&m_client_fd, &m_target_fd}) {
    if (*fd >= 0) {
      close(std::exchange(*fd, -1));
    }
  }
}

void Connection::Reset() {
  RemoveSources();
  for (int* fd : {&m_client_fd, &m_target_fd}) {
    if (*fd >= 0) {
      CloseWithReset(std::exchange(*fd, -1));
    }
  }
}

void Connection::CloseAndRemove(bool with_reset) {
  if (with_reset) {
    Reset();
  }
  m_pair.Remove(this);
}

void Connection::Start() {
  const double delay = m_pair.faults().accept_delay_ms;
  if (delay <= 0) {
    ConnectTarget();
    return;
  }
  m_timer_set = true;
  m_timer = m_pair.timers().RunAfter(Millis(delay), [this] {
    m_timer_set = false;
    ConnectTarget();
  });
}

void Connection::ConnectTarget() {
  m_target_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToAddress(m_pair.target());
  const bool ok =
      m_target_fd >= 0 &&
      (connect(m_target_fd, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0 ||
       errno == EINPROGRESS);
  if (!ok) {
    ++m_pair.m_target_failures;
    CloseAndRemove(/*with_reset=*/true);
    return;
  }
  SetNoDelay(m_target_fd);
  m_target_source = g_unix_fd_add(m_target_fd, G_IO_OUT, OnReady, this);
}

void Connection::OnTargetConnected() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(m_target_fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    ++m_pair.m_target_failures;
    CloseAndRemove(/*with_reset=*/true);
    return;
  }
  m_connected = true;
  TransferBytes();
}

gboolean Connection::OnReady(gint, GIOCondition, gpointer self) {
  auto* connection = static_cast<Connection*>(self);
  if (connection->m_connected) {
    connection->TransferBytes();
  } else {
    connection->OnTargetConnected();
  }
  // The source that called is already removed, by TransferBytes() or by the
  // destructor, so GLib ignores this return value.
  return G_SOURCE_CONTINUE;
}

bool Connection::ReadBytes(Direction& direction) {
  std::array<char, kReadBytes> buffer;
  while (!direction.eof_read && direction.buffered < kMaxBufferedBytes) {
    const ssize_t count =
        recv(*direction.from_fd, buffer.data(), buffer.size(), 0);
    if (count < 0) {
      return IsTransientError(errno);
    }
    if (count == 0) {
      direction.eof_read = true;
      break;
    }
    const auto bytes = static_cast<size_t>(count);
    direction.buffered += bytes;
    m_pair.CountBytes(bytes);
    const Millis due =
        m_pair.timers().loop().Now() + Millis(m_pair.faults().delay_ms);
    direction.chunks.push_back({due, std::string(buffer.data(), bytes)});
  }
  return true;
}

bool Connection::WriteBytes(Direction& direction) {
  const double now = m_pair.timers().loop().Now().count();
  while (!direction.chunks.empty() &&
         direction.chunks.front().due.count() <= now) {
    Chunk& chunk = direction.chunks.front();
    const ssize_t count =
        send(*direction.to_fd, chunk.bytes.data() + chunk.sent,
             chunk.bytes.size() - chunk.sent, MSG_NOSIGNAL);
    if (count < 0) {
      return IsTransientError(errno);
    }
    const auto bytes = static_cast<size_t>(count);
    chunk.sent += bytes;
    direction.buffered -= bytes;
    if (chunk.sent == chunk.bytes.size()) {
      direction.chunks.pop_front();
    }
  }
  if (direction.eof_read && direction.chunks.empty() && !direction.eof_sent) {
    direction.eof_sent = true;
    shutdown(*direction.to_fd, SHUT_WR);
  }
  return true;
}

void Connection::TransferBytes() {
  if (!m_connected) {
    return;
  }
  RemoveSources();
  if (m_pair.faults().blackhole) {
    return;
  }
  const bool replies_pass = !m_pair.faults().one_way;
  const bool intact =
      ReadBytes(m_to_target) && WriteBytes(m_to_target) &&
      (!replies_pass || (ReadBytes(m_to_client) && WriteBytes(m_to_client)));
  if (!intact) {
    CloseAndRemove(/*with_reset=*/true);
    return;
  }
  if (m_to_target.eof_sent && m_to_client.eof_sent) {
    CloseAndRemove(/*with_reset=*/false);
    return;
  }
  AddSources();
}

void Connection::AddSources() {
  const double now = m_pair.timers().loop().Now().count();
  double next_due = 0;
  const auto wants_write = [&](const Direction& direction) {
    if (direction.chunks.empty()) {
      return false;
    }
    const double due = direction.chunks.front().due.count();
    if (due <= now) {
      return true;
    }
    next_due = next_due == 0 ? due : std::min(next_due, due);
    return false;
  };
  // With `one_way`, bytes from the target are held back, so this direction is
  // not watched.
  const Direction* to_client = m_pair.faults().one_way ? nullptr : &m_to_client;
  const auto add = [&](int fd, const Direction* reads,
                       const Direction* writes) -> guint {
    int condition = 0;
    if (reads != nullptr && !reads->eof_read &&
        reads->buffered < kMaxBufferedBytes) {
      condition |= G_IO_IN;
    }
    if (writes != nullptr && wants_write(*writes)) {
      condition |= G_IO_OUT;
    }
    return condition == 0
               ? 0
               : g_unix_fd_add(fd, static_cast<GIOCondition>(condition),
                               OnReady, this);
  };
  m_client_source = add(m_client_fd, &m_to_target, to_client);
  m_target_source = add(m_target_fd, to_client, &m_to_target);
  if (next_due != 0) {
    m_timer_set = true;
    m_timer = m_pair.timers().RunAfter(Millis(next_due - now), [this] {
      m_timer_set = false;
      TransferBytes();
    });
  }
}

void Connection::RemoveSources() {
  for (guint* source : {&m_client_source, &m_target_source}) {
    if (*source != 0) {
      g_source_remove(std::exchange(*source, 0));
    }
  }
  if (std::exchange(m_timer_set, false)) {
    m_pair.timers().Cancel(m_timer);
  }
}

}  // namespace tanagervane::standins
