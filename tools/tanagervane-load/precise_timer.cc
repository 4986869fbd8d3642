// PreciseTimer, implemented with timerfd.

#include "precise_timer.h"

#include <glib-unix.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <utility>

namespace tanagervane {

struct PreciseTimerCallback {
  static gboolean OnReadable(gint fd, GIOCondition, gpointer data) {
    uint64_t expirations = 0;
    if (read(fd, &expirations, sizeof(expirations)) == sizeof(expirations)) {
      static_cast<PreciseTimer*>(data)->m_callback();
    }
    return G_SOURCE_CONTINUE;
  }
};

PreciseTimer::PreciseTimer(std::function<void()> callback)
    : m_callback(std::move(callback)),
      m_fd(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)),
      m_source_id(g_unix_fd_add(m_fd,
                                G_IO_IN,
                                PreciseTimerCallback::OnReadable,
                                this)) {
  assert(m_fd >= 0 && "timerfd_create failed");
}

PreciseTimer::~PreciseTimer() {
  g_source_remove(m_source_id);
  close(m_fd);
}

void PreciseTimer::Arm(Millis at) {
  // timerfd_settime() disarms the timer when the time is zero.
  const auto micros =
      std::max<int64_t>(1, static_cast<int64_t>(at.count() * 1000));
  itimerspec spec{};
  spec.it_value.tv_sec = micros / 1000000;
  spec.it_value.tv_nsec = micros % 1000000 * 1000;
  timerfd_settime(m_fd, TFD_TIMER_ABSTIME, &spec, nullptr);
}

}  // namespace tanagervane
