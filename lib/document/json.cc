#include "json.h"

#include "tanagervane/document/parser.h"

namespace tanagervane {

namespace {

template <typename Spec>
nlohmann::ordered_json ListToJson(const std::vector<Spec>& specs) {
  auto list = nlohmann::ordered_json::array();
  for (const Spec& spec : specs) {
    list.push_back(ToJson(spec));
  }
  return list;
}

}  // namespace

std::string_view ToString(RequestShape shape) {
  switch (shape) {
    case RequestShape::kEveryShard:
      return "every_shard";
    case RequestShape::kFirstMatches:
      return "first_matches";
    case RequestShape::kOneServer:
      break;
  }
  return "one_server";
}

std::string_view ToString(Urgency urgency) {
  return urgency == Urgency::kUrgent ? "urgent" : "patient";
}

nlohmann::ordered_json ToJson(const IndexSpec& index) {
  return {{"name", index.name},
          {"shards", index.shards},
          {"replicas", index.replicas},
          {"slots", index.slots},
          {"connections", index.max_connections},
          {"connect_ms", index.connect_time.count()},
          {"reports_load", index.reports_load}};
}

nlohmann::ordered_json ToJson(const ClassSpec& spec) {
  nlohmann::ordered_json json = {{"name", spec.name},
                                 {"index", spec.index},
                                 {"shape", ToString(spec.shape)},
                                 {"deadline_ms", spec.timeout.count()},
                                 {"urgency", ToString(spec.urgency)}};
  // The parser rejects "matches" for other shapes.
  if (spec.shape == RequestShape::kFirstMatches) {
    json["matches"] = spec.matches;
  }
  json["min_coverage"] = spec.min_coverage;
  json["idempotent"] = spec.idempotent;
  return json;
}

nlohmann::ordered_json ToJson(const TenantShare& tenant) {
  return {{"name", tenant.name}, {"share", tenant.share}};
}

std::string FormatDocument(const Document& document) {
  const nlohmann::ordered_json json = {
      {"team", document.team},
      {"entries", document.entries},
      {"indexes", ListToJson(document.indexes)},
      {"classes", ListToJson(document.classes)},
      {"tenants", ListToJson(document.tenants)}};
  return json.dump(2, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace) +
         "\n";
}

}  // namespace tanagervane
