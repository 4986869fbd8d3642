#include "tools/tanagervane-node/client_guard.h"

#include <utility>

#include "platform/caller_codec.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr size_t kBytesPerMegabyte = 1 << 20;

/// Connections may hold the machine's memory divided by this. The rest is left
/// to the program, to the configuration and to what the allocator cannot reuse.
constexpr size_t kConnectionMemoryDivisor = 4;

constexpr Millis kLogInterval{1000};

/// As for requests that are read in full before a configuration is known.
constexpr Millis kNoConfigRetryAfter{50};

/// What a field takes beside its text.
constexpr size_t kFieldBytes = sizeof(HttpField);

bool AnnouncesBody(const HttpFields& fields) {
  const std::string* length = fields.Find("Content-Length");
  return fields.Find("Transfer-Encoding") != nullptr ||
         (length != nullptr && *length != "0");
}

}  // namespace

size_t ConnectionMemory(size_t memory_mb) {
  return memory_mb * kBytesPerMegabyte / kConnectionMemoryDivisor;
}

std::optional<HttpResponseMessage> AnswerWithoutRoute(
    const HttpRequestMessage& header,
    const ServingPlan* plan,
    RequestLog& log) {
  const std::string* host = header.fields.Find("Host");
  if (host == nullptr ||
      (plan != nullptr && plan->HasRoute(*host, header.target))) {
    return std::nullopt;
  }
  const absl::StatusOr<CallerRequest> request = DecodeCallerRequest(header);
  if (!request.ok()) {
    return std::nullopt;
  }
  FinalAnswer answer;
  answer.kind =
      plan != nullptr ? AnswerKind::kUnknownRoute : AnswerKind::kRefused;
  answer.reason =
      plan != nullptr ? AnswerReason::kNone : AnswerReason::kNoConfig;
  answer.retry_after = kNoConfigRetryAfter;
  RequestReport report;
  report.request = &*request;
  report.config_version = plan != nullptr ? plan->version() : 0;
  report.kind = answer.kind;
  report.reason = answer.reason;
  report.time_left_on_arrival = request->time_left.value_or(Millis(0));
  log.OnFinished(report);
  return EncodeAnswer(answer, request->id);
}

std::optional<HttpResponseMessage> CheckServiceHeader(
    const HttpRequestMessage& header,
    bool is_known_path) {
  HttpResponseMessage response;
  if (!is_known_path) {
    response.status = 404;
    return response;
  }
  if (AnnouncesBody(header.fields)) {
    response.status = 413;
    return response;
  }
  return std::nullopt;
}

std::shared_ptr<const void> ChargeReply(MemoryAccount& memory,
                                        const ReplicaReply& reply) {
  size_t bytes = reply.body.capacity() + reply.signature.capacity();
  for (const HttpField& field : reply.fields.all()) {
    bytes += kFieldBytes + field.name.size() + field.value.size();
  }
  auto charge = std::make_shared<MemoryCharge>(&memory, 0, MemoryChargeHooks{});
  charge->Set(MemoryUse::kReplicas, bytes);
  return charge;
}

void MemoryWatch::Check(const MemoryAccount& memory, Millis now) {
  const uint64_t reclaimed = memory.reclaimed();
  if (reclaimed == m_logged || now < m_next_log) {
    return;
  }
  LogEvent("memory_reclaimed")
      .Field("connections", reclaimed - m_logged)
      .Field("held_bytes", memory.held())
      .Field("running_bytes", memory.held(MemoryUse::kRunning))
      .Field("replica_bytes", memory.held(MemoryUse::kReplicas))
      .Field("limit_bytes", memory.limit());
  m_logged = reclaimed;
  m_next_log = now + kLogInterval;
}

}  // namespace tanagervane
