#include "standins/common/timer_queue.h"

namespace tanagervane::standins {

TimerQueue::Handle TimerQueue::RunAfter(Millis delay, EventLoop::Task task) {
  const Handle handle(m_loop.Now().count() + delay.count(), m_next_id++);
  m_tasks.emplace(handle, std::move(task));
  Arm();
  return handle;
}

void TimerQueue::Arm() {
  if (m_tasks.empty()) {
    return;
  }
  const double due = m_tasks.begin()->first.first;
  if (m_timer != 0 && m_armed_time <= due) {
    return;
  }
  m_loop.CancelTimer(m_timer);
  m_armed_time = due;
  m_timer = m_loop.RunAfter(Millis(due) - m_loop.Now(), [this] { RunDue(); });
}

void TimerQueue::RunDue() {
  m_timer = 0;
  const double now = m_loop.Now().count();
  while (!m_tasks.empty() && m_tasks.begin()->first.first <= now) {
    // Removed before it runs, because the task may add or cancel timers.
    const auto node = m_tasks.extract(m_tasks.begin());
    node.mapped()();
  }
  Arm();
}

}  // namespace tanagervane::standins
