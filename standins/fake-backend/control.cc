#include "control.h"

#include <algorithm>
#include <string>

#include "standins/common/control.h"
#include "tanagervane/support/error.h"

namespace tanagervane::standins {

namespace {

constexpr double kMaxFactor = 1e6;
constexpr double kMaxMillis = 1e7;

void ReadLoadOverride(SettingsPatch& patch, Behaviour& behaviour) {
  const nlohmann::json* json = patch.Find("lie");
  if (!json) {
    return;
  }
  if (json->is_null()) {
    behaviour.load_override.reset();
    return;
  }
  const auto has_unsigned = [&](const char* key) {
    return json->contains(key) && (*json)[key].is_number_unsigned();
  };
  if (!json->is_object() || !has_unsigned("in_flight") ||
      !has_unsigned("queued")) {
    patch.Fail("lie", "must be null or {\"in_flight\": N, \"queued\": N}");
    return;
  }
  behaviour.load_override = ReportedLoad{(*json)["in_flight"].get<uint32_t>(),
                                         (*json)["queued"].get<uint32_t>()};
}

absl::Status ApplyPatch(std::string_view body, Behaviour& behaviour) {
  SettingsPatch patch(body);
  patch.Read("frozen", behaviour.frozen);
  patch.Read("speed", 1 / kMaxFactor, kMaxFactor, behaviour.speed);
  patch.Read("slow_rate", 0, 1, behaviour.slow_rate);
  patch.Read("slow_factor", 0, kMaxFactor, behaviour.slow_factor);
  ReadLoadOverride(patch, behaviour);
  patch.Read("report_age_ms", 0, kMaxMillis, behaviour.report_age_ms);
  patch.Read("draining", behaviour.draining);
  patch.Read("error_rate", 0, 1, behaviour.error_rate);
  patch.Read("corrupt_rate", 0, 1, behaviour.corrupt_rate);
  patch.Read("duplicate_rate", 0, 1, behaviour.duplicate_rate);
  patch.Read("crossed_rate", 0, 1, behaviour.wrong_reply_rate);
  patch.Read("latency_ms", 0, kMaxMillis, behaviour.latency_ms);
  patch.Read("crash_on", behaviour.crash_on);
  patch.Read("crash_process", behaviour.crash_process);
  patch.Read("restart_ms", 0, kMaxMillis, behaviour.restart_ms);
  return patch.Finish();
}

HttpResponse NotFoundResponse(const HttpRequest& request) {
  return ErrorResponse(
      404, MakeError(ErrorCode::kNotFound, "no such path", request.path));
}

}  // namespace

HttpResponse BackendControl::HandleRequest(const HttpRequest& request) {
  const std::vector<std::string> segments = SplitPath(request.path);
  if (request.method == "GET" && segments.size() == 1) {
    if (segments[0] == "healthz") {
      return JsonResponse({{"ok", true}});
    }
    if (segments[0] == "replicas") {
      return ListReplicas();
    }
    if (segments[0] == "vms") {
      return ListVms();
    }
    return segments[0] == "executions" ? ListExecutions(request)
                                       : NotFoundResponse(request);
  }
  if (request.method != "POST" || segments.empty()) {
    return NotFoundResponse(request);
  }
  if (segments.size() == 1 && segments[0] == "reset") {
    m_execution_log.counts.clear();
    m_execution_log.not_counted = 0;
    for (const auto& replica : m_replicas) {
      replica->ResetCounters();
    }
    return JsonResponse({{"ok", true}});
  }
  if (segments[0] != "replicas" || segments.size() < 2 || segments.size() > 3) {
    return NotFoundResponse(request);
  }
  const auto selected = ParseSelection(segments[1], m_replicas.size());
  if (!selected.ok()) {
    return ErrorResponse(400, selected.status());
  }
  if (segments.size() == 2) {
    return UpdateReplicas(*selected, request);
  }
  if (segments[2] == "publish") {
    return Publish(*selected, request);
  }
  if (segments[2] != "crash") {
    return NotFoundResponse(request);
  }
  for (size_t i : *selected) {
    m_replicas[i]->Crash();
  }
  return JsonResponse({{"ok", true}});
}

HttpResponse BackendControl::ListReplicas() const {
  nlohmann::json items = nlohmann::json::array();
  for (const auto& replica : m_replicas) {
    items.push_back(replica->ToJson());
  }
  return JsonResponse({{"replicas", items}});
}

HttpResponse BackendControl::ListVms() const {
  nlohmann::json items = nlohmann::json::array();
  for (const auto& replica : m_replicas) {
    const ReplicaConfig& config = replica->config();
    items.push_back(
        {{"id", config.id},
         {"role", "backend_server"},
         {"state", replica->behaviour().draining ? "leaving" : "live"},
         {"address", config.address},
         {"data_centre", config.data_centre},
         {"index", config.index}});
  }
  return JsonResponse(items);
}

HttpResponse BackendControl::ListExecutions(const HttpRequest& request) const {
  nlohmann::json items = nlohmann::json::array();
  uint64_t total = 0;
  uint64_t recorded_repeats = 0;
  const auto payload = request.query_parameters.find("payload");
  for (const auto& [key, count] : m_execution_log.counts) {
    if (payload != request.query_parameters.end() &&
        payload->second != key.second) {
      continue;
    }
    const bool recorded = m_execution_log.IsRecorded(key.first);
    total += count;
    recorded_repeats += recorded ? count - 1 : 0;
    // Without a payload in the query, only the recorded (non-idempotent)
    // classes are listed, because the others may have very many payloads.
    if (recorded || payload != request.query_parameters.end()) {
      items.push_back({{"class", key.first},
                       {"payload", key.second},
                       {"count", count},
                       {"recorded", recorded}});
    }
  }
  return JsonResponse({{"executions", items},
                       {"total", total},
                       {"recorded_repeats", recorded_repeats},
                       {"not_counted", m_execution_log.not_counted}});
}

HttpResponse BackendControl::UpdateReplicas(const std::vector<size_t>& selected,
                                            const HttpRequest& request) {
  // Validates the patch on a scratch value before any replica changes.
  Behaviour validated;
  if (const auto status = ApplyPatch(request.body, validated); !status.ok()) {
    return ErrorResponse(400, status);
  }
  for (size_t i : selected) {
    Behaviour behaviour = m_replicas[i]->behaviour();
    ApplyPatch(request.body, behaviour).IgnoreError();
    m_replicas[i]->SetBehaviour(behaviour);
  }
  return JsonResponse({{"ok", true}, {"changed", selected.size()}});
}

HttpResponse BackendControl::Publish(const std::vector<size_t>& selected,
                                     const HttpRequest& request) {
  uint64_t newest = 0;
  for (const auto& replica : m_replicas) {
    newest = std::max(newest, replica->newest_version());
  }
  uint64_t version = newest + 1;
  uint64_t shards = m_replicas[selected.front()]->newest_shards();
  SettingsPatch patch(request.body);
  patch.Read("version", UINT64_MAX / 2, version);
  patch.Read("shards", 65536, shards);
  if (shards == 0) {
    patch.Fail("shards", "must be positive");
  }
  for (size_t i : selected) {
    if (version <= m_replicas[i]->newest_version()) {
      patch.Fail(
          "version",
          "must be above the newest version that the selected replicas hold");
    }
  }
  if (const auto status = patch.Finish(); !status.ok()) {
    return ErrorResponse(400, status);
  }
  for (size_t i : selected) {
    m_replicas[i]->Publish(version, static_cast<uint32_t>(shards));
  }
  return JsonResponse({{"version", version}, {"shards", shards}});
}

}  // namespace tanagervane::standins
