// fake-platform: simulates the platform's object API and VM list, with faults.

#include <string>
#include <string_view>
#include <vector>

#include "absl/flags/flag.h"
#include "nlohmann/json.hpp"
#include "platform.h"
#include "standins/common/control.h"
#include "tanagervane/program/flags.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/log.h"

ABSL_FLAG(std::string, listen, "", "ip:port of the platform API (required)");
ABSL_FLAG(std::string, control, "", "ip:port of the control port (required)");
ABSL_FLAG(uint64_t, seed, 1, "seed of all random choices");

namespace tanagervane::standins {
namespace {

constexpr double kMaxMillis = 1e7;
// Time for the last replies to be written to their sockets before the loop
// quits.
constexpr Millis kReplyFlushDelay(50);

absl::Status ValidateVm(const nlohmann::json& vm, std::string_view path) {
  const auto fail = [&](std::string_view reason) {
    return MakeError(ErrorCode::kInvalidRequest, reason, path);
  };
  if (!vm.is_object()) {
    return fail("a VM must be an object");
  }
  for (const char* key :
       {"id", "role", "state", "address", "data_centre", "index"}) {
    const bool optional = std::string_view(key) == "index";
    if (!vm.contains(key) ? !optional : !vm[key].is_string()) {
      return fail(
          "id, role, state, address and data_centre must be strings; index "
          "must be a string or absent");
    }
  }
  if (vm["role"] != "backend_server" && vm["role"] != "entry") {
    return fail("role must be backend_server or entry");
  }
  if (vm["state"] != "live" && vm["state"] != "leaving") {
    return fail("state must be live or leaving");
  }
  return absl::OkStatus();
}

/// Answers requests on the control port of fake-platform:
///   GET    /healthz
///   GET    /faults, POST /faults       read or change PlatformFaults
///   GET    /counters, POST /counters/reset
///   POST   /wipe-history
///   GET    /vms                        the list as last set
///   POST   /vms[?append=1]             replace or extend the list
///   PATCH  /vms/<id>                   change fields of one VM
///   DELETE /vms/<id>                   remove one VM
class PlatformControl {
 public:
  explicit PlatformControl(Platform& platform) : m_platform(platform) {}

  HttpResponse HandleRequest(const HttpRequest& request);

 private:
  HttpResponse UpdateFaults(const HttpRequest& request);
  HttpResponse SetVms(const HttpRequest& request);
  HttpResponse UpdateOrDeleteVm(const HttpRequest& request,
                                const std::string& id);
  HttpResponse FaultsResponse() const;

