// Parsing of responses and checks that their content is consistent.

#ifndef TANAGERVANE_TOOLS_LOAD_ANSWER_CHECK_H_
#define TANAGERVANE_TOOLS_LOAD_ANSWER_CHECK_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/edge/http.h"

namespace tanagervane {

enum class ResultKind { kComplete, kPartial, kRefused, kFailed, kTimedOut };

std::string_view ToString(ResultKind kind);

/// The result of one request.
struct RequestResult {
  ResultKind kind = ResultKind::kFailed;
  /// The error code of a refusal, or the cause of a failure.
  std::string error;
  /// Whether the request ran: "ran", "not_run" or "unknown", or the value that
  /// a refusal reports.
  std::string outcome;
  /// Numbers of shards.
  uint32_t covered = 0;
  uint32_t missing = 0;
  uint32_t extra_attempts = 0;
  /// The inconsistency found in the answer; empty when the answer is correct.
  std::string check_error;
};

/// The inputs that determine the rows of one shard.
struct RowQuery {
  std::string index;
  uint64_t index_version = 0;
  uint32_t shard = 0;
  uint32_t shard_count = 0;
  std::string class_name;
  std::string payload;
};

/// Computes the rows that the stand-in backend server returns for a shard.
using RowFunction = std::function<std::vector<std::string>(const RowQuery&)>;

/// The request that an answer is checked against.
struct ExpectedAnswer {
  std::string request_id;
  std::string class_name;
  std::string payload;
};

/// Parses and checks a response. An answer must contain the request id, list
/// each shard once as covered or missing, and be marked complete only when no
/// shard is missing. When `expected_rows` is set, each shard must have exactly
/// these rows. If shards were not queried because enough matches had arrived,
/// a shard may also have only the first of them.
RequestResult ParseAnswer(const HttpResponse& response,
                          const ExpectedAnswer& expected,
                          const RowFunction& expected_rows);

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_LOAD_ANSWER_CHECK_H_
