// Tests of the exchange of proofs between VMs.

#include "tanagervane/fleet/proof_exchange.h"

#include <algorithm>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "proof_fleet.h"
#include "rapidcheck/gtest.h"
#include "tanagervane/fleet/gossip_codec.h"
#include "tanagervane/fleet/replica_gossip.h"
#include "tanagervane/fleet/revision_gossip.h"

namespace tanagervane {
namespace {

ProofResponse MakeResponse() {
  return {.sender = "front-a-1",
          .nonce = 0xfedcba9876543210U,
          .proof = {{.era = 2, .revision = uint64_t{1} << 50, .version = 9},
                    Millis(1200.25)}};
}

TEST(ProofMessageTest, MessagesAreDecoded) {
  const std::string request_bytes =
      EncodeProofRequest({.sender = "a", .nonce = 1, .version = 300});
  ASSERT_TRUE(IsProofRequest(request_bytes));
  const auto request = DecodeProofRequest(request_bytes);
  ASSERT_TRUE(request.ok());
  EXPECT_EQ(request->sender, "a");
  EXPECT_EQ(request->nonce, 1U);
  EXPECT_EQ(request->version, 300U);

  ProofResponse message = MakeResponse();
  auto response = DecodeProofResponse(EncodeProofResponse(message));
  ASSERT_TRUE(response.ok());
  EXPECT_EQ(response->sender, "front-a-1");
  EXPECT_EQ(response->nonce, message.nonce);
  EXPECT_EQ(response->proof.config.era, 2U);
  EXPECT_EQ(response->proof.config.revision, uint64_t{1} << 50);
  EXPECT_EQ(response->proof.config.version, 9U);
  // Rounded up, so that the proof does not become younger.
  EXPECT_EQ(response->proof.age, Millis(1201));
  message.proof.age.reset();
  response = DecodeProofResponse(EncodeProofResponse(message));
  EXPECT_EQ(response->proof.age, std::nullopt);
}

// Guards against parts of a damaged message that are taken for a whole one, and
// messages that other VMs, also of the previous release, take for gossip.
TEST(ProofMessageTest, DamagedAndForeignMessagesAreRejected) {
  const std::string request = EncodeProofRequest({"a", 1, 300});
  const std::string response = EncodeProofResponse(MakeResponse());
  for (const std::string& bytes : {request, response}) {
    EXPECT_FALSE(IsReplicaGossip(bytes));
    EXPECT_FALSE(IsRevisionGossip(bytes));
    EXPECT_FALSE(DecodeGossip(bytes).ok());
    for (size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_FALSE(DecodeProofRequest(bytes.substr(0, size)).ok()) << size;
      EXPECT_FALSE(DecodeProofResponse(bytes.substr(0, size)).ok()) << size;
    }
    EXPECT_FALSE(DecodeProofRequest(bytes + "x").ok());
    EXPECT_FALSE(DecodeProofResponse(bytes + "x").ok());
  }
  EXPECT_FALSE(DecodeProofRequest(response).ok());
  EXPECT_FALSE(DecodeProofResponse(request).ok());
}

// Guards against datagrams of a stranger that end the process or give a proof
// with a negative age.
RC_GTEST_PROP(ProofMessageProperty,
              NoiseIsDecodedOrRejected,
              (const std::string& noise)) {
  const auto response = DecodeProofResponse("f" + noise);
  if (response.ok() && response->proof.age) {
    RC_ASSERT(*response->proof.age >= Millis(0));
  }
  if (const auto request = DecodeProofRequest("F" + noise); request.ok()) {
    RC_ASSERT(request->sender.size() < noise.size());
  }
}

// Guards against an answer to a question that was never asked, or is forgotten.
TEST(ProofQuestionsTest, OnlyRecentQuestionsAreKnown) {
  ProofQuestions questions(1);
  const uint64_t first = questions.Ask(Millis(10));
  EXPECT_EQ(questions.AskedAt(first), Millis(10));
  EXPECT_EQ(questions.AskedAt(first + 1), std::nullopt);
  for (int i = 0; i < 64; ++i) {
    questions.Ask(Millis(20));
  }
  EXPECT_EQ(questions.AskedAt(first), std::nullopt);
}

class ProofTargetsTest : public testing::Test {
 protected:
  static PeerTable::Peer MakePeer(const std::string& id) {
    PeerTable::Peer peer;
    peer.record.id = id;
    peer.record.peer_address = id;
    peer.record.state = PeerState::kServing;
    return peer;
  }

