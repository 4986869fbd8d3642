// Conversion between typed errors and absl::Status.

#include "tanagervane/support/error.h"

#include <array>
#include <cassert>
#include <cstddef>
#include <string>

#include "absl/strings/cord.h"

namespace tanagervane {

namespace {

constexpr char kCodePayloadUrl[] = "tanagervane/error_code";
constexpr char kPathPayloadUrl[] = "tanagervane/error_path";

// Debian builds Abseil with its own string_view type instead of the standard
// one.
absl::string_view ToAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

struct CodeInfo {
  ErrorCode code;
  std::string_view name;
  absl::StatusCode status;
};

constexpr std::array kCodeTable = {
    CodeInfo{ErrorCode::kInvalidRequest, "invalid_request",
             absl::StatusCode::kInvalidArgument},
    CodeInfo{ErrorCode::kBodyTooLarge, "body_too_large",
             absl::StatusCode::kInvalidArgument},
    CodeInfo{ErrorCode::kUnknownClass, "unknown_class",
             absl::StatusCode::kInvalidArgument},
    CodeInfo{ErrorCode::kUnknownTenant, "unknown_tenant",
             absl::StatusCode::kInvalidArgument},
    CodeInfo{ErrorCode::kInvalidDocument, "invalid_document",
             absl::StatusCode::kInvalidArgument},
    CodeInfo{ErrorCode::kConflict, "conflict", absl::StatusCode::kAborted},
    CodeInfo{ErrorCode::kUnauthorized, "unauthorized",
             absl::StatusCode::kUnauthenticated},
    CodeInfo{ErrorCode::kNotFound, "not_found", absl::StatusCode::kNotFound},
    CodeInfo{ErrorCode::kNotReady, "not_ready", absl::StatusCode::kUnavailable},
    CodeInfo{ErrorCode::kOverloaded, "overloaded",
             absl::StatusCode::kResourceExhausted},
    CodeInfo{ErrorCode::kDeadlineTooShort, "deadline_too_short",
             absl::StatusCode::kInvalidArgument},
    CodeInfo{ErrorCode::kDeadlineExceeded, "deadline_exceeded",
             absl::StatusCode::kDeadlineExceeded},
    CodeInfo{ErrorCode::kQuarantined, "quarantined",
             absl::StatusCode::kFailedPrecondition},
    CodeInfo{ErrorCode::kIdempotencyKeyReused, "key_reused",
             absl::StatusCode::kAlreadyExists},
    CodeInfo{ErrorCode::kIdempotencyKeyExpired, "key_expired",
             absl::StatusCode::kFailedPrecondition},
    CodeInfo{ErrorCode::kPlatformUnavailable, "platform_unavailable",
             absl::StatusCode::kUnavailable},
    CodeInfo{ErrorCode::kNoReplica, "no_replica",
             absl::StatusCode::kUnavailable},
    CodeInfo{ErrorCode::kCancelled, "cancelled", absl::StatusCode::kCancelled},
    CodeInfo{ErrorCode::kInternal, "internal", absl::StatusCode::kInternal},
};

const CodeInfo& FindCodeInfo(ErrorCode code) {
  for (const CodeInfo& info : kCodeTable) {
    if (info.code == code) {
      return info;
    }
  }
  assert(false && "every ErrorCode has a row in kCodeTable");
  return kCodeTable.back();
}

}  // namespace

std::string_view ToString(ErrorCode code) {
  return FindCodeInfo(code).name;
}

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kRan:
      return "ran";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

absl::Status MakeError(ErrorCode code,
                       std::string_view detail,
                       std::string_view path) {
  const CodeInfo& info = FindCodeInfo(code);
  absl::Status status(info.status, ToAbsl(detail));
  status.SetPayload(kCodePayloadUrl, absl::Cord(ToAbsl(info.name)));
  if (!path.empty()) {
    status.SetPayload(kPathPayloadUrl, absl::Cord(ToAbsl(path)));
  }
  return status;
}

std::optional<ErrorCode> GetErrorCode(const absl::Status& status) {
  const auto payload = status.GetPayload(kCodePayloadUrl);
  if (!payload) {
    return std::nullopt;
  }
  for (const CodeInfo& info : kCodeTable) {
    if (*payload == ToAbsl(info.name)) {
      return info.code;
    }
  }
  return std::nullopt;
}

std::string_view GetErrorMessage(const absl::Status& status) {
  const auto message = status.message();
  return {message.data(), message.size()};
}

std::string GetErrorPath(const absl::Status& status) {
  const auto payload = status.GetPayload(kPathPayloadUrl);
  return payload ? std::string(*payload) : std::string();
}

}  // namespace tanagervane
