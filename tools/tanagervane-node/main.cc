// Entry point of tanagervane-node, the server process of one VM of the tier.

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <string>

#include "absl/flags/flag.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/program/flags.h"
#include "tanagervane/support/bounded_log.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/log.h"
#include "tools/tanagervane-node/node.h"
#include "tools/tanagervane-node/settings.h"
#include "tools/tanagervane-node/settings_file.h"

ABSL_FLAG(std::string,
          settings,
          "",
          "Settings file (JSON with comments); by default the file that the "
          "environment variable TANAGERVANE_SETTINGS names.");
ABSL_FLAG(bool,
          check_settings,
          false,
          "Check the settings file and exit: 0 when it is valid.");

namespace tanagervane {
namespace {

constexpr Millis kLogFlushInterval{100};

/// Time between checks of the settings file, which may change without a signal.
constexpr Millis kSettingsPollInterval{1000};

std::string SettingsPath() {
  std::string flag = absl::GetFlag(FLAGS_settings);
  if (!flag.empty()) {
    return flag;
  }
  const char* variable = std::getenv("TANAGERVANE_SETTINGS");
  if (variable == nullptr) {
    ExitWithUsageError(
        "--settings: required, as TANAGERVANE_SETTINGS is not set");
  }
  return variable;
}

int Run(const NodeSettings& settings, SettingsFile& file) {
  EventLoop loop;
  BoundedLog log(STDOUT_FILENO, {}, &Poller::Now);
  SetLogSink([&log](std::string_view line) { log.Write(line); });
  Node node(loop, settings, static_cast<uint64_t>(EventLoop::WallMillis()));
  absl::Status status = node.Start();
  if (status.ok()) {
    loop.SetStopSignalHandler([&node] { node.Stop(); });
    const auto reload = [&node](const NodeSettings& changed) {
      node.Reload(changed);
    };
    loop.SetReloadSignalHandler([&file, reload] { file.Reload(reload); });
    loop.RunEvery(kSettingsPollInterval,
                  [&file, reload] { file.Poll(reload); });
    loop.RunEvery(kLogFlushInterval, [&log] { log.Flush(); });
    LogEvent("started")
        .Field("id", settings.id)
        .Field("version", TANAGERVANE_VERSION)
        .Field("callers", settings.caller_address)
        .Field("store", settings.store_address);
    loop.Run();
    LogEvent("stopped").Field("id", settings.id);
  } else {
    ReportError("start_failed", status);
  }
  log.Flush();
  SetLogSink(nullptr);
  return status.ok() ? kExitSuccess : kExitFailure;
}

int Main() {
  std::signal(SIGPIPE, SIG_IGN);
  // A reload signal during the start must not terminate the process. It is
  // ignored, because the start reads the settings anyway.
  std::signal(SIGHUP, SIG_IGN);
  SettingsFile file(SettingsPath());
  const auto settings = file.Load();
  if (!settings.ok()) {
    return ReportError("settings_invalid", settings.status());
  }
  return absl::GetFlag(FLAGS_check_settings) ? kExitSuccess
                                             : Run(*settings, file);
}

}  // namespace
}  // namespace tanagervane

int main(int argc, char** argv) {
  tanagervane::ParseFlagsWithoutArguments(
      argc, argv,
      {.name = "tanagervane-node",
       .version = TANAGERVANE_VERSION,
       .usage = "A VM of the tier on the users' platform: takes callers' "
                "requests and tells callers where to connect.\n"
                "tanagervane-node [--settings=FILE] [--check_settings]"});
  return tanagervane::Main();
}
