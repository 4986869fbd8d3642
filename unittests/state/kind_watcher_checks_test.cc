// Tests of the checks of watches, and of the times from which changes count.

#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "kind_watcher_fixture.h"
#include "tanagervane/state/kind_watcher.h"

namespace tanagervane {
namespace {

// Guards against a watch that the store received while it was unresponsive, and
// therefore never answers, and that is noticed only when its wait is over.
TEST_F(KindWatcherTest, UnansweredWatchIsNoticedByAShortRead) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  ASSERT_TRUE(m_watch_request.wait);
  RunTasks();
  ASSERT_EQ(m_watches.size(), 2u);
  EXPECT_FALSE(m_watch_request.wait);
  EXPECT_EQ(m_watch_request.revision, 10u);
  // The first watch hangs and the short read times out.
  m_watches.erase(m_watches.begin());
  AnswerWatch(StoreResult::kUnavailable);
  EXPECT_FALSE(m_watcher.reachable());
  RunTasks();
  ASSERT_EQ(m_lists.size(), 1u);
  AnswerList(StoreResult::kOk, Page({{"a", 12, {}}}, 12));
  EXPECT_EQ(m_objects.at("a"), 12u);
  EXPECT_TRUE(m_watcher.reachable());
}

// Guards against a check that disturbs a watch in progress, or that concerns a
// watch that has ended.
TEST_F(KindWatcherTest, AnsweredCheckLeavesTheWatchInPlace) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  RunTasks();
  ASSERT_EQ(m_watches.size(), 2u);
  std::swap(m_watches[0], m_watches[1]);
  AnswerWatch(StoreResult::kOk, {{}, 11});
  EXPECT_EQ(m_watches.size(), 1u);
  EXPECT_TRUE(m_reachable_calls.empty());
  AnswerWatch(StoreResult::kOk, {{{{"b", 11, {}}, false}}, 11});
  EXPECT_TRUE(m_objects.contains("b"));
  ASSERT_EQ(m_watches.size(), 1u);
  // The next watch ends before its check.
  AnswerWatch(StoreResult::kOk, {{}, 11});
  RunTasks();
  EXPECT_EQ(m_watches.size(), 2u) << "only the watch in progress is checked";
}

// Guards against a watch whose answer was lost, although the store answers
// again when the watch is checked: no VM then saw changes until the end of the
// wait, 16.5 s later (review/6 with a change during the silence).
TEST_F(KindWatcherTest, LostAnswerOfAWatchIsNoticedByLaterChecks) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  const auto lost = std::move(m_watches.front());
  m_watches.clear();
  for (int check = 0; check < 3; ++check) {
    RunTasks();
    ASSERT_EQ(m_watches.size(), 1u) << "the check repeats";
    AnswerWatch(StoreResult::kOk, {{}, 10});
    EXPECT_TRUE(m_watches.empty());
  }
  RunTasks();
  ASSERT_EQ(m_watches.size(), 1u);
  EXPECT_FALSE(m_watch_request.wait);
  AnswerWatch(StoreResult::kOk, {{{{"b", 12, {}}, false}}, 12});
  EXPECT_TRUE(m_objects.contains("b"));
  EXPECT_EQ(m_unanswered_watches, 1);
  ASSERT_EQ(m_watches.size(), 1u) << "a new watch begins";
  EXPECT_TRUE(m_watch_request.wait);
  EXPECT_EQ(m_watch_request.revision, 12u);
  // The lost answer arrives late.
  lost.second(StoreResult::kOk, {{{{"b", 11, {}}, true}}, 11});
  EXPECT_TRUE(m_objects.contains("b"));
  EXPECT_TRUE(m_reachable_calls.empty());
}

