// A copy of all objects of one kind in the platform's store.

#ifndef TANAGERVANE_STATE_KIND_FOLLOWER_H_
#define TANAGERVANE_STATE_KIND_FOLLOWER_H_

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

struct KindFollowerHooks {
  using PageDone = std::function<void(StoreResult, StorePage)>;
  using EventsDone = std::function<void(StoreResult, StoreEvents)>;

  /// Reads the page after the object `after`; `done` runs once, later.
  std::function<void(std::string_view after, Freshness, PageDone done)> list;
  /// Reads events after a revision; `done` runs once, later.
  std::function<void(const WatchRequest&, EventsDone done)> watch;
  /// Runs a task after a delay.
  std::function<void(Millis delay, std::function<void()> task)> after;

  /// All objects, after a full read.
  std::function<void(const std::vector<StoreObject>&)> snapshot;
  std::function<void(const StoreObject&)> changed;
  std::function<void(std::string_view name)> removed;
  /// Another VM has seen a change for some time that this one lacks; it is read
  /// now.
  std::function<void(uint64_t covered, uint64_t seen_elsewhere)> lagging;
  /// The store was lost or is back.
  std::function<void(bool reachable, StoreResult result)> reachable;
};

struct KindFollowerOptions {
  /// Delay before the first repeat of a failed call; doubles up to the last.
  Millis first_backoff{100};
  Millis last_backoff{800};
  /// How long a change that another VM has seen may take to come here.
  Millis deaf_after{700};
  /// Delay between an event and the next watch. Changes that come together
  /// are then read with one call.
  Millis batching{0};
  /// Reads may be stale, but for those that Freshness::kLatest is needed for.
  bool stale_reads = false;
};

/// Reads all pages, then watches. Reads all again after an outage and when the
/// history is gone.
///
/// With stale reads, lists and watches may lag behind the store. A few VMs are
/// told to watch the latest state; the others hear from them by gossip which
/// revision they should have reached, and read the latest changes when their
/// own watch does not bring it in time. The object must outlive its hooks'
/// calls.
class KindFollower {
 public:
  KindFollower(KindFollowerOptions options,
               KindFollowerHooks hooks,
               uint64_t seed);

  void Start();

  /// Whether this VM's watches must show the latest state although stale reads
  /// are allowed.
  void SetWatchesLatest(bool latest);

  /// Tells of a change of the kind that another VM has seen, by the store's
  /// revision. When it has not come here after a while, the watch lags or is
  /// deaf: the latest changes are read, and everything when they do not hold
  /// it.
  void OnRevisionElsewhere(uint64_t revision, Millis now);

  /// The revision of the latest change that was seen.
  uint64_t last_change() const { return m_last_change; }

  /// True after the first full read.
  bool has_snapshot() const { return m_has_snapshot; }
  bool reachable() const { return m_reachable; }

 private:
  void List();
  void ListAgain(Freshness freshness);
  Freshness ListFreshness() const;
  Freshness WatchFreshness() const;
  void TakePages();
  /// Reads the latest changes now.
  void CatchUp();
  void OnCaughtUp(StoreResult result, const StoreEvents& events);
  void ApplyEvents(const StoreEvents& events);
  void OnPage(StoreResult result, StorePage page);
  void Watch();
  void OnEvents(StoreResult result, const StoreEvents& events);
  void Apply(const StoreEvent& event);
  void RetryList(StoreResult result);
  void SetReachable(bool reachable, StoreResult result);

  KindFollowerOptions m_options;
  KindFollowerHooks m_hooks;
  Random m_random;
  std::vector<StoreObject> m_pages;
  /// The smallest revision among the pages: a stale page may be older than one
  /// before it.
  uint64_t m_pages_revision = 0;
  Freshness m_list_freshness = Freshness::kLatest;
  bool m_watches_latest = false;
  /// A list or a read of the latest changes is under way.
  bool m_rereading = false;
  uint64_t m_revision = 0;
  bool m_has_snapshot = false;
  bool m_reachable = true;
  Millis m_backoff;
  uint64_t m_last_change = 0;
  /// All changes up to this revision are known: that of the last full read or
  /// of an event after it.
  uint64_t m_covered = 0;
  /// The latest change that another VM has seen.
  uint64_t m_seen_elsewhere = 0;
  /// Since when another VM has known of a later change.
  std::optional<Millis> m_behind_since;
  /// Tells the calls of the current reading from those given up.
  uint64_t m_generation = 0;
  /// Revision of each object, so that a late event undoes nothing newer.
  std::unordered_map<std::string, uint64_t> m_known;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_KIND_FOLLOWER_H_
