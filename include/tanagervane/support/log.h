// Structured logs: one line of key=value pairs for each event.

#ifndef TANAGERVANE_SUPPORT_LOG_H_
#define TANAGERVANE_SUPPORT_LOG_H_

#include <concepts>
#include <functional>
#include <string>
#include <string_view>

#include "fmt/format.h"

namespace tanagervane {

/// Takes each finished line, which ends with a newline.
using LogSink = std::function<void(std::string_view line)>;

/// Replaces the sink of all log lines of the process, which is standard error
/// unless this is called. An empty sink restores standard error.
void SetLogSink(LogSink sink);

/// Hands one line to the log sink when destroyed:
///   LogEvent("replica_lost").Field("replica", id).Field("in_flight", 3);
class LogEvent {
 public:
  explicit LogEvent(std::string_view event);
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;
  ~LogEvent();

  LogEvent& Field(std::string_view key, std::string_view value);

  template <typename T>
  requires std::integral<T> || std::floating_point<T> LogEvent& Field(
      std::string_view key,
      T value) {
    return Field(key, std::string_view(fmt::format("{}", value)));
  }

 private:
  std::string m_line;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_LOG_H_
