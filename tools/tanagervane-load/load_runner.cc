// Arrivals, resending after connection errors, and counting of results.

#include "load_runner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fmt/format.h"
#include "nlohmann/json.hpp"
#include "tanagervane/support/error.h"
#include "tanagervane/support/json_object.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr Millis kStartDelay{50};
constexpr size_t kMaxLoggedWrongAnswers = 20;
// Bounds how often a submission is sent. Refused connections do not count as
// resending, so that without a bound they could repeat without end.
constexpr int kMaxSendsPerSubmission = 5;

// Lower is better: the result of an order with two submissions is the better
// one of their results.
int ResultRank(const RequestResult& result) {
  return static_cast<int>(result.kind);
}

}  // namespace

Millis LoadRunner::Stream::NextInterval(double rate) {
  return Millis(-std::log(1 - random.NextDouble()) * 1000.0 / rate);
}

/// A request sent to one entry. After a connection error it is sent again to
/// another entry, with the same request id.
struct LoadRunner::Submission {
  std::string address;
  std::string request_id;
  /// Times that it was sent, including this one.
  int send_count = 1;
  /// An earlier connection was lost after the request may have been received.
  bool may_have_run = false;
};

/// One arrival of a stream. An order has two submissions when orders are
/// duplicated, any other request has one.
struct LoadRunner::Request {
  size_t stream = 0;
  Millis intended;
  /// Index of the second of the intended arrival, from the start of the run.
  size_t second = 0;
  /// Arrived after the warm-up.
  bool measured = false;
  std::string payload;
  /// Idempotency key; empty for queries.
  std::string key;
  int64_t issued_at_ms = 0;
  int open_submissions = 0;
  /// The result was added to the statistics.
  bool counted = false;
  std::optional<RequestResult> best_result;
  /// The submissions that have ended, as written to the order log.
  nlohmann::json submissions = nlohmann::json::array();
};

LoadRunner::LoadRunner(EventLoop& loop,
                       SendQueue& queue,
                       AddressBook& addresses,
                       LoadOptions options,
                       RowFunction expected_rows,
                       std::ofstream& order_log)
    : m_loop(loop),
      m_queue(queue),
      m_addresses(addresses),
      m_options(std::move(options)),
      m_expected_rows(std::move(expected_rows)),
      m_order_log(order_log),
      m_timer([this] { OnArrivalTimer(); }),
      m_run_id(
          fmt::format("{:x}-{:x}", EventLoop::WallMillis(), m_options.seed)) {
  for (size_t i = 0; i < m_options.streams.size(); ++i) {
    // A random number generator for each stream keeps the arrivals of a stream
    // the same when another stream is added or changed.
    m_streams.push_back({Random(m_options.seed * 1000003 + i), Millis()});
    m_report.streams.push_back({m_options.streams[i], {}, {}});
  }
  m_report.warm_up = m_options.warm_up;
}

void LoadRunner::Start(std::function<void()> done) {
  m_done = std::move(done);
  m_queue.OpenConnections(m_addresses.AllAddresses(),
                          [this] { StartArrivals(); });
}

void LoadRunner::StartArrivals() {
  m_start = m_loop.Now() + kStartDelay;
  m_arrivals_end = m_start + m_options.warm_up + m_options.duration;
  for (size_t i = 0; i < m_streams.size(); ++i) {
    m_streams[i].next_arrival =
        m_start + m_streams[i].NextInterval(m_options.streams[i].rate);
  }
  ScheduleNext();
}

void LoadRunner::StopArrivals() {
  if (m_arrivals_ended || !m_done) {
    return;
  }
  m_arrivals_end =
      Millis(std::min(m_arrivals_end.count(), m_loop.Now().count()));
  ScheduleNext();
}

void LoadRunner::ScheduleNext() {
  double next = m_arrivals_end.count();
  for (const Stream& stream : m_streams) {
    next = std::min(next, stream.next_arrival.count());
  }
  if (next >= m_arrivals_end.count()) {
    m_arrivals_ended = true;
    FinishIfIdle();
    return;
  }
  m_timer.Arm(Millis(next));
}

void LoadRunner::OnArrivalTimer() {
  if (m_arrivals_ended) {
    return;
  }
  // The clock is read once: a generator that lags behind would otherwise stay
  // in the loop below and not serve its connections.
  const double now = std::min(m_loop.Now().count(), m_arrivals_end.count());
  for (size_t i = 0; i < m_streams.size(); ++i) {
    Stream& stream = m_streams[i];
    while (stream.next_arrival.count() <= now) {
      StartRequest(i, stream.next_arrival);
      stream.next_arrival += stream.NextInterval(m_options.streams[i].rate);
    }
  }
  ScheduleNext();
}

