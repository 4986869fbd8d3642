// Local copy of all objects of one kind in the platform's store.

#ifndef TANAGERVANE_STATE_KIND_WATCHER_H_
#define TANAGERVANE_STATE_KIND_WATCHER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tanagervane/state/store_types.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

struct KindWatcherHooks {
  using PageDone = std::function<void(StoreResult, StorePage)>;
  using EventsDone = std::function<void(StoreResult, StoreEvents)>;

  /// Reads the page of objects that follow the name `after`; calls `done` once,
  /// after the hook has returned.
  std::function<void(std::string_view after, Freshness, PageDone done)> list;
  /// Reads the events that follow a revision; calls `done` once, after the hook
  /// has returned.
  std::function<void(const WatchRequest&, EventsDone done)> watch;
  /// Runs a task after a delay.
  std::function<void(Millis delay, std::function<void()> task)> run_after;
  std::function<Millis()> now;
  /// Whether to retry now while the store is unreachable. Another kind may be
  /// retried on behalf of this one; RetryNow() then reports its success. Some
  /// retries follow also without it, as only one kind may be unreadable.
  std::function<bool()> may_retry = [] { return true; };

  /// Receives all objects after a complete list. All objects that are missing
  /// in it were deleted by `removal_revision`.
  std::function<void(const std::vector<StoreObject>&,
                     uint64_t removal_revision)>
      on_snapshot;
  /// Receives an object that was created or changed.
  std::function<void(const StoreObject&)> on_changed;
  /// Receives the name of an object that was deleted, and a revision of the
  /// store by which it was.
  std::function<void(std::string_view name, uint64_t revision)> on_removed;
  /// Called when another VM has seen a change that this VM has lacked for
  /// KindWatcherOptions::lag_timeout. All changes up to `applied_revision` are
  /// applied here; `remote_revision` is that of the latest change reported by
  /// another VM. A read of the latest state follows.
  std::function<void(uint64_t applied_revision, uint64_t remote_revision)>
      on_lagging;
  /// Called when a check has found changes, up to `revision`, that the watch in
  /// flight has not reported. A new watch follows.
  std::function<void(uint64_t applied_revision, uint64_t revision)>
      on_watch_unanswered;
  /// Called when the store becomes unreachable or reachable again. A watch that
  /// was cut off while it waited does not make the store unreachable; the list
  /// that follows tells.
  std::function<void(bool reachable, StoreResult result)>
      on_reachability_changed;
};

struct KindWatcherOptions {
  /// Delay before the first retry of a failed call. It doubles with each
  /// further failure, up to `max_backoff`.
  Millis initial_backoff{100};
  Millis max_backoff{800};
  /// How long this VM may lack a change that another VM has seen.
  Millis lag_timeout{700};
  /// Delay between a watch that returned events and the next watch, so that
  /// several changes are read with one call.
  Millis batch_delay{0};
  /// Lists and watches may return stale data, except where this class requires
  /// Freshness::kLatest.
  bool stale_reads = false;
  /// The first list is of the latest state although stale reads are allowed.
  bool latest_first_list = false;
  /// Time between checks of a watch of the latest state.
  Millis check_interval{1500};
};

/// Lists all objects and then watches for changes. Lists again after an outage
/// of the store and when the store no longer holds the history that a watch
/// needs.
///
/// With stale reads, lists and watches may lag behind the store. A few VMs
/// watch the latest state and gossip the revision that they have seen. The
/// other VMs read the latest changes if their own watch does not reach that
/// revision in time. The object must outlive all calls that its hooks started.
///
/// The store may never answer a watch: it received the watch while it was
/// unresponsive, or the answer was lost. This can affect the watches of all VMs
/// at the same time, so a watch of the latest state is checked regularly by a
/// read that does not wait.
class KindWatcher {
 public:
  KindWatcher(KindWatcherOptions options,
              KindWatcherHooks hooks,
              uint64_t seed);

  void Start();

  /// Sets what this VM watches while stale reads are allowed. Without stale
  /// reads, every VM is a leader.
  void SetRole(WatchRole role);

  /// Handles a report that another VM has seen a change of this kind at the
  /// given revision of the store, `age` ago. If this VM still lacks the change
  /// KindWatcherOptions::lag_timeout after that, its watch lags or is
  /// unresponsive. A VM with a stale watch then reads the latest changes, and
  /// lists all objects if these do not contain the change. A VM that watches
  /// the latest state lists all objects at once.
  void OnRemoteRevision(uint64_t revision, Millis now, Millis age = Millis(0));

  /// Handles the beginning of an era of the store. Revisions of other eras are
  /// forgotten, and the objects are listed again. Nothing that was read in an
  /// earlier era is applied any more.
  void OnEra(uint64_t era);

