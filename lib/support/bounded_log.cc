#include "tanagervane/support/bounded_log.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "fmt/format.h"

namespace tanagervane {

BoundedLog::BoundedLog(int descriptor,
                       BoundedLogOptions options,
                       ClockHook clock)
    : m_descriptor(descriptor),
      m_options(options),
      m_clock(std::move(clock)),
      m_tokens(options.burst_lines),
      m_last_refill(m_clock()) {}

bool BoundedLog::TakeToken() {
  const Millis now = m_clock();
  const double seconds = (now - m_last_refill).count() / 1000.0;
  m_last_refill = now;
  m_tokens = std::min(m_options.burst_lines,
                      m_tokens + seconds * m_options.lines_per_second);
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

void BoundedLog::Write(std::string_view line) {
  if (m_pending.size() + line.size() > m_options.max_pending_bytes ||
      !TakeToken()) {
    ++m_dropped;
    return;
  }
  m_pending += line;
}

void BoundedLog::Flush() {
  WritePending();
  if (m_dropped == m_reported_dropped || !m_pending.empty()) {
    return;
  }
  m_pending = fmt::format("event=log_lines_dropped count={} total={}\n",
                          m_dropped - m_reported_dropped, m_dropped);
  m_reported_dropped = m_dropped;
  WritePending();
}

void BoundedLog::WritePending() {
  while (!m_pending.empty()) {
    pollfd ready{m_descriptor, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    const size_t size = std::min<size_t>(m_pending.size(), PIPE_BUF);
    const ssize_t written = write(m_descriptor, m_pending.data(), size);
    if (written <= 0) {
      return;
    }
    m_pending.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace tanagervane
