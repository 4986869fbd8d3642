// JSON text from other processes: bounded parsing, and splitting into parts
// that are parsed one by one.

#ifndef TANAGERVANE_SUPPORT_JSON_TEXT_H_
#define TANAGERVANE_SUPPORT_JSON_TEXT_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"

namespace tanagervane {

/// The deepest nesting of arrays and objects that ParseJson() accepts. A copy
/// of a parsed value recurses once for each level, so the depth bounds the
/// stack.
inline constexpr size_t kMaxJsonDepth = 64;

enum class JsonComments { kInvalid, kIgnored };

/// Parses a text. Fails with kInvalidRequest when it is not JSON or is nested
/// deeper than kMaxJsonDepth.
absl::StatusOr<nlohmann::json> ParseJson(
    std::string_view text,
    JsonComments comments = JsonComments::kInvalid);

/// A member of an object, unparsed. Both views point into the split text.
struct JsonMember {
  /// Without quotes; escapes are not resolved.
  std::string_view key;
  std::string_view value;
};

/// Returns the members of an object without parsing their values, so that one
/// invalid value does not affect the others. Only the values' brackets and
/// quotes are balanced. Fails with kInvalidRequest when `text` is no object.
absl::StatusOr<std::vector<JsonMember>> SplitJsonObject(std::string_view text);

/// Returns the elements of an array; see SplitJsonObject().
absl::StatusOr<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text);

/// Returns the text of the first member with this key.
std::optional<std::string_view> FindJsonMember(
    const std::vector<JsonMember>& members,
    std::string_view key);

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_JSON_TEXT_H_
