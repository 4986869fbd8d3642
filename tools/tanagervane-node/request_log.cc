// Writes one line for a request and one for each decision made for it.

#include "tools/tanagervane-node/request_log.h"

#include <string>

#include "fmt/format.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

/// One in this many requests that were on time is logged.
constexpr uint64_t kOnTimeSampleInterval = 500;

/// Maximum decisions that are logged for one request; a fan-out has many.
constexpr size_t kMaxDecisions = 24;

std::string_view ClassifyOutcome(const RequestReport& report) {
  if (report.abandoned) {
    return "caller_gone";
  }
  if (report.kind == AnswerKind::kReply &&
      (report.replica_status < 200 || report.replica_status > 299)) {
    return "replica_error";
  }
  const bool answered =
      report.kind == AnswerKind::kReply || report.kind == AnswerKind::kMerged;
  if (!answered) {
    return ToString(report.kind);
  }
  if (report.elapsed > report.objective) {
    return "late";
  }
  return report.answered_sub_requests < report.sub_requests ? "partial"
                                                            : "on_time";
}

std::string OneDecimal(Millis duration) {
  return fmt::format("{:.1f}", duration.count());
}

/// Returns whether an event of a fan-out is logged. Plain sends and answers are
/// not, because each shard has one of both.
bool IsUnusual(TraceEvent::Type type) {
  return type != TraceEvent::Type::kSent && type != TraceEvent::Type::kAnswered;
}

}  // namespace

RequestLog::RequestLog()
    : m_latency(m_metrics,
                "tanagervane_request_seconds",
                "Time from a request to its answer, by route and outcome.") {}

Counter& RequestLog::OutcomeCounter(std::string_view route,
                                    std::string_view outcome) {
  const std::pair<std::string, std::string> key{route, outcome};
  Counter*& counter = m_outcomes[key];
  if (counter == nullptr) {
    counter = &m_metrics.GetCounter(
        "tanagervane_requests_total", "Requests by route and outcome.",
        {{"route", key.first}, {"outcome", key.second}});
  }
  return *counter;
}

void RequestLog::OnFinished(const RequestReport& report) {
  const std::string_view outcome = ClassifyOutcome(report);
  OutcomeCounter(report.route, outcome).Increment();
  m_latency.Observe(report.route, outcome, report.elapsed);
  const bool on_time = outcome == "on_time";
  if (on_time && m_on_time_requests++ % kOnTimeSampleInterval != 0) {
    return;
  }
  LogRequest(report, outcome);
}

void RequestLog::LogRequest(const RequestReport& report,
                            std::string_view outcome) {
  LogEvent event("request");
  event.Field("request", report.request->id)
      .Field("route", report.route)
      .Field("config_version", report.config_version)
      .Field("outcome", outcome)
      .Field("reason", ToString(report.reason))
      .Field("elapsed_ms", OneDecimal(report.elapsed))
      .Field("objective_ms", OneDecimal(report.objective))
      .Field("time_left_ms", OneDecimal(report.time_left_on_arrival))
      .Field("parts", report.sub_requests)
      .Field("parts_done", report.answered_sub_requests)
      .Field("extra_sends", report.extra_attempts)
      .Field("replica_status", report.replica_status);
  if (!report.request->tenant.empty()) {
    event.Field("tenant", report.request->tenant);
  }
  if (report.trace == nullptr) {
    return;
  }
  size_t logged = 0;
  for (const TraceEvent& event : *report.trace) {
    if (report.sub_requests > 1 && !IsUnusual(event.type)) {
      continue;
    }
    if (++logged > kMaxDecisions) {
      return;
    }
    LogEvent log_event("decision");
    log_event.Field("request", report.request->id)
        .Field("what", ToString(event.type))
        .Field("part", event.sub_request)
        .Field("after_ms", OneDecimal(event.elapsed));
    if (event.replica) {
      log_event.Field("replica", event.replica->registration.id)
          .Field("service", event.replica->registration.service)
          .Field("in_flight", event.replica->attempts.size())
          .Field("slowness", fmt::format("{:.2f}", event.replica->slowness))
          .Field("error_share",
                 fmt::format("{:.2f}", event.replica->error_fraction));
    }
  }
}

}  // namespace tanagervane
