#include "tanagervane/fleet/gossip_codec.h"

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"

namespace tanagervane {
namespace {

TEST(GossipCodecTest, RoundTrip) {
  GossipMessage message;
  message.sender = "vm-1";
  message.config_revision = 7;
  message.replica_revision = 99;
  message.known_peers = 1;
  message.peers = {
      {"vm-1", 5, 6, PeerState::kLeaving, "1.1.1.1:1", "1.1.1.1:2", "a", 8},
      {"vm-2", ~uint64_t{0}, 0, PeerState::kServing, "", "", "", 0, false}};
  message.digests = {{DigestKey("vm-3", 1), 300}, {0, ~uint64_t{0}}};
  message.quarantine = {{~uint64_t{0}, {"r@1"}, Millis(12)}};
  const auto decoded = DecodeGossip(EncodeGossip(message));
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->sender, message.sender);
  EXPECT_EQ(decoded->config_revision, 7u);
  EXPECT_EQ(decoded->replica_revision, 99u);
  EXPECT_EQ(decoded->known_peers, 1u);
  EXPECT_EQ(decoded->peers, message.peers);
  EXPECT_EQ(decoded->digests, message.digests);
  ASSERT_EQ(decoded->quarantine.size(), 1u);
  EXPECT_EQ(decoded->quarantine[0].fingerprint, ~uint64_t{0});
  EXPECT_EQ(decoded->quarantine[0].lost_replicas[0], "r@1");
  EXPECT_EQ(decoded->quarantine[0].age, Millis(12));
}

// A message that is truncated, is followed by further bytes, or has another
// layout version must not be decoded.
TEST(GossipCodecTest, MalformedMessagesAreNotDecoded) {
  GossipMessage message;
  message.sender = "vm-1";
  message.digests = {{1, 2}};
  const std::string bytes = EncodeGossip(message);
  for (size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeGossip(bytes.substr(0, size)).ok()) << size;
  }
  EXPECT_FALSE(DecodeGossip(bytes + "x").ok());
  // Layout version 2, sender "v", both revisions 1, one known peer, and 2^35 -
  // 1 peer records.
  EXPECT_FALSE(DecodeGossip("\x02\x01v\x01\x01\x01\xff\xff\xff\xff\x7f").ok());
  EXPECT_FALSE(DecodeGossip("{\"sender\":\"vm-1\"}").ok());
}

// A message without changes of membership, which has two records and 100
// digests, fits one packet.
TEST(GossipCodecTest, SteadyStateMessageFitsOnePacket) {
  GossipMessage message;
  message.sender = "front-ragusa-a-1200";
  const PeerRecord peer{"front-ragusa-a-1200",
                        1'790'000'000'000,
                        1'000'000,
                        PeerState::kServing,
                        "10.11.12.13:18226",
                        "10.11.12.13:17740",
                        "ragusa-a",
                        1'000};
  message.peers = {peer, peer};
  message.digests.assign(100, {DigestKey(peer.id, 1), 1'000'000});
  constexpr size_t kPacketBytes = 1'400;
  EXPECT_LE(EncodeGossip(message).size(), kPacketBytes);
}

// Arbitrary bytes from the network must not crash the process.
RC_GTEST_PROP(GossipCodecProperty, CorruptMessagesDoNotCrash, ()) {
  GossipMessage message;
  message.sender = "vm-1";
  message.peers = {
      {"vm-1", 5, 6, PeerState::kServing, "1.1.1.1:1", "1.1.1.1:2", "a", 8}};
  message.quarantine = {{1, {"r@1"}, Millis(1)}};
  std::string text = EncodeGossip(message);
  const auto position = *rc::gen::inRange<size_t>(0, text.size());
  text[position] = *rc::gen::arbitrary<char>();
  const auto decoded = DecodeGossip(text);
  RC_ASSERT(decoded.ok() || !decoded.status().message().empty());
}

}  // namespace
}  // namespace tanagervane