  /// Handles a report that another VM has seen an era of the store. If this VM
  /// has not, it lists the latest state, once for each reported era.
  void OnRemoteEra(uint64_t era);

  /// Reads the latest changes now instead of waiting for the watch. Does
  /// nothing while the store is unreachable or a list is being read.
  void ReadNow();

  /// Ends the wait for a retry while the store is unreachable.
  void RetryNow();

  /// The store's revision of the latest change that this VM has seen.
  uint64_t last_change_revision() const { return m_last_change_revision; }

  /// All changes up to this revision of the store have been passed to the
  /// hooks.
  uint64_t watch_revision() const { return m_watch_revision; }

  /// The earliest time at which the changes that a hook receives may have been
  /// made: the present, unless no watch has been able to report them before.
  /// Valid in hooks only.
  Millis changed_since() const { return m_changed_since; }

  /// True after the first complete list.
  bool has_snapshot() const { return m_has_snapshot; }
  bool reachable() const { return m_reachable; }

 private:
  void ListNextPage();
  /// Drops the calls in flight and reads all pages.
  void Relist(Freshness freshness);
  Freshness ListFreshness() const;
  Freshness WatchFreshness() const;
  /// Replaces the local copy with the listed objects.
  void InstallSnapshot();
  /// Reads the changes up to the latest state without waiting for new ones.
  void ReadLatestChanges();
  void OnLatestChanges(Millis sent_at,
                       StoreResult result,
                       const StoreEvents& events);
  void ApplyEvents(const StoreEvents& events);
  /// Returns whether a response may be applied: it is of the current era.
  /// Otherwise starts a new list.
  bool AcceptEra(uint64_t era);
  void OnPage(StoreResult result, StorePage page);
  void Watch();
  /// Checks the watch in flight after KindWatcherOptions::check_interval.
  void ScheduleCheck();
  /// Reads the changes since the watch began, without waiting for one.
  void CheckWatch();
  void OnCheck(const WatchRequest& request,
               Millis sent_at,
               StoreResult result,
               const StoreEvents& events);
  void OnWatchAnswer(const WatchRequest& request,
                     Millis sent_at,
                     StoreResult result,
                     const StoreEvents& events);
  /// `revision` is that of the response that contains the event.
  void ApplyEvent(const StoreEvent& event, uint64_t revision);
  /// Records that all changes before `time` are known. `freshness` is that of
  /// the read that showed them.
  void SetKnownUntil(Millis time, Freshness freshness);
  /// Sets changed_since() for changes that may have been made at any time since
  /// the last ones became known.
  void SetChangedInGap();
  /// Counts the store as unreachable and lists again after a backoff.
  void RelistAfterBackoff(StoreResult result);
  /// Lists again after a backoff that follows a failed call.
  void ScheduleRelist();
  /// Lists again, or waits for another backoff if another kind is retried.
  void Retry();
  void SetReachable(bool reachable, StoreResult result);

  KindWatcherOptions m_options;
  KindWatcherHooks m_hooks;
  Random m_random;
  std::vector<StoreObject> m_listed_objects;
  /// The lowest revision of the pages read: a stale page may be older than the
  /// page before it.
  uint64_t m_list_revision = 0;
  Freshness m_list_freshness = Freshness::kLatest;
  WatchRole m_role = WatchRole::kNone;
  /// When the list in flight began.
  Millis m_list_sent_at;
  /// All changes made before this time are known.
  Millis m_known_until;
  Millis m_changed_since;
  /// A list or a read of the latest changes is in flight.
  bool m_resyncing = false;
  /// The revision from which the next watch continues.
  uint64_t m_watch_revision = 0;
  bool m_has_snapshot = false;
  bool m_reachable = true;
  Millis m_backoff;
  /// Retries left out since the last one, because another kind is retried.
  uint32_t m_skipped_retries = 0;
  /// The store's era. All revisions kept here belong to it.
  uint64_t m_era = 0;
  /// The highest era that another VM has reported.
  uint64_t m_remote_era = 0;
  uint64_t m_last_change_revision = 0;
  /// All changes up to this revision are applied. It is the revision of the
  /// last complete list or of a later event.
  uint64_t m_applied_revision = 0;
  /// The revision of the latest change that another VM has reported.
  uint64_t m_remote_revision = 0;
  /// Since when this VM has lacked a change that another VM has reported.
  std::optional<Millis> m_lagging_since;
  /// Incremented to ignore the completions of earlier calls.
  uint64_t m_generation = 0;
  /// Increased when a watch begins or ends, so that its check is dropped.
  uint64_t m_watch_count = 0;
  /// Revision of each object. A late event with a lower revision is ignored.
  std::unordered_map<std::string, uint64_t> m_object_revisions;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_KIND_WATCHER_H_
