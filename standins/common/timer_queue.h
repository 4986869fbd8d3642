// Many timers on one timer of the event loop.

#ifndef TANAGERVANE_STANDINS_COMMON_TIMER_QUEUE_H_
#define TANAGERVANE_STANDINS_COMMON_TIMER_QUEUE_H_

#include <cstdint>
#include <map>
#include <utility>

#include "tanagervane/net/event_loop.h"

namespace tanagervane::standins {

/// GLib visits every timer source on each iteration, which is too slow for
/// thousands of simulated service times. This queue uses one source.
class TimerQueue {
 public:
  using Handle = std::pair<double, uint64_t>;

  explicit TimerQueue(EventLoop& loop) : m_loop(loop) {}
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;
  ~TimerQueue() { m_loop.CancelTimer(m_timer); }

  EventLoop& loop() { return m_loop; }

  /// Runs `task` on the loop after `delay`, up to 1 ms late.
  Handle After(Millis delay, EventLoop::Task task);

  /// Handles of tasks that have run are ignored.
  void Cancel(Handle handle) { m_tasks.erase(handle); }

 private:
  void Arm();
  void RunDue();

  EventLoop& m_loop;
  std::map<Handle, EventLoop::Task> m_tasks;
  uint64_t m_next_id = 1;
  EventLoop::TimerId m_timer = 0;
  double m_armed_for = 0;
};

}  // namespace tanagervane::standins

#endif  // TANAGERVANE_STANDINS_COMMON_TIMER_QUEUE_H_
