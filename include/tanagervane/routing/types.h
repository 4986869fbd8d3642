// Types shared by replica selection, concurrency limits, hedging and retries.

#ifndef TANAGERVANE_ROUTING_TYPES_H_
#define TANAGERVANE_ROUTING_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Identifies a backend server by the platform's VM id.
using ReplicaId = std::string;

/// Why an attempt failed.
enum class FailureKind {
  kShed,            ///< Rejected before execution: the server is overloaded.
  kDraining,        ///< Rejected before execution: the server is leaving.
  kVersionGone,     ///< The server does not hold the index version.
  kConnectFailed,   ///< Never sent.
  kConnectionLost,  ///< The connection broke while the attempt was in flight.
  kNewConnectionLost,  ///< kConnectionLost before any reply on the connection.
  kTimedOut,           ///< No reply within the attempt's deadline.
  kServerError,        ///< The server executed it and reports an error.
  kCorruptReply,  ///< The reply does not match the attempt or its checksum.
};

/// True when the failure proves that the attempt was not executed.
constexpr bool ProvesNotRun(FailureKind kind) {
  return kind == FailureKind::kShed || kind == FailureKind::kDraining ||
         kind == FailureKind::kVersionGone ||
         kind == FailureKind::kConnectFailed;
}

/// The load that a backend server reports about itself.
struct ReportedLoad {
  uint32_t in_flight = 0;
  uint32_t queued = 0;
};

/// An index version that a backend server holds.
struct HeldVersion {
  std::string index;
  uint64_t version = 0;
  uint32_t shard = 0;
  uint32_t shard_count = 0;

  bool operator==(const HeldVersion&) const = default;
};

enum class ServerState { kStarting, kServing, kDraining };

/// Reply of a backend server to a status call.
struct ReplicaStatus {
  uint64_t incarnation = 0;
  ServerState state = ServerState::kStarting;
  ReportedLoad load;
  std::vector<HeldVersion> versions;
};

/// Static properties of a backend server, from the platform's VM list.
struct ReplicaInfo {
  ReplicaId id;
  std::string address;  ///< "ip:port".
  std::string data_centre;
  std::string index;
  uint32_t slots = 1;  ///< Requests that it executes concurrently.
};

enum class ReplicaPolicy {
  kLowestExpectedWait,
  kRandom,
  kRoundRobin,
  kLeastInFlight
};

/// Switches that turn single mechanisms off for experiments. Production uses
/// the defaults.
struct PolicyOptions {
  ReplicaPolicy replica_policy = ReplicaPolicy::kLowestExpectedWait;
  bool hedging = true;
  bool admission = true;
  bool reported_load = true;
  bool slow_start = true;
  bool avoidance = true;
  bool quarantine = true;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_ROUTING_TYPES_H_
