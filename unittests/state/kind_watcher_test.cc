#include "tanagervane/state/kind_watcher.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "kind_watcher_fixture.h"

namespace tanagervane {
namespace {

// Fails if the watch starts after the first page, so that changes made while
// the later pages are read are lost.
TEST_F(KindWatcherTest, WatchStartsAtFirstPage) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10, true));
  ASSERT_EQ(m_lists.size(), 1u);
  EXPECT_EQ(m_lists[0].first, "a");
  EXPECT_FALSE(m_watcher.has_snapshot());
  AnswerList(StoreResult::kOk, Page({{"b", 12, {}}}, 13));
  EXPECT_EQ(m_objects.size(), 2u);
  ASSERT_EQ(m_watches.size(), 1u);
  EXPECT_EQ(m_watches[0].first, 10u);
}

// Fails if an event that is older than a listed object removes the object.
TEST_F(KindWatcherTest, IgnoresEventsOlderThanList) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 12, {}}}, 10));
  AnswerWatch(StoreResult::kOk, {{{{"a", 11, {}}, true}}, 12});
  EXPECT_EQ(m_objects.at("a"), 12u);
  AnswerWatch(StoreResult::kOk, {{{{"a", 14, {}}, true}}, 14});
  EXPECT_TRUE(m_objects.empty());
}

// Fails if the watch resumes after an outage instead of a new list: the history
// may no longer hold changes made during the outage (found in a lavandeti test
// run at scale 1, seed 985024309162).
TEST_F(KindWatcherTest, RelistsAfterOutage) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  AnswerWatch(StoreResult::kUnavailable);
  RunTasks();
  EXPECT_TRUE(m_watches.empty());
  AnswerList(StoreResult::kUnavailable);
  EXPECT_FALSE(m_watcher.reachable());
  RunTasks();
  EXPECT_TRUE(m_watches.empty());
  AnswerList(StoreResult::kOk, Page({{"b", 20, {}}}, 20));
  EXPECT_TRUE(m_watcher.reachable());
  EXPECT_EQ(m_objects, (std::map<std::string, uint64_t>{{"b", 20}}));
  EXPECT_EQ(m_reachable_calls, (std::vector<bool>{false, true}));
}

// Guards against a single watch that was cut off and counts as an outage of the
// store: registrations that vanish soon after it then have their grace time
// counted from too late a time (review/8).
TEST_F(KindWatcherTest, InterruptedWatchIsNoOutage) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  AnswerWatch(StoreResult::kUnavailable);
  EXPECT_TRUE(m_watcher.reachable());
  // No other read begins before the list.
  m_watcher.ReadNow();
  m_watcher.OnRemoteRevision(20, Millis(0), Millis(5000));
  EXPECT_TRUE(m_watches.empty());
  EXPECT_TRUE(m_lists.empty());
  RunTasks();
  ASSERT_EQ(m_lists.size(), 1u);
  AnswerList(StoreResult::kOk, Page({{"b", 20, {}}}, 20));
  EXPECT_EQ(m_objects, (std::map<std::string, uint64_t>{{"b", 20}}));
  EXPECT_TRUE(m_reachable_calls.empty());
}

TEST_F(KindWatcherTest, RelistsWhenHistoryIsGone) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({}, 10));
  AnswerWatch(StoreResult::kRevisionTooOld);
  EXPECT_EQ(m_lists.size(), 1u);
}

// Fails if a watch that never returns stays undetected although another VM has
// seen a later change.
TEST_F(KindWatcherTest, DetectsUnresponsiveWatchByRemoteRevision) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  m_watcher.OnRemoteRevision(9, Millis(0));
  m_watcher.OnRemoteRevision(12, Millis(100));
  EXPECT_TRUE(m_lists.empty());
  m_watcher.OnRemoteRevision(12, Millis(900));
  ASSERT_EQ(m_lists.size(), 1u);
  // A late answer of the unresponsive watch is ignored.
  AnswerWatch(StoreResult::kOk, {{{{"old", 11, {}}, false}}, 11});
  EXPECT_FALSE(m_objects.contains("old"));
  AnswerList(StoreResult::kOk, Page({{"a", 12, {}}}, 12));
  m_watcher.OnRemoteRevision(12, Millis(2000));
  m_watcher.OnRemoteRevision(12, Millis(4000));
  EXPECT_TRUE(m_lists.empty());
}

// Fails if the lower revision reported by another lagging VM hides a change, so
// that two VMs with unresponsive watches never list again (soak seeds 537 and
// 550).
TEST_F(KindWatcherTest, DetectsUnresponsiveWatchAlthoughOthersLag) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  for (int round = 0; round < 2; ++round) {
    m_watcher.OnRemoteRevision(12, Millis(500) * round);
    m_watcher.OnRemoteRevision(9, Millis(500) * round + Millis(250));
  }
  EXPECT_EQ(m_lists.size(), 1u);
}

