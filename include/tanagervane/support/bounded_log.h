// A log that never blocks the process and never floods its reader.

#ifndef TANAGERVANE_SUPPORT_BOUNDED_LOG_H_
#define TANAGERVANE_SUPPORT_BOUNDED_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "tanagervane/support/millis.h"

namespace tanagervane {

struct BoundedLogOptions {
  /// Lines written in the long run, and at once after a calm time.
  double lines_per_second = 200;
  double burst_lines = 400;
  /// Bytes that wait while the reader is slow; further lines are dropped.
  size_t pending_bytes = 262'144;
};

/// Collects lines and writes them to a descriptor in batches. What it drops is
/// counted and told in a line of its own.
class BoundedLog {
 public:
  /// The descriptor stays with the caller. Its mode is not changed: each write
  /// is preceded by a poll and bounded by PIPE_BUF, so that it cannot block.
  BoundedLog(int descriptor, BoundedLogOptions options, ClockHook clock);

  /// Takes one line that ends with a newline.
  void Write(std::string_view line);

  /// Writes what the descriptor takes now; call it a few times a second.
  void Flush();

  uint64_t dropped() const { return m_dropped; }

 private:
  bool TakeToken();
  void WritePending();

  int m_descriptor;
  BoundedLogOptions m_options;
  ClockHook m_clock;
  double m_tokens;
  Millis m_refilled;
  std::string m_pending;
  uint64_t m_dropped = 0;
  uint64_t m_told = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_BOUNDED_LOG_H_
