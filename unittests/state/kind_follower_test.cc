// Tests of following the objects of a kind.

#include "tanagervane/state/kind_follower.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"

namespace tanagervane {
namespace {

/// A store whose answers the test gives by hand.
class KindFollowerTest : public testing::Test {
 protected:
  KindFollowerHooks Hooks() {
    KindFollowerHooks hooks;
    hooks.list = [this](std::string_view after, Freshness freshness,
                        KindFollowerHooks::PageDone done) {
      m_list_freshness = freshness;
      m_lists.emplace_back(std::string(after), std::move(done));
    };
    hooks.watch = [this](const WatchRequest& request,
                         KindFollowerHooks::EventsDone done) {
      m_watch_request = request;
      m_watches.emplace_back(request.revision, std::move(done));
    };
    hooks.after = [this](Millis, std::function<void()> task) {
      m_tasks.push_back(std::move(task));
    };
    hooks.snapshot = [this](const std::vector<StoreObject>& objects) {
      m_objects.clear();
      for (const StoreObject& object : objects) {
        m_objects[object.name] = object.revision;
      }
    };
    hooks.changed = [this](const StoreObject& object) {
      m_objects[object.name] = object.revision;
    };
    hooks.removed = [this](std::string_view name) {
      m_objects.erase(std::string(name));
    };
    hooks.lagging = [this](uint64_t covered, uint64_t seen_elsewhere) {
      EXPECT_LT(covered, seen_elsewhere);
      ++m_lagging;
    };
    hooks.reachable = [this](bool reachable, StoreResult) {
      m_reachable.push_back(reachable);
    };
    return hooks;
  }

  static StorePage Page(std::vector<StoreObject> objects,
                        uint64_t revision,
                        bool has_more = false) {
    return {std::move(objects), has_more, revision};
  }

  void AnswerList(StoreResult result, StorePage page = {}) {
    auto [after, done] = std::move(m_lists.front());
    m_lists.erase(m_lists.begin());
    done(result, std::move(page));
  }

  void AnswerWatch(StoreResult result, StoreEvents events = {}) {
    auto [revision, done] = std::move(m_watches.front());
    m_watches.erase(m_watches.begin());
    done(result, std::move(events));
  }

  void RunTasks() {
    for (auto& task : std::exchange(m_tasks, {})) {
      task();
    }
  }

  std::vector<std::pair<std::string, KindFollowerHooks::PageDone>> m_lists;
  std::vector<std::pair<uint64_t, KindFollowerHooks::EventsDone>> m_watches;
  std::vector<std::function<void()>> m_tasks;
  /// How the latest calls were made.
  Freshness m_list_freshness = Freshness::kLatest;
  WatchRequest m_watch_request;
  std::map<std::string, uint64_t> m_objects;
  std::vector<bool> m_reachable;
  int m_lagging = 0;
  KindFollower m_follower{{}, Hooks(), 1};
};

// Guards against changes lost between the pages of a list.
TEST_F(KindFollowerTest, WatchesFromTheFirstPage) {
  m_follower.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10, true));
  ASSERT_EQ(m_lists.size(), 1u);
  EXPECT_EQ(m_lists[0].first, "a");
  EXPECT_FALSE(m_follower.has_snapshot());
  AnswerList(StoreResult::kOk, Page({{"b", 12, {}}}, 13));
  EXPECT_EQ(m_objects.size(), 2u);
  ASSERT_EQ(m_watches.size(), 1u);
  EXPECT_EQ(m_watches[0].first, 10u);
}

// Guards against an old event that undoes what the list has shown.
TEST_F(KindFollowerTest, OldEventsUndoNothing) {
  m_follower.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 12, {}}}, 10));
  AnswerWatch(StoreResult::kOk, {{{{"a", 11, {}}, true}}, 12});
  EXPECT_EQ(m_objects.at("a"), 12u);
  AnswerWatch(StoreResult::kOk, {{{{"a", 14, {}}, true}}, 14});
  EXPECT_TRUE(m_objects.empty());
}

