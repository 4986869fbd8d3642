// fault-proxy: a TCP proxy that injects faults for each listen=target pair.

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
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || parsed_end != end || value == 0 || value > max) {
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

std::vector<std::unique_ptr<ProxyPair>> MakePairs(TimerQueue& timers) {
  std::vector<std::unique_ptr<ProxyPair>> proxy_pairs;
  for (const std::string& spec : absl::GetFlag(FLAGS_pairs)) {
    std::string_view text = spec;
    uint32_t count = 1;
    if (const size_t count_separator = text.rfind('x');
        count_separator != std::string_view::npos) {
      count = ParseNumber(text.substr(count_separator + 1), 65535).value_or(0);
      text = text.substr(0, count_separator);
    }
    const size_t equals = text.find('=');
    const auto listen = ParseEndpoint(text.substr(0, equals));
    const auto target = equals == std::string_view::npos
                            ? std::nullopt
                            : ParseEndpoint(text.substr(equals + 1));
    if (count == 0 || !listen || !target || listen->port + count > 65536 ||
        target->port + count > 65536) {
      ExitWithUsageError(
          fmt::format("--pairs: \"{}\" is not IP:PORT=IP:PORT[xCOUNT]", spec));
    }
    for (uint32_t i = 0; i < count; ++i) {
      const auto with_port_offset = [i](const Endpoint& endpoint) {
        return Endpoint{endpoint.ip, static_cast<uint16_t>(endpoint.port + i)};
      };
      proxy_pairs.push_back(std::make_unique<ProxyPair>(
          with_port_offset(*listen), with_port_offset(*target), timers));
    }
  }
  if (proxy_pairs.empty()) {
    ExitWithUsageError("--pairs: required");
  }
  return proxy_pairs;
}

absl::Status ApplyPatch(std::string_view body, PairFaults& faults) {
  SettingsPatch patch(body);
  patch.Read("cut", faults.cut);
  patch.Read("blackhole", faults.blackhole);
  patch.Read("one_way", faults.one_way);
  patch.Read("delay_ms", 0, kMaxMillis, faults.delay_ms);
  patch.Read("accept_delay_ms", 0, kMaxMillis, faults.accept_delay_ms);
  patch.Read("limit", 1000000, faults.limit);
  return patch.Finish();
}

/// Answers requests on the control port of fault-proxy:
///   GET  /healthz
///   GET  /pairs                  faults and counts of each pair
///   POST /pairs/<selection>      change fields of PairFaults
///   POST /reset                  zero the counts; max_connections becomes the
///                                current number of connections
HttpResponse HandleControlRequest(
    const std::vector<std::unique_ptr<ProxyPair>>& proxy_pairs,
    const HttpRequest& request) {
  const std::string method_and_path = request.method + " " + request.path;
  if (method_and_path == "GET /healthz") {
    return JsonResponse({{"ok", true}});
  }
  if (method_and_path == "GET /pairs") {
    nlohmann::json items = nlohmann::json::array();
    for (const auto& pair : proxy_pairs) {
      items.push_back(pair->ToJson());
    }
    return JsonResponse({{"pairs", items}});
  }
  if (method_and_path == "POST /reset") {
    for (const auto& pair : proxy_pairs) {
      pair->ResetCounters();
    }
    return JsonResponse({{"ok", true}});
  }
  const std::vector<std::string> segments = SplitPath(request.path);
  if (request.method != "POST" || segments.size() != 2 ||
      segments[0] != "pairs") {
    return ErrorResponse(
        404, MakeError(ErrorCode::kNotFound, "no such path", request.path));
  }
  const auto selected = ParseSelection(segments[1], proxy_pairs.size());
  if (!selected.ok()) {
    return ErrorResponse(400, selected.status());
  }
  // Validates the patch on a scratch value before any pair changes.
  PairFaults validated;
  if (const auto status = ApplyPatch(request.body, validated); !status.ok()) {
    return ErrorResponse(400, status);
  }
  for (size_t i : *selected) {
    PairFaults faults = proxy_pairs[i]->faults();
    ApplyPatch(request.body, faults).IgnoreError();
    proxy_pairs[i]->SetFaults(faults);
  }
  return JsonResponse({{"ok", true}, {"changed", selected->size()}});
}

int Main() {
  const std::string control_address = absl::GetFlag(FLAGS_control);
  if (control_address.empty()) {
    ExitWithUsageError("--control: required");
  }
  EventLoop loop;
  TimerQueue timers(loop);
  const std::vector<std::unique_ptr<ProxyPair>> proxy_pairs = MakePairs(timers);
  HttpServer control(
      [&](const HttpRequest& request, const HttpResponder& done) {
        done(HandleControlRequest(proxy_pairs, request));
      });
  absl::Status status = control.Listen(control_address);
  for (size_t i = 0; status.ok() && i < proxy_pairs.size(); ++i) {
    status = proxy_pairs[i]->Open();
  }
  if (!status.ok()) {
    LogEvent("listen_failed")
        .Field("address", GetErrorPath(status))
        .Field("detail", status.ToString());
    return 1;
  }
  loop.SetStopSignalHandler([&] { loop.Quit(); });
  LogEvent("ready")
      .Field("pairs", proxy_pairs.size())
      .Field("control", control_address);
  loop.Run();
  LogEvent("stopped").Field("control", control_address);
  return 0;
}

}  // namespace
}  // namespace tanagervane::standins

int main(int argc, char** argv) {
  tanagervane::ParseFlagsWithoutArguments(
      argc, argv,
      {.name = "fault-proxy",
       .version = TANAGERVANE_VERSION,
       .usage = "A TCP proxy that injects faults.\n"
                "fault-proxy --pairs=IP:PORT=IP:PORT --control=IP:PORT"});
  return tanagervane::standins::Main();
}
