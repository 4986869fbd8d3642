// Link and Connection on non-blocking sockets.

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
// Bounds the memory for a reader that does not keep up.
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

bool IsTemporary(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}  // namespace

Link::Link(Endpoint listen, Endpoint target, TimerQueue& timers)
    : m_listen(std::move(listen)),
      m_target(std::move(target)),
      m_timers(timers) {}

Link::~Link() {
  CloseListener();
}

absl::Status Link::Open() {
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
  m_listener = fd;
  m_source = g_unix_fd_add(fd, G_IO_IN, OnAcceptReady, this);
  return absl::OkStatus();
}

void Link::CloseListener() {
  if (m_source != 0) {
    g_source_remove(std::exchange(m_source, 0));
  }
  if (m_listener >= 0) {
    close(std::exchange(m_listener, -1));
  }
}

gboolean Link::OnAcceptReady(gint, GIOCondition, gpointer self) {
  static_cast<Link*>(self)->Accept();
  return G_SOURCE_CONTINUE;
}

void Link::Accept() {
  while (true) {
    const int fd =
        accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    if (m_faults.limit != 0 && m_connections.size() >= m_faults.limit) {
      ++m_refused;
      CloseWithReset(fd);
      continue;
    }
    SetNoDelay(fd);
    ++m_accepted;
    auto connection = std::make_unique<Connection>(*this, fd);
    Connection* started = connection.get();
    m_connections.emplace(started, std::move(connection));
    m_max_connections = std::max(m_max_connections, m_connections.size());
    started->Start();
  }
}

void Link::Remove(Connection* connection) {
  m_connections.erase(connection);
}

void Link::ResetAll() {
  m_reset += m_connections.size();
  for (const auto& [key, connection] : m_connections) {
    connection->Reset();
  }
  m_connections.clear();
}

void Link::SetFaults(const LinkFaults& faults) {
  const bool was_cut = m_faults.cut;
  m_faults = faults;
  if (m_faults.cut && !was_cut) {
    CloseListener();
    ResetAll();
  } else if (!m_faults.cut && was_cut) {
    // The port was ours until now; a failure shows as listening = false.
    Open().IgnoreError();
  }
  std::vector<Connection*> open;
  for (const auto& [key, connection] : m_connections) {
    open.push_back(key);
  }
  for (Connection* connection : open) {
    if (m_connections.contains(connection)) {
      connection->Pump();
    }
  }
}

void Link::ResetCounters() {
  m_max_connections = m_connections.size();
  m_accepted = m_refused = m_reset = m_target_failures = m_bytes = 0;
}

nlohmann::json Link::ToJson() const {
  return {{"listen", fmt::format("{}:{}", m_listen.ip, m_listen.port)},
          {"target", fmt::format("{}:{}", m_target.ip, m_target.port)},
          {"listening", m_listener >= 0},
          {"connections", m_connections.size()},
          {"max_connections", m_max_connections},
          {"accepted", m_accepted},
          {"refused", m_refused},
          {"reset", m_reset},
          {"target_failures", m_target_failures},
          {"bytes", m_bytes},
          {"cut", m_faults.cut},
          {"blackhole", m_faults.blackhole},
          {"one_way", m_faults.one_way},
          {"delay_ms", m_faults.delay_ms},
          {"accept_delay_ms", m_faults.accept_delay_ms},
          {"limit", m_faults.limit}};
}

Connection::Connection(Link& link, int client)
    : m_link(link), m_client(client) {
  m_up.from = &m_client;
  m_up.to = &m_target;
  m_down.from = &m_target;
  m_down.to = &m_client;
}

Connection::~Connection() {
  Unwatch();
  if (m_timer_set) {
    m_link.timers().Cancel(m_timer);
  }
  for (int* fd : {&m_client, &m_target}) {
    if (*fd >= 0) {
      close(std::exchange(*fd, -1));
    }
  }
}

void Connection::Reset() {
  Unwatch();
  for (int* fd : {&m_client, &m_target}) {
    if (*fd >= 0) {
      CloseWithReset(std::exchange(*fd, -1));
    }
  }
}

void Connection::Drop(bool with_reset) {
  if (with_reset) {
    Reset();
  }
  m_link.Remove(this);
}

void Connection::Start() {
  const double delay = m_link.faults().accept_delay_ms;
  if (delay <= 0) {
    ConnectTarget();
    return;
  }
  m_timer_set = true;
  m_timer = m_link.timers().After(Millis(delay), [this] {
    m_timer_set = false;
    ConnectTarget();
  });
}

