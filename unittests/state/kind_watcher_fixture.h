// A watcher whose calls to the store are answered by the test.

#ifndef UNITTESTS_STATE_KIND_WATCHER_FIXTURE_H_
#define UNITTESTS_STATE_KIND_WATCHER_FIXTURE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "tanagervane/state/kind_watcher.h"

namespace tanagervane {

/// Holds the calls of the watcher until the test answers them.
class KindWatcherTest : public testing::Test {
 protected:
  KindWatcherHooks Hooks() {
    KindWatcherHooks hooks;
    hooks.list = [this](std::string_view after, Freshness freshness,
                        KindWatcherHooks::PageDone done) {
      m_list_freshness = freshness;
      m_lists.emplace_back(std::string(after), std::move(done));
    };
    hooks.watch = [this](const WatchRequest& request,
                         KindWatcherHooks::EventsDone done) {
      m_watch_request = request;
      m_watches.emplace_back(request.revision, std::move(done));
    };
    hooks.run_after = [this](Millis, std::function<void()> task) {
      m_tasks.push_back(std::move(task));
    };
    hooks.now = [this] { return m_now; };
    hooks.on_watch_unanswered = [this](uint64_t applied_revision,
                                       uint64_t revision) {
      EXPECT_LT(applied_revision, revision);
      ++m_unanswered_watches;
    };
    hooks.on_snapshot = [this](const std::vector<StoreObject>& objects,
                               uint64_t removal_revision) {
      m_removal_revision = removal_revision;
      m_objects.clear();
      for (const StoreObject& object : objects) {
        m_objects[object.name] = object.revision;
      }
    };
    hooks.on_changed = [this](const StoreObject& object) {
      m_objects[object.name] = object.revision;
    };
    hooks.on_removed = [this](std::string_view name, uint64_t revision) {
      m_removal_revision = revision;
      m_objects.erase(std::string(name));
    };
    hooks.on_lagging = [this](uint64_t applied_revision,
                              uint64_t remote_revision) {
      EXPECT_LT(applied_revision, remote_revision);
      ++m_lagging_calls;
    };
    hooks.on_reachability_changed = [this](bool reachable, StoreResult) {
      m_reachable_calls.push_back(reachable);
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

  std::vector<std::pair<std::string, KindWatcherHooks::PageDone>> m_lists;
  std::vector<std::pair<uint64_t, KindWatcherHooks::EventsDone>> m_watches;
  std::vector<std::function<void()>> m_tasks;
  uint64_t m_removal_revision = 0;
  /// Parameters of the latest calls.
  Freshness m_list_freshness = Freshness::kLatest;
  WatchRequest m_watch_request;
  std::map<std::string, uint64_t> m_objects;
  std::vector<bool> m_reachable_calls;
  Millis m_now{60'000};
  int m_unanswered_watches = 0;
  int m_lagging_calls = 0;
  KindWatcher m_watcher{{}, Hooks(), 1};
};

class StaleReadsTest : public KindWatcherTest {
 protected:
  KindWatcher m_stale_watcher{{.stale_reads = true}, Hooks(), 1};
};

}  // namespace tanagervane

#endif  // UNITTESTS_STATE_KIND_WATCHER_FIXTURE_H_
