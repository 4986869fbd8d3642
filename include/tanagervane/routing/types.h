// Types shared by replica choice, limits, hedging and retries.

#ifndef TANAGERVANE_ROUTING_TYPES_H_
#define TANAGERVANE_ROUTING_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Names a backend server; the platform's VM id.
using ReplicaId = std::string;

/// Why an attempt failed.
enum class FailureKind {
  kShed,            ///< The server refused it before running: overloaded.
  kDraining,        ///< The server refused it before running: leaving.
  kVersionGone,     ///< The server does not hold the index version.
  kConnectFailed,   ///< Never sent.
  kConnectionLost,  ///< The connection broke while the attempt was in flight.
  kNewConnectionLost,  ///< The same, before any reply on the connection.
  kTimedOut,           ///< No reply within the attempt's deadline.
  kServerError,        ///< The server ran it and reports an error.
  kCorruptReply,  ///< The reply does not match the attempt or its checksum.
};

/// True when the failure proves that the attempt did not run.
constexpr bool ProvesNotRun(FailureKind kind) {
  return kind == FailureKind::kShed || kind == FailureKind::kDraining ||
         kind == FailureKind::kVersionGone ||
         kind == FailureKind::kConnectFailed;
}

/// The load that a backend server reports of itself.
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

/// What a backend server's status call returned.
struct ReplicaStatus {
  uint64_t incarnation = 0;
  ServerState state = ServerState::kStarting;
  ReportedLoad load;
  std::vector<HeldVersion> versions;
};

/// Static facts about a backend server, from the platform's VM list.
struct ReplicaInfo {
  ReplicaId id;
  std::string address;  ///< "ip:port".
  std::string data_centre;
  std::string index;
  uint32_t slots = 1;
};

enum class ReplicaPolicy { kTier, kRandom, kRoundRobin, kLeastInFlight };

/// Switches for experiments; the defaults are the product.
struct PolicyOptions {
  ReplicaPolicy replica_policy = ReplicaPolicy::kTier;
  bool hedging = true;
  bool admission = true;
  bool reported_load = true;
  bool slow_start = true;
  bool avoidance = true;
  bool quarantine = true;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_ROUTING_TYPES_H_
