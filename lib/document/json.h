// Conversion of a document to JSON, shared by the formatter and the diff.

#ifndef TANAGERVANE_LIB_DOCUMENT_JSON_H_
#define TANAGERVANE_LIB_DOCUMENT_JSON_H_

#include <string_view>

#include "nlohmann/json.hpp"
#include "tanagervane/document/document.h"

namespace tanagervane {

std::string_view ToString(RequestShape shape);
std::string_view ToString(Urgency urgency);

nlohmann::ordered_json ToJson(const IndexSpec& index);
nlohmann::ordered_json ToJson(const ClassSpec& spec);
nlohmann::ordered_json ToJson(const TenantShare& tenant);

}  // namespace tanagervane

#endif  // TANAGERVANE_LIB_DOCUMENT_JSON_H_
