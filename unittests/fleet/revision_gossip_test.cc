// Tests of the gossip about changes of the store.

#include "tanagervane/fleet/revision_gossip.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "tanagervane/fleet/gossip_codec.h"
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

// Guards against a full message that exceeds the bound of control traffic.
TEST(RevisionGossipTest, FullMessageIsSmall) {
  constexpr size_t kMaxMessageBytes = 240;
  RevisionGossip message;
  message.sender = std::string(32, 'x');
  for (size_t i = 0; i < kMaxGossipedRevisions; ++i) {
    message.config.push_back({uint64_t{1} << 53, Millis(2999)});
  }
  message.replicas = message.config;
  EXPECT_LE(EncodeRevisionGossip(message).size(), kMaxMessageBytes);
}

// Guards against datagrams of a stranger that end the process.
RC_GTEST_PROP(RevisionGossipProperty,
              NoiseIsDecodedOrRejected,
              (const std::string& noise)) {
  const auto decoded = DecodeRevisionGossip("V" + noise);
  RC_ASSERT(!decoded.ok() ||
            decoded->config.size() + decoded->replicas.size() <= noise.size());
}

}  // namespace
}  // namespace tanagervane