// Guards against a view that stays old after an outage, during which changes
// may have left the history (lavandeti hunt, scale-1 seed 985024309162).
TEST_F(KindFollowerTest, ReadsAllAgainAfterALoss) {
  m_follower.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  AnswerWatch(StoreResult::kUnavailable);
  EXPECT_FALSE(m_follower.reachable());
  RunTasks();
  EXPECT_TRUE(m_watches.empty());
  AnswerList(StoreResult::kOk, Page({{"b", 20, {}}}, 20));
  EXPECT_TRUE(m_follower.reachable());
  EXPECT_EQ(m_objects, (std::map<std::string, uint64_t>{{"b", 20}}));
  EXPECT_EQ(m_reachable, (std::vector<bool>{false, true}));
}

TEST_F(KindFollowerTest, ReadsAllAgainWhenTheHistoryIsGone) {
  m_follower.Start();
  AnswerList(StoreResult::kOk, Page({}, 10));
  AnswerWatch(StoreResult::kHistoryGone);
  EXPECT_EQ(m_lists.size(), 1u);
}

// Guards against a watch that has gone deaf without an end: another VM has
// seen a later change.
TEST_F(KindFollowerTest, DeafWatchIsNoticedThroughOthers) {
  m_follower.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  m_follower.OnRevisionElsewhere(9, Millis(0));
  m_follower.OnRevisionElsewhere(12, Millis(100));
  EXPECT_TRUE(m_lists.empty());
  m_follower.OnRevisionElsewhere(12, Millis(900));
  ASSERT_EQ(m_lists.size(), 1u);
  // The deaf watch's answer no longer counts.
  AnswerWatch(StoreResult::kOk, {{{{"old", 11, {}}, false}}, 11});
  EXPECT_FALSE(m_objects.contains("old"));
  AnswerList(StoreResult::kOk, Page({{"a", 12, {}}}, 12));
  m_follower.OnRevisionElsewhere(12, Millis(2000));
  m_follower.OnRevisionElsewhere(12, Millis(4000));
  EXPECT_TRUE(m_lists.empty());
}

// Guards against two deaf VMs that hide the change from each other: each tells
// the other what it has seen itself (soak seeds 537 and 550).
TEST_F(KindFollowerTest, DeafWatchIsNoticedAlthoughOthersLagToo) {
  m_follower.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  for (int beat = 0; beat < 2; ++beat) {
    m_follower.OnRevisionElsewhere(12, Millis(500) * beat);
    m_follower.OnRevisionElsewhere(9, Millis(500) * beat + Millis(250));
  }
  EXPECT_EQ(m_lists.size(), 1u);
}

// Guards against a full read each second because a message claimed a revision
// that the store never had.
TEST_F(KindFollowerTest, FalseRevisionIsReadForOnce) {
  m_follower.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  m_follower.OnRevisionElsewhere(uint64_t{1} << 60, Millis(0));
  m_follower.OnRevisionElsewhere(10, Millis(900));
  ASSERT_EQ(m_lists.size(), 1u);
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  for (int beat = 0; beat < 20; ++beat) {
    m_follower.OnRevisionElsewhere(10, Millis(1000) + Millis(250) * beat);
  }
  EXPECT_TRUE(m_lists.empty());
}

// Guards against re-reading because of a deletion that only others saw as an
// event: the list has covered it.
TEST_F(KindFollowerTest, ListCoversDeletionsThatOthersSaw) {
  m_follower.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 50));
  m_follower.OnRevisionElsewhere(40, Millis(0));
  m_follower.OnRevisionElsewhere(40, Millis(5000));
  EXPECT_TRUE(m_lists.empty());
}

class StaleReadsTest : public KindFollowerTest {
 protected:
  KindFollower m_stale{{.stale_reads = true}, Hooks(), 1};
};

