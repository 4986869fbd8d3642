// fault-proxy: a TCP proxy with faults for each listen=target pair.

#include <arpa/inet.h>

#include <charconv>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/flags/flag.h"
#include "fmt/format.h"
#include "proxy.h"
#include "standins/common/control.h"
#include "tanagervane/program/flags.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/log.h"

ABSL_FLAG(std::vector<std::string>,
          pairs,
          {},
          "comma-separated IP:PORT=IP:PORT[xCOUNT], listen address first; "
          "xCOUNT makes that many pairs with consecutive ports (required)");
ABSL_FLAG(std::string, control, "", "ip:port of the control port (required)");

namespace tanagervane::standins {
namespace {

constexpr double kMaxMillis = 1e7;

std::optional<uint32_t> ParseNumber(std::string_view text, uint32_t max) {
  uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end || value == 0 || value > max) {
    return std::nullopt;
  }
  return value;
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ParseNumber(text.substr(colon + 1), 65535);
  Endpoint endpoint{std::string(text.substr(0, colon)), 0};
  in_addr address{};
  if (!port || inet_pton(AF_INET, endpoint.ip.c_str(), &address) != 1) {
    return std::nullopt;
  }
  endpoint.port = static_cast<uint16_t>(*port);
  return endpoint;
}

std::vector<std::unique_ptr<Link>> MakeLinks(TimerQueue& timers) {
  std::vector<std::unique_ptr<Link>> links;
  for (const std::string& pair : absl::GetFlag(FLAGS_pairs)) {
    std::string_view text = pair;
    uint32_t count = 1;
    if (const size_t x = text.rfind('x'); x != std::string_view::npos) {
      count = ParseNumber(text.substr(x + 1), 65535).value_or(0);
      text = text.substr(0, x);
    }
    const size_t equals = text.find('=');
    const auto listen = ParseEndpoint(text.substr(0, equals));
    const auto target = equals == std::string_view::npos
                            ? std::nullopt
                            : ParseEndpoint(text.substr(equals + 1));
    if (count == 0 || !listen || !target || listen->port + count > 65536 ||
        target->port + count > 65536) {
      FailUsage(
          fmt::format("--pairs: \"{}\" is not IP:PORT=IP:PORT[xCOUNT]", pair));
    }
    for (uint32_t i = 0; i < count; ++i) {
      const auto shifted = [i](const Endpoint& endpoint) {
        return Endpoint{endpoint.ip, static_cast<uint16_t>(endpoint.port + i)};
      };
      links.push_back(
          std::make_unique<Link>(shifted(*listen), shifted(*target), timers));
    }
  }
  if (links.empty()) {
    FailUsage("--pairs: required");
  }
  return links;
}

absl::Status ApplyPatch(std::string_view body, LinkFaults& faults) {
  SettingsPatch patch(body);
  patch.Read("cut", faults.cut);
  patch.Read("blackhole", faults.blackhole);
  patch.Read("one_way", faults.one_way);
  patch.Read("delay_ms", 0, kMaxMillis, faults.delay_ms);
  patch.Read("accept_delay_ms", 0, kMaxMillis, faults.accept_delay_ms);
  patch.Read("limit", 1000000, faults.limit);
  return patch.Finish();
}

/// The control port:
///   GET  /healthz
///   GET  /pairs                  faults and counts of each pair
///   POST /pairs/<selection>      change LinkFaults
///   POST /reset                  zero the counts; the maximum restarts at the
///                                current number
HttpResponse HandleControl(const std::vector<std::unique_ptr<Link>>& links,
                           const HttpRequest& request) {
  const std::string call = request.method + " " + request.path;
  if (call == "GET /healthz") {
    return JsonResponse({{"ok", true}});
  }
  if (call == "GET /pairs") {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& link : links) {
      list.push_back(link->ToJson());
    }
    return JsonResponse({{"pairs", list}});
  }
  if (call == "POST /reset") {
    for (const auto& link : links) {
      link->ResetCounters();
    }
    return JsonResponse({{"ok", true}});
  }
  const std::vector<std::string> parts = SplitPath(request.path);
  if (request.method != "POST" || parts.size() != 2 || parts[0] != "pairs") {
    return ErrorResponse(
        404, MakeError(ErrorCode::kNotFound, "no such path", request.path));
  }
  const auto selected = ParseSelection(parts[1], links.size());
  if (!selected.ok()) {
    return ErrorResponse(400, selected.status());
  }
  LinkFaults checked;
  if (const auto status = ApplyPatch(request.body, checked); !status.ok()) {
    return ErrorResponse(400, status);
  }
  for (size_t i : *selected) {
    LinkFaults faults = links[i]->faults();
    ApplyPatch(request.body, faults).IgnoreError();
    links[i]->SetFaults(faults);
  }
  return JsonResponse({{"ok", true}, {"changed", selected->size()}});
}

int Main() {
  const std::string control_address = absl::GetFlag(FLAGS_control);
  if (control_address.empty()) {
    FailUsage("--control: required");
  }
  EventLoop loop;
  TimerQueue timers(loop);
  const std::vector<std::unique_ptr<Link>> links = MakeLinks(timers);
  HttpServer control(
      [&](const HttpRequest& request, const HttpResponder& done) {
        done(HandleControl(links, request));
      });
  absl::Status status = control.Listen(control_address);
  for (size_t i = 0; status.ok() && i < links.size(); ++i) {
    status = links[i]->Open();
  }
  if (!status.ok()) {
    LogEvent("listen_failed")
        .Field("address", GetErrorPath(status))
        .Field("detail", status.ToString());
    return 1;
  }
  loop.OnStopSignal([&] { loop.Quit(); });
  LogEvent("ready")
      .Field("pairs", links.size())
      .Field("control", control_address);
  loop.Run();
  LogEvent("stopped").Field("control", control_address);
  return 0;
}

}  // namespace
}  // namespace tanagervane::standins

int main(int argc, char** argv) {
  tanagervane::ParseOnlyFlags(
      argc, argv,
      {.name = "fault-proxy",
       .version = TANAGERVANE_VERSION,
       .usage = "A TCP proxy with faults.\n"
                "fault-proxy --pairs=IP:PORT=IP:PORT --control=IP:PORT"});
  return tanagervane::standins::Main();
}
