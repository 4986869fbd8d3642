// A replica table with helpers that report events to it.

#ifndef UNITTESTS_ROUTING_TABLE_FIXTURE_H_
#define UNITTESTS_ROUTING_TABLE_FIXTURE_H_

#include <string>

#include "tanagervane/routing/replica_table.h"

namespace tanagervane {

struct ReplicaTableFixture {
  explicit ReplicaTableFixture(PolicyOptions options = {}) : table(options) {}

  /// Adds a replica that has served shard 0 of version 1 since 10 s before time
  /// zero, and gives it 20 replies of `latency` that end at time zero.
  void AddReplica(const std::string& id,
                  Millis latency,
                  std::string data_centre = "a") {
    table.Upsert({id, "", data_centre, "index", 4}, Millis(-10000));
    ReportStatus(id, 1, Millis(-10000));
    RunAttempts(id, 20, latency, latency * -20);
  }

  bool ReportStatus(const std::string& id,
                    uint64_t incarnation,
                    Millis now,
                    ServerState state = ServerState::kServing,
                    ReportedLoad load = {}) {
    return table.OnStatus(id, {incarnation, state, load, {{"index", 1, 0, 1}}},
                          now);
  }

  uint64_t RecordSent(const std::string& id, Millis now) {
    table.OnSent(id, ++last_attempt_id, now);
    return last_attempt_id;
  }

  /// Runs `count` attempts one after another. Returns the time after the last.
  Millis RunAttempts(const std::string& id,
                     int count,
                     Millis latency,
                     Millis now,
                     std::optional<ReportedLoad> load = std::nullopt) {
    for (; count > 0; --count, now += latency) {
      table.OnReply(id, RecordSent(id, now), load, now + latency);
    }
    return now;
  }

  bool IsEligible(const std::string& id, Millis now) const {
    return table.IsEligible(*table.Find(id), now);
  }

  ReplicaTable table;
  uint64_t last_attempt_id = 0;
};

}  // namespace tanagervane

#endif  // UNITTESTS_ROUTING_TABLE_FIXTURE_H_
