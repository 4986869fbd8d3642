// Requests, attempts and answers of the query engine.

#ifndef TANAGERVANE_QUERY_TYPES_H_
#define TANAGERVANE_QUERY_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/routing/types.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

using RequestId = std::string;
using AttemptId = uint64_t;

/// A caller's request, after the listener has parsed it and checked its form.
struct QueryRequest {
  RequestId id;
  std::string class_name;
  std::string tenant;
  std::string payload;
  /// The answer is due by this point in time.
  Millis deadline;
};

/// One sending of a sub-request to one replica. The engine creates it and the
/// `send_attempt` hook sends it.
struct Attempt {
  AttemptId id = 0;
  RequestId request_id;
  ReplicaId replica;
  std::string index;
  uint32_t shard = 0;
  uint64_t index_version = 0;
  std::string class_name;
  std::string payload;
  /// Rows that the replica returns at most, zero for no limit.
  uint32_t row_limit = 0;
  /// Replies after this point in time are not used.
  Millis deadline;
};

/// A backend server's reply to one attempt.
struct BackendReply {
  RequestId request_id;
  AttemptId attempt_id = 0;
  uint32_t shard = 0;
  uint64_t index_version = 0;
  std::vector<std::string> rows;
  uint32_t row_count = 0;
  uint64_t checksum = 0;
  std::optional<ReportedLoad> load;
};

/// Why an answer has no result from a shard.
enum class MissingReason {
  kNoReplica,    ///< No replica was available or reachable.
  kTimedOut,     ///< No reply before the deadline.
  kVersionGone,  ///< No replica holds the index version any longer.
  kFailed,       ///< The last attempt failed for another cause.
  /// The request ended, for example because its caller cancelled it, before the
  /// shard had a result.
  kCancelled,
  kShed,       ///< The last attempt was rejected: the replica is overloaded.
  kNotNeeded,  ///< Enough matches had arrived from other shards.
};

std::string_view ToString(MissingReason reason);

/// A shard without a result, listed in an answer.
struct MissingShard {
  uint32_t shard = 0;
  MissingReason reason = MissingReason::kFailed;
};

/// The rows that a shard returned.
struct ShardResult {
  uint32_t shard = 0;
  std::vector<std::string> rows;
};

/// Why this tier refused a request, and whether the request ran.
struct Refusal {
  ErrorCode error = ErrorCode::kInternal;
  std::string detail;
  Outcome outcome = Outcome::kUnknown;
  /// How long the caller should wait before it sends the request again. Zero
  /// when no wait is suggested.
  Millis retry_after;
};

/// The answer to one request: results or a refusal. Unless the request was
/// refused, each shard of the index version is listed either in `results` or in
/// `missing`.
struct Answer {
  RequestId request_id;
  std::string class_name;
  std::string tenant;
  std::string index;
  uint64_t index_version = 0;
  uint32_t shard_count = 0;
  std::vector<ShardResult> results;
  std::vector<MissingShard> missing;
  std::optional<Refusal> refusal;
  /// Attempts beyond the first of each shard.
  uint32_t extra_attempts = 0;

  /// True when the request was not refused and no shard that it needs is
  /// missing. Shards missing as kNotNeeded are listed in `missing` but do not
  /// make the answer incomplete: a kFirstMatches request that has its rows is
  /// complete.
  bool complete() const;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUERY_TYPES_H_
