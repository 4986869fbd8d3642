// The entry server: accepts callers' requests and fans them out to backend
// servers.

#include <csignal>
#include <string>

#include "absl/flags/flag.h"
#include "absl/synchronization/mutex.h"
#include "tanagervane/edge/entry_server.h"
#include "tanagervane/edge/settings.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/program/flags.h"
#include "tanagervane/support/file.h"
#include "tanagervane/support/log.h"

ABSL_FLAG(std::string, settings, "", "Settings file (JSON with comments).");
ABSL_FLAG(bool,
          check_settings,
          false,
          "Check the settings file and exit: 0 when it is valid.");

namespace tanagervane {
namespace {

std::string TrimTrailingSpace(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == ' ')) {
    text.pop_back();
  }
  return text;
}

int RunServer(const EntrySettings& settings) {
  std::string key;
  if (!settings.operator_key_file.empty()) {
    const auto text = ReadFile(settings.operator_key_file);
    if (!text.ok()) {
      return ReportError("operator_key_unreadable", text.status());
    }
    key = TrimTrailingSpace(*text);
  }
  EventLoop loop;
  EntryServer server(loop, settings, key,
                     static_cast<uint64_t>(EventLoop::WallMillis()));
  if (const absl::Status status = server.Start(); !status.ok()) {
    return ReportError("start_failed", status);
  }
  loop.SetStopSignalHandler([&server] { server.Stop(); });
  LogEvent("started")
      .Field("id", settings.id)
      .Field("version", TANAGERVANE_VERSION)
      .Field("callers", settings.caller_address)
      .Field("operators", settings.operator_address)
      .Field("peers", settings.peer_address);
  loop.Run();
  LogEvent("stopped").Field("id", settings.id);
  return kExitSuccess;
}

int Main() {
  if (absl::GetFlag(FLAGS_settings).empty()) {
    ExitWithUsageError("flag --settings is required");
  }
  std::signal(SIGPIPE, SIG_IGN);
  // Debian's Abseil has deadlock detection enabled. It records the order of all
  // mutexes under one global lock, which cost 6% of the entry's CPU time in
  // gRPC.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  const auto settings = LoadSettings(absl::GetFlag(FLAGS_settings));
  if (!settings.ok()) {
    return ReportError("settings_invalid", settings.status());
  }
  return absl::GetFlag(FLAGS_check_settings) ? kExitSuccess
                                             : RunServer(*settings);
}

}  // namespace
}  // namespace tanagervane

int main(int argc, char** argv) {
  tanagervane::ParseFlagsWithoutArguments(
      argc, argv,
      {.name = "tanagervane-entry",
       .version = TANAGERVANE_VERSION,
       .usage = "Entry server: accepts callers' requests and fans them out.\n"
                "tanagervane-entry --settings=FILE [--check_settings]"});
  return tanagervane::Main();
}
