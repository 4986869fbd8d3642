// A ReplicaSet whose hooks record what they are told.

#ifndef TANAGERVANE_UNITTESTS_SERVING_REPLICA_SET_FIXTURE_H_
#define TANAGERVANE_UNITTESTS_SERVING_REPLICA_SET_FIXTURE_H_

#include <string>
#include <string_view>
#include <vector>

#include "gtest/gtest.h"
#include "tanagervane/serving/replica_set.h"

namespace tanagervane {

class ReplicaSetTest : public testing::Test {
 protected:
  static ReplicaRegistration MakeRegistration(const std::string& id,
                                              int64_t started = 1) {
    ReplicaRegistration registration;
    registration.id = id;
    registration.started_at_ms = started;
    registration.service = "s";
    registration.address = "127.0.0.1:1";
    return registration;
  }

  size_t ReplicasInUse() { return m_set.GetService("s").replicas.size(); }

  std::vector<std::string> m_retired;
  std::vector<std::string> m_limit_sources;
  ReplicaSet m_set{{.on_retired =
                        [this](ServingReplica& replica, std::string_view) {
                          m_retired.push_back(replica.key);
                        },
                    .on_added = [](ServingReplica&) {},
                    .on_rate_limit_changed =
                        [this](const ServingReplica&, std::string_view source) {
                          m_limit_sources.emplace_back(source);
                        },
                    .on_backoff = [](const ServingReplica&, Millis) {}}};
};

}  // namespace tanagervane

#endif  // TANAGERVANE_UNITTESTS_SERVING_REPLICA_SET_FIXTURE_H_
