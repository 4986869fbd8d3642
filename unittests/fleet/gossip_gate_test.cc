// Tests of whose gossip is believed.

#include "tanagervane/fleet/gossip_gate.h"

#include "gtest/gtest.h"

namespace tanagervane {
namespace {

GossipMessage From(const std::string& sender, const std::string& address) {
  GossipMessage message;
  message.sender = sender;
  message.config_change = 9;
  message.peers = {
      {sender, 5, 6, PeerState::kServing, "1.1.1.1:1", address, "a", 8},
      {"victim", 9, 9, PeerState::kLeaving, "6.6.6.6:1", "6.6.6.6:2", "a", 8}};
  message.digests = {{1, 2}};
  message.quarantine = {{1, {"r@1"}, Millis(1)}};
  return message;
}

// Guards against messages in the name of another VM, which take it out of the
// directory or move its address.
TEST(GossipGateTest, OnlyTheAddressOfTheSenderSpeaksForIt) {
  const GossipMessage message = From("vm", "1.1.1.1:2");
  EXPECT_EQ(JudgeSender(message, "1.1.1.1:2", {"1.1.1.1:2", {}}),
            SenderTrust::kMember);
  EXPECT_EQ(JudgeSender(message, "1.1.1.1:2", {{}, "1.1.1.1:2"}),
            SenderTrust::kMember);
  EXPECT_EQ(JudgeSender(message, "9.9.9.9:2", {"1.1.1.1:2", {}}),
            SenderTrust::kForeign);
  EXPECT_EQ(JudgeSender(From("vm", "9.9.9.9:2"), "9.9.9.9:2",
                        {"1.1.1.1:2", "9.9.9.9:2"}),
            SenderTrust::kForeign)
      << "the list goes before gossip";
}

// Guards against a new VM that nobody hears, and against one that speaks for
// others before the list shows it.
TEST(GossipGateTest, NewVmMayIntroduceItself) {
  GossipMessage message = From("new", "1.1.1.1:2");
  EXPECT_EQ(JudgeSender(message, "1.1.1.1:2", {}), SenderTrust::kIntroduces);
  EXPECT_EQ(JudgeSender(message, "1.1.1.1:3", {}), SenderTrust::kForeign);
  KeepIntroduction(message);
  ASSERT_EQ(message.peers.size(), 1u);
  EXPECT_EQ(message.peers[0].id, "new");
  EXPECT_TRUE(message.digests.empty());
  EXPECT_TRUE(message.quarantine.empty());
  EXPECT_EQ(message.config_change, 0u);
  message.peers.clear();
  EXPECT_EQ(JudgeSender(message, "1.1.1.1:2", {}), SenderTrust::kForeign);
}

}  // namespace
}  // namespace tanagervane