// Fails if a message with a revision that the store never had causes a complete
// list every second.
TEST_F(KindWatcherTest, FalseRevisionCausesOneList) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  m_watcher.OnRemoteRevision(uint64_t{1} << 60, Millis(0));
  m_watcher.OnRemoteRevision(10, Millis(900));
  ASSERT_EQ(m_lists.size(), 1u);
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  for (int round = 0; round < 20; ++round) {
    m_watcher.OnRemoteRevision(10, Millis(1000) + Millis(250) * round);
  }
  EXPECT_TRUE(m_lists.empty());
}

// Fails if a deletion that the list already includes, and that only other VMs
// saw as an event, causes another list.
TEST_F(KindWatcherTest, ListCoversDeletionsSeenByOthers) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 50));
  m_watcher.OnRemoteRevision(40, Millis(0));
  m_watcher.OnRemoteRevision(40, Millis(5000));
  EXPECT_TRUE(m_lists.empty());
}

// Guards against revisions that are compared across eras: after a restore the
// store assigns lower revisions again, and its changes would be ignored.
TEST_F(KindWatcherTest, NewEraStartsAfresh) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 80, {}}, {"b", 90, {}}}, 100));
  m_watcher.OnRemoteRevision(120, Millis(0));
  m_watcher.OnEra(1);
  ASSERT_EQ(m_lists.size(), 1u);
  AnswerWatch(StoreResult::kOk, {{{{"late", 101, {}}, false}}, 101});
  EXPECT_FALSE(m_objects.contains("late")) << "read in the earlier era";
  StorePage page = Page({{"a", 70, {}}}, 75);
  page.era = 1;
  AnswerList(StoreResult::kOk, page);
  EXPECT_EQ(m_objects, (std::map<std::string, uint64_t>{{"a", 70}}));
  EXPECT_EQ(m_watch_request.revision, 75u);
  EXPECT_EQ(m_watcher.last_change_revision(), 70u);
  StoreEvents events = {{{{"a", 76, {}}, false}}, 76};
  events.era = 1;
  AnswerWatch(StoreResult::kOk, events);
  EXPECT_EQ(m_objects.at("a"), 76u);
  // A report of the earlier era causes no read.
  m_watcher.OnRemoteRevision(76, Millis(10'000));
  EXPECT_TRUE(m_lists.empty());
}

// Guards against a list that contains pages of two eras, and against responses
// of an earlier era that are applied.
TEST_F(KindWatcherTest, ResponsesOfOtherErasAreNotApplied) {
  m_watcher.Start();
  StorePage page = Page({{"a", 80, {}}}, 100, true);
  page.era = 2;
  AnswerList(StoreResult::kOk, page);
  EXPECT_EQ(m_lists.size(), 1u) << "the first response tells the era";
  page = Page({{"b", 60, {}}}, 70);
  page.era = 3;
  AnswerList(StoreResult::kOk, page);
  EXPECT_FALSE(m_watcher.has_snapshot());
  ASSERT_EQ(m_lists.size(), 1u);
  EXPECT_EQ(m_lists[0].first, "") << "listed again from the start";
  AnswerList(StoreResult::kOk, page);
  EXPECT_EQ(m_objects, (std::map<std::string, uint64_t>{{"b", 60}}));
  StoreEvents events = {{{{"c", 101, {}}, false}}, 101};
  events.era = 2;
  AnswerWatch(StoreResult::kOk, events);
  EXPECT_FALSE(m_objects.contains("c"));
  EXPECT_FALSE(m_watcher.reachable());
}

// Guards against a VM that goes by an earlier era until its watch ends, and
// against a false report that causes lists again and again.
TEST_F(KindWatcherTest, RemoteEraCausesOneList) {
  m_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 80, {}}}, 100));
  m_watcher.OnRemoteEra(0);
  EXPECT_TRUE(m_lists.empty());
  m_watcher.OnRemoteEra(1);
  ASSERT_EQ(m_lists.size(), 1u);
  AnswerList(StoreResult::kOk, Page({{"a", 80, {}}}, 100));
  m_watcher.OnRemoteEra(1);
  EXPECT_TRUE(m_lists.empty());
}

;

