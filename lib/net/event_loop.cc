// EventLoop on a GMainLoop.

#include "tanagervane/net/event_loop.h"

#include <glib-unix.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <utility>

namespace tanagervane {

namespace {

/// GLib takes delays as 32-bit numbers of milliseconds.
constexpr Millis kMaxDelay{4e9};

struct TimerTask {
  EventLoop::Task task;
  bool repeat;
};

gboolean RunTimerTask(gpointer data) {
  auto* timer = static_cast<TimerTask*>(data);
  timer->task();
  return timer->repeat ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

void DeleteTimerTask(gpointer data) {
  delete static_cast<TimerTask*>(data);
}

EventLoop::TimerId AddTimer(Millis delay, EventLoop::Task task, bool repeat) {
  // Written so that a delay that is no number counts as none.
  const double delay_ms =
      delay > Millis(0) ? std::min(delay, kMaxDelay).count() : 0;
  auto* timer = new TimerTask{std::move(task), repeat};
  // Rounded up so that a timer never fires early.
  const auto interval = static_cast<guint>(delay_ms + 0.999);
  return g_timeout_add_full(G_PRIORITY_DEFAULT, interval, RunTimerTask, timer,
                            DeleteTimerTask);
}

gboolean RunSignalTask(gpointer data) {
  (*static_cast<EventLoop::Task*>(data))();
  return G_SOURCE_CONTINUE;
}

void DeleteSignalTask(gpointer data) {
  delete static_cast<EventLoop::Task*>(data);
}

void AddSignalHandler(int signal, const EventLoop::Task& task) {
  g_unix_signal_add_full(G_PRIORITY_DEFAULT, signal, RunSignalTask,
                         new EventLoop::Task(task), DeleteSignalTask);
}

}  // namespace

EventLoop::EventLoop() : m_loop(g_main_loop_new(nullptr, FALSE)) {}

EventLoop::~EventLoop() {
  g_main_loop_unref(m_loop);
}

Millis EventLoop::Now() const {
  return Millis(static_cast<double>(g_get_monotonic_time()) / 1000.0);
}

int64_t EventLoop::WallMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void EventLoop::Post(Task task) {
  const std::lock_guard lock(m_mutex);
  m_posted_tasks.push_back(std::move(task));
  if (m_wakeup_pending) {
    return;
  }
  m_wakeup_pending = true;
  g_idle_add_full(G_PRIORITY_DEFAULT, RunPostedTasks, this, nullptr);
}

gboolean EventLoop::RunPostedTasks(gpointer self) {
  auto* loop = static_cast<EventLoop*>(self);
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(loop->m_mutex);
    tasks.swap(loop->m_posted_tasks);
    loop->m_wakeup_pending = false;
  }
  for (Task& task : tasks) {
    task();
  }
  return G_SOURCE_REMOVE;
}

void EventLoop::DropPostedTasks() {
  std::vector<Task> tasks;
  const std::lock_guard lock(m_mutex);
  tasks.swap(m_posted_tasks);
}

EventLoop::TimerId EventLoop::RunAfter(Millis delay, Task task) {
  return AddTimer(delay, std::move(task), false);
}

EventLoop::TimerId EventLoop::RunEvery(Millis period, Task task) {
  return AddTimer(period, std::move(task), true);
}

void EventLoop::CancelTimer(TimerId id) {
  if (id == 0) {
    return;
  }
  if (GSource* source = g_main_context_find_source_by_id(nullptr, id)) {
    g_source_destroy(source);
  }
}

void EventLoop::SetStopSignalHandler(const Task& task) {
  for (int signal : {SIGTERM, SIGINT}) {
    AddSignalHandler(signal, task);
  }
}

void EventLoop::SetReloadSignalHandler(const Task& task) {
  AddSignalHandler(SIGHUP, task);
}

void EventLoop::Run() {
  g_main_loop_run(m_loop);
}

void EventLoop::Quit() {
  g_main_loop_quit(m_loop);
}

}  // namespace tanagervane
