// Socket readiness and one timer as a source of the GLib main loop.

#ifndef TANAGERVANE_NET_POLLER_H_
#define TANAGERVANE_NET_POLLER_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Watches many descriptors through one epoll descriptor, so that the number of
/// descriptors that GLib polls stays constant. Also runs one alarm.
class Poller {
 public:
  /// Receives the EPOLL* events that are ready.
  using EventHook = std::function<void(uint32_t events)>;

  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  /// Calls `hook` while any of `events` is ready (level-triggered).
  void Add(int descriptor, uint32_t events, EventHook hook);

  /// Replaces the watched events of a descriptor that was added.
  void Modify(int descriptor, uint32_t events);

  /// Stops watching the descriptor; its hook does not run again. Call it before
  /// closing the descriptor.
  void Remove(int descriptor);

  /// Returns the monotonic time, on the same clock as EventLoop::Now().
  static Millis Now();

  /// Sets the hook that runs once for each SetAlarm(), at its time.
  void SetAlarmHook(std::function<void()> hook);

  /// Schedules the alarm for `at`, in place of any earlier time.
  void SetAlarm(Millis at);

 private:
  struct Watch {
    EventHook hook;
    /// Tells apart watches that use the same descriptor number one after
    /// another.
    uint32_t generation = 0;
  };
  struct Source;

  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer);
  void RunReadyHooks();

  int m_epoll_descriptor;
  Source* m_source;
  uint32_t m_last_generation = 0;
  std::unordered_map<int, std::shared_ptr<Watch>> m_watches;
  std::function<void()> m_alarm_hook;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_POLLER_H_
