// Follows which data centres are evacuated.

#ifndef TANAGERVANE_TOOLS_TANAGERVANE_NODE_EVACUATION_WATCH_H_
#define TANAGERVANE_TOOLS_TANAGERVANE_NODE_EVACUATION_WATCH_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "tanagervane/fleet/evacuation_gossip.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/state/kind_watcher.h"
#include "tanagervane/state/revision_times.h"

namespace tanagervane {

/// Watches the store's list of evacuated data centres and applies it to the
/// replicas. Reads stale data like the other watches; the VMs that watch the
/// latest state tell the others of changes by gossip.
class EvacuationWatch {
 public:
  /// `hooks` has the calls to the store. `on_known` is called once, when the
  /// list is known for the first time.
  EvacuationWatch(KindWatcherHooks hooks,
                  bool stale_reads,
                  uint64_t seed,
                  ReplicaSet& replicas,
                  std::function<void()> on_known);

  void Start() { m_watcher.Start(); }
  void SetRole(WatchRole role) { m_watcher.SetRole(role); }
  void RetryNow() { m_watcher.RetryNow(); }
  bool known() const { return m_watcher.has_snapshot(); }

  /// Handles the beginning of an era of the store; see KindWatcher::OnEra().
  void OnEra(uint64_t era);

  EvacuationGossip MakeGossip(Millis now);
  void OnGossip(const EvacuationGossip& message, Millis now);

 private:
  KindWatcherHooks AddHandlers(KindWatcherHooks hooks);
  void OnSnapshot(const std::vector<StoreObject>& objects);
  void Set(std::string_view data_centre, bool evacuated);
  /// Tells the replicas about the evacuated data centres.
  void Apply();

  ReplicaSet& m_replicas;
  std::function<void()> m_on_known;
  std::set<std::string, std::less<>> m_evacuated;
  uint64_t m_era = 0;
  RevisionTimes m_times;
  KindWatcher m_watcher;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_TANAGERVANE_NODE_EVACUATION_WATCH_H_
