// Helpers with which the stand-ins parse requests to their control ports and
// build the responses.

#ifndef TANAGERVANE_STANDINS_COMMON_CONTROL_H_
#define TANAGERVANE_STANDINS_COMMON_CONTROL_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"
#include "tanagervane/edge/http.h"

namespace tanagervane::standins {

/// Returns a response with status 200 and `body` as its JSON text.
HttpResponse JsonResponse(const nlohmann::json& body);

/// Returns a response whose JSON body holds the error code, the path of the
/// offending value and the message of `status`.
HttpResponse ErrorResponse(unsigned http_status, const absl::Status& status);

/// Splits "/a/b" into {"a", "b"}.
std::vector<std::string> SplitPath(std::string_view path);

/// Parses a selection of the numbers in [0, count): "all", or a list of numbers
/// and ranges such as "0,3,5-9". Returns the selected numbers.
absl::StatusOr<std::vector<size_t>> ParseSelection(std::string_view text,
                                                   size_t count);

/// Parses a JSON object that changes some settings of a group. Read() leaves
/// `value` unchanged when the key is absent. Only the first error is kept.
class SettingsPatch {
 public:
  explicit SettingsPatch(std::string_view body);

  void Read(std::string_view key, bool& value);
  void Read(std::string_view key, std::string& value);
  void Read(std::string_view key, double min, double max, double& value);
  void Read(std::string_view key, uint64_t max, uint64_t& value);

  /// Returns the JSON value of `key`, or nullptr when the key is absent.
  const nlohmann::json* Find(std::string_view key);

  /// Records an error about `key` unless there is an earlier one.
  void Fail(std::string_view key, std::string_view reason);

  /// Returns the first error. A key that was never passed to Read() or Find()
  /// is an error too.
  absl::Status Finish();

 private:
  nlohmann::json m_json;
  std::set<std::string, std::less<>> m_known_keys;
  absl::Status m_status;
};

}  // namespace tanagervane::standins

#endif  // TANAGERVANE_STANDINS_COMMON_CONTROL_H_
