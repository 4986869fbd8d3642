#include "tanagervane/fleet/gossip_sender.h"

#include "gtest/gtest.h"

namespace tanagervane {
namespace {

GossipMessage MessageFrom(const std::string& sender,
                          const std::string& address) {
  GossipMessage message;
  message.sender = sender;
  message.config_revision = 9;
  message.peers = {
      {sender, 5, 6, PeerState::kServing, "1.1.1.1:1", address, "a", 8},
      {"victim", 9, 9, PeerState::kLeaving, "6.6.6.6:1", "6.6.6.6:2", "a", 8}};
  message.digests = {{1, 2}};
  message.quarantine = {{1, {"r@1"}, Millis(1)}};
  return message;
}

// A message that claims to come from another VM must not remove that VM from
// the directory or change its address.
TEST(GossipSenderTest, SenderMustMatchItsKnownAddress) {
  const GossipMessage message = MessageFrom("vm", "1.1.1.1:2");
  EXPECT_EQ(ClassifySender(message, "1.1.1.1:2", {"1.1.1.1:2", {}}),
            SenderStatus::kVerified);
  EXPECT_EQ(ClassifySender(message, "1.1.1.1:2", {{}, "1.1.1.1:2"}),
            SenderStatus::kVerified);
  EXPECT_EQ(ClassifySender(message, "9.9.9.9:2", {"1.1.1.1:2", {}}),
            SenderStatus::kAddressMismatch);
  EXPECT_EQ(ClassifySender(MessageFrom("vm", "9.9.9.9:2"), "9.9.9.9:2",
                           {"1.1.1.1:2", "9.9.9.9:2"}),
            SenderStatus::kAddressMismatch)
      << "the list takes precedence over gossip";
}

// A VM that is not listed yet must be heard, but must not supply records of
// other VMs.
TEST(GossipSenderTest, NewVmMaySendOnlyItsOwnRecord) {
  GossipMessage message = MessageFrom("new", "1.1.1.1:2");
  EXPECT_EQ(ClassifySender(message, "1.1.1.1:2", {}), SenderStatus::kNewVm);
  EXPECT_EQ(ClassifySender(message, "1.1.1.1:3", {}),
            SenderStatus::kAddressMismatch);
  KeepSenderRecordOnly(message);
  ASSERT_EQ(message.peers.size(), 1u);
  EXPECT_EQ(message.peers[0].id, "new");
  EXPECT_TRUE(message.digests.empty());
  EXPECT_TRUE(message.quarantine.empty());
  EXPECT_EQ(message.config_revision, 0u);
  message.peers.clear();
  EXPECT_EQ(ClassifySender(message, "1.1.1.1:2", {}),
            SenderStatus::kAddressMismatch);
}

}  // namespace
}  // namespace tanagervane