  Platform& m_platform;
};

HttpResponse PlatformControl::HandleRequest(const HttpRequest& request) {
  const std::string method_and_path = request.method + " " + request.path;
  if (method_and_path == "GET /healthz") {
    return JsonResponse({{"ok", true}});
  }
  if (method_and_path == "GET /faults") {
    return FaultsResponse();
  }
  if (method_and_path == "POST /faults") {
    return UpdateFaults(request);
  }
  if (method_and_path == "GET /counters") {
    return JsonResponse(m_platform.CountersJson());
  }
  if (method_and_path == "POST /counters/reset") {
    m_platform.ResetCounters();
    return JsonResponse({{"ok", true}});
  }
  if (method_and_path == "POST /wipe-history") {
    m_platform.WipeHistory();
    return JsonResponse({{"ok", true}});
  }
  if (method_and_path == "GET /vms") {
    return JsonResponse(m_platform.vms());
  }
  if (method_and_path == "POST /vms") {
    return SetVms(request);
  }
  const std::vector<std::string> segments = SplitPath(request.path);
  const bool is_vm_change =
      request.method == "PATCH" || request.method == "DELETE";
  if (is_vm_change && segments.size() == 2 && segments[0] == "vms") {
    return UpdateOrDeleteVm(request, segments[1]);
  }
  return ErrorResponse(
      404, MakeError(ErrorCode::kNotFound, "no such path", request.path));
}

HttpResponse PlatformControl::FaultsResponse() const {
  const PlatformFaults& faults = m_platform.faults();
  return JsonResponse({{"down", faults.down},
                       {"delay_ms", faults.delay_ms},
                       {"reply_delay_ms", faults.reply_delay_ms},
                       {"lose_reply_rate", faults.lose_reply_rate},
                       {"lose_next_writes", faults.lose_next_writes},
                       {"lost_reply_hold_ms", faults.lost_reply_hold_ms},
                       {"stale_read_rate", faults.stale_read_rate},
                       {"vm_lag_ms", faults.vm_lag_ms}});
}

HttpResponse PlatformControl::UpdateFaults(const HttpRequest& request) {
  PlatformFaults faults = m_platform.faults();
  SettingsPatch patch(request.body);
  patch.Read("down", faults.down);
  patch.Read("delay_ms", 0, kMaxMillis, faults.delay_ms);
  patch.Read("reply_delay_ms", 0, kMaxMillis, faults.reply_delay_ms);
  patch.Read("lose_reply_rate", 0, 1, faults.lose_reply_rate);
  patch.Read("lose_next_writes", 1000000, faults.lose_next_writes);
  patch.Read("lost_reply_hold_ms", 0, kMaxMillis, faults.lost_reply_hold_ms);
  patch.Read("stale_read_rate", 0, 1, faults.stale_read_rate);
  patch.Read("vm_lag_ms", 0, kMaxMillis, faults.vm_lag_ms);
  if (const absl::Status status = patch.Finish(); !status.ok()) {
    return ErrorResponse(400, status);
  }
  m_platform.SetFaults(faults);
  return FaultsResponse();
}

HttpResponse PlatformControl::SetVms(const HttpRequest& request) {
  const auto given_vms = nlohmann::json::parse(request.body, nullptr, false);
  if (!given_vms.is_array()) {
    return ErrorResponse(
        400, MakeError(ErrorCode::kInvalidRequest, "body must be a JSON list"));
  }
  nlohmann::json vms = request.QueryParameterOr("append", "0") == "1"
                           ? m_platform.vms()
                           : nlohmann::json::array();
  for (size_t i = 0; i < given_vms.size(); ++i) {
    const std::string path = "[" + std::to_string(i) + "]";
    if (const auto status = ValidateVm(given_vms[i], path); !status.ok()) {
      return ErrorResponse(400, status);
    }
    vms.push_back(given_vms[i]);
  }
  const size_t count = vms.size();
  m_platform.SetVms(std::move(vms));
  return JsonResponse({{"vms", count}});
}

HttpResponse PlatformControl::UpdateOrDeleteVm(const HttpRequest& request,
                                               const std::string& id) {
  nlohmann::json vms = m_platform.vms();
  for (size_t i = 0; i < vms.size(); ++i) {
    if (vms[i]["id"] != id) {
      continue;
    }
    if (request.method == "DELETE") {
      vms.erase(i);
      m_platform.SetVms(std::move(vms));
      return JsonResponse({{"ok", true}});
    }
    const auto vm_patch = nlohmann::json::parse(request.body, nullptr, false);
    if (!vm_patch.is_object()) {
      return ErrorResponse(400, MakeError(ErrorCode::kInvalidRequest,
                                          "body must be a JSON object"));
    }
    vms[i].update(vm_patch);
    if (const auto status = ValidateVm(vms[i], id); !status.ok()) {
      return ErrorResponse(400, status);
    }
    m_platform.SetVms(std::move(vms));
    return JsonResponse({{"ok", true}});
  }
  return ErrorResponse(404, MakeError(ErrorCode::kNotFound, "no such VM", id));
}

bool Listen(HttpServer& server, const std::string& address) {
  const absl::Status status = server.Listen(address);
  if (!status.ok()) {
    LogEvent("listen_failed")
        .Field("address", address)
        .Field("detail", status.ToString());
  }
  return status.ok();
}

int Main() {
  const std::string address = absl::GetFlag(FLAGS_listen);
  const std::string control_address = absl::GetFlag(FLAGS_control);
  if (address.empty() || control_address.empty()) {
    ExitWithUsageError("--listen, --control: required");
  }
  EventLoop loop;
  TimerQueue timers(loop);
  Platform platform(timers, absl::GetFlag(FLAGS_seed));
  PlatformControl control(platform);
  HttpServer server([&](const HttpRequest& request, HttpResponder done) {
    platform.HandleRequest(request, std::move(done));
  });
  HttpServer control_server(
      [&](const HttpRequest& request, const HttpResponder& done) {
        done(control.HandleRequest(request));
      });
  if (!Listen(server, address) || !Listen(control_server, control_address)) {
    return 1;
  }
  loop.SetStopSignalHandler([&] {
    LogEvent("stopping").Field("open_requests", server.open_requests());
    server.StopAccepting();
    platform.AnswerAllPending();
    loop.RunAfter(kReplyFlushDelay, [&] { loop.Quit(); });
  });
  LogEvent("ready").Field("address", address).Field("control", control_address);
  loop.Run();
  LogEvent("stopped").Field("address", address);
  return 0;
}

}  // namespace
}  // namespace tanagervane::standins

int main(int argc, char** argv) {
  tanagervane::ParseFlagsWithoutArguments(
      argc, argv,
      {.name = "fake-platform",
       .version = TANAGERVANE_VERSION,
       .usage = "Simulates the platform's object API and VM list.\n"
                "fake-platform --listen=IP:PORT --control=IP:PORT [flags]"});
  return tanagervane::standins::Main();
}
