// Decisions about callers' requests before they are read in full, and the
// memory that connections may hold.

#ifndef TANAGERVANE_TOOLS_TANAGERVANE_NODE_CLIENT_GUARD_H_
#define TANAGERVANE_TOOLS_TANAGERVANE_NODE_CLIENT_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "tanagervane/http/message.h"
#include "tanagervane/net/memory_account.h"
#include "tanagervane/serving/exchange.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Returns the bytes that all connections together may hold on a machine with
/// `memory_mb` MiB.
size_t ConnectionMemory(size_t memory_mb);

/// Returns whether the header announces a body.
bool AnnouncesBody(const HttpFields& fields);

/// Returns the refusal of a request to a service listener: 404 for an unknown
/// path, 413 for a body, none otherwise.
std::optional<HttpResponseMessage> CheckServiceHeader(
    const HttpRequestMessage& header,
    bool is_known_path);

/// Charges a replica's reply to `memory` until the result is destroyed.
std::shared_ptr<const void> ChargeReply(MemoryAccount& memory,
                                        const ReplicaReply& reply);

/// Logs when connections gave up memory, at most once in an interval.
class MemoryWatch {
 public:
  void Check(const MemoryAccount& memory, Millis now);

 private:
  uint64_t m_logged = 0;
  Millis m_next_log{0};
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_TANAGERVANE_NODE_CLIENT_GUARD_H_
