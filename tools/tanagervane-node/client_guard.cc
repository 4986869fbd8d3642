#include "tools/tanagervane-node/client_guard.h"

#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr size_t kBytesPerMegabyte = 1 << 20;

/// Connections may hold the machine's memory divided by this. The rest is left
/// to the program, to the configuration and to what the allocator cannot reuse.
constexpr size_t kConnectionMemoryDivisor = 4;

constexpr Millis kLogInterval{1000};

/// What a field takes beside its text.
constexpr size_t kFieldBytes = sizeof(HttpField);

}  // namespace

bool AnnouncesBody(const HttpFields& fields) {
  const std::string* length = fields.Find("Content-Length");
  return fields.Find("Transfer-Encoding") != nullptr ||
         (length != nullptr && *length != "0");
}

size_t ConnectionMemory(size_t memory_mb) {
  return memory_mb * kBytesPerMegabyte / kConnectionMemoryDivisor;
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