void LoadRunner::StartRequest(size_t stream, Millis intended) {
  const auto request = std::make_shared<Request>();
  const double since_start = (intended - m_start).count();
  request->stream = stream;
  request->intended = intended;
  request->second = static_cast<size_t>(std::max(0.0, since_start) / 1000);
  request->measured = since_start >= m_options.warm_up.count();
  const uint64_t n =
      m_streams[stream].random.NextBelow(m_options.distinct_payloads);
  const std::string id = fmt::format("{}-{}", m_run_id, m_next_id++);
  const bool is_order = m_options.streams[stream].is_order;
  if (is_order) {
    request->key = id;
    request->issued_at_ms = EventLoop::WallMillis();
    request->payload = ReplaceAll(m_options.order_payload, "{key}", id);
  } else {
    request->payload = ReplaceAll(m_options.payload, "{n}", std::to_string(n));
  }
  ++m_in_flight;
  const std::string first = m_addresses.NextAddress().value_or("");
  const bool duplicate = is_order && m_options.duplicate_orders;
  request->open_submissions = duplicate ? 2 : 1;
  SendSubmission(
      request, {.address = first, .request_id = id + (duplicate ? "-1" : "")});
  if (duplicate) {
    SendSubmission(request,
                   {.address = m_addresses.NextAddress(first).value_or(""),
                    .request_id = id + "-2"});
  }
}

std::string LoadRunner::MakeBody(const Request& request,
                                 const Submission& submission) const {
  const StreamSpec& spec = m_options.streams[request.stream];
  const double remaining_ms =
      (request.intended + spec.deadline - m_loop.Now()).count();
  nlohmann::json body = {
      {"request_id", submission.request_id},
      {"class", spec.class_name},
      {"tenant", spec.tenant},
      {"deadline_ms", std::max<int64_t>(1, static_cast<int64_t>(remaining_ms))},
      {"payload", request.payload}};
  if (spec.is_order) {
    body["idempotency_key"] = request.key;
    body["issued_at_ms"] = request.issued_at_ms;
  }
  return DumpJson(body);
}

void LoadRunner::SendSubmission(const std::shared_ptr<Request>& request,
                                const Submission& submission) {
  const StreamSpec& spec = m_options.streams[request->stream];
  RequestResult failure;
  failure.outcome = "not_run";
  if (submission.address.empty()) {
    failure.error = kNoAddress;
    FinishSubmission(request, submission, failure);
    return;
  }
  if (m_in_flight > m_options.max_in_flight) {
    failure.error = kGeneratorLimit;
    FinishSubmission(request, submission, failure);
    return;
  }
  m_queue.Send(
      {.address = submission.address,
       .path = spec.is_order ? "/v1/order" : "/v1/query",
       .body =
           [this, request, submission] {
             if (request->measured && submission.send_count == 1) {
               m_report.send_lag.Record(m_loop.Now() - request->intended);
             }
             return MakeBody(*request, submission);
           },
       .response_deadline =
           request->intended + spec.deadline + m_options.late_answer_timeout,
       .done =
           [this, request,
            submission](const absl::StatusOr<HttpResponse>& response) {
             OnResponse(request, submission, response);
           }});
}

void LoadRunner::OnResponse(const std::shared_ptr<Request>& request,
                            const Submission& submission,
                            const absl::StatusOr<HttpResponse>& response) {
  if (!response.ok()) {
    const auto code = GetErrorCode(response.status());
    if (code == ErrorCode::kOverloaded) {
      RequestResult not_sent_result;
      not_sent_result.error = kGeneratorLimit;
      not_sent_result.outcome = submission.may_have_run ? "unknown" : "not_run";
      FinishSubmission(request, submission, not_sent_result);
      return;
    }
    if (code != ErrorCode::kDeadlineExceeded) {
      OnConnectionError(request, submission, response.status());
      return;
    }
    RequestResult result;
    result.kind = ResultKind::kTimedOut;
    result.error = "no_answer";
    result.outcome = "unknown";
    FinishSubmission(request, submission, result);
    return;
  }
  const StreamSpec& spec = m_options.streams[request->stream];
  RequestResult result = ParseAnswer(
      *response, {submission.request_id, spec.class_name, request->payload},
      m_expected_rows);
  if (!result.check_error.empty() &&
      m_logged_wrong_answers++ < kMaxLoggedWrongAnswers) {
    LogEvent("wrong_answer")
        .Field("request_id", submission.request_id)
        .Field("address", submission.address)
        .Field("class", spec.class_name)
        .Field("detail", result.check_error);
  }
  FinishSubmission(request, submission, std::move(result));
}

