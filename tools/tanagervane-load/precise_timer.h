// A timer with microsecond resolution.

#ifndef TANAGERVANE_TOOLS_LOAD_PRECISE_TIMER_H_
#define TANAGERVANE_TOOLS_LOAD_PRECISE_TIMER_H_

#include <functional>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Runs a callback at a set time on the default GLib context of the thread.
/// GLib rounds its own timeouts up to whole milliseconds, which would add up to
/// 1 ms to each latency, as latencies are measured from the intended arrival.
class PreciseTimer {
 public:
  explicit PreciseTimer(std::function<void()> callback);
  ~PreciseTimer();
  PreciseTimer(const PreciseTimer&) = delete;
  PreciseTimer& operator=(const PreciseTimer&) = delete;

  /// Schedules the callback for `at`, a time of EventLoop::Now(), and replaces
  /// a time set before.
  void Arm(Millis at);

 private:
  friend struct PreciseTimerCallback;

  std::function<void()> m_callback;
  int m_fd;
  unsigned m_source_id;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_LOAD_PRECISE_TIMER_H_
