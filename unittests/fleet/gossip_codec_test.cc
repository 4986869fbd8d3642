// Tests of the messages between VMs.

#include "tanagervane/fleet/gossip_codec.h"

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"

namespace tanagervane {
namespace {

TEST(GossipCodecTest, MessagesComeBackAsSent) {
  GossipMessage message;
  message.sender = "vm-1";
  message.config_change = 7;
  message.replica_change = 99;
  message.peers = {
      {"vm-1", 5, 6, PeerState::kLeaving, "1.1.1.1:1", "1.1.1.1:2", "a", 8}};
  message.quarantine = {{~uint64_t{0}, {"r@1"}, Millis(12.5)}};
  const auto decoded = DecodeGossip(EncodeGossip(message));
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->sender, message.sender);
  EXPECT_EQ(decoded->config_change, 7u);
  EXPECT_EQ(decoded->replica_change, 99u);
  EXPECT_EQ(decoded->peers, message.peers);
  ASSERT_EQ(decoded->quarantine.size(), 1u);
  EXPECT_EQ(decoded->quarantine[0].fingerprint, ~uint64_t{0});
  EXPECT_EQ(decoded->quarantine[0].lost_replicas[0], "r@1");
}

// Guards against bytes of another program that end this one.
RC_GTEST_PROP(GossipCodecProperty, DamagedMessagesAreRejectedOrRead, ()) {
  GossipMessage message;
  message.sender = "vm-1";
  message.peers = {
      {"vm-1", 5, 6, PeerState::kServing, "1.1.1.1:1", "1.1.1.1:2", "a", 8}};
  message.quarantine = {{1, {"r@1"}, Millis(1)}};
  std::string text = EncodeGossip(message);
  const auto at = *rc::gen::inRange<size_t>(0, text.size());
  text[at] = *rc::gen::arbitrary<char>();
  const auto decoded = DecodeGossip(text);
  RC_ASSERT(decoded.ok() || !decoded.status().message().empty());
}

}  // namespace
}  // namespace tanagervane
