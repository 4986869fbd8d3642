// Tests of the gossip about changes of the store.

#include "tanagervane/fleet/revision_gossip.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "tanagervane/fleet/gossip_codec.h"
#include "tanagervane/fleet/gossip_rounds.h"
#include "tanagervane/fleet/replica_gossip.h"

namespace tanagervane {
namespace {

RevisionGossip MakeMessage() {
  return {.sender = "front-a-1",
          .config = {{7, Millis(250)}},
          .replicas = {{uint64_t{1} << 50, Millis(0)}, {900, Millis(2999)}}};
}

TEST(RevisionGossipTest, MessageIsDecoded) {
  const std::string bytes = EncodeRevisionGossip(MakeMessage());
  ASSERT_TRUE(IsRevisionGossip(bytes));
  EXPECT_FALSE(IsReplicaGossip(bytes));
  const auto decoded = DecodeRevisionGossip(bytes);
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->sender, "front-a-1");
  EXPECT_EQ(decoded->config, MakeMessage().config);
  EXPECT_EQ(decoded->replicas, MakeMessage().replicas);
}

// Guards against revisions of an era that VMs of the previous release compare
// with their own: they drop messages with another first byte.
TEST(RevisionGossipTest, EraHasAMessageOfItsOwn) {
  RevisionGossip message = MakeMessage();
  EXPECT_EQ(EncodeRevisionGossip(message).front(), 'V');
  message.era = 3;
  message.config_revision = 7;
  message.replica_revision = 901;
  const std::string bytes = EncodeRevisionGossip(message);
  EXPECT_EQ(bytes.front(), 'E');
  ASSERT_TRUE(IsRevisionGossip(bytes));
  EXPECT_FALSE(IsReplicaGossip(bytes));
  EXPECT_FALSE(DecodeGossip(bytes).ok());
  const auto decoded = DecodeRevisionGossip(bytes);
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->era, 3u);
  EXPECT_EQ(decoded->config_revision, 7u);
  EXPECT_EQ(decoded->replica_revision, 901u);
  EXPECT_EQ(decoded->config, MakeMessage().config);
  EXPECT_EQ(decoded->replicas, MakeMessage().replicas);
  for (size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeRevisionGossip(bytes.substr(0, size)).ok()) << size;
  }
  // The era is passed on also while nothing changes.
  RevisionGossip era_only;
  era_only.era = 1;
  EXPECT_FALSE(era_only.empty());
}

// Guards against parts of a damaged message that are taken for a whole one.
TEST(RevisionGossipTest, DamagedMessagesAreRejected) {
  const std::string bytes = EncodeRevisionGossip(MakeMessage());
  for (size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeRevisionGossip(bytes.substr(0, size)).ok()) << size;
  }
  EXPECT_FALSE(DecodeRevisionGossip(bytes + "x").ok());
  EXPECT_FALSE(DecodeRevisionGossip(EncodeReplicaGossip({})).ok());
  EXPECT_FALSE(DecodeGossip(bytes).ok());
}

// Guards against reports that together exceed the bound of control traffic, and
// against one of them that is never sent.
TEST(RevisionGossipTest, ReportsKeepTheTrafficBound) {
  RevisionGossip revisions;
  revisions.sender = std::string(32, 'x');
  revisions.config.assign(kMaxGossipedRevisions,
                          {uint64_t{1} << 53, Millis(2999)});
  revisions.replicas = revisions.config;
  revisions.era = uint64_t{1} << 20;
  revisions.config_revision = revisions.replica_revision = uint64_t{1} << 53;
  ReplicaGossip replicas;
  replicas.sender = revisions.sender;
  EXPECT_EQ(ChooseReports(replicas, revisions, 1).size(), 1u);
  replicas.leaving.resize(1);
  EXPECT_EQ(ChooseReports(replicas, revisions, 1).size(), 2u);
  replicas.leaving.resize(kMaxGossipedLeavingReplicas);
  for (const uint64_t round : {1, 2}) {
    const auto reports = ChooseReports(replicas, revisions, round);
    ASSERT_EQ(reports.size(), 1u);
    EXPECT_LE(reports[0].size(), kMaxReportBytes);
    EXPECT_EQ(IsReplicaGossip(reports[0]), round % 2 == 1) << round;
  }
}

// Guards against datagrams of a stranger that end the process.
RC_GTEST_PROP(RevisionGossipProperty,
              NoiseIsDecodedOrRejected,
              (const std::string& noise)) {
  const auto decoded = DecodeRevisionGossip("V" + noise);
  if (decoded.ok()) {
    RC_ASSERT(decoded->config.size() + decoded->replicas.size() <=
              noise.size());
  }
}

}  // namespace
}  // namespace tanagervane
