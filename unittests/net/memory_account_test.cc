// Tests of MemoryAccount.

#include "tanagervane/net/memory_account.h"

#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace tanagervane {
namespace {

constexpr uint32_t kPeer = 1;
constexpr uint32_t kOtherPeer = 2;

class MemoryAccountTest : public testing::Test {
 protected:
  /// Adds a holder that gives up everything. `m_reclaimed` lists the names.
  MemoryCharge& Add(const std::string& name,
                    uint32_t peer,
                    MemoryUse use,
                    size_t bytes,
                    bool is_progressing = false) {
    m_charges.push_back(nullptr);
    const size_t index = m_charges.size() - 1;
    m_charges[index] = std::make_unique<MemoryCharge>(
        &m_account, peer,
        MemoryChargeHooks{
            .is_progressing = [is_progressing] { return is_progressing; },
            .reclaim =
                [this, name, index] {
                  m_reclaimed.push_back(name);
                  m_charges[index]->Set(MemoryUse::kInput, 0);
                }});
    m_charges[index]->Set(use, bytes);
    return *m_charges[index];
  }

  MemoryAccount m_account{100'000};
  std::vector<std::string> m_reclaimed;
  std::vector<std::unique_ptr<MemoryCharge>> m_charges;
};

// Guards against a crowd from one address whose requests displace the larger
// request of another caller.
TEST_F(MemoryAccountTest, LargestHolderOfTheLargestPeerGivesUpFirst) {
  Add("single", kOtherPeer, MemoryUse::kInput, 40'000);
  Add("small", kPeer, MemoryUse::kInput, 20'000);
  Add("large", kPeer, MemoryUse::kInput, 30'000);
  m_account.Reclaim();
  EXPECT_TRUE(m_reclaimed.empty());
  Add("last", kPeer, MemoryUse::kInput, 20'000);
  m_account.Reclaim();
  EXPECT_EQ(m_reclaimed, std::vector<std::string>{"large"});
  EXPECT_EQ(m_account.held(), 80'000u);
}

// Guards against a request that was passed on and is then dropped.
TEST_F(MemoryAccountTest, RunningRequestsAreKept) {
  Add("running", kPeer, MemoryUse::kRunning, 150'000);
  Add("replica", kPeer, MemoryUse::kReplicas, 50'000);
  Add("input", kOtherPeer, MemoryUse::kInput, 1'000);
  m_account.Reclaim();
  EXPECT_EQ(m_reclaimed, std::vector<std::string>{"input"});
  EXPECT_EQ(m_account.held(MemoryUse::kRunning), 150'000u);
}

// Guards against an abort, and against an end of the search, when a holder
// cannot give up what it holds.
TEST_F(MemoryAccountTest, HolderThatGivesNothingIsPassedOver) {
  size_t asked = 0;
  MemoryCharge stubborn(
      &m_account, kPeer,
      {.is_progressing = [] { return false; }, .reclaim = [&] { ++asked; }});
  stubborn.Set(MemoryUse::kInput, 60'000);
  Add("other", kOtherPeer, MemoryUse::kInput, 50'000);
  m_account.Reclaim();
  EXPECT_EQ(asked, 1u);
  EXPECT_EQ(m_reclaimed, std::vector<std::string>{"other"});
  Add("running", kPeer, MemoryUse::kRunning, 90'000);
  m_account.Reclaim();
  EXPECT_EQ(asked, 2u);
  EXPECT_EQ(m_account.held(), 150'000u);
}

// Guards against callers that read their responses and lose them to callers
// that don't.
TEST_F(MemoryAccountTest, ResponsesBeingReadAreGivenUpLast) {
  Add("reads", kPeer, MemoryUse::kOutput, 60'000, true);
  Add("stalls", kOtherPeer, MemoryUse::kOutput, 41'000, false);
  m_account.Reclaim();
  EXPECT_EQ(m_reclaimed, std::vector<std::string>{"stalls"});
  Add("running", kPeer, MemoryUse::kRunning, 50'000);
  m_account.Reclaim();
  EXPECT_EQ(m_reclaimed, (std::vector<std::string>{"stalls", "reads"}));
}

// Guards against running requests that fill the memory, and against a limit
// that refuses the only request.
TEST_F(MemoryAccountTest, RequestsAreAdmittedUpToHalfOfTheLimit) {
  EXPECT_TRUE(m_account.AdmitsRequest());
  Add("input", kPeer, MemoryUse::kInput, 90'000);
  EXPECT_TRUE(m_account.AdmitsRequest());
  Add("running", kPeer, MemoryUse::kRunning, 50'000);
  EXPECT_TRUE(m_account.AdmitsRequest());
  MemoryCharge& reply = Add("reply", 0, MemoryUse::kReplicas, 1);
  EXPECT_FALSE(m_account.AdmitsRequest());
  reply.Set(MemoryUse::kReplicas, 0);
  EXPECT_TRUE(m_account.AdmitsRequest());
}

// Guards against replicas whose responses together exceed their part of the
// limit, and against small responses that fail because of large ones.
TEST_F(MemoryAccountTest, LargestResponsesAreDisallowed) {
  const MemoryCharge& small = Add("small", 0, MemoryUse::kReplicas, 100);
  const MemoryCharge& large = Add("large", 0, MemoryUse::kReplicas, 49'000);
  EXPECT_TRUE(m_account.AllowsResponse(large));
  Add("third", 0, MemoryUse::kReplicas, 1'000);
  EXPECT_FALSE(m_account.AllowsResponse(large));
  EXPECT_TRUE(m_account.AllowsResponse(small));
}

// Guards against a charge that outlives its holder.
TEST_F(MemoryAccountTest, DestroyedHoldersHoldNothing) {
  Add("a", kPeer, MemoryUse::kInput, 10'000).Set(MemoryUse::kOutput, 7'000);
  EXPECT_EQ(m_account.held(), 7'000u);
  m_charges.clear();
  EXPECT_EQ(m_account.held(), 0u);
  m_account.Reclaim();
  EXPECT_EQ(m_account.reclaimed(), 0u);
}

}  // namespace
}  // namespace tanagervane
