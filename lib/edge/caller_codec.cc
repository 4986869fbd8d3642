// Implements the JSON conversion of callers' requests and answers.

#include "tanagervane/edge/caller_codec.h"

#include <utility>

#include "tanagervane/support/error.h"
#include "tanagervane/support/json_object.h"

namespace tanagervane {

namespace {

// One day. The deadline of the request's class bounds the time further.
constexpr int64_t kMaxTimeoutMs = 86'400'000;
constexpr size_t kMaxIdLength = 128;

unsigned ToHttpStatus(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidRequest:
    case ErrorCode::kUnknownClass:
    case ErrorCode::kUnknownTenant:
    case ErrorCode::kInvalidDocument:
    case ErrorCode::kDeadlineTooShort:
      return 400;
    case ErrorCode::kUnauthorized:
      return 401;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kIdempotencyKeyExpired:
      return 410;
    case ErrorCode::kBodyTooLarge:
      return 413;
    case ErrorCode::kIdempotencyKeyReused:
    case ErrorCode::kQuarantined:
      return 422;
    case ErrorCode::kOverloaded:
      return 429;
    case ErrorCode::kCancelled:
      return 499;
    case ErrorCode::kInternal:
      return 500;
    case ErrorCode::kNotReady:
    case ErrorCode::kPlatformUnavailable:
    case ErrorCode::kNoReplica:
      return 503;
    case ErrorCode::kDeadlineExceeded:
      break;
  }
  return 504;
}

nlohmann::json FormatMissingShards(const Answer& answer) {
  auto missing = nlohmann::json::array();
  for (const MissingShard& shard : answer.missing) {
    missing.push_back({{"shard", shard.shard},
                       {"reason", std::string(ToString(shard.reason))}});
  }
  return missing;
}

HttpResponse FormatRefusal(const Answer& answer) {
  const Refusal& refusal = *answer.refusal;
  nlohmann::json json = {
      {"request_id", answer.request_id},
      {"error", std::string(ToString(refusal.error))},
      {"detail", refusal.detail},
      {"outcome", std::string(ToString(refusal.outcome))},
      {"extra_attempts", answer.extra_attempts},
  };
  HttpResponse response;
  if (refusal.retry_after > Millis()) {
    json["retry_after_ms"] = refusal.retry_after.count();
  }
  if (!answer.missing.empty()) {
    json["missing"] = FormatMissingShards(answer);
  }
  response.status = ToHttpStatus(refusal.error);
  response.body = DumpJson(json);
  return response;
}

}  // namespace

absl::StatusOr<CallerRequest> ParseCallerRequest(std::string_view body,
                                                 bool is_order) {
  JsonObject json(body);
  CallerRequest request;
  request.request_id = json.StringOr("request_id", "");
  if (request.request_id.size() > kMaxIdLength) {
    json.Fail("request_id", "must be at most 128 bytes");
  }
  request.class_name = json.String("class");
  request.tenant = json.String("tenant");
  request.payload = json.StringOr("payload", "");
  if (json.Has("deadline_ms")) {
    request.timeout = Millis(
        static_cast<double>(json.Integer("deadline_ms", 1, kMaxTimeoutMs)));
  }
  if (is_order) {
    request.idempotency_key = json.String("idempotency_key");
    request.issued_at_ms = json.Integer("issued_at_ms", 1);
    if (request.idempotency_key.size() > kMaxIdLength) {
      json.Fail("idempotency_key", "must be at most 128 bytes");
    }
  }
  if (const absl::Status status = json.Finish(); !status.ok()) {
    return status;
  }
  return request;
}

absl::StatusOr<RequestId> ParseCancelRequest(std::string_view body) {
  JsonObject json(body);
  RequestId id = json.String("request_id");
  if (const absl::Status status = json.Finish(); !status.ok()) {
    return status;
  }
  return id;
}

HttpResponse FormatAnswer(const Answer& answer) {
  if (answer.refusal) {
    return FormatRefusal(answer);
  }
  auto covered = nlohmann::json::array();
  auto results = nlohmann::json::array();
  for (const ShardResult& result : answer.results) {
    covered.push_back(result.shard);
    results.push_back({{"shard", result.shard}, {"rows", result.rows}});
  }
  HttpResponse response;
  response.body = DumpJson({
      {"request_id", answer.request_id},
      {"index", answer.index},
      {"index_version", answer.index_version},
      {"shard_count", answer.shard_count},
      {"complete", answer.complete()},
      {"covered", std::move(covered)},
      {"missing", FormatMissingShards(answer)},
      {"results", std::move(results)},
      {"extra_attempts", answer.extra_attempts},
  });
  return response;
}

HttpResponse FormatError(const absl::Status& status, Outcome outcome) {
  const ErrorCode code = GetErrorCode(status).value_or(ErrorCode::kInternal);
  nlohmann::json json = {
      {"error", std::string(ToString(code))},
      {"detail", std::string(status.message())},
      {"outcome", std::string(ToString(outcome))},
  };
  if (const std::string path = GetErrorPath(status); !path.empty()) {
    json["path"] = path;
  }
  HttpResponse response;
  response.status = ToHttpStatus(code);
  response.body = DumpJson(json);
  return response;
}

}  // namespace tanagervane
