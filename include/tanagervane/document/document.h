// The document in which a team configures its service on the query tier.

#ifndef TANAGERVANE_DOCUMENT_DOCUMENT_H_
#define TANAGERVANE_DOCUMENT_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Which shards a request is sent to, and when its answer is complete.
enum class RequestShape {
  kEveryShard,    ///< One replica of every shard; waits for all shards.
  kFirstMatches,  ///< Every shard; completes once enough rows have arrived.
  kOneServer,     ///< One replica of an index that has a single shard.
};

/// Scheduling priority: urgent classes are admitted before patient ones, and
/// patient classes may use only a fraction of the concurrency limit.
enum class Urgency { kUrgent, kPatient };

/// An index and the limits of the replicas that hold it.
struct IndexSpec {
  std::string name;
  uint32_t shards = 1;
  /// Replicas of each shard.
  uint32_t replicas = 1;
  /// Requests that a replica runs concurrently.
  uint32_t slots = 1;
  /// Connections that a replica accepts from all entries together.
  uint32_t max_connections = 1;
  /// Time to establish a connection.
  Millis connect_time;
  /// Whether the replicas report their load.
  bool reports_load = true;

  bool operator==(const IndexSpec&) const = default;
};

/// A class of requests: the index, the shape and the timeout they share.
struct ClassSpec {
  std::string name;
  std::string index;
  RequestShape shape = RequestShape::kEveryShard;
  Urgency urgency = Urgency::kPatient;
  /// The upper bound on the duration of a request; a caller may ask for a
  /// shorter one.
  Millis timeout;
  /// Number of rows that completes a kFirstMatches request.
  uint32_t matches = 0;
  /// Fraction of the shards, in [0, 1], below which a partial answer is
  /// refused.
  double min_coverage = 0;
  /// Whether a request may be executed more than once.
  bool idempotent = true;

  bool operator==(const ClassSpec&) const = default;
};

/// A tenant and its weight in fair queueing, relative to the other tenants.
struct TenantShare {
  std::string name;
  uint32_t share = 1;

  bool operator==(const TenantShare&) const = default;
};

/// The parsed and validated document.
struct Document {
  std::string team;
  /// Number of entry VMs that serve the team at the same time.
  uint32_t entries = 4;
  std::vector<IndexSpec> indexes;
  std::vector<ClassSpec> classes;
  std::vector<TenantShare> tenants;

  const IndexSpec* FindIndex(std::string_view name) const;
  const ClassSpec* FindClass(std::string_view name) const;
  const TenantShare* FindTenant(std::string_view name) const;

  bool operator==(const Document&) const = default;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_DOCUMENT_DOCUMENT_H_
