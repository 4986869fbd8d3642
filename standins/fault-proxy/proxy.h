// A TCP proxy whose faults can be changed while connections are open.

#ifndef TANAGERVANE_STANDINS_FAULT_PROXY_PROXY_H_
#define TANAGERVANE_STANDINS_FAULT_PROXY_PROXY_H_

#include <glib.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "nlohmann/json.hpp"
#include "standins/common/timer_queue.h"

namespace tanagervane::standins {

/// What the control port changes.
struct LinkFaults {
  /// Resets all connections and refuses new ones.
  bool cut = false;
  /// Keeps connections open, accepts new ones and moves no bytes.
  bool blackhole = false;
  /// Moves bytes to the target and none from it.
  bool one_way = false;
  /// One-way delay in each direction.
  double delay_ms = 0;
  /// Delay between accepting a connection and connecting to the target.
  double accept_delay_ms = 0;
  /// Connections above this number are reset; zero means no limit.
  uint64_t limit = 0;
};

struct Endpoint {
  std::string ip;
  uint16_t port = 0;
};

class Connection;

/// One listen=target pair. All calls are on the loop.
class Link {
 public:
  Link(Endpoint listen, Endpoint target, TimerQueue& timers);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  absl::Status Open();

  const LinkFaults& faults() const { return m_faults; }
  void SetFaults(const LinkFaults& faults);
  void ResetCounters();
  nlohmann::json ToJson() const;

  // For connections.
  TimerQueue& timers() { return m_timers; }
  const Endpoint& target() const { return m_target; }
  void Remove(Connection* connection);
  void CountBytes(size_t bytes) { m_bytes += bytes; }

 private:
  static gboolean OnAcceptReady(gint fd, GIOCondition, gpointer self);
  void Accept();
  void CloseListener();
  void ResetAll();

  const Endpoint m_listen;
  const Endpoint m_target;
  TimerQueue& m_timers;
  LinkFaults m_faults;
  int m_listener = -1;
  guint m_source = 0;
  std::map<Connection*, std::unique_ptr<Connection>> m_connections;
  size_t m_max_connections = 0;
  uint64_t m_accepted = 0;
  uint64_t m_refused = 0;
  uint64_t m_reset = 0;
  uint64_t m_target_failures = 0;
  uint64_t m_bytes = 0;

  friend class Connection;
};

/// One proxied connection: two sockets and the bytes between them.
class Connection {
 public:
  Connection(Link& link, int client);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects to the target after the link's accept delay.
  void Start();

  /// Moves what the link's faults allow; call after they changed.
  void Pump();

  /// Closes both sockets with a reset.
  void Reset();

 private:
  struct Chunk {
    Millis due;
    std::string bytes;
    size_t sent = 0;
  };
  struct Direction {
    int* from = nullptr;
    int* to = nullptr;
    std::deque<Chunk> chunks;
    size_t buffered = 0;
    bool end_read = false;
    bool end_sent = false;
  };

  static gboolean OnReady(gint fd, GIOCondition, gpointer self);
  void ConnectTarget();
  void OnTargetConnected();
  /// False when the connection is broken.
  bool ReadInto(Direction& direction);
  bool WriteFrom(Direction& direction);
  void Watch();
  void Unwatch();
  /// Removes this connection; it is deleted afterwards.
  void Drop(bool with_reset);

  Link& m_link;
  int m_client;
  int m_target = -1;
  bool m_connected = false;
  Direction m_up;
  Direction m_down;
  guint m_client_source = 0;
  guint m_target_source = 0;
  TimerQueue::Handle m_timer{};
  bool m_timer_set = false;
};

}  // namespace tanagervane::standins

#endif  // TANAGERVANE_STANDINS_FAULT_PROXY_PROXY_H_
