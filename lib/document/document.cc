#include "tanagervane/document/document.h"

#include <algorithm>

namespace tanagervane {

namespace {

template <typename Spec>
const Spec* FindByName(const std::vector<Spec>& specs, std::string_view name) {
  const auto it = std::find_if(specs.begin(), specs.end(),
                               [&](const Spec& s) { return s.name == name; });
  return it == specs.end() ? nullptr : &*it;
}

}  // namespace

const IndexSpec* Document::FindIndex(std::string_view name) const {
  return FindByName(indexes, name);
}

const ClassSpec* Document::FindClass(std::string_view name) const {
  return FindByName(classes, name);
}

const TenantShare* Document::FindTenant(std::string_view name) const {
  return FindByName(tenants, name);
}

}  // namespace tanagervane
