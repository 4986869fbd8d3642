#include "tanagervane/document/diff.h"

#include <string_view>

#include "fmt/format.h"
#include "json.h"

namespace tanagervane {

namespace {

using Json = nlohmann::ordered_json;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void CompareValue(const std::string& path,
                  const Json& before,
                  const Json& after,
                  std::vector<DocumentChange>& changes) {
  if (before != after) {
    changes.push_back({path, Dump(before), Dump(after)});
  }
}

void CompareElement(const std::string& path,
                    const Json& before,
                    const Json& after,
                    std::vector<DocumentChange>& changes) {
  for (const auto& [key, value] : before.items()) {
    const std::string field = fmt::format("{}.{}", path, key);
    if (const auto it = after.find(key); it != after.end()) {
      CompareValue(field, value, *it, changes);
    } else {
      changes.push_back({field, Dump(value), ""});
    }
  }
  for (const auto& [key, value] : after.items()) {
    if (!before.contains(key)) {
      changes.push_back({fmt::format("{}.{}", path, key), "", Dump(value)});
    }
  }
}

template <typename Spec>
const Spec* FindByName(const std::vector<Spec>& specs, std::string_view name) {
  for (const Spec& spec : specs) {
    if (spec.name == name) {
      return &spec;
    }
  }
  return nullptr;
}

template <typename Spec>
void CompareLists(std::string_view list,
                  const std::vector<Spec>& before,
                  const std::vector<Spec>& after,
                  std::vector<DocumentChange>& changes) {
  for (const Spec& spec : before) {
    const std::string path = fmt::format("{}[{}]", list, spec.name);
    if (const Spec* other = FindByName(after, spec.name)) {
      CompareElement(path, ToJson(spec), ToJson(*other), changes);
    } else {
      changes.push_back({path, Dump(ToJson(spec)), ""});
    }
  }
  for (const Spec& spec : after) {
    if (!FindByName(before, spec.name)) {
      changes.push_back(
          {fmt::format("{}[{}]", list, spec.name), "", Dump(ToJson(spec))});
    }
  }
}

}  // namespace

std::vector<DocumentChange> DiffDocuments(const Document& before,
                                          const Document& after) {
  std::vector<DocumentChange> changes;
  CompareValue("team", before.team, after.team, changes);
  CompareValue("entries", before.entries, after.entries, changes);
  CompareLists("indexes", before.indexes, after.indexes, changes);
  CompareLists("classes", before.classes, after.classes, changes);
  CompareLists("tenants", before.tenants, after.tenants, changes);
  return changes;
}

}  // namespace tanagervane