void Connection::ConnectTarget() {
  m_target = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToAddress(m_link.target());
  const bool ok =
      m_target >= 0 &&
      (connect(m_target, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0 ||
       errno == EINPROGRESS);
  if (!ok) {
    ++m_link.m_target_failures;
    Drop(/*with_reset=*/true);
    return;
  }
  SetNoDelay(m_target);
  m_target_source = g_unix_fd_add(m_target, G_IO_OUT, OnReady, this);
}

void Connection::OnTargetConnected() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(m_target, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    ++m_link.m_target_failures;
    Drop(/*with_reset=*/true);
    return;
  }
  m_connected = true;
  Pump();
}

gboolean Connection::OnReady(gint, GIOCondition, gpointer self) {
  auto* connection = static_cast<Connection*>(self);
  if (connection->m_connected) {
    connection->Pump();
  } else {
    connection->OnTargetConnected();
  }
  // Pump() has replaced the source, or the connection is gone.
  return G_SOURCE_CONTINUE;
}

bool Connection::ReadInto(Direction& direction) {
  std::array<char, kReadBytes> buffer;
  while (!direction.end_read && direction.buffered < kMaxBufferedBytes) {
    const ssize_t count =
        recv(*direction.from, buffer.data(), buffer.size(), 0);
    if (count < 0) {
      return IsTemporary(errno);
    }
    if (count == 0) {
      direction.end_read = true;
      break;
    }
    const auto bytes = static_cast<size_t>(count);
    direction.buffered += bytes;
    m_link.CountBytes(bytes);
    const Millis due =
        m_link.timers().loop().Now() + Millis(m_link.faults().delay_ms);
    direction.chunks.push_back({due, std::string(buffer.data(), bytes)});
  }
  return true;
}

bool Connection::WriteFrom(Direction& direction) {
  const double now = m_link.timers().loop().Now().count();
  while (!direction.chunks.empty() &&
         direction.chunks.front().due.count() <= now) {
    Chunk& chunk = direction.chunks.front();
    const ssize_t count = send(*direction.to, chunk.bytes.data() + chunk.sent,
                               chunk.bytes.size() - chunk.sent, MSG_NOSIGNAL);
    if (count < 0) {
      return IsTemporary(errno);
    }
    const auto bytes = static_cast<size_t>(count);
    chunk.sent += bytes;
    direction.buffered -= bytes;
    if (chunk.sent == chunk.bytes.size()) {
      direction.chunks.pop_front();
    }
  }
  if (direction.end_read && direction.chunks.empty() && !direction.end_sent) {
    direction.end_sent = true;
    shutdown(*direction.to, SHUT_WR);
  }
  return true;
}

void Connection::Pump() {
  if (!m_connected) {
    return;
  }
  Unwatch();
  if (m_link.faults().blackhole) {
    return;
  }
  const bool answers_pass = !m_link.faults().one_way;
  const bool alive = ReadInto(m_up) && WriteFrom(m_up) &&
                     (!answers_pass || (ReadInto(m_down) && WriteFrom(m_down)));
  if (!alive) {
    Drop(/*with_reset=*/true);
    return;
  }
  if (m_up.end_sent && m_down.end_sent) {
    Drop(/*with_reset=*/false);
    return;
  }
  Watch();
}

void Connection::Watch() {
  const double now = m_link.timers().loop().Now().count();
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
  // The direction from the target is not watched while its bytes are held.
  const Direction* down = m_link.faults().one_way ? nullptr : &m_down;
  const auto add = [&](int fd, const Direction* reads,
                       const Direction* writes) -> guint {
    int condition = 0;
    if (reads != nullptr && !reads->end_read &&
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
  m_client_source = add(m_client, &m_up, down);
  m_target_source = add(m_target, down, &m_up);
  if (next_due != 0) {
    m_timer_set = true;
    m_timer = m_link.timers().After(Millis(next_due - now), [this] {
      m_timer_set = false;
      Pump();
    });
  }
}

void Connection::Unwatch() {
  for (guint* source : {&m_client_source, &m_target_source}) {
    if (*source != 0) {
      g_source_remove(std::exchange(*source, 0));
    }
  }
  if (std::exchange(m_timer_set, false)) {
    m_link.timers().Cancel(m_timer);
  }
}

}  // namespace tanagervane::standins