// Guards against dear reads by each VM, and against a fleet in which nobody
// sees the latest state.
TEST_F(StaleReadsTest, OnlyChosenVmsWatchTheLatest) {
  m_stale.Start();
  EXPECT_EQ(m_list_freshness, Freshness::kStale);
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  EXPECT_EQ(m_watch_request.freshness, Freshness::kStale);
  EXPECT_TRUE(m_watch_request.wait);
  m_stale.SetWatchesLatest(true);
  ASSERT_EQ(m_watches.size(), 2u) << "at once, not after the waiting watch";
  EXPECT_EQ(m_watch_request.freshness, Freshness::kLatest);
  AnswerWatch(StoreResult::kOk, {{{{"old", 11, {}}, false}}, 11});
  EXPECT_FALSE(m_objects.contains("old")) << "the call that was given up";
  AnswerWatch(StoreResult::kOk, {{{{"b", 12, {}}, false}}, 12});
  EXPECT_TRUE(m_objects.contains("b"));
  EXPECT_EQ(m_watch_request.freshness, Freshness::kLatest);
  EXPECT_TRUE(m_watch_request.wait);
  EXPECT_EQ(m_watch_request.revision, 12u);
}

// Guards against a change that a stale watch brings too late, and against a
// full list for it.
TEST_F(StaleReadsTest, LaggingWatchReadsTheLatestChanges) {
  m_stale.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  m_stale.OnRevisionElsewhere(12, Millis(0));
  m_stale.OnRevisionElsewhere(12, Millis(900));
  ASSERT_EQ(m_watches.size(), 2u);
  EXPECT_EQ(m_watch_request.freshness, Freshness::kLatest);
  EXPECT_FALSE(m_watch_request.wait);
  // A call that is slow is not made again meanwhile.
  m_stale.OnRevisionElsewhere(12, Millis(2000));
  EXPECT_EQ(m_watches.size(), 2u);
  m_watches.erase(m_watches.begin());
  AnswerWatch(StoreResult::kOk, {{{{"b", 12, {}}, false}}, 12});
  EXPECT_TRUE(m_objects.contains("b"));
  EXPECT_TRUE(m_lists.empty());
  ASSERT_EQ(m_watches.size(), 1u);
  EXPECT_EQ(m_watch_request.freshness, Freshness::kStale);
  EXPECT_EQ(m_lagging, 1);
  m_stale.OnRevisionElsewhere(12, Millis(3000));
  m_stale.OnRevisionElsewhere(12, Millis(5000));
  EXPECT_EQ(m_watches.size(), 1u);
}

// Guards against a change that even the latest changes do not hold, because
// the store does not hear of it or the claim is false: one list settles it.
TEST_F(StaleReadsTest, MissingChangeIsListedForOnce) {
  m_stale.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10));
  m_stale.OnRevisionElsewhere(uint64_t{1} << 60, Millis(0));
  m_stale.OnRevisionElsewhere(10, Millis(900));
  m_watches.erase(m_watches.begin());
  AnswerWatch(StoreResult::kOk, {{}, 20});
  ASSERT_EQ(m_lists.size(), 1u);
  EXPECT_EQ(m_list_freshness, Freshness::kLatest);
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 20));
  for (int beat = 0; beat < 20; ++beat) {
    m_stale.OnRevisionElsewhere(10, Millis(1000) + Millis(250) * beat);
  }
  EXPECT_TRUE(m_lists.empty());
  EXPECT_EQ(m_watches.size(), 1u);
}

// Guards against changes lost between stale pages, of which a later one may
// show an older state.
TEST_F(StaleReadsTest, WatchesFromTheOldestPage) {
  m_stale.Start();
  AnswerList(StoreResult::kOk, Page({{"a", 3, {}}}, 10, true));
  AnswerList(StoreResult::kOk, Page({{"b", 4, {}}}, 7));
  EXPECT_EQ(m_watch_request.revision, 7u);
}

// Guards against a stale list after an outage that undoes what is known.
TEST_F(StaleReadsTest, ListOlderThanWhatIsKnownIsNotTaken) {
  m_stale.Start();
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

// Guards against a gap when the history is gone before a stale list was read.
TEST_F(StaleReadsTest, GoneHistoryIsReadFromTheLatest) {
  m_stale.Start();
  AnswerList(StoreResult::kOk, Page({}, 10));
  AnswerWatch(StoreResult::kHistoryGone);
  ASSERT_EQ(m_lists.size(), 1u);
  EXPECT_EQ(m_list_freshness, Freshness::kLatest);
}

// Guards against calls to a store that is down without a pause between them.
TEST_F(KindFollowerTest, FailedCallsWait) {
  m_follower.Start();
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
