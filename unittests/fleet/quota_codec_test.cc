#include "tanagervane/fleet/quota_codec.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "tanagervane/fleet/gossip_codec.h"
#include "tanagervane/fleet/replica_gossip.h"
#include "tanagervane/fleet/revision_gossip.h"

namespace tanagervane {
namespace {

std::vector<QuotaMessage> MakeMessages() {
  return {{"vm-1", ShareRequest{~uint64_t{0}, 5, {25, 24}}},
          {"vm-1", ShareGrant{7, ~SlotMask{0}, 3400, {3400, 0}}},
          {"vm-1", PermitRequest{8, "tenant"}},
          {"vm-1", PermitReply{9, PermitResult::kRefused, Millis(250)}},
          {"vm-1", PermitReturn{10}}};
}

TEST(QuotaCodecTest, RoundTrip) {
  for (const QuotaMessage& message : MakeMessages()) {
    const std::string bytes = EncodeQuotaMessage(message);
    EXPECT_TRUE(IsQuotaMessage(bytes));
    const auto decoded = DecodeQuotaMessage(bytes);
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->sender, message.sender);
    EXPECT_EQ(decoded->body, message.body);
  }
}

// Guards against VMs of the previous release that take the messages for others,
// which they know, instead of dropping them.
TEST(QuotaCodecTest, OtherDecodersDropTheMessages) {
  for (const QuotaMessage& message : MakeMessages()) {
    const std::string bytes = EncodeQuotaMessage(message);
    EXPECT_FALSE(IsReplicaGossip(bytes));
    EXPECT_FALSE(IsRevisionGossip(bytes));
    EXPECT_FALSE(DecodeGossip(bytes).ok());
  }
  EXPECT_FALSE(IsQuotaMessage(EncodeGossip({})));
}

TEST(QuotaCodecTest, TruncatedMessagesAreNotDecoded) {
  for (const QuotaMessage& message : MakeMessages()) {
    const std::string bytes = EncodeQuotaMessage(message);
    for (size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_FALSE(DecodeQuotaMessage(bytes.substr(0, size)).ok()) << size;
    }
    EXPECT_FALSE(DecodeQuotaMessage(bytes + "x").ok());
  }
}

// Guards against a share of more than everything, and unknown results.
TEST(QuotaCodecTest, ImpossibleValuesAreNotDecoded) {
  EXPECT_FALSE(DecodeQuotaMessage(
                   EncodeQuotaMessage({"vm-1", ShareGrant{1, 1, 0, {1, 1}}}))
                   .ok());
  EXPECT_FALSE(DecodeQuotaMessage(
                   EncodeQuotaMessage(
                       {"vm-1", PermitReply{1, static_cast<PermitResult>(9),
                                            Millis(0)}}))
                   .ok());
}

// Guards against crashes on bytes that anybody can send.
RC_GTEST_PROP(QuotaCodecProperty, RandomBytesAreDecodedOrRejected, ()) {
  const auto bytes =
      *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  const auto message = DecodeQuotaMessage("Q" + bytes);
  if (message.ok()) {
    RC_ASSERT(message->sender.size() <= bytes.size());
  }
}

// Guards against messages for each request that cost more than some tens of
// bytes.
TEST(QuotaCodecTest, PermitMessagesAreSmall) {
  EXPECT_LE(EncodeQuotaMessage(MakeMessages()[2]).size(), 40);
  EXPECT_LE(EncodeQuotaMessage(MakeMessages()[3]).size(), 40);
}

}  // namespace
}  // namespace tanagervane
