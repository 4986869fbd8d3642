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

/// Reads typed members and remembers the first error. Every member must be
/// read; Finish() reports the ones that nobody asked for.
class JsonObject {
 public:
  /// Parses `text`, with comments allowed when `allow_comments` is set.
  explicit JsonObject(std::string_view text, bool allow_comments = false);
  JsonObject(nlohmann::json value, std::string path);

  std::string Text(const std::string& key);
  std::string TextOr(const std::string& key, std::string_view fallback);
  int64_t Integer(const std::string& key,
                  int64_t least,
                  int64_t most = std::numeric_limits<int64_t>::max());
  int64_t IntegerOr(const std::string& key,
                    int64_t fallback,
                    int64_t least,
                    int64_t most = std::numeric_limits<int64_t>::max());
  double NumberOr(const std::string& key, double fallback, double least);
  bool BooleanOr(const std::string& key, bool fallback);
  std::vector<std::string> TextListOr(const std::string& key);
  /// The member as an object; empty when absent.
  JsonObject Object(const std::string& key);
  bool Has(const std::string& key) const { return m_value.contains(key); }

  /// Records an error at `key` unless one was recorded before.
  void Fail(const std::string& key, std::string_view reason);

  /// Takes over an error of a nested object.
  void Adopt(const absl::Status& status);

  /// The first error, or an unknown member.
  absl::Status Finish();

 private:
  const nlohmann::json* Member(const std::string& key, bool required);
  std::string PathOf(const std::string& key) const;

  nlohmann::json m_value;
  std::string m_path;
  std::set<std::string, std::less<>> m_read;
  absl::Status m_status;
};

/// Text of a JSON value; bytes that are not UTF-8 are replaced.
std::string DumpJson(const nlohmann::json& value);

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_JSON_OBJECT_H_