void LoadRunner::OnConnectionError(const std::shared_ptr<Request>& request,
                                   const Submission& submission,
                                   const absl::Status& status) {
  const StreamSpec& spec = m_options.streams[request->stream];
  const bool not_sent = GetErrorCode(status) == ErrorCode::kNotReady;
  m_addresses.MarkFailed(submission.address);
  ++CountsOfSecond(*request).failed_connections;
  if (request->measured) {
    ++m_report.streams[request->stream].measured.counts.failed_connections;
    ++m_report.total.counts.failed_connections;
  }
  // A request whose connection was lost may have run and is resent only once.
  // One that was not sent may be sent to further addresses.
  const bool allowed =
      not_sent ||
      (!submission.may_have_run && (!spec.is_order || m_options.resend_orders));
  const bool in_time =
      m_loop.Now().count() < (request->intended + spec.deadline).count();
  const auto address = m_addresses.NextAddress(submission.address);
  if (allowed && in_time && address &&
      submission.send_count < kMaxSendsPerSubmission) {
    ++CountsOfSecond(*request).resent;
    if (request->measured) {
      ++m_report.streams[request->stream].measured.counts.resent;
      ++m_report.total.counts.resent;
    }
    SendSubmission(request,
                   {*address, submission.request_id, submission.send_count + 1,
                    submission.may_have_run || !not_sent});
    return;
  }
  RequestResult result;
  result.error = not_sent ? "connection_refused" : "connection_lost";
  result.outcome = not_sent && !submission.may_have_run ? "not_run" : "unknown";
  FinishSubmission(request, submission, result);
}

void LoadRunner::FinishSubmission(const std::shared_ptr<Request>& request,
                                  const Submission& submission,
                                  RequestResult result) {
  if (!request->key.empty() && m_order_log.is_open()) {
    request->submissions.push_back(
        {{"address", submission.address},
         {"request_id", submission.request_id},
         {"sends", submission.send_count},
         {"result", std::string(ToString(result.kind))},
         {"error", result.error},
         {"outcome", result.outcome}});
  }
  if (!request->best_result ||
      ResultRank(result) < ResultRank(*request->best_result)) {
    request->best_result = std::move(result);
  }
  --request->open_submissions;
  const bool is_final = request->best_result->kind == ResultKind::kComplete;
  if (!request->counted && (is_final || request->open_submissions == 0)) {
    request->counted = true;
    CountResult(*request, *request->best_result);
  }
  if (request->open_submissions == 0) {
    WriteOrderLog(*request);
    --m_in_flight;
    FinishIfIdle();
  }
}

ResultCounts& LoadRunner::CountsOfSecond(const Request& request) {
  auto& seconds = m_report.streams[request.stream].seconds;
  if (seconds.size() <= request.second) {
    seconds.resize(request.second + 1);
  }
  return seconds[request.second].counts;
}

void LoadRunner::CountResult(Request& request, const RequestResult& result) {
  StreamReport& stream = m_report.streams[request.stream];
  const Millis latency = m_loop.Now() - request.intended;
  const Millis deadline = stream.spec.deadline;
  CountsOfSecond(request).Add(result, latency.count() <= deadline.count());
  if (result.kind == ResultKind::kComplete ||
      result.kind == ResultKind::kPartial) {
    stream.seconds[request.second].latencies.push_back(
        static_cast<float>(latency.count()));
  }
  if (request.measured) {
    stream.measured.Add(result, latency, deadline);
    m_report.total.Add(result, latency, deadline);
  }
}

void LoadRunner::WriteOrderLog(const Request& request) {
  if (request.key.empty() || !m_order_log.is_open()) {
    return;
  }
  const StreamSpec& spec = m_options.streams[request.stream];
  const nlohmann::json line = {
      {"key", request.key},
      {"class", spec.class_name},
      {"tenant", spec.tenant},
      {"payload", request.payload},
      {"issued_at_ms", request.issued_at_ms},
      {"result", std::string(ToString(request.best_result->kind))},
      {"outcome", request.best_result->outcome},
      {"sends", request.submissions}};
  m_order_log << line.dump(-1, ' ', false,
                           nlohmann::json::error_handler_t::replace)
              << '\n';
}

void LoadRunner::FinishIfIdle() {
  if (m_arrivals_ended && m_in_flight == 0 && m_done) {
    m_loop.Post(std::exchange(m_done, nullptr));
  }
}

RunReport LoadRunner::TakeReport() {
  const double measured =
      (m_arrivals_end - m_start - m_options.warm_up).count();
  m_report.measured_duration = Millis(std::max(0.0, measured));
  return std::move(m_report);
}

}  // namespace tanagervane