// Guards against a grace time that begins only when a late check finds a
// removal: the change may have been made right after the check before.
TEST_F(KindWatcherTest, ChangesInAGapCountFromItsBeginning) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  m_watches.clear();
  m_now += Millis(1500);
  RunTasks();
  const Millis last_check = m_now;
  AnswerWatch(StoreResult::kOk, {{}, 10});
  m_now += Millis(1500);
  RunTasks();
  AnswerWatch(StoreResult::kOk, {{{{"a", 11, {}}, true}}, 11});
  EXPECT_EQ(m_watcher.changed_since(), last_check);
  // A waiting watch reports changes as they are made.
  m_now += Millis(1000);
  AnswerWatch(StoreResult::kOk, {{{{"b", 12, {}}, false}}, 12});
  EXPECT_EQ(m_watcher.changed_since(), m_now);
}

// Guards against replicas that are retired right after an outage, because their
// registrations lapsed in it and changes count from before it.
TEST_F(KindWatcherTest, ChangesInAnOutageCountFromItsEnd) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  AnswerWatch(StoreResult::kUnavailable);
  RunTasks();
  m_now += Millis(1000);
  AnswerList(StoreResult::kUnavailable);
  RunTasks();
  m_now += Millis(1000);
  AnswerList(StoreResult::kOk, Page({}, 20));
  EXPECT_EQ(m_watcher.changed_since(), m_now);
}

// Guards against expensive checks of watches by more than one VM, and against a
// leader whose checks show an older state than its watch must.
TEST_F(StaleReadsTest, OnlyTheLeadersChecksReadTheLatestState) {
  m_stale_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  EXPECT_TRUE(m_tasks.empty()) << "stale watches are not checked";
  m_stale_watcher.SetRole(WatchRole::kLatest);
  RunTasks();
  ASSERT_EQ(m_watches.size(), 3u);
  EXPECT_FALSE(m_watch_request.wait);
  EXPECT_EQ(m_watch_request.freshness, Freshness::kStale);
  std::swap(m_watches[0], m_watches[2]);
  AnswerWatch(StoreResult::kOk, {{}, 10});
  m_stale_watcher.SetRole(WatchRole::kLeader);
  RunTasks();
  EXPECT_FALSE(m_watch_request.wait);
  EXPECT_EQ(m_watch_request.freshness, Freshness::kLatest);
}

// Guards against a VM that has lost its role and still makes expensive checks
// of the watch that it began in it, which may wait for long.
TEST_F(StaleReadsTest, WatchesOfAFormerRoleAreNotChecked) {
  m_stale_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  m_stale_watcher.SetRole(WatchRole::kLeader);
  m_watches.clear();
  m_stale_watcher.SetRole(WatchRole::kNone);
  RunTasks();
  EXPECT_TRUE(m_watches.empty());
  EXPECT_TRUE(m_tasks.empty());
}

// Guards against a check between a watch that was answered and the next one:
// changes that are gathered meanwhile are not missed.
TEST_F(StaleReadsTest, AnsweredWatchesAreNotChecked) {
  KindWatcher watcher({.batch_delay = Millis(500)}, Hooks(), 1);
  watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  ASSERT_EQ(m_tasks.size(), 1u);
  auto check = std::move(m_tasks.front());
  m_tasks.clear();
  AnswerWatch(StoreResult::kOk, {{{{"b", 11, {}}, false}}, 11});
  check();
  EXPECT_TRUE(m_watches.empty());
  RunTasks();
  ASSERT_EQ(m_watches.size(), 1u);
  EXPECT_TRUE(m_watch_request.wait);
}

// Guards against a grace time that begins when a VM takes up the role: nobody
// may have watched for some time before (review/7 with a removal).
TEST_F(StaleReadsTest, ChangesBeforeARoleCountFromBeforeIt) {
  m_stale_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  m_now += Millis(10'000);
  m_stale_watcher.SetRole(WatchRole::kLeader);
  m_watches.erase(m_watches.begin());
  AnswerWatch(StoreResult::kOk, {{{{"a", 11, {}}, true}}, 11});
  EXPECT_EQ(m_watcher.changed_since(), Millis(0));
  EXPECT_EQ(m_stale_watcher.changed_since(), m_now - Millis(2000));
}

}  // namespace
}  // namespace tanagervane
