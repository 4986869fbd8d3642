#include "tanagervane/fleet/replica_gossip.h"

#include <string>

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "tanagervane/fleet/gossip_codec.h"

namespace tanagervane {
namespace {

ReplicaGossip MakeMessage() {
  ReplicaGossip message;
  message.sender = "vm-1";
  message.leaving = {HashIncarnation("i-1@17"), 0, ~IncarnationHash{0}};
  return message;
}

TEST(ReplicaGossipTest, RoundTrip) {
  const std::string bytes = EncodeReplicaGossip(MakeMessage());
  EXPECT_TRUE(IsReplicaGossip(bytes));
  const auto decoded = DecodeReplicaGossip(bytes);
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->sender, "vm-1");
  EXPECT_EQ(decoded->leaving, MakeMessage().leaving);
}

// A message about members must not be taken for one about replicas, nor the
// other way round.
TEST(ReplicaGossipTest, KindsOfMessagesAreDistinct) {
  EXPECT_FALSE(IsReplicaGossip(EncodeGossip({})));
  EXPECT_FALSE(DecodeReplicaGossip(EncodeGossip({})).ok());
  EXPECT_FALSE(DecodeGossip(EncodeReplicaGossip(MakeMessage())).ok());
}

TEST(ReplicaGossipTest, TruncatedMessagesAreNotDecoded) {
  const std::string bytes = EncodeReplicaGossip(MakeMessage());
  for (size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeReplicaGossip(bytes.substr(0, size)).ok()) << size;
  }
  EXPECT_FALSE(DecodeReplicaGossip(bytes + "x").ok());
}

TEST(ReplicaGossipTest, LongestMessageFitsOnePacket) {
  ReplicaGossip message = MakeMessage();
  message.leaving.resize(kMaxGossipedLeavingReplicas);
  EXPECT_LE(EncodeReplicaGossip(message).size(), 1200u);
}

RC_GTEST_PROP(ReplicaGossipProperty,
              CorruptMessagesDoNotCrash,
              (const std::string& noise)) {
  const auto decoded = DecodeReplicaGossip("R" + noise);
  if (decoded.ok()) {
    RC_ASSERT(EncodeReplicaGossip(*decoded).size() <= noise.size() + 1);
  }
}

}  // namespace
}  // namespace tanagervane
