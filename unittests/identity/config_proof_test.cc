// Tests of the proof that a VM's configuration is up to date.

#include "tanagervane/identity/config_proof.h"

#include "gtest/gtest.h"

namespace tanagervane {
namespace {

constexpr Millis kStart(100'000);

class ConfigProofTest : public testing::Test {
 protected:
  ConfigProofTest() {
    m_proof.SetConfig({.era = 1, .revision = 10, .version = 3});
  }

  /// A proof that a peer with the same configuration made `age` ago.
  static PeerProof Told(Millis age) {
    return {{.era = 1, .revision = 10, .version = 3}, age};
  }

  void Call(Millis sent_at) {
    m_proof.OnCallStarted(sent_at);
    m_proof.OnCallSucceeded(1, sent_at);
  }

  ConfigProof m_proof{MakeProofOptions(Millis(5000), Millis(5000))};
};

// Guards against keys that are accepted without any proof, as by a process that
// has just started.
TEST_F(ConfigProofTest, ThereIsNoProofAtFirst) {
  EXPECT_FALSE(m_proof.IsValid(kStart));
  EXPECT_FALSE(m_proof.Certainty(kStart).accepts_known_keys);
  EXPECT_FALSE(m_proof.Certainty(kStart).rejects_unknown_keys);
  EXPECT_GT(m_proof.Certainty(kStart).retry_after, Millis(0));
  EXPECT_EQ(m_proof.Tell(kStart).age, std::nullopt);
}

// The age counts from the time of the call, because the store may answer late.
TEST_F(ConfigProofTest, AProofAgesFromTheTimeOfTheCall) {
  m_proof.OnCallStarted(kStart);
  m_proof.OnCallSucceeded(1, kStart);
  EXPECT_EQ(m_proof.Age(kStart + Millis(700)), Millis(700));
  EXPECT_TRUE(m_proof.IsValid(kStart + Millis(4900)));
  EXPECT_FALSE(m_proof.IsValid(kStart + Millis(4901)));
  EXPECT_TRUE(m_proof.Certainty(kStart + Millis(2500)).rejects_unknown_keys);
  EXPECT_FALSE(m_proof.Certainty(kStart + Millis(2501)).rejects_unknown_keys);
}

// The age of a peer's proof counts from the question, because the answer may
// be late.
TEST_F(ConfigProofTest, APeersProofAgesFromTheTimeOfTheQuestion) {
  const Millis now = kStart + Millis(900);
  EXPECT_FALSE(m_proof.OnPeerProof(Told(Millis(400)), kStart, now));
  EXPECT_EQ(m_proof.Age(now), Millis(1300));
  m_proof.OnPeerProof(Told(Millis(2000)), kStart, now);
  EXPECT_EQ(m_proof.Age(now), Millis(1300));
}

// Guards against a peer's proof that is taken for a configuration that this VM
// does not have.
TEST_F(ConfigProofTest, AProofOfALaterConfigurationDoesNotApply) {
  PeerProof told = Told(Millis(0));
  told.config.revision = 11;
  EXPECT_TRUE(m_proof.OnPeerProof(told, kStart, kStart));
  EXPECT_FALSE(m_proof.IsValid(kStart));
  EXPECT_TRUE(m_proof.PeerHasProof(kStart));
  m_proof.SetConfig({.era = 1, .revision = 11, .version = 3});
  m_proof.OnPeerProof(told, kStart, kStart);
  EXPECT_TRUE(m_proof.IsValid(kStart));
}

// Guards against proofs of a configuration that is older than that of a peer,
// because a restored store may have lost the later one, and against keys of the
// later one that are taken for unknown. The proof from before stays valid for
// its term, so that a change does not interrupt the service.
TEST_F(ConfigProofTest, AGreaterVersionOfAPeerEndsTheRenewalOfTheProof) {
  Call(kStart);
  EXPECT_TRUE(m_proof.Certainty(kStart).rejects_unknown_keys);
  m_proof.SetGossipedVersion(4);
  EXPECT_FALSE(m_proof.Certainty(kStart).rejects_unknown_keys);
  const Millis later = kStart + Millis(1000);
  Call(later);
  m_proof.OnPeerProof(Told(Millis(0)), later, later);
  EXPECT_EQ(m_proof.Age(later), Millis(1000));
  m_proof.SetConfig({.era = 1, .revision = 11, .version = 4});
  Call(later);
  EXPECT_EQ(m_proof.Age(later), Millis(0));
  m_proof.OnPeerVersion(5, later);
  m_proof.OnPeerVersion(4, later);
  const Millis latest = later + Millis(100);
  Call(latest);
  EXPECT_EQ(m_proof.Age(latest), Millis(100));
}

// Revisions of a restored store are assigned again, so a proof from before says
// nothing about the configuration of now.
TEST_F(ConfigProofTest, AProofEndsWithItsEra) {
  Call(kStart);
  m_proof.SetConfig({.era = 2, .revision = 9, .version = 2});
  EXPECT_FALSE(m_proof.IsValid(kStart));
  EXPECT_EQ(m_proof.config().version, 3U) << "a version never goes back";
  m_proof.OnPeerProof(Told(Millis(0)), kStart, kStart);
  EXPECT_FALSE(m_proof.IsValid(kStart));
  Call(kStart);
  EXPECT_FALSE(m_proof.IsValid(kStart)) << "a call of the earlier era";
  PeerProof later = Told(Millis(0));
  later.config.era = 3;
  EXPECT_TRUE(m_proof.OnPeerProof(later, kStart, kStart));
  EXPECT_FALSE(m_proof.IsValid(kStart));
}

// Guards against a fleet in which all VMs call the store, and one in which none
// does when the first VM fails.
TEST_F(ConfigProofTest, CallsAreStaggeredByRank) {
  Call(kStart);
  const auto first_call = [this](size_t rank) {
    Millis now = kStart;
    while (!m_proof.ShouldCallStore(rank, now)) {
      now += Millis(10);
    }
    return now - kStart;
  };
  EXPECT_EQ(first_call(0), Millis(1200));
  EXPECT_EQ(first_call(1), Millis(2450));
  EXPECT_EQ(first_call(2), Millis(2510));
  // In time for several calls before the proof ends.
  EXPECT_LT(first_call(3000), Millis(3700));
}

// Guards against calls that follow one another at once while the store fails.
TEST_F(ConfigProofTest, FailedCallsBackOff) {
  size_t calls = 0;
  for (Millis now = kStart; now < kStart + Millis(20'000); now += Millis(10)) {
    if (m_proof.ShouldCallStore(0, now)) {
      ++calls;
      m_proof.OnCallStarted(now);
      m_proof.OnCallFailed(now);
    }
  }
  EXPECT_GE(calls, 10U);
  EXPECT_LE(calls, 14U);
}

// A call in flight must not be repeated, and its late answer must not count as
// a new proof.
TEST_F(ConfigProofTest, OneCallAtATime) {
  ASSERT_TRUE(m_proof.ShouldCallStore(0, kStart));
  m_proof.OnCallStarted(kStart);
  const Millis late = kStart + Millis(6000);
  EXPECT_FALSE(m_proof.ShouldCallStore(0, late));
  m_proof.OnCallSucceeded(1, kStart);
  EXPECT_FALSE(m_proof.IsValid(late));
  EXPECT_TRUE(m_proof.ShouldCallStore(0, late));
}

}  // namespace
}  // namespace tanagervane
