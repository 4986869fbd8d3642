// Parsing of the settings.

#include "tools/tanagervane-node/settings.h"

#include <algorithm>
#include <array>
#include <utility>

#include "fmt/format.h"
#include "platform/bounds_codec.h"
#include "tanagervane/net/socket.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/json_object.h"
#include "tanagervane/support/json_text.h"

namespace tanagervane {

namespace {

constexpr double kMillisPerSecond = 1000;
constexpr int64_t kMaxPort = 65535;

/// Offsets of the ports in the range that starts at "first_vm_port".
constexpr int64_t kGossipPortOffset = 0;
constexpr int64_t kMetricsPortOffset = 1;

/// Larger limits of the machine mean the same as this one.
constexpr double kMaxMachineLimit = 1e9;

/// Removes the members that are null: a template yields null where the platform
/// has no value, and the default applies.
void RemoveNullMembers(nlohmann::json& json) {
  if (!json.is_object()) {
    return;
  }
  for (auto it = json.begin(); it != json.end();) {
    if (it->is_null()) {
      it = json.erase(it);
      continue;
    }
    RemoveNullMembers(*it);
    ++it;
  }
}

/// Adds the bounds that the platform states to those of the settings, which
/// take precedence.
void MergePlatformBounds(nlohmann::json& json) {
  if (!json.is_object() || !json.contains("platform_bounds")) {
    return;
  }
  nlohmann::json bounds = TranslateBounds(json["platform_bounds"]);
  bounds.update(json.value("bounds", nlohmann::json::object()));
  json["bounds"] = std::move(bounds);
  json.erase("platform_bounds");
}

/// Reads a limit of the machine, which the platform may state as a fraction.
size_t ReadMachineLimit(JsonObject& json,
                        const std::string& key,
                        size_t fallback,
                        double min_value) {
  const double limit =
      json.NumberOr(key, static_cast<double>(fallback), min_value);
  return static_cast<size_t>(std::min(limit, kMaxMachineLimit));
}

Millis ReadSeconds(JsonObject& json, const std::string& key, double fallback) {
  return Millis(json.NumberOr(key, fallback, 0) * kMillisPerSecond);
}

void ReadListeners(JsonObject& json, NodeSettings& settings) {
  JsonObject listeners = json.ObjectOrEmpty("listeners");
  settings.caller_address = listeners.String("callers");
  settings.readiness_address = listeners.String("readiness");
  settings.directory_address = listeners.String("directory");
  const std::string ip = listeners.String("ip");
  const int64_t first_port =
      listeners.Integer("first_vm_port", 1, kMaxPort - 1);
  settings.gossip_address =
      fmt::format("{}:{}", ip, first_port + kGossipPortOffset);
  settings.metrics_address =
      fmt::format("{}:{}", ip, first_port + kMetricsPortOffset);
  json.MergeError(listeners.Finish());
}

void ReadBounds(JsonObject& json, NodeSettings& settings) {
  JsonObject bounds = json.ObjectOrEmpty("bounds");
  settings.stop_grace = ReadSeconds(bounds, "stop_grace_s", 6);
  settings.retries.ratio = bounds.NumberOr("retry_ratio", 0.2, 0);
  settings.retries.slack = bounds.NumberOr("retry_slack", 0, 0);
  settings.retries.window = ReadSeconds(bounds, "retry_window_s", 10);
  settings.drain_bound =
      Millis(bounds.NumberOr("drain_ms", settings.drain_bound.count(), 0));
  settings.strict_revocation = bounds.BooleanOr("strict_revocation", false);
  settings.revocation_bound = Millis(
      bounds.NumberOr("revocation_ms", settings.revocation_bound.count(), 1));
  settings.config_apply_bound = Millis(bounds.NumberOr(
      "config_apply_ms", settings.config_apply_bound.count(), 1));
  settings.quota.window =
      Millis(bounds.NumberOr("quota_window_s", 5, 0.001) * kMillisPerSecond);
  settings.quota.overshoot =
      bounds.NumberOr("quota_overshoot", settings.quota.overshoot, 0);
  settings.quota.slack =
      bounds.NumberOr("quota_slack", settings.quota.slack, 0);
  settings.warm_up.overshoot =
      bounds.NumberOr("warm_up_overshoot", settings.warm_up.overshoot, 0);
  settings.warm_up.slack =
      bounds.NumberOr("warm_up_slack", settings.warm_up.slack, 0);
  if (bounds.Has("evacuation_ms")) {
    settings.evacuation_bound = Millis(bounds.NumberOr("evacuation_ms", 1, 1));
  }
  json.MergeError(bounds.Finish());
}

/// `has_tenant_limits`: the settings bound the requests of tenants, so callers
/// compete for capacity by priority and tenant.
void ReadPolicy(JsonObject& json,
                bool has_tenant_limits,
                NodeSettings& settings) {
  JsonObject policy = json.ObjectOrEmpty("policy");
  settings.policy.hedging = policy.BooleanOr("hedging", true);
  settings.policy.reported_load = policy.BooleanOr("reported_load", true);
  settings.policy.slowness = policy.BooleanOr("slowness", true);
  settings.policy.admission = policy.BooleanOr("admission", true);
  settings.policy.skipping = policy.BooleanOr("skipping", true);
  settings.policy.short_queues = policy.BooleanOr("short_queues", true);
  settings.policy.reopen_skipped = policy.BooleanOr("reopen_skipped", true);
  settings.policy.spare_permits = policy.BooleanOr("spare_permits", true);
  settings.policy.hedge_short_queues =
      policy.BooleanOr("hedge_short_queues", true);
  settings.policy.cancel_failed = policy.BooleanOr("cancel_failed", true);
  settings.policy.local_first = policy.BooleanOr("local_first", true);
  settings.policy.even_load = policy.BooleanOr("even_load", true);
  settings.policy.precedence =
      policy.BooleanOr("precedence", has_tenant_limits);
  settings.stale_reads = policy.BooleanOr("stale_reads", true);
  settings.address_lifetime = Millis(policy.NumberOr(
      "address_lifetime_ms", settings.address_lifetime.count(), 1));
  settings.answer_margin = Millis(
      policy.NumberOr("answer_margin_ms", settings.answer_margin.count(), 0));
  json.MergeError(policy.Finish());
}

void CheckAddresses(JsonObject& json, const NodeSettings& settings) {
  const std::array<std::string_view, 5> addresses = {
      settings.caller_address, settings.readiness_address,
      settings.directory_address, settings.gossip_address,
      settings.store_address};
  for (const std::string_view address : addresses) {
    if (!address.empty()) {
      json.MergeError(ParseSocketAddress(address).status());
    }
  }
}

}  // namespace

absl::StatusOr<NodeSettings> ParseNodeSettings(std::string_view text) {
  absl::StatusOr<nlohmann::json> parsed =
      ParseJson(text, JsonComments::kIgnored);
  if (!parsed.ok()) {
    return parsed.status();
  }
  RemoveNullMembers(*parsed);
  MergePlatformBounds(*parsed);
  const bool has_tenant_limits =
      parsed->is_object() && parsed->contains("bounds") &&
      parsed->at("bounds").is_object() &&
      parsed->at("bounds").contains("quota_window_s");
  JsonObject json(*std::move(parsed), "");
  NodeSettings settings;
  settings.id = json.String("id");
  settings.data_centre = json.String("data_centre");
  settings.store_address = json.String("store_address");
  settings.max_descriptors =
      ReadMachineLimit(json, "max_descriptors", settings.max_descriptors, 64);
  settings.memory_mb =
      ReadMachineLimit(json, "memory_mb", settings.memory_mb, 16);
  ReadListeners(json, settings);
  ReadBounds(json, settings);
  ReadPolicy(json, has_tenant_limits, settings);
  CheckAddresses(json, settings);
  if (const absl::Status status = json.Finish(); !status.ok()) {
    return status;
  }
  return settings;
}

}  // namespace tanagervane
