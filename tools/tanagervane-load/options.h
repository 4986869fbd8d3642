// Options of a run of the load generator, and their parsing.

#ifndef TANAGERVANE_TOOLS_LOAD_OPTIONS_H_
#define TANAGERVANE_TOOLS_LOAD_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// A stream of requests of one class and tenant.
struct StreamSpec {
  std::string class_name;
  std::string tenant;
  /// Arrivals per second.
  double rate = 0;
  /// Sends orders instead of queries.
  bool is_order = false;
  /// Relative to the intended arrival.
  Millis deadline;
};

struct LoadOptions {
  std::vector<StreamSpec> streams;
  uint64_t seed = 1;
  Millis warm_up;
  /// Duration of the measurement, which follows the warm-up.
  Millis duration;
  /// The placeholder {n} becomes a random number below `distinct_payloads`.
  std::string payload;
  /// The placeholder {key} becomes the idempotency key.
  std::string order_payload;
  uint64_t distinct_payloads = 1;
  /// Time after the deadline during which a late answer is still awaited.
  Millis late_answer_timeout;
  /// Sends each order to two entries at the same time, with the same key.
  bool duplicate_orders = false;
  /// Resends an order with the same key after its connection was lost.
  bool resend_orders = true;
  /// Requests above this number in flight are not sent and count as failed.
  size_t max_in_flight = 0;
};

/// Parses `mix` as "class:tenant:rate[:order],..." and `deadlines` as
/// "class:milliseconds,...". Classes not in `deadlines` get `default_deadline`.
absl::StatusOr<std::vector<StreamSpec>> ParseMix(std::string_view mix,
                                                 std::string_view deadlines,
                                                 Millis default_deadline);

/// Parses "class:number,..." into a map from class to number.
absl::StatusOr<std::map<std::string, double>> ParseByClass(
    std::string_view text);

/// Returns `pattern` with each `placeholder` replaced by `value`.
std::string ReplaceAll(std::string_view pattern,
                       std::string_view placeholder,
                       std::string_view value);

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_LOAD_OPTIONS_H_
