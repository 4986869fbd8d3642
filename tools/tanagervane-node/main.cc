// Entry point of tanagervane-node, the server process of one VM of the tier.

#include <glib.h>
#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "absl/flags/flag.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
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

/// The allocator takes larger blocks from the system one by one.
constexpr int kOwnBlockBytes = 65536;

constexpr Millis kLogFlushInterval{100};

/// Time between checks of the settings file, which may change without a signal.
constexpr Millis kSettingsPollInterval{1000};

/// A start is repeated this often and for this long while it fails: the
/// settings file may be being replaced, and a process that is about to end may
/// still hold an address.
constexpr Millis kStartRetryInterval{200};
constexpr Millis kMaxStartTime{10'000};

/// Calls `start` until it returns no error or kMaxStartTime has passed. Reports
/// the first failure as `event`. The process does nothing else meanwhile.
absl::Status RetryStart(std::string_view event,
                        const std::function<absl::Status()>& start) {
  const Millis give_up_at = Poller::Now() + kMaxStartTime;
  absl::Status status = start();
  if (!status.ok()) {
    ReportError(event, status);
  }
  while (!status.ok() && Poller::Now() < give_up_at) {
    g_usleep(static_cast<gulong>(kStartRetryInterval.count() * 1000));
    status = start();
  }
  return status;
}

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
  const absl::Status status = RetryStart("start_delayed", [&] {
    log.Flush();
    return node.Start();
  });
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
  // Buffers of bodies are reserved in full and filled slowly. In blocks of
  // their own, only the filled pages take memory, and all of it returns to the
  // system. By default the threshold grows with the first freed body.
  mallopt(M_MMAP_THRESHOLD, kOwnBlockBytes);
  std::signal(SIGPIPE, SIG_IGN);
  // A reload signal during the start must not terminate the process. It is
  // ignored, because the start reads the settings anyway.
  std::signal(SIGHUP, SIG_IGN);
  SettingsFile file(SettingsPath());
  if (absl::GetFlag(FLAGS_check_settings)) {
    const absl::Status status = file.Load().status();
    return status.ok() ? kExitSuccess : ReportError("settings_invalid", status);
  }
  NodeSettings settings;
  const absl::Status status = RetryStart("settings_delayed", [&] {
    absl::StatusOr<NodeSettings> loaded = file.Load();
    if (!loaded.ok()) {
      return loaded.status();
    }
    settings = *std::move(loaded);
    return absl::OkStatus();
  });
  if (!status.ok()) {
    return ReportError("settings_invalid", status);
  }
  return Run(settings, file);
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
