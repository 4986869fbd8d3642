#include "tanagervane/fleet/replica_gossip.h"

#include <limits>
#include <string>

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "tanagervane/fleet/gossip_codec.h"
#include "tanagervane/fleet/gossip_rounds.h"

namespace tanagervane {
namespace {

ReplicaGossip MakeMessage() {
  ReplicaGossip message;
  message.sender = "vm-1";
  message.leaving = {HashIncarnation("i-1@17"), 0, ~IncarnationHash{0}};
  message.rate_limits = {{HashIncarnation("i-2@17"), 27.3, Millis(250)},
                         {HashIncarnation("i-3@17"), 0, Millis(0)},
                         {HashIncarnation("i-4@17"), std::nullopt, Millis(3)}};
  return message;
}

TEST(ReplicaGossipTest, RoundTrip) {
  const std::string bytes = EncodeReplicaGossip(MakeMessage());
  EXPECT_TRUE(IsReplicaGossip(bytes));
  const auto decoded = DecodeReplicaGossip(bytes);
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->sender, "vm-1");
  EXPECT_EQ(decoded->leaving, MakeMessage().leaving);
  EXPECT_EQ(decoded->rate_limits, MakeMessage().rate_limits);
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

TEST(ReplicaGossipTest, LongestMessageKeepsTheTrafficBound) {
  ReplicaGossip message = MakeMessage();
  message.leaving.resize(kMaxGossipedLeavingReplicas);
  message.rate_limits.assign(kMaxGossipedRateLimits,
                             {~IncarnationHash{0}, 1e9, Millis(3000)});
  EXPECT_LE(EncodeReplicaGossip(message).size(), kMaxReportBytes);
}

// Guards against limits that no replica can state, which would stop all
// requests to it or none.
TEST(ReplicaGossipTest, ImpossibleLimitsAreNotDecoded) {
  for (const double per_second : {-2.0, std::numeric_limits<double>::infinity(),
                                  std::numeric_limits<double>::quiet_NaN()}) {
    ReplicaGossip message = MakeMessage();
    message.rate_limits.front().per_second = per_second;
    EXPECT_FALSE(DecodeReplicaGossip(EncodeReplicaGossip(message)).ok());
  }
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
