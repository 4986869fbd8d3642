// Implements the calls of the object API and the mapping of their results.

#include "tanagervane/edge/platform_client.h"

#include <charconv>
#include <utility>

#include "fmt/format.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/json_object.h"
#include "tanagervane/support/json_text.h"

namespace tanagervane {

namespace {

constexpr int kMaxConnections = 32;
constexpr Millis kCallTimeout(2000);
// The platform answers a watch after the timeout in the call at the latest; the
// client waits this much longer for that answer.
constexpr Millis kWatchGracePeriod(1000);

uint64_t ParseVersion(const HttpResponse& response) {
  const auto it = response.headers.find("etag");
  if (it == response.headers.end()) {
    return 0;
  }
  std::string_view text = it->second;
  if (text.starts_with('"')) {
    text.remove_prefix(1);
  }
  uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

PlatformResult ToReadResult(const absl::StatusOr<HttpResponse>& response) {
  if (!response.ok()) {
    return PlatformResult::kUnavailable;
  }
  switch (response->status) {
    case 200:
      return PlatformResult::kOk;
    case 304:
      return PlatformResult::kUnchanged;
    case 404:
      return PlatformResult::kNotFound;
    case 410:
      return PlatformResult::kVersionTooOld;
    default:
      return PlatformResult::kUnavailable;
  }
}

PlatformResult ToWriteResult(const absl::StatusOr<HttpResponse>& response) {
  if (!response.ok()) {
    // kNotReady means that no connection was opened, so the write was not sent.
    return GetErrorCode(response.status()) == ErrorCode::kNotReady
               ? PlatformResult::kUnavailable
               : PlatformResult::kUnknownOutcome;
  }
  switch (response->status) {
    case 200:
      return PlatformResult::kOk;
    case 404:
      return PlatformResult::kNotFound;
    case 412:
      return PlatformResult::kConflict;
    case 503:
    case 413:
    case 429:
      return PlatformResult::kUnavailable;
    default:
      return PlatformResult::kUnknownOutcome;
  }
}

bool ParseVm(const nlohmann::json& item, VmRecord& vm) {
  JsonObject json(item, "vms");
  vm.id = json.String("id");
  const std::string role = json.String("role");
  const std::string state = json.String("state");
  vm.role = role == "entry" ? VmRole::kEntry : VmRole::kBackendServer;
  vm.state = state == "leaving" ? VmState::kLeaving : VmState::kLive;
  vm.address = json.String("address");
  vm.data_centre = json.StringOr("data_centre", "");
  vm.index = json.StringOr("index", "");
  const bool known = (role == "entry" || role == "backend_server") &&
                     (state == "live" || state == "leaving");
  return known && json.Finish().ok();
}

PlatformResult ParseVms(const std::string& body, VmSnapshot& snapshot) {
  const auto parsed = ParseJson(body);
  if (!parsed.ok()) {
    return PlatformResult::kUnavailable;
  }
  const nlohmann::json& json = *parsed;
  if (!json.is_object() || !json.contains("version") ||
      !json["version"].is_number_unsigned() || !json.contains("vms") ||
      !json["vms"].is_array()) {
    return PlatformResult::kUnavailable;
  }
  snapshot.version = json["version"].get<uint64_t>();
  for (const nlohmann::json& item : json["vms"]) {
    VmRecord vm;
    if (!ParseVm(item, vm)) {
      return PlatformResult::kUnavailable;
    }
    snapshot.vms.push_back(std::move(vm));
  }
  return PlatformResult::kOk;
}

}  // namespace

PlatformClient::PlatformClient(std::string address)
    : m_base_url("http://" + std::move(address) + "/v1"),
      m_http(kMaxConnections) {}

std::string PlatformClient::ObjectUrl(const std::string& kind,
                                      const std::string& name) const {
  return fmt::format("{}/objects/{}/{}", m_base_url, kind, name);
}

void PlatformClient::Read(const std::string& url,
                          Millis timeout,
                          PlatformApi::ObjectDone done) {
  ++m_calls;
  m_http.Send(
      "GET", url, {}, "", timeout,
      [done = std::move(done)](const absl::StatusOr<HttpResponse>& response) {
        const PlatformResult result = ToReadResult(response);
        PlatformObject object;
        if (result == PlatformResult::kOk) {
          object.version = ParseVersion(*response);
          object.value = response->body;
        }
        done(result, object);
      });
}

void PlatformClient::Write(std::string_view method,
                           const std::string& url,
                           uint64_t expected_version,
                           const std::string& value,
                           PlatformApi::ObjectDone done) {
  ++m_calls;
  m_http.Send(
      method, url, {{"If-Match", fmt::format("\"{}\"", expected_version)}},
      value, kCallTimeout,
      [done = std::move(done)](const absl::StatusOr<HttpResponse>& response) {
        PlatformObject object;
        if (response.ok()) {
          object.version = ParseVersion(*response);
        }
        done(ToWriteResult(response), object);
      });
}

PlatformApi PlatformClient::api() {
  PlatformApi api;
  api.get = [this](const std::string& kind, const std::string& name,
                   PlatformApi::ObjectDone done) {
    Read(ObjectUrl(kind, name), kCallTimeout, std::move(done));
  };
  api.put = [this](const std::string& kind, const std::string& name,
                   uint64_t expected_version, const std::string& value,
                   PlatformApi::ObjectDone done) {
    Write("PUT", ObjectUrl(kind, name), expected_version, value,
          std::move(done));
  };
  api.remove = [this](const std::string& kind, const std::string& name,
                      uint64_t expected_version, PlatformApi::ObjectDone done) {
    Write("DELETE", ObjectUrl(kind, name), expected_version, "",
          std::move(done));
  };
  api.watch = [this](const std::string& kind, const std::string& name,
                     uint64_t from_version, Millis timeout,
                     PlatformApi::ObjectDone done) {
    Read(fmt::format("{}?watch_from={}&timeout_ms={:.0f}",
                     ObjectUrl(kind, name), from_version, timeout.count()),
         timeout + kWatchGracePeriod, std::move(done));
  };
  api.list_vms = [this](uint64_t from_version, Millis timeout,
                        PlatformApi::VmsDone done) {
    ++m_calls;
    const std::string url =
        fmt::format("{}/vms?from={}&timeout_ms={:.0f}", m_base_url,
                    from_version, timeout.count());
    m_http.Send(
        "GET", url, {}, "", timeout + kCallTimeout,
        [done = std::move(done)](const absl::StatusOr<HttpResponse>& response) {
          PlatformResult result = ToReadResult(response);
          VmSnapshot snapshot;
          if (result == PlatformResult::kOk) {
            result = ParseVms(response->body, snapshot);
          }
          done(result, snapshot);
        });
  };
  return api;
}

}  // namespace tanagervane
