// Strict access to the members of a JSON object.

#ifndef TANAGERVANE_SUPPORT_JSON_OBJECT_H_
#define TANAGERVANE_SUPPORT_JSON_OBJECT_H_

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "nlohmann/json.hpp"

namespace tanagervane {

/// Reads typed members of a JSON object. The first error is kept and returned
/// by Finish(); a reader that fails returns a fallback value. A member that
/// no reader asked for is an error too, so that misspelled keys are found.
class JsonObject {
 public:
  /// Parses `text`.
  explicit JsonObject(std::string_view text, bool allow_comments = false);
  /// Wraps a nested object; `path` is its position in error paths.
  JsonObject(nlohmann::json value, std::string path);

  /// A required, non-empty string.
  std::string String(const std::string& key);
  std::string StringOr(const std::string& key, std::string_view fallback);
  /// A required integer in [min_value, max_value].
  int64_t Integer(const std::string& key,
                  int64_t min_value,
                  int64_t max_value = std::numeric_limits<int64_t>::max());
  int64_t IntegerOr(const std::string& key,
                    int64_t fallback,
                    int64_t min_value,
                    int64_t max_value = std::numeric_limits<int64_t>::max());
  /// A number that is at least `min_value`.
  double NumberOr(const std::string& key, double fallback, double min_value);
  bool BooleanOr(const std::string& key, bool fallback);
  /// An array of strings; empty when the member is absent.
  std::vector<std::string> StringListOrEmpty(const std::string& key);
  /// A nested object; empty when the member is absent. The caller passes the
  /// result of its Finish() to MergeError().
  JsonObject ObjectOrEmpty(const std::string& key);
  bool Has(const std::string& key) const { return m_object.contains(key); }

  /// Records an error at `key`. Only the first error is kept.
  void Fail(const std::string& key, std::string_view reason);

  /// Records the error of a nested object, if `status` is one. Only the first
  /// error is kept.
  void MergeError(const absl::Status& status);

  /// Returns the first error, or an error for a member that was not read.
  absl::Status Finish();

 private:
  const nlohmann::json* FindMember(const std::string& key, bool required);
  std::string PathOf(const std::string& key) const;

  nlohmann::json m_object;
  std::string m_path;
  std::set<std::string, std::less<>> m_read_keys;
  absl::Status m_status;
};

/// Serializes a JSON value, replacing bytes that are not valid UTF-8.
std::string DumpJson(const nlohmann::json& value);

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_JSON_OBJECT_H_
