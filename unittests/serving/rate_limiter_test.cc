// Tests of the pacing of requests to replicas that state a rate limit.

#include "tanagervane/serving/rate_limiter.h"
#include "tanagervane/serving/request_limits.h"

#include <algorithm>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "tanagervane/support/random.h"

namespace tanagervane {
namespace {

constexpr size_t kMaxCount = 100;

RateLimiter MakeLimiter(double per_second, double share, double phase = 0) {
  RateLimiter limiter;
  limiter.SetShare(share);
  limiter.Record(per_second, Millis(0), phase);
  return limiter;
}

/// Uses every permit that there is at `now`; returns their number.
size_t UseAll(RateLimiter& limiter, Millis now) {
  const size_t count = limiter.CountPermits(kMaxCount, now);
  for (size_t i = 0; i < count; ++i) {
    limiter.UsePermit(now);
  }
  return count;
}

TEST(RateLimiterTest, PermitsAreUnboundedWithoutLimit) {
  RateLimiter limiter;
  EXPECT_EQ(limiter.CountPermits(kMaxCount, Millis(5)), kMaxCount);
  EXPECT_EQ(limiter.NextPermitAt(Millis(5)), Millis(5));
}

// Guards against a VM that uses more than its share of a limit.
TEST(RateLimiterTest, PermitsAccrueAtTheShareOfTheLimit) {
  RateLimiter limiter = MakeLimiter(40, 0.25);
  size_t used = 0;
  for (Millis now(0); now < Millis(10'000); now += Millis(5)) {
    used += UseAll(limiter, now);
  }
  EXPECT_EQ(used, 100u);
  EXPECT_EQ(limiter.NextPermitAt(Millis(10'000)), Millis(10'000));
  limiter.UsePermit(Millis(10'000));
  EXPECT_EQ(limiter.NextPermitAt(Millis(10'001)), Millis(10'100));
}

// Guards against idle VMs that save permits and spend them all at once.
TEST(RateLimiterTest, UnusedPermitsExpire) {
  RateLimiter limiter = MakeLimiter(10, 1);
  EXPECT_LE(limiter.CountPermits(kMaxCount, Millis(60'000)), 11u);
  RateLimiter slow_limiter = MakeLimiter(0.5, 1, 0.5);
  EXPECT_EQ(slow_limiter.CountPermits(kMaxCount, Millis(1500)), 1u);
  EXPECT_EQ(slow_limiter.CountPermits(kMaxCount, Millis(2500)), 0u);
  EXPECT_EQ(slow_limiter.NextPermitAt(Millis(2500)), Millis(3000));
}

// Guards against a replica that is never asked again, so that nobody learns
// that its limit of zero has ended.
TEST(RateLimiterTest, ZeroLimitGrantsRarePermits) {
  RateLimiter limiter = MakeLimiter(0, 1);
  size_t used = 0;
  for (Millis now(0); now < Millis(20'000); now += Millis(5)) {
    used += UseAll(limiter, now);
  }
  EXPECT_EQ(used, 5u);
}

// Guards against numbers that overflow and a replica that gets nothing.
TEST(RateLimiterTest, HugeLimitGrantsPermits) {
  RateLimiter limiter = MakeLimiter(1e308, 0.01);
  for (const Millis now : {Millis(1), Millis(5000), Millis(1e9)}) {
    EXPECT_EQ(limiter.NextPermitAt(now), now);
    EXPECT_EQ(limiter.CountPermits(5, now), 5u);
    limiter.UsePermit(now);
  }
}

// Guards against an old statement, which another VM passes on, that replaces a
// newer one.
TEST(RateLimiterTest, OlderStatementIsIgnored) {
  RateLimiter limiter = MakeLimiter(40, 1);
  EXPECT_TRUE(limiter.Record(std::nullopt, Millis(100), 0));
  EXPECT_FALSE(limiter.Record(40, Millis(90), 0));
  EXPECT_FALSE(limiter.limit());
  EXPECT_FALSE(limiter.Record(std::nullopt, Millis(120), 0));
}

// Guards against permits that are granted anew with each changed statement.
TEST(RateLimiterTest, ChangedLimitKeepsUsedPermits) {
  RateLimiter limiter = MakeLimiter(1, 1);
  size_t used = 0;
  for (Millis now(0); now < Millis(10'000); now += Millis(5)) {
    const double per_second = 1 + 1e-6 * now.count();
    limiter.Record(per_second, now, 0);
    used += UseAll(limiter, now);
  }
  EXPECT_LE(used, 11u);
}

/// Returns the largest number of times within any span of four seconds.
size_t LargestWindow(const std::vector<Millis>& times) {
  size_t largest = 0;
  for (size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= Millis(4000)) {
      ++first;
    }
    largest = std::max(largest, last - first + 1);
  }
  return largest;
}

// Guards against a fleet that exceeds one and a half times the limit in some
// four seconds, for fleets of any size and demand that comes in bursts.
RC_GTEST_PROP(RateLimiterProperty, FleetKeepsTheLimit, ()) {
  const auto vms = *rc::gen::inRange<size_t>(1, 100);
  const double limit = *rc::gen::inRange(20, 1000) / 10.0;
  const auto replica = *rc::gen::arbitrary<IncarnationHash>();
  Random random(*rc::gen::arbitrary<uint32_t>());
  std::vector<RequestLimitTable> tables;
  std::vector<Millis> learns_at;
  for (size_t rank = 0; rank < vms; ++rank) {
    tables.emplace_back(random.NextBelow(1 << 30));
    tables.back().SetShare(1.0 / static_cast<double>(vms));
    tables.back().SetRank(rank);
    learns_at.emplace_back(1000 * random.NextDouble());
  }
  std::vector<Millis> sent;
  bool burst = true;
  for (Millis now(0); now < Millis(20'000); now += Millis(20)) {
    if (random.NextBelow(40) == 0) {
      burst = !burst;
    }
    for (size_t vm = 0; vm < vms; ++vm) {
      if (now < learns_at[vm]) {
        continue;
      }
      tables[vm].RecordRateLimit(replica, limit, Millis(0), now);
      const size_t used =
          burst ? UseAll(tables[vm].Get(replica, now)->rate_limiter, now) : 0;
      sent.insert(sent.end(), used, now);
    }
  }
  RC_ASSERT(static_cast<double>(LargestWindow(sent)) <= 1.5 * 4 * limit + 5);
}

}  // namespace
}  // namespace tanagervane
