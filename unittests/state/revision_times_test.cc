// Tests of the times at which changes of the store were first seen.

#include "tanagervane/state/revision_times.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace tanagervane {
namespace {

// Guards against limits on the time since a change that count from the time at
// which this VM heard of it.
TEST(RevisionTimesTest, EarliestReportThatIncludesAChangeCounts) {
  RevisionTimes times;
  EXPECT_FALSE(times.SeenAt(1));
  times.Record(10, Millis(1000));
  times.Record(12, Millis(1500));
  EXPECT_EQ(times.SeenAt(9), Millis(1000));
  EXPECT_EQ(times.SeenAt(11), Millis(1500));
  EXPECT_FALSE(times.SeenAt(13));
  times.Record(12, Millis(900));
  EXPECT_EQ(times.SeenAt(10), Millis(900));
}

// Guards against a false report that hides all later ones.
TEST(RevisionTimesTest, OldReportsAreForgotten) {
  RevisionTimes times;
  times.Record(uint64_t{1} << 60, Millis(0));
  EXPECT_TRUE(times.Recent(Millis(60'000), 8).empty());
  times.Record(20, Millis(60'000));
  EXPECT_EQ(times.SeenAt(20), Millis(60'000));
  EXPECT_EQ(times.Recent(Millis(60'100), 8),
            (std::vector<RevisionReport>{{20, Millis(100)}}));
}

// Guards against reports that are lost or kept out of order.
RC_GTEST_PROP(RevisionTimesProperty, MatchesAllReports, ()) {
  RevisionTimes times;
  const auto reports = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(1, 30), rc::gen::inRange(0, 50)));
  for (const auto& [revision, seen_at] : reports) {
    times.Record(static_cast<uint64_t>(revision), Millis(seen_at));
  }
  for (int revision = 1; revision <= 30; ++revision) {
    std::optional<Millis> earliest;
    for (const auto& [reported, seen_at] : reports) {
      if (reported >= revision && (!earliest || Millis(seen_at) < *earliest)) {
        earliest = Millis(seen_at);
      }
    }
    RC_ASSERT(times.SeenAt(static_cast<uint64_t>(revision)) == earliest);
  }
}

}  // namespace
}  // namespace tanagervane