// Fails if every VM makes expensive reads of the latest state, or if a chosen
// VM does not watch it.
TEST_F(StaleReadsTest, OnlyChosenVmsWatchLatestState) {
  m_stale_watcher.Start();
  EXPECT_EQ(m_list_freshness, Freshness::kStale);
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  EXPECT_EQ(m_watch_request.freshness, Freshness::kStale);
  EXPECT_TRUE(m_watch_request.wait);
  m_stale_watcher.SetRole(WatchRole::kLatest);
  ASSERT_EQ(m_watches.size(), 2u)
      << "the watch starts at once, not after the waiting watch";
  EXPECT_EQ(m_watch_request.freshness, Freshness::kLatest);
  AnswerWatch(StoreResult::kOk, {{{{"old", 11, {}}, false}}, 11});
  EXPECT_FALSE(m_objects.contains("old"))
      << "the answer of the replaced watch is ignored";
  AnswerWatch(StoreResult::kOk, {{{{"b", 12, {}}, false}}, 12});
  EXPECT_TRUE(m_objects.contains("b"));
  EXPECT_EQ(m_watch_request.freshness, Freshness::kLatest);
  EXPECT_TRUE(m_watch_request.wait);
  EXPECT_EQ(m_watch_request.revision, 12u);
}

// Guards against a restarted process that goes by a configuration of some
// seconds ago (review/7), and against later lists that are expensive.
TEST_F(StaleReadsTest, FirstListMayBeOfTheLatestState) {
  KindWatcher watcher({.stale_reads = true, .latest_first_list = true}, Hooks(),
                      1);
  watcher.Start();
  EXPECT_EQ(m_list_freshness, Freshness::kLatest);
  AnswerList(StoreResult::kUnavailable);
  RunTasks();
  EXPECT_EQ(m_list_freshness, Freshness::kLatest);
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  EXPECT_EQ(m_watch_request.freshness, Freshness::kStale);
  AnswerWatch(StoreResult::kUnavailable);
  RunTasks();
  EXPECT_EQ(m_list_freshness, Freshness::kStale);
}

// Guards against a stale list of the state before the restore.
TEST_F(StaleReadsTest, NewEraListsLatestState) {
  m_stale_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  StoreEvents events = {{}, 8};
  events.era = 1;
  AnswerWatch(StoreResult::kOk, events);
  ASSERT_EQ(m_lists.size(), 1u);
  EXPECT_EQ(m_list_freshness, Freshness::kLatest);
}

// Fails if a change that a stale watch lacks is not read in time, or is read
// with a complete list.
TEST_F(StaleReadsTest, LaggingWatchReadsLatestChanges) {
  m_stale_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  m_stale_watcher.OnRemoteRevision(12, Millis(0));
  m_stale_watcher.OnRemoteRevision(12, Millis(900));
  ASSERT_EQ(m_watches.size(), 2u);
  EXPECT_EQ(m_watch_request.freshness, Freshness::kLatest);
  EXPECT_FALSE(m_watch_request.wait);
  // A slow call is not repeated while it is in flight.
  m_stale_watcher.OnRemoteRevision(12, Millis(2000));
  EXPECT_EQ(m_watches.size(), 2u);
  m_watches.erase(m_watches.begin());
  AnswerWatch(StoreResult::kOk, {{{{"b", 12, {}}, false}}, 12});
  EXPECT_TRUE(m_objects.contains("b"));
  EXPECT_TRUE(m_lists.empty());
  ASSERT_EQ(m_watches.size(), 1u);
  EXPECT_EQ(m_watch_request.freshness, Freshness::kStale);
  EXPECT_EQ(m_lagging_calls, 1);
  m_stale_watcher.OnRemoteRevision(12, Millis(3000));
  m_stale_watcher.OnRemoteRevision(12, Millis(5000));
  EXPECT_EQ(m_watches.size(), 1u);
}

// Guards against a wait that begins only when the report arrives, although the
// change is older: the delays of gossip and of the wait would add up.
TEST_F(StaleReadsTest, AgeOfAReportCountsTowardsTheWait) {
  m_stale_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  m_stale_watcher.OnRemoteRevision(12, Millis(5000), Millis(400));
  EXPECT_EQ(m_watches.size(), 1u);
  m_stale_watcher.OnRemoteRevision(12, Millis(5350), Millis(750));
  EXPECT_EQ(m_watches.size(), 2u);
}

// Guards against a removal that is taken for later than another VM saw it.
TEST_F(StaleReadsTest, RemovalsHaveARevisionByWhichTheyHappened) {
  m_stale_watcher.Start();
  AnswerList(StoreResult::kOk,
             Page({{"a", 3, {}}, {"b", 4, {}}, {"c", 5, {}}}, 10));
  EXPECT_EQ(m_removal_revision, 10u);
  // The event of a deletion may hold the revision of the deletion or that of
  // the object's last change.
  AnswerWatch(StoreResult::kOk, {{{{"a", 11, {}}, true}}, 14});
  EXPECT_EQ(m_removal_revision, 11u);
  AnswerWatch(StoreResult::kOk, {{{{"b", 4, {}}, true}}, 16});
  EXPECT_EQ(m_removal_revision, 16u);
  m_stale_watcher.OnRemoteRevision(20, Millis(0), Millis(900));
  m_watches.erase(m_watches.begin());
  AnswerWatch(StoreResult::kOk, {{}, 16});
  ASSERT_FALSE(m_lists.empty());
  AnswerList(StoreResult::kOk, Page({}, 30));
  EXPECT_EQ(m_removal_revision, 20u);
}

