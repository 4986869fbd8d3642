// Tests of the gossip about evacuations.

#include "tanagervane/fleet/evacuation_gossip.h"

#include <gtest/gtest.h>

#include <string>

#include "tanagervane/fleet/gossip_codec.h"
#include "tanagervane/fleet/replica_gossip.h"

namespace tanagervane {
namespace {

EvacuationGossip MakeMessage() {
  return {.sender = "front-a-1",
          .revisions = {{900, Millis(250)}, {7, Millis(0)}}};
}

TEST(EvacuationGossipTest, MessageIsDecoded) {
  const std::string bytes = EncodeEvacuationGossip(MakeMessage());
  ASSERT_TRUE(IsEvacuationGossip(bytes));
  const auto decoded = DecodeEvacuationGossip(bytes);
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->sender, "front-a-1");
  EXPECT_EQ(decoded->revisions, MakeMessage().revisions);
}

// Guards against parts of a damaged message that are taken for a whole one.
TEST(EvacuationGossipTest, DamagedMessagesAreRejected) {
  const std::string bytes = EncodeEvacuationGossip(MakeMessage());
  for (size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeEvacuationGossip(bytes.substr(0, size)).ok()) << size;
  }
  EXPECT_FALSE(DecodeEvacuationGossip(bytes + "x").ok());
}

// Guards against VMs of an earlier release that take the message for one that
// they know.
TEST(EvacuationGossipTest, OtherDecodersRejectTheMessage) {
  const std::string bytes = EncodeEvacuationGossip(MakeMessage());
  EXPECT_FALSE(IsRevisionGossip(bytes));
  EXPECT_FALSE(IsReplicaGossip(bytes));
  EXPECT_FALSE(DecodeGossip(bytes).ok());
}

}  // namespace
}  // namespace tanagervane
