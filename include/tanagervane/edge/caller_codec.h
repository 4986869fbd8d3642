// Conversion of callers' requests and answers from and to JSON.

#ifndef TANAGERVANE_EDGE_CALLER_CODEC_H_
#define TANAGERVANE_EDGE_CALLER_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "tanagervane/edge/http.h"
#include "tanagervane/query/types.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// The parsed body of a query or an order.
struct CallerRequest {
  /// Empty when the entry is to generate an id.
  RequestId request_id;
  std::string class_name;
  std::string tenant;
  std::string payload;
  /// The caller's `deadline_ms`, counted from the request's arrival; without it
  /// the class's timeout applies.
  std::optional<Millis> timeout;
  /// Set for orders only.
  std::string idempotency_key;
  /// Set for orders only.
  int64_t issued_at_ms = 0;
};

/// Parses the body of POST /v1/query, or of /v1/order when `is_order` is set.
absl::StatusOr<CallerRequest> ParseCallerRequest(std::string_view body,
                                                 bool is_order);

/// Parses the body of POST /v1/cancel.
absl::StatusOr<RequestId> ParseCancelRequest(std::string_view body);

/// Returns the response for a complete or partial answer, or for a refusal.
HttpResponse FormatAnswer(const Answer& answer);

/// Returns the response for a request that failed before it reached the query
/// engine.
HttpResponse FormatError(const absl::Status& status, Outcome outcome);

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_CALLER_CODEC_H_