  std::vector<PeerTable::Peer> m_peers = {MakePeer("a"), MakePeer("b"),
                                          MakePeer("c"), MakePeer("e"),
                                          MakePeer("f")};
  PeerRecord m_self = MakePeer("d").record;
  Random m_random{1};
};

// Guards against VMs that are counted although they can make no proof.
TEST_F(ProofTargetsTest, TheRankCountsVmsThatReachTheStore) {
  EXPECT_EQ(ChooseProofTargets(m_self, m_peers, m_random).rank, 3U);
  m_peers[0].liveness = Liveness::kSuspected;
  EXPECT_EQ(ChooseProofTargets(m_self, m_peers, m_random).rank, 2U);
  m_peers[1].record.store_reachable = false;
  EXPECT_EQ(ChooseProofTargets(m_self, m_peers, m_random).rank, 1U);
  m_peers[2].record.state = PeerState::kLeaving;
  EXPECT_EQ(ChooseProofTargets(m_self, m_peers, m_random).rank, 0U);
}

// Guards against a VM that is cut off from the store and asks only VMs that are
// cut off as well.
TEST_F(ProofTargetsTest, ACutOffVmAsksOneThatReachesTheStore) {
  m_self.store_reachable = false;
  for (PeerTable::Peer& peer : m_peers) {
    peer.record.store_reachable = peer.record.id == "f";
  }
  for (int i = 0; i < 20; ++i) {
    const ProofRank place = ChooseProofTargets(m_self, m_peers, m_random);
    EXPECT_EQ(place.targets.front(), "f");
    EXPECT_LE(place.targets.size(), 2U);
  }
  EXPECT_TRUE(ChooseProofTargets(m_self, {}, m_random).targets.empty());
}

class ProofFleetTest : public testing::TestWithParam<size_t> {};

// Guards against proofs that spread too slowly to reject unknown keys, traffic
// beyond its bound, and calls to the store by more than one VM.
TEST_P(ProofFleetTest, ProofsSpreadWithinTheBounds) {
  constexpr Millis kTime(20'000);
  constexpr double kSeconds = 20;
  constexpr double kMaxBytesPerSecond = 1500;
  constexpr double kMaxCallsPerSecond = 1;
  ProofFleet fleet(GetParam());
  fleet.RunFor(Millis(4000));
  fleet.ResetMeasurements();
  fleet.RunFor(kTime);
  const double bytes =
      static_cast<double>(fleet.MaxOf(&ProofFleet::Vm::sent_bytes)) / kSeconds;
  const double calls = static_cast<double>(fleet.TotalCalls()) / kSeconds;
  RecordProperty("max_bytes_per_second", static_cast<int>(bytes));
  RecordProperty("calls_per_minute", static_cast<int>(calls * 60));
  const Millis max_age = fleet.MaxOf(&ProofFleet::Vm::max_age);
  RecordProperty("max_age_ms", static_cast<int>(max_age.count()));
  EXPECT_EQ(fleet.MaxOf(&ProofFleet::Vm::unproved_rounds), 0U);
  EXPECT_LE(max_age, Millis(2500));
  EXPECT_LE(bytes, kMaxBytesPerSecond);
  EXPECT_LE(calls, kMaxCallsPerSecond);
}

// Guards against a fleet that has no proof after its first VMs have failed, and
// one in which too many VMs then call the store.
TEST_P(ProofFleetTest, OtherVmsTakeOver) {
  ProofFleet fleet(GetParam());
  fleet.RunFor(Millis(4000));
  fleet.ResetMeasurements();
  fleet.vms()[0].alive = false;
  fleet.vms()[1].alive = false;
  fleet.RunFor(Millis(10'000));
  EXPECT_EQ(fleet.MaxOf(&ProofFleet::Vm::unproved_rounds), 0U);
  RecordProperty("calls_in_10_s", static_cast<int>(fleet.TotalCalls()));
  EXPECT_LE(fleet.TotalCalls(), 40U);
}

// While no VM can get a new proof, requests are served until the last one ends,
// and no longer; the fleet recovers soon after the store.
TEST_P(ProofFleetTest, ProofsEndTogetherWithoutTheStore) {
  ProofFleet fleet(GetParam());
  fleet.RunFor(Millis(4000));
  fleet.SetStoreReachable(false);
  fleet.RunFor(Millis(3000));
  const auto count_valid = [&fleet] {
    return static_cast<size_t>(
        std::ranges::count_if(fleet.vms(), [&fleet](const ProofFleet::Vm& vm) {
          return vm.proof.IsValid(fleet.now());
        }));
  };
  EXPECT_EQ(count_valid(), GetParam());
  fleet.RunFor(Millis(1950));
  EXPECT_EQ(count_valid(), 0U);
  fleet.SetStoreReachable(true);
  fleet.RunFor(Millis(4000));
  EXPECT_EQ(count_valid(), GetParam());
}

INSTANTIATE_TEST_SUITE_P(Sizes, ProofFleetTest, testing::Values(25, 143));

}  // namespace
}  // namespace tanagervane
