#include "tanagervane/support/log.h"

#include <chrono>
#include <cstdio>
#include <utility>

namespace tanagervane {

namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" =\"\n\r\t\\") != std::string_view::npos;
}

void AppendQuoted(std::string& line, std::string_view value) {
  line += '"';
  for (char c : value) {
    if (c == '\n') {
      line += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      line += '\\';
    }
    line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  line += '"';
}

LogSink& GlobalSink() {
  static LogSink sink;
  return sink;
}

}  // namespace

void SetLogSink(LogSink sink) {
  GlobalSink() = std::move(sink);
}

LogEvent::LogEvent(std::string_view event) {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
  m_line = fmt::format("time_ms={} event={}", millis.count(), event);
}

LogEvent::~LogEvent() {
  m_line += '\n';
  if (const LogSink& sink = GlobalSink()) {
    sink(m_line);
    return;
  }
  // A single write per line keeps the lines of processes that share one
  // standard error stream from interleaving.
  std::fwrite(m_line.data(), 1, m_line.size(), stderr);
}

LogEvent& LogEvent::Field(std::string_view key, std::string_view value) {
  m_line += fmt::format(" {}=", key);
  if (NeedsQuotes(value)) {
    AppendQuoted(m_line, value);
  } else {
    m_line += value;
  }
  return *this;
}

}  // namespace tanagervane
