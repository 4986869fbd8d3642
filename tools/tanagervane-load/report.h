// Statistics of a run and their output.

#ifndef TANAGERVANE_TOOLS_LOAD_REPORT_H_
#define TANAGERVANE_TOOLS_LOAD_REPORT_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "answer_check.h"
#include "options.h"
#include "tanagervane/metrics/log_linear_histogram.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Numbers of requests by result.
struct ResultCounts {
  uint64_t sent = 0;
  uint64_t complete = 0;
  uint64_t partial = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t timed_out = 0;
  /// Complete answers within the deadline.
  uint64_t in_time = 0;
  /// Answers that failed a check, see RequestResult::check_error.
  uint64_t wrong = 0;
  uint64_t extra_attempts = 0;
  /// Requests sent again after a connection error.
  uint64_t resent = 0;
  /// Connection errors, including those of requests that succeeded at another
  /// address.
  uint64_t failed_connections = 0;

  void Add(const RequestResult& result, bool within_deadline);
};

/// Statistics of the measured requests of one stream or of all streams.
struct StreamStats {
  using Moments = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::mean,
                                 boost::accumulators::tag::variance>>;

  ResultCounts counts;
  /// Latency of complete and partial answers, from the intended arrival.
  LogLinearHistogram answer_latency;
  /// Time from the intended arrival to the end of every request.
  LogLinearHistogram request_duration;
  Moments moments;
  /// Numbers of refusals by "error/outcome".
  std::map<std::string, uint64_t> refusals;
  /// Numbers of failures by cause.
  std::map<std::string, uint64_t> failures;
  /// Maximum numbers of shards of one answer.
  uint32_t max_covered = 0;
  uint32_t max_missing = 0;

  void Add(const RequestResult& result, Millis latency, Millis deadline);
};

/// Statistics of the requests of one stream that were due in one second.
struct SecondStats {
  ResultCounts counts;
  /// Latencies of answers, in milliseconds.
  std::vector<float> latencies;
};

struct StreamReport {
  StreamSpec spec;
  StreamStats measured;
  std::vector<SecondStats> seconds;
};

struct RunReport {
  std::vector<StreamReport> streams;
  StreamStats total;
  Millis warm_up;
  /// Shorter than requested when the run was stopped early.
  Millis measured_duration;
  /// Delay of sending after the intended arrival. High values mean that the
  /// generator is the bottleneck.
  LogLinearHistogram send_lag;
};

/// Causes of failures that the generator, not a server, is responsible for.
inline constexpr std::string_view kNoAddress = "no_address";
inline constexpr std::string_view kGeneratorLimit = "generator_limit";

/// Returns a comma-separated list of the reasons why the statistics do not
/// describe the servers: requests failed because no address or connection was
/// available, requests were sent late, or none was sent. Empty when the
/// statistics are valid.
std::string InvalidReasons(const RunReport& report);

/// Writes a table for readers to standard error.
void PrintTable(const RunReport& report);

/// Writes one line of key=value pairs for each stream and for the total to
/// standard output.
void PrintSummary(const RunReport& report);

/// Writes one row for each second and stream.
absl::Status WriteCsv(const RunReport& report, const std::string& path);

/// Writes the gnuplot script `script`, which draws `png` from the file `csv`.
absl::Status WritePlotScript(const RunReport& report,
                             const std::string& csv,
                             const std::string& png,
                             const std::string& script);

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_LOAD_REPORT_H_
