// LoadRunner.

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
constexpr size_t kMaxWrongLogged = 20;
// Refused connections are no attempts, but must not be tried without end.
constexpr int kMaxSends = 5;

// Lower is better: an order that was sent twice ended as its best send.
int RankOf(const RequestResult& result) {
  return static_cast<int>(result.kind);
}

}  // namespace

Millis LoadRunner::Stream::Gap(double rate) {
  return Millis(-std::log(1 - random.Unit()) * 1000.0 / rate);
}

/// One sending of a request to one entry, and those that replace it after
/// connection errors.
struct LoadRunner::Send {
  std::string address;
  std::string request_id;
  int sends = 1;
  bool may_have_run = false;
};

struct LoadRunner::Call {
  size_t stream = 0;
  Millis intended;
  size_t second = 0;
  bool measured = false;
  std::string payload;
  /// Orders only.
  std::string key;
  int64_t issued_at_ms = 0;
  /// Sends that have not ended.
  int open = 0;
  bool accounted = false;
  std::optional<RequestResult> best;
  /// What the record tells of each send.
  nlohmann::json sends = nlohmann::json::array();
};

LoadRunner::LoadRunner(EventLoop& loop,
                       SendQueue& queue,
                       AddressBook& addresses,
                       LoadOptions options,
                       RowFunction rows,
                       std::ofstream& record)
    : m_loop(loop),
      m_queue(queue),
      m_addresses(addresses),
      m_options(std::move(options)),
      m_rows(std::move(rows)),
      m_record(record),
      m_timer([this] { OnArrivalTimer(); }),
      m_run_id(
          fmt::format("{:x}-{:x}", EventLoop::WallMillis(), m_options.seed)) {
  for (size_t i = 0; i < m_options.streams.size(); ++i) {
    // A source of its own keeps a stream's arrivals the same when another
    // stream is added or changed.
    m_streams.push_back({Random(m_options.seed * 1000003 + i), Millis()});
    m_report.streams.push_back({m_options.streams[i], {}, {}});
  }
  m_report.warm_up = m_options.warm_up;
}

void LoadRunner::Start(std::function<void()> done) {
  m_done = std::move(done);
  m_queue.WarmUp(m_addresses.All(), [this] { StartArrivals(); });
}

void LoadRunner::StartArrivals() {
  m_start = m_loop.Now() + kStartDelay;
  m_end = m_start + m_options.warm_up + m_options.duration;
  for (size_t i = 0; i < m_streams.size(); ++i) {
    m_streams[i].next_arrival =
        m_start + m_streams[i].Gap(m_options.streams[i].rate);
  }
  ScheduleNext();
}

void LoadRunner::StopArrivals() {
  if (m_arrivals_ended || !m_done) {
    return;
  }
  m_end = Millis(std::min(m_end.count(), m_loop.Now().count()));
  ScheduleNext();
}

