// The main loop of a process: timers, posted tasks and signals.

#ifndef TANAGERVANE_NET_EVENT_LOOP_H_
#define TANAGERVANE_NET_EVENT_LOOP_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// A GLib main loop with timers, signal handlers and a thread-safe task queue.
/// A process makes all its decisions on this loop, in one thread.
class EventLoop {
 public:
  using Task = std::function<void()>;
  using TimerId = unsigned;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Returns the monotonic time.
  Millis Now() const;

  /// Returns milliseconds since the Unix epoch, for timestamps that other
  /// processes read.
  static int64_t WallMillis();

  /// Queues `task` to run on the loop. May be called from any thread.
  void Post(Task task);

  /// Deletes posted tasks that have not run. Call it after Run() has returned.
  void DropPostedTasks();

  /// Runs `task` once after `delay`.
  TimerId RunAfter(Millis delay, Task task);

  /// Runs `task` every `period` until the timer is cancelled.
  TimerId RunEvery(Millis period, Task task);

  /// Cancels a timer. Zero and the id of a timer that has ended are ignored.
  void CancelTimer(TimerId id);

  /// Runs `task` on the loop on each SIGTERM and SIGINT.
  void SetStopSignalHandler(const Task& task);

  /// Runs `task` on the loop on each SIGHUP.
  void SetReloadSignalHandler(const Task& task);

  /// Runs the loop until Quit() is called.
  void Run();
  void Quit();

 private:
  static gboolean RunPostedTasks(gpointer self);

  GMainLoop* m_loop;
  std::mutex m_mutex;
  std::vector<Task> m_posted_tasks;
  bool m_wakeup_pending = false;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_EVENT_LOOP_H_
