// A TCP proxy whose injected faults can be changed while connections are open.

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

/// Faults that the control port can change.
struct PairFaults {
  /// Resets all connections and stops listening, so that new ones are refused.
  bool cut = false;
  /// Keeps connections open and accepts new ones, but forwards no bytes.
  bool blackhole = false;
  /// Forwards bytes to the target but none from it.
  bool one_way = false;
  /// Delay of the bytes in each direction.
  double delay_ms = 0;
  /// Delay between accepting a connection and connecting to the target.
  double accept_delay_ms = 0;
  /// Maximum number of open connections; further ones are reset. Zero: no
  /// limit.
  uint64_t limit = 0;
};

struct Endpoint {
  std::string ip;
  uint16_t port = 0;
};

class Connection;

/// One listen=target pair. All methods run on the loop.
class ProxyPair {
 public:
  ProxyPair(Endpoint listen, Endpoint target, TimerQueue& timers);
  ~ProxyPair();
  ProxyPair(const ProxyPair&) = delete;
  ProxyPair& operator=(const ProxyPair&) = delete;

  /// Starts listening. The path of the error is the listen address.
  absl::Status Open();

  const PairFaults& faults() const { return m_faults; }
  void SetFaults(const PairFaults& faults);
  void ResetCounters();
  nlohmann::json ToJson() const;

  // Used by Connection.
  TimerQueue& timers() { return m_timers; }
  const Endpoint& target() const { return m_target; }
  void Remove(Connection* connection);
  void CountBytes(size_t bytes) { m_read_bytes += bytes; }

 private:
  static gboolean OnAcceptReady(gint fd, GIOCondition, gpointer self);
  void Accept();
  void CloseListener();
  void ResetAll();

  const Endpoint m_listen;
  const Endpoint m_target;
  TimerQueue& m_timers;
  PairFaults m_faults;
  int m_listen_fd = -1;
  guint m_listen_source = 0;
  std::map<Connection*, std::unique_ptr<Connection>> m_connections;
  size_t m_max_connections = 0;
  uint64_t m_accepted_connections = 0;
  uint64_t m_refused_connections = 0;
  uint64_t m_reset_connections = 0;
  uint64_t m_target_failures = 0;
  uint64_t m_read_bytes = 0;

  friend class Connection;
};

/// One proxied connection: the sockets to the client and to the target, and the
/// bytes read from one and not yet written to the other.
class Connection {
 public:
  Connection(ProxyPair& pair, int client_fd);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects to the target after `accept_delay_ms`.
  void Start();

  /// Forwards the bytes that the faults allow. Must be called after the faults
  /// have changed.
  void TransferBytes();

  /// Closes both sockets with a reset.
  void Reset();

 private:
  struct Chunk {
    Millis due;
    std::string bytes;
    size_t sent = 0;
  };
  struct Direction {
    int* from_fd = nullptr;
    int* to_fd = nullptr;
    std::deque<Chunk> chunks;
    size_t buffered = 0;
    bool eof_read = false;
    bool eof_sent = false;
  };

  static gboolean OnReady(gint fd, GIOCondition, gpointer self);
  void ConnectTarget();
  void OnTargetConnected();
  /// Both return false when the connection is broken.
  bool ReadBytes(Direction& direction);
  bool WriteBytes(Direction& direction);
  /// Adds the event sources and the timer for the next transfer.
  void AddSources();
  void RemoveSources();
  /// Closes both sockets, removes this connection from its pair and deletes it.
  void CloseAndRemove(bool with_reset);

  ProxyPair& m_pair;
  int m_client_fd;
  int m_target_fd = -1;
  bool m_connected = false;
  Direction m_to_target;
  Direction m_to_client;
  guint m_client_source = 0;
  guint m_target_source = 0;
  TimerQueue::Handle m_timer{};
  bool m_timer_set = false;
};

}  // namespace tanagervane::standins

#endif  // TANAGERVANE_STANDINS_FAULT_PROXY_PROXY_H_
