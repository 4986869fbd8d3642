#ifndef TANAGERVANE_STANDINS_COMMON_TIMER_QUEUE_H_
#define TANAGERVANE_STANDINS_COMMON_TIMER_QUEUE_H_

#include <cstdint>
#include <map>
#include <utility>

#include "tanagervane/net/event_loop.h"

namespace tanagervane::standins {

/// Multiplexes many timers onto one timer of the event loop, in a map sorted by
/// due time. GLib visits every timer source on each iteration, which is too
/// slow for thousands of simulated service times.
class TimerQueue {
 public:
  /// Due time in milliseconds of the loop's clock, and a serial number.
  using Handle = std::pair<double, uint64_t>;

  explicit TimerQueue(EventLoop& loop) : m_loop(loop) {}
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;
  ~TimerQueue() { m_loop.CancelTimer(m_timer); }

  EventLoop& loop() { return m_loop; }

  /// Runs `task` on the loop after `delay`, up to 1 ms late.
  Handle RunAfter(Millis delay, EventLoop::Task task);

  /// Cancels a task. Does nothing when the task has already run.
  void Cancel(Handle handle) { m_tasks.erase(handle); }

 private:
  /// Sets the timer of the event loop to the earliest due time.
  void Arm();
  void RunDue();

  EventLoop& m_loop;
  std::map<Handle, EventLoop::Task> m_tasks;
  uint64_t m_next_id = 1;
  EventLoop::TimerId m_timer = 0;
  /// Due time for which `m_timer` is set.
  double m_armed_time = 0;
};

}  // namespace tanagervane::standins

#endif  // TANAGERVANE_STANDINS_COMMON_TIMER_QUEUE_H_
