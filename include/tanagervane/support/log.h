// Structured logging: each event is one line of key=value pairs.

#ifndef TANAGERVANE_SUPPORT_LOG_H_
#define TANAGERVANE_SUPPORT_LOG_H_

#include <concepts>
#include <functional>
#include <string>
#include <string_view>

#include "fmt/format.h"

namespace tanagervane {

/// Receives each log line, including its newline.
using LogSink = std::function<void(std::string_view line)>;

/// Replaces the process-wide sink, which is standard error by default. An empty
/// sink restores the default.
void SetLogSink(LogSink sink);

/// Builds one log line and passes it to the sink on destruction:
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
