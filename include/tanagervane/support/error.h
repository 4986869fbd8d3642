// Typed errors: an absl::Status that carries an ErrorCode and the path of the
// offending input. Outcome, which tells whether a request ran, is passed beside
// the status.

#ifndef TANAGERVANE_SUPPORT_ERROR_H_
#define TANAGERVANE_SUPPORT_ERROR_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace tanagervane {

/// Why an operation failed. ToString() returns the name used on the wire.
enum class ErrorCode {
  kInvalidRequest,
  kBodyTooLarge,
  kUnknownClass,
  kUnknownTenant,
  kInvalidDocument,
  kConflict,  ///< The base revision is outdated, or the request already runs.
  kUnauthorized,
  kNotFound,
  kNotReady,  ///< The entry does not serve yet, or no connection was made.
  kOverloaded,
  kDeadlineTooShort,  ///< The deadline passed before the request arrived.
  kDeadlineExceeded,
  kQuarantined,  ///< Backend servers were lost while running the request.
  kIdempotencyKeyReused,   ///< The idempotency key belongs to a different
                           ///< request.
  kIdempotencyKeyExpired,  ///< The idempotency key was issued too long ago.
  kPlatformUnavailable,
  kNoReplica,  ///< Too few shards have a usable replica.
  kCancelled,
  kInternal,
};

/// Whether a request was executed on a backend server. kNotRun guarantees that
/// no backend server executed any of it; kUnknown means that neither is
/// certain.
enum class Outcome { kNotRun, kRan, kUnknown };

std::string_view ToString(ErrorCode code);
std::string_view ToString(Outcome outcome);

/// Makes a status that carries `code`. `path` identifies the offending input,
/// for example "classes[2].deadline_ms"; it is empty for other errors.
absl::Status MakeError(ErrorCode code,
                       std::string_view detail,
                       std::string_view path = "");

/// The code stored by MakeError(), or nullopt for any other status.
std::optional<ErrorCode> GetErrorCode(const absl::Status& status);

/// The message of `status`, which it points into.
std::string_view GetErrorMessage(const absl::Status& status);

/// The path stored by MakeError(), or an empty string.
std::string GetErrorPath(const absl::Status& status);

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_ERROR_H_
