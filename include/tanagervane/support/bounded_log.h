// A rate-limited, non-blocking writer of log lines.

#ifndef TANAGERVANE_SUPPORT_BOUNDED_LOG_H_
#define TANAGERVANE_SUPPORT_BOUNDED_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "tanagervane/support/millis.h"

namespace tanagervane {

struct BoundedLogOptions {
  /// Token bucket of accepted lines: refill rate and capacity.
  double lines_per_second = 200;
  double burst_lines = 400;
  /// Bound on buffered bytes while the reader is slow; lines beyond it are
  /// dropped.
  size_t max_pending_bytes = 262'144;
};

/// Buffers lines and writes them to a file descriptor in batches. Lines above
/// the rate or the buffer bound are dropped and counted, and the count is
/// written as a `log_lines_dropped` event.
class BoundedLog {
 public:
  /// Does not take ownership of the descriptor or make it non-blocking.
  /// Instead, each write is at most PIPE_BUF bytes and follows a poll, so it
  /// cannot block.
  BoundedLog(int descriptor, BoundedLogOptions options, ClockHook clock);

  /// Buffers one line, which ends with a newline, or drops it.
  void Write(std::string_view line);

  /// Writes buffered lines while the descriptor accepts data. To be called a
  /// few times per second.
  void Flush();

  uint64_t dropped() const { return m_dropped; }

 private:
  /// Refills the token bucket; false when it holds less than one token.
  bool TakeToken();
  void WritePending();

  int m_descriptor;
  BoundedLogOptions m_options;
  ClockHook m_clock;
  double m_tokens;
  Millis m_last_refill;
  std::string m_pending;
  uint64_t m_dropped = 0;
  uint64_t m_reported_dropped = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_BOUNDED_LOG_H_
