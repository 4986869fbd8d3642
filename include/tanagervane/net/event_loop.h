// The one loop on which every decision is made.

#ifndef TANAGERVANE_NET_EVENT_LOOP_H_
#define TANAGERVANE_NET_EVENT_LOOP_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// A GLib main loop with timers and a thread-safe queue of tasks.
class EventLoop {
 public:
  using Task = std::function<void()>;
  using TimerId = unsigned;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Monotonic time.
  Millis Now() const;

  /// Milliseconds since the Unix epoch, for times that leave the process.
  static int64_t WallMillis();

  /// Runs `task` on the loop. May be called from any thread.
  void Post(Task task);

  /// Deletes posted tasks that have not run. For use after Run() returned.
  void DropPosted();

  /// Runs `task` once after `delay`.
  TimerId After(Millis delay, Task task);

  /// Runs `task` every `period` until the timer is cancelled.
  TimerId Every(Millis period, Task task);

  /// Cancels a timer that has not run yet; zero is ignored.
  void CancelTimer(TimerId id);

  /// Calls `task` on the loop for SIGTERM and SIGINT.
  void OnStopSignal(const Task& task);

  /// Calls `task` on the loop for SIGHUP.
  void OnReloadSignal(const Task& task);

  void Run();
  void Quit();

 private:
  static gboolean RunPosted(gpointer self);

  GMainLoop* m_loop;
  std::mutex m_mutex;
  std::vector<Task> m_posted;
  bool m_wakeup_pending = false;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_EVENT_LOOP_H_
