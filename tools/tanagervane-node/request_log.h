// Logging and counting of finished requests.

#ifndef TANAGERVANE_TOOLS_TANAGERVANE_NODE_REQUEST_LOG_H_
#define TANAGERVANE_TOOLS_TANAGERVANE_NODE_REQUEST_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "tanagervane/metrics/registry.h"
#include "tanagervane/serving/exchange.h"

namespace tanagervane {

/// Counts all requests. Logs each request that was late, partial or failed with
/// the decisions made for it, and a sample of the requests that were on time.
class RequestLog {
 public:
  RequestLog();

  void OnFinished(const RequestReport& report);

  MetricsRegistry& metrics() { return m_metrics; }

 private:
  Counter& OutcomeCounter(std::string_view route, std::string_view outcome);
  void LogRequest(const RequestReport& report, std::string_view outcome);

  MetricsRegistry m_metrics;
  LatencyByClassAndTenant m_latency;
  std::map<std::pair<std::string, std::string>, Counter*, std::less<>>
      m_outcomes;
  /// Requests that ended on time and complete.
  uint64_t m_on_time_requests = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_TANAGERVANE_NODE_REQUEST_LOG_H_