// Fails if a reported change that the latest changes do not contain, because
// the store lacks it or the report is false, causes no list or more than one.
TEST_F(StaleReadsTest, MissingChangeCausesOneList) {
  m_stale_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  m_stale_watcher.OnRemoteRevision(uint64_t{1} << 60, Millis(0));
  m_stale_watcher.OnRemoteRevision(10, Millis(900));
  m_watches.erase(m_watches.begin());
  AnswerWatch(StoreResult::kOk, {{}, 20});
  ASSERT_EQ(m_lists.size(), 1u);
  EXPECT_EQ(m_list_freshness, Freshness::kLatest);
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 20));
  for (int round = 0; round < 20; ++round) {
    m_stale_watcher.OnRemoteRevision(10, Millis(1000) + Millis(250) * round);
  }
  EXPECT_TRUE(m_lists.empty());
  EXPECT_EQ(m_watches.size(), 1u);
}

// Fails if the watch starts after the oldest page: a later stale page may show
// an older state, and changes would be lost.
TEST_F(StaleReadsTest, WatchStartsAtOldestPage) {
  m_stale_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10, true));
  AnswerList(StoreResult::kOk, Page({{"b", 4, {}}}, 7));
  EXPECT_EQ(m_watch_request.revision, 7u);
}

// Fails if a stale list after an outage reverts known changes.
TEST_F(StaleReadsTest, RejectsListOlderThanLocalCopy) {
  m_stale_watcher.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  AnswerWatch(StoreResult::kOk, {{{{"a", 15, {}}, false}}, 15});
  AnswerWatch(StoreResult::kUnavailable);
  RunTasks();
  EXPECT_EQ(m_list_freshness, Freshness::kStale);
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 12));
  EXPECT_EQ(m_objects.at("a"), 15u);
  ASSERT_EQ(m_lists.size(), 1u);
  EXPECT_EQ(m_list_freshness, Freshness::kLatest);
  AnswerList(StoreResult::kOk, Page({{"a", 15, {}}}, 16));
  EXPECT_EQ(m_watch_request.revision, 16u);
}

// Fails if a stale list is read after the history was lost, which may miss
// changes.
TEST_F(StaleReadsTest, ListsLatestStateWhenHistoryIsGone) {
  m_stale_watcher.Start();
  AnswerList(StoreResult::kOk, Page({}, 10));
  AnswerWatch(StoreResult::kRevisionTooOld);
  ASSERT_EQ(m_lists.size(), 1u);
  EXPECT_EQ(m_list_freshness, Freshness::kLatest);
}

// Guards against calls to an unreachable store for each kind, all of which are
// priced, and against a kind that is never read again because another one is
// unreadable.
TEST_F(KindWatcherTest, RetriesOfAnotherKindReplaceMostOfItsOwn) {
  bool may_retry = false;
  KindWatcherHooks hooks = Hooks();
  hooks.may_retry = [&may_retry] { return may_retry; };
  KindWatcher watcher({}, std::move(hooks), 1);
  watcher.Start();
  AnswerList(StoreResult::kUnavailable);
  for (int retry = 0; retry < 3; ++retry) {
    RunTasks();
    EXPECT_TRUE(m_lists.empty());
  }
  RunTasks();
  ASSERT_EQ(m_lists.size(), 1u);
  watcher.RetryNow();
  EXPECT_EQ(m_lists.size(), 1u) << "a list is in flight";
  AnswerList(StoreResult::kUnavailable);
  watcher.RetryNow();
  ASSERT_EQ(m_lists.size(), 1u);
  RunTasks();
  EXPECT_EQ(m_lists.size(), 1u) << "the retry that waited is dropped";
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  EXPECT_TRUE(watcher.reachable());
  watcher.RetryNow();
  EXPECT_TRUE(m_lists.empty());
  // A watch that was cut off is no outage.
  AnswerWatch(StoreResult::kUnavailable);
  RunTasks();
  EXPECT_EQ(m_lists.size(), 1u);
}

// Fails if calls to an unreachable store are retried without a delay.
TEST_F(KindWatcherTest, FailedCallsAreDelayed) {
  m_watcher.Start();
  for (int i = 0; i < 5; ++i) {
    AnswerList(StoreResult::kUnavailable);
    EXPECT_TRUE(m_lists.empty());
    ASSERT_EQ(m_tasks.size(), 1u);
    RunTasks();
    ASSERT_EQ(m_lists.size(), 1u);
  }
}

}  // namespace
}  // namespace tanagervane
