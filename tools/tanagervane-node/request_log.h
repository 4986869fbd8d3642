// Log lines and metrics of requests.

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

/// Logs each request that ended in another way than on time and whole, with
/// its decisions, and a sample of the others. Counts all of them.
class RequestLog {
 public:
  RequestLog();

  void OnFinished(const RequestReport& report);

  MetricsRegistry& metrics() { return m_metrics; }

 private:
  Counter& OutcomeCounter(std::string_view route, std::string_view outcome);
  void LogRequest(const RequestReport& report, std::string_view outcome);

  MetricsRegistry m_metrics;
  LatencyByClass m_latency;
  std::map<std::pair<std::string, std::string>, Counter*, std::less<>>
      m_outcomes;
  uint64_t m_calm = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_TANAGERVANE_NODE_REQUEST_LOG_H_
