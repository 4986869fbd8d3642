// Token buckets, shares, the census, permits and the assignment of slots.

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "tanagervane/quota/fleet_census.h"
#include "tanagervane/quota/permit_client.h"
#include "tanagervane/quota/permit_pool.h"
#include "tanagervane/quota/rendezvous.h"
#include "tanagervane/quota/share_table.h"
#include "tanagervane/quota/token_bucket.h"

namespace tanagervane {
namespace {

TenantSpec MakeTenant(double rate, double burst) {
  TenantSpec tenant;
  tenant.name = "t";
  tenant.rate = rate;
  tenant.burst = burst;
  return tenant;
}

// Guards against a limit that allows more than the bound in a window, when the
// tokens of a full bucket and of the time before the window are used in it.
TEST(FleetLimitTest, StaysWithinTheBound) {
  const QuotaBounds bounds;
  const FleetLimit limit = MakeFleetLimit(MakeTenant(10, 5), bounds);
  EXPECT_DOUBLE_EQ(limit.depth, 5 * 1.1 + 20);
  EXPECT_LE(
      limit.depth + limit.rate * (bounds.window + kPermitLifetime).count(),
      (10 * 5 + 5) * 1.1 + 20 + 1e-9);
}

TEST(TokenBucketTest, FollowsTheShare) {
  const FleetLimit limit{.rate = 0.1, .depth = 20};
  TokenBucket bucket(Millis(0));
  EXPECT_FALSE(bucket.TryTake());
  bucket.Settle(limit, 0.5, Millis(100));
  EXPECT_DOUBLE_EQ(bucket.tokens(), 5);
  bucket.Settle(limit, 0.5, Millis(1000));
  EXPECT_DOUBLE_EQ(bucket.tokens(), 10);
  bucket.Settle(limit, 0.1, Millis(1000));
  EXPECT_DOUBLE_EQ(bucket.tokens(), 2);
  EXPECT_TRUE(bucket.TryTake());
  EXPECT_TRUE(bucket.TryTake());
  EXPECT_FALSE(bucket.TryTake());
  EXPECT_DOUBLE_EQ(bucket.TimeToToken(limit, 0.1).count(), 100);
  EXPECT_EQ(bucket.TimeToToken(limit, 0), kMaxTokenWait);
  bucket.Settle(limit, 0, Millis(1000));
  EXPECT_EQ(bucket.tokens(), 0);
}

// Guards against a clock reading before the previous one, which must not yield
// tokens later.
TEST(TokenBucketTest, TimeDoesNotGoBack) {
  const FleetLimit limit{.rate = 0.1, .depth = 20};
  TokenBucket bucket(Millis(100));
  bucket.Settle(limit, 1, Millis(50));
  bucket.Settle(limit, 1, Millis(100));
  EXPECT_EQ(bucket.tokens(), 0);
}

// Guards against a share that two VMs use.
TEST(ShareTableTest, LendsToOneVmAtATime) {
  ShareTable shares;
  shares.SetOwned(0.25);
  EXPECT_EQ(shares.Usable(3, Millis(0)), 0.25);
  EXPECT_TRUE(shares.Lend(3, "a", Millis(0)));
  EXPECT_EQ(shares.Usable(3, Millis(0)), 0);
  EXPECT_EQ(shares.Usable(4, Millis(0)), 0.25);
  EXPECT_FALSE(shares.Lend(3, "b", Millis(1000)));
  EXPECT_TRUE(shares.Lend(3, "a", Millis(1000)));
  EXPECT_FALSE(shares.IsDue(3, Millis(999) + kLeaseTerm));
  EXPECT_TRUE(shares.IsDue(3, Millis(1000) + kLeaseTerm));
  shares.TakeBack(3);
  EXPECT_EQ(shares.Usable(3, Millis(1000) + kLeaseTerm), 0.25);
  EXPECT_TRUE(shares.Lend(3, "b", Millis(1000) + kLeaseTerm));
}

TEST(ShareTableTest, BorrowedSharesEnd) {
  ShareTable shares;
  shares.Borrow(0, "a", 0.25, Millis(100));
  shares.Borrow(0, "b", 0.5, Millis(200));
  EXPECT_EQ(shares.Usable(0, Millis(99)), 0.75);
  EXPECT_EQ(shares.Usable(0, Millis(100)), 0.5);
  shares.Expire(Millis(100));
  EXPECT_EQ(shares.BorrowedFrom(0, "a", Millis(99)), 0);
  EXPECT_EQ(shares.BorrowedFrom(0, "b", Millis(100)), 0.5);
}

CensusList MakeList(std::vector<CensusEntry> entries,
                    Millis at,
                    bool is_latest = true) {
  return {std::move(entries), is_latest, at};
}

/// Lets the census write its claim and read the latest list; returns the claim.
uint64_t Claim(FleetCensus& census,
               std::vector<CensusEntry> others,
               Millis now) {
  std::optional<uint64_t> claim = census.TakeClaimToWrite(now);
  now += kClaimSettleTime;
  claim = claim ? claim : census.TakeClaimToWrite(now);
  census.OnClaimWritten(claim.value_or(0), claim.has_value(), now);
  others.push_back({"self", claim});
  census.OnList(MakeList(std::move(others), now), now);
  return claim.value_or(0);
}

// Guards against a new VM that uses a share before the others have shrunk
// theirs.
TEST(FleetCensusTest, NewVmTakesWhatTheOthersLeave) {
  FleetCensus census("self", Millis(0));
  EXPECT_EQ(census.UpdateOwnedShare(Millis(10'000)), 0);
  census.OnList(MakeList({{"a", 2}, {"b", 2}, {"self", 0}}, Millis(10'000)),
                Millis(10'000));
  EXPECT_FALSE(census.TakeClaimToWrite(Millis(20'000)));
  EXPECT_EQ(census.UpdateOwnedShare(Millis(20'000)), 0);
  EXPECT_TRUE(census.NeedsStatements(Millis(20'000)));
  EXPECT_TRUE(census.NeedsLatestList(Millis(20'000)));
  const std::vector<CensusEntry> smaller{{"a", 3}, {"b", 3}};
  census.OnList(MakeList({{"a", 3}, {"b", 3}, {"self", 0}}, Millis(20'000)),
                Millis(20'000));
  EXPECT_EQ(Claim(census, smaller, Millis(20'000)), 3);
  EXPECT_EQ(census.UpdateOwnedShare(Millis(20'999) + kLeaseTerm), 0);
  EXPECT_DOUBLE_EQ(census.UpdateOwnedShare(Millis(21'000) + kLeaseTerm),
                   1.0 / 3);
  EXPECT_FALSE(census.NeedsStatements(Millis(21'000) + kLeaseTerm));
  EXPECT_FALSE(census.NeedsLatestList(Millis(21'000) + kLeaseTerm));
}

// Guards against a share that is used before its claim is in the store, and
// against a list that was requested before that.
TEST(FleetCensusTest, ShareNeedsAWrittenClaim) {
  FleetCensus census("self", Millis(0));
  const auto list = [](Millis at) {
    return MakeList({{"a", 2}, {"self", 2}}, at);
  };
  census.OnList(list(Millis(0)), Millis(0));
  // The claim of the previous process is written again, because a late write of
  // that process could change it.
  EXPECT_EQ(census.TakeClaimToWrite(Millis(0)), 2);
  census.OnClaimWritten(2, true, Millis(10));
  census.OnList(list(Millis(5)), Millis(15));
  EXPECT_EQ(census.UpdateOwnedShare(Millis(5000)), 0);
  census.OnList(list(Millis(5000)), Millis(5000));
  EXPECT_EQ(census.UpdateOwnedShare(Millis(4999) + kLeaseTerm), 0);
  EXPECT_EQ(census.UpdateOwnedShare(Millis(5000) + kLeaseTerm), 0.5);
}

// Guards against a fleet without any share after a restart of all, while a VM
// that will never answer remains listed.
TEST(FleetCensusTest, ShareOfASilentVmIsSetAside) {
  FleetCensus census("self", Millis(0));
  census.OnList(
      MakeList({{"a", 4}, {"b", 4}, {"dead", 4}, {"self", 4}}, Millis(0)),
      Millis(0));
  EXPECT_EQ(Claim(census, {{"a", 4}, {"b", 4}, {"dead", 4}}, Millis(0)), 4);
  EXPECT_EQ(census.UpdateOwnedShare(Millis(1000) + kLeaseTerm), 0.25);
  EXPECT_EQ(census.UnheardVms().size(), 3);
}

// Guards against shares of more than 1 together when the dead VM knew fewer
// VMs than there are now, and against a new VM without any.
TEST(FleetCensusTest, DeadVmThatKnewFewerKeepsItsShare) {
  FleetCensus census("self", Millis(0));
  std::vector<CensusEntry> others{{"a", 5}, {"b", 5}, {"c", 5}, {"dead", 4}};
  std::vector<CensusEntry> all = others;
  all.push_back({"self", 0});
  census.OnList(MakeList(all, Millis(0)), Millis(0));
  EXPECT_EQ(Claim(census, others, Millis(0)), 7);
}

// Guards against a registration that nobody owns, which would take all shares
// or block them. VMs of earlier releases write no claim.
TEST(FleetCensusTest, RegistrationWithoutAClaimCountsAsOneVm) {
  for (const std::optional<uint64_t> claim :
       {std::optional<uint64_t>(0), std::optional<uint64_t>()}) {
    FleetCensus census("self", Millis(0));
    census.OnList(MakeList({{"stray", claim}, {"self", 0}}, Millis(0)),
                  Millis(0));
    EXPECT_EQ(Claim(census, {{"stray", claim}}, Millis(0)), 2);
  }
}

// Guards against shares that are divided among fewer VMs than use them.
TEST(FleetCensusTest, CountsVmsThatMayStillRun) {
  FleetCensus census("a", Millis(0));
  const auto list = [](Millis at, bool has_c) {
    std::vector<CensusEntry> entries{{"a", 0}, {"b", 0}};
    if (has_c) {
      entries.push_back({"c", 0});
    }
    return MakeList(std::move(entries), at, false);
  };
  census.OnList(list(Millis(0), true), Millis(0));
  census.OnList(list(Millis(1000), false), Millis(1000));
  EXPECT_EQ(census.Count(Millis(1000)), 3);
  const Millis later = Millis(1000) + kForgetVmAfter;
  census.OnList(list(later, false), later);
  EXPECT_EQ(census.Count(later), 2);
  // Another VM knows more of them.
  census.OnStatement("b", {.count = 4, .floor = 4}, later);
  EXPECT_EQ(census.Count(later), 4);
}

// Guards against a paused or cut-off VM that uses a share which the others have
// divided among themselves since.
TEST(FleetCensusTest, IsolatedVmOwnsNothing) {
  FleetCensus census("self", Millis(0));
  const std::vector<CensusEntry> others{{"b", 3}, {"c", 3}};
  census.OnList(MakeList({{"b", 3}, {"c", 3}, {"self", 3}}, Millis(0)),
                Millis(0));
  EXPECT_EQ(Claim(census, others, Millis(0)), 3);
  EXPECT_GT(census.UpdateOwnedShare(Millis(3000)), 0);
  const Millis end = kClaimSettleTime + kIsolationTimeout;
  EXPECT_GT(census.UpdateOwnedShare(end - Millis(1)), 0);
  EXPECT_EQ(census.UpdateOwnedShare(end), 0);
  // A list that was requested before the pause proves nothing.
  census.OnList(MakeList({{"b", 3}, {"c", 3}, {"self", 3}}, Millis(0)), end);
  EXPECT_EQ(census.UpdateOwnedShare(end + Millis(5000)), 0);
}

TEST(PermitClientTest, RepeatsOnceAndGivesUp) {
  PermitClient client(7);
  const uint64_t nonce = client.Ask(1, "t", "a", Millis(0)).nonce;
  EXPECT_EQ(client.NextTimer(), kPermitRepeatDelay);
  EXPECT_TRUE(client.TakeRepeats(Millis(14)).empty());
  EXPECT_EQ(client.TakeRepeats(Millis(15)).size(), 1);
  EXPECT_TRUE(client.TakeRepeats(Millis(30)).empty());
  EXPECT_EQ(client.NextTimer(), kPermitTimeout);
  EXPECT_FALSE(client.OnReply("b", nonce, Millis(20)));
  // An answer after the time-out must not be used, even if the timer is late.
  EXPECT_FALSE(client.OnReply("a", nonce, Millis(50)));
  EXPECT_EQ(client.TakeTimeouts(Millis(50)).size(), 1);
  EXPECT_FALSE(client.NextTimer());
}

TEST(PermitClientTest, RepliesAndCancellations) {
  PermitClient client(7);
  const uint64_t first = client.Ask(1, "t", "a", Millis(0)).nonce;
  const uint64_t second = client.Ask(2, "t", "a", Millis(0)).nonce;
  client.Cancel(2);
  EXPECT_EQ(client.OnReply("a", first, Millis(1))->request, 1);
  EXPECT_FALSE(client.OnReply("a", first, Millis(1)));
  EXPECT_FALSE(client.OnReply("a", second, Millis(1)));
}

class PermitPoolTest : public testing::Test {
 protected:
  PermitPoolTest() {
    pool.SetTenants(std::vector<TenantSpec>{MakeTenant(10, 0)}, QuotaBounds(),
                    Millis(0));
    pool.Settle(SlotOf("t"), 1, Millis(200));
  }
  PermitReply TakeFor(uint64_t nonce, Millis now) {
    return pool.TakeFor("a", {nonce, "t"}, 1, now);
  }
  PermitPool pool;
};

// Guards against a repeated question that takes a second token.
TEST_F(PermitPoolTest, AnswersARepeatedQuestionOnce) {
  EXPECT_EQ(TakeFor(1, Millis(200)).result, PermitResult::kGranted);
  EXPECT_EQ(TakeFor(1, Millis(215)).result, PermitResult::kGranted);
  EXPECT_EQ(TakeFor(2, Millis(215)).result, PermitResult::kGranted);
  const PermitReply refusal = TakeFor(3, Millis(215));
  EXPECT_EQ(refusal.result, PermitResult::kRefused);
  EXPECT_GT(refusal.retry_after, Millis(0));
  EXPECT_EQ(TakeFor(3, Millis(300)).result, PermitResult::kRefused);
}

// Guards against a permit that is returned twice or long after its token has
// been replaced.
TEST_F(PermitPoolTest, TakesAReturnOnce) {
  TakeFor(1, Millis(200));
  TakeFor(2, Millis(200));
  EXPECT_EQ(pool.TakeReturned("b", 1, Millis(210)), "");
  EXPECT_EQ(pool.TakeReturned("a", 1, Millis(210)), "t");
  EXPECT_EQ(pool.TakeReturned("a", 1, Millis(210)), "");
  EXPECT_EQ(pool.TakeReturned("a", 2, Millis(301)), "");
  EXPECT_EQ(TakeFor(9, Millis(200)).result, PermitResult::kRefused);
  EXPECT_EQ(pool.TakeReturned("a", 9, Millis(210)), "");
}

TEST_F(PermitPoolTest, UnknownTenantsAndNoShare) {
  EXPECT_EQ(pool.Take("other", 1, Millis(200)).result, PermitResult::kNoShare);
  EXPECT_EQ(pool.Take("t", 0, Millis(200)).result, PermitResult::kNoShare);
}

// Guards against many slots on few VMs, and against slots that move although
// their VM remains.
TEST(RendezvousTest, SpreadsAndKeepsSlots) {
  std::vector<std::string> members;
  members.reserve(16);
  for (int i = 0; i < 16; ++i) {
    members.push_back("vm-" + std::to_string(i));
  }
  const std::vector<std::string> before = ChoosePoolVms(members);
  std::map<std::string, int> slots;
  for (const std::string& vm : before) {
    ++slots[vm];
  }
  EXPECT_GE(slots.size(), 12);
  for (const auto& [vm, count] : slots) {
    EXPECT_LE(count, 12) << vm;
  }
  const std::string removed = members.back();
  members.pop_back();
  const std::vector<std::string> after = ChoosePoolVms(members);
  for (size_t slot = 0; slot < kQuotaSlots; ++slot) {
    EXPECT_TRUE(after[slot] == before[slot] || before[slot] == removed);
  }
}

TEST(RendezvousTest, GroupsOfLargeFleets) {
  EXPECT_EQ(GroupCount(64), 1);
  EXPECT_EQ(GroupCount(143), 3);
  std::vector<int> sizes(GroupCount(143));
  for (int i = 0; i < 143; ++i) {
    ++sizes[GroupOf("vm-" + std::to_string(i), 143)];
  }
  EXPECT_LE(*std::ranges::max_element(sizes), 64);
}

}  // namespace
}  // namespace tanagervane