void LoadRunner::ScheduleNext() {
  double next = m_end.count();
  for (const Stream& stream : m_streams) {
    next = std::min(next, stream.next_arrival.count());
  }
  if (next >= m_end.count()) {
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
  // Read once, so that a generator that is late still serves its connections.
  const double now = std::min(m_loop.Now().count(), m_end.count());
  for (size_t i = 0; i < m_streams.size(); ++i) {
    Stream& stream = m_streams[i];
    while (stream.next_arrival.count() <= now) {
      Arrive(i, stream.next_arrival);
      stream.next_arrival += stream.Gap(m_options.streams[i].rate);
    }
  }
  ScheduleNext();
}

void LoadRunner::Arrive(size_t stream, Millis intended) {
  const auto call = std::make_shared<Call>();
  const double since_start = (intended - m_start).count();
  call->stream = stream;
  call->intended = intended;
  call->second = static_cast<size_t>(std::max(0.0, since_start) / 1000);
  call->measured = since_start >= m_options.warm_up.count();
  const uint64_t n =
      m_streams[stream].random.Below(m_options.distinct_payloads);
  const std::string id = fmt::format("{}-{}", m_run_id, m_next_id++);
  const bool order = m_options.streams[stream].order;
  if (order) {
    call->key = id;
    call->issued_at_ms = EventLoop::WallMillis();
    call->payload = FillPattern(m_options.order_payload, "{key}", id);
  } else {
    call->payload = FillPattern(m_options.payload, "{n}", std::to_string(n));
  }
  ++m_in_flight;
  const std::string first = m_addresses.Pick().value_or("");
  const bool twice = order && m_options.duplicate_orders;
  call->open = twice ? 2 : 1;
  SendTo(call, {.address = first, .request_id = id + (twice ? "-1" : "")});
  if (twice) {
    SendTo(call, {.address = m_addresses.Pick(first).value_or(""),
                  .request_id = id + "-2"});
  }
}

std::string LoadRunner::BodyOf(const Call& call, const Send& send) const {
  const StreamSpec& spec = m_options.streams[call.stream];
  const double left = (call.intended + spec.deadline - m_loop.Now()).count();
  nlohmann::json body = {
      {"request_id", send.request_id},
      {"class", spec.class_name},
      {"tenant", spec.tenant},
      {"deadline_ms", std::max<int64_t>(1, static_cast<int64_t>(left))},
      {"payload", call.payload}};
  if (spec.order) {
    body["idempotency_key"] = call.key;
    body["issued_at_ms"] = call.issued_at_ms;
  }
  return DumpJson(body);
}

void LoadRunner::SendTo(const std::shared_ptr<Call>& call, const Send& send) {
  const StreamSpec& spec = m_options.streams[call->stream];
  RequestResult failure;
  failure.outcome = "not_run";
  if (send.address.empty()) {
    failure.error = kNoAddress;
    EndSend(call, send, failure);
    return;
  }
  if (m_in_flight > m_options.max_in_flight) {
    failure.error = kGeneratorLimit;
    EndSend(call, send, failure);
    return;
  }
  m_queue.Send(
      {.address = send.address,
       .path = spec.order ? "/v1/order" : "/v1/query",
       .body =
           [this, call, send] {
             if (call->measured && send.sends == 1) {
               m_report.send_lag.Record(m_loop.Now() - call->intended);
             }
             return BodyOf(*call, send);
           },
       .give_up_at = call->intended + spec.deadline + m_options.grace,
       .done =
           [this, call, send](const absl::StatusOr<HttpResponse>& response) {
             OnResponse(call, send, response);
           }});
}

void LoadRunner::OnResponse(const std::shared_ptr<Call>& call,
                            const Send& send,
                            const absl::StatusOr<HttpResponse>& response) {
  if (!response.ok()) {
    const auto code = GetErrorCode(response.status());
    if (code == ErrorCode::kOverloaded) {
      RequestResult unsent;
      unsent.error = kGeneratorLimit;
      unsent.outcome = send.may_have_run ? "unknown" : "not_run";
      EndSend(call, send, unsent);
      return;
    }
    if (code != ErrorCode::kDeadlineExceeded) {
      OnConnectionError(call, send, response.status());
      return;
    }
    RequestResult result;
    result.kind = ResultKind::kTimedOut;
    result.error = "no_answer";
    result.outcome = "unknown";
    EndSend(call, send, result);
    return;
  }
  const StreamSpec& spec = m_options.streams[call->stream];
  RequestResult result = ReadAnswer(
      *response, {send.request_id, spec.class_name, call->payload}, m_rows);
  if (!result.wrong.empty() && m_wrong_logged++ < kMaxWrongLogged) {
    LogEvent("wrong_answer")
        .Field("request_id", send.request_id)
        .Field("address", send.address)
        .Field("class", spec.class_name)
        .Field("detail", result.wrong);
  }
  EndSend(call, send, std::move(result));
}

void LoadRunner::OnConnectionError(const std::shared_ptr<Call>& call,
                                   const Send& send,
                                   const absl::Status& status) {
  const StreamSpec& spec = m_options.streams[call->stream];
  const bool not_sent = GetErrorCode(status) == ErrorCode::kNotReady;
  m_addresses.MarkFailed(send.address);
  ++SecondCounts(*call).failed_connections;
  if (call->measured) {
    ++m_report.streams[call->stream].measured.counts.failed_connections;
    ++m_report.total.counts.failed_connections;
  }
  // A request whose connection was lost is sent again once; one that never
  // left may be sent to each further address.
  const bool allowed = not_sent || (!send.may_have_run &&
                                    (!spec.order || m_options.resend_orders));
  const bool in_time =
      m_loop.Now().count() < (call->intended + spec.deadline).count();
  const auto address = m_addresses.Pick(send.address);
  if (allowed && in_time && address && send.sends < kMaxSends) {
    ++SecondCounts(*call).resent;
    if (call->measured) {
      ++m_report.streams[call->stream].measured.counts.resent;
      ++m_report.total.counts.resent;
    }
    SendTo(call, {*address, send.request_id, send.sends + 1,
                  send.may_have_run || !not_sent});
    return;
  }
  RequestResult result;
  result.error = not_sent ? "connection_refused" : "connection_lost";
  result.outcome = not_sent && !send.may_have_run ? "not_run" : "unknown";
  EndSend(call, send, result);
}

void LoadRunner::EndSend(const std::shared_ptr<Call>& call,
                         const Send& send,
                         RequestResult result) {
  if (!call->key.empty() && m_record.is_open()) {
    call->sends.push_back({{"address", send.address},
                           {"request_id", send.request_id},
                           {"sends", send.sends},
                           {"result", std::string(ToString(result.kind))},
                           {"error", result.error},
                           {"outcome", result.outcome}});
  }
  if (!call->best || RankOf(result) < RankOf(*call->best)) {
    call->best = std::move(result);
  }
  --call->open;
  const bool decided = call->best->kind == ResultKind::kComplete;
  if (!call->accounted && (decided || call->open == 0)) {
    call->accounted = true;
    Account(*call, *call->best);
  }
  if (call->open == 0) {
    WriteRecord(*call);
    --m_in_flight;
    FinishIfIdle();
  }
}

Counts& LoadRunner::SecondCounts(const Call& call) {
  auto& seconds = m_report.streams[call.stream].seconds;
  if (seconds.size() <= call.second) {
    seconds.resize(call.second + 1);
  }
  return seconds[call.second].counts;
}

void LoadRunner::Account(Call& call, const RequestResult& result) {
  StreamReport& stream = m_report.streams[call.stream];
  const Millis latency = m_loop.Now() - call.intended;
  const Millis deadline = stream.spec.deadline;
  SecondCounts(call).Add(result, latency.count() <= deadline.count());
  if (result.kind == ResultKind::kComplete ||
      result.kind == ResultKind::kPartial) {
    stream.seconds[call.second].latencies.push_back(
        static_cast<float>(latency.count()));
  }
  if (call.measured) {
    stream.measured.Add(result, latency, deadline);
    m_report.total.Add(result, latency, deadline);
  }
}

void LoadRunner::WriteRecord(const Call& call) {
  if (call.key.empty() || !m_record.is_open()) {
    return;
  }
  const StreamSpec& spec = m_options.streams[call.stream];
  const nlohmann::json line = {
      {"key", call.key},
      {"class", spec.class_name},
      {"tenant", spec.tenant},
      {"payload", call.payload},
      {"issued_at_ms", call.issued_at_ms},
      {"result", std::string(ToString(call.best->kind))},
      {"outcome", call.best->outcome},
      {"sends", call.sends}};
  m_record << line.dump(-1, ' ', false,
                        nlohmann::json::error_handler_t::replace)
           << '\n';
}

void LoadRunner::FinishIfIdle() {
  if (m_arrivals_ended && m_in_flight == 0 && m_done) {
    m_loop.Post(std::exchange(m_done, nullptr));
  }
}

RunReport LoadRunner::TakeReport() {
  const double measured = (m_end - m_start - m_options.warm_up).count();
  m_report.measured_time = Millis(std::max(0.0, measured));
  return std::move(m_report);
}

}  // namespace tanagervane
