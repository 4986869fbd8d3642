// Implements parsing of the settings file.

#include "tanagervane/edge/settings.h"

#include <array>
#include <utility>

#include "tanagervane/support/error.h"
#include "tanagervane/support/file.h"
#include "tanagervane/support/json_object.h"

namespace tanagervane {

namespace {

constexpr std::array kPolicies = {
    std::pair<std::string_view, ReplicaPolicy>{
        "tier", ReplicaPolicy::kLowestExpectedWait},
    std::pair<std::string_view, ReplicaPolicy>{"random",
                                               ReplicaPolicy::kRandom},
    std::pair<std::string_view, ReplicaPolicy>{"round_robin",
                                               ReplicaPolicy::kRoundRobin},
    std::pair<std::string_view, ReplicaPolicy>{"least_in_flight",
                                               ReplicaPolicy::kLeastInFlight},
};

PolicyOptions ParseExperiment(JsonObject& json) {
  PolicyOptions options;
  const std::string policy = json.StringOr("replica_policy", "tier");
  bool known = false;
  for (const auto& [name, value] : kPolicies) {
    if (name == policy) {
      options.replica_policy = value;
      known = true;
    }
  }
  if (!known) {
    json.Fail("replica_policy",
              "must be tier, random, round_robin or least_in_flight");
  }
  options.hedging = json.BooleanOr("hedging", true);
  options.admission = json.BooleanOr("admission", true);
  options.reported_load = json.BooleanOr("reported_load", true);
  options.slow_start = json.BooleanOr("slow_start", true);
  options.avoidance = json.BooleanOr("avoidance", true);
  options.quarantine = json.BooleanOr("quarantine", true);
  return options;
}

}  // namespace

absl::StatusOr<EntrySettings> ParseSettings(std::string_view text) {
  JsonObject json(text, /*allow_comments=*/true);
  EntrySettings settings;
  settings.id = json.String("id");
  settings.team = json.String("team");
  settings.data_centre = json.String("data_centre");
  settings.caller_address = json.String("caller_address");
  settings.operator_address = json.String("operator_address");
  settings.peer_address = json.String("peer_address");
  settings.platform_address = json.String("platform_address");
  settings.seeds = json.StringListOrEmpty("seeds");
  settings.operator_key_file = json.StringOr("operator_key_file", "");
  JsonObject experiment = json.ObjectOrEmpty("experiment");
  settings.experiment = ParseExperiment(experiment);
  json.MergeError(experiment.Finish());
  if (const absl::Status status = json.Finish(); !status.ok()) {
    return status;
  }
  return settings;
}

absl::StatusOr<EntrySettings> LoadSettings(const std::string& path) {
  auto text = ReadFile(path);
  if (!text.ok()) {
    return text.status();
  }
  return ParseSettings(*text);
}

}  // namespace tanagervane
