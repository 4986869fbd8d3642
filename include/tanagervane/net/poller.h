// Readiness of sockets and one alarm, as a source of the GLib loop.

#ifndef TANAGERVANE_NET_POLLER_H_
#define TANAGERVANE_NET_POLLER_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Watches many descriptors through one epoll descriptor, so that the loop
/// polls a constant number of descriptors.
class Poller {
 public:
  /// Takes the EPOLL* events that are ready.
  using EventHook = std::function<void(uint32_t events)>;

  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  /// Calls `hook` while any of `events` is ready (level-triggered).
  void Add(int descriptor, uint32_t events, EventHook hook);

  /// Changes the events of a descriptor that was added.
  void Change(int descriptor, uint32_t events);

  /// Forgets the descriptor; its hook does not run again. Call it before the
  /// descriptor is closed.
  void Remove(int descriptor);

  /// Monotonic time, the same clock as EventLoop::Now().
  static Millis Now();

  /// Runs `hook` whenever the time set by SetAlarm() has come.
  void SetAlarmHook(std::function<void()> hook);

  /// Replaces the time of the alarm.
  void SetAlarm(Millis at);

 private:
  struct Watch {
    EventHook hook;
    uint32_t generation = 0;
  };
  struct Source;

  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer);
  void RunReady();

  int m_epoll;
  Source* m_source;
  uint32_t m_next_generation = 0;
  std::unordered_map<int, std::shared_ptr<Watch>> m_watches;
  std::function<void()> m_alarm_hook;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_POLLER_H_
