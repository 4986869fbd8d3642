#include "tools/tanagervane-node/evacuation_watch.h"

#include <utility>

#include "tanagervane/net/poller.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

EvacuationWatch::EvacuationWatch(KindWatcherHooks hooks,
                                 bool stale_reads,
                                 uint64_t seed,
                                 ReplicaSet& replicas,
                                 std::function<void()> on_known)
    : m_replicas(replicas),
      m_on_known(std::move(on_known)),
      m_watcher({.stale_reads = stale_reads},
                AddHandlers(std::move(hooks)),
                seed) {}

KindWatcherHooks EvacuationWatch::AddHandlers(KindWatcherHooks hooks) {
  // A stale list may be older than the time within which an evacuation must
  // take effect, and its change is no longer gossiped to a VM that starts.
  hooks.list = [this, list = std::move(hooks.list)](
                   std::string_view after, Freshness freshness,
                   KindWatcherHooks::PageDone done) {
    list(after, known() ? freshness : Freshness::kLatest, std::move(done));
  };
  hooks.on_snapshot = [this](const std::vector<StoreObject>& objects,
                             uint64_t) { OnSnapshot(objects); };
  hooks.on_changed = [this](const StoreObject& object) {
    m_times.Record(object.revision, m_watcher.changed_since());
    Set(object.name, true);
    Apply();
  };
  hooks.on_removed = [this](std::string_view name, uint64_t revision) {
    m_times.Record(revision, m_watcher.changed_since());
    Set(name, false);
    Apply();
  };
  return hooks;
}

void EvacuationWatch::OnSnapshot(const std::vector<StoreObject>& objects) {
  m_times.Record(m_watcher.last_change_revision(), m_watcher.changed_since());
  std::set<std::string, std::less<>> listed;
  for (const StoreObject& object : objects) {
    listed.insert(object.name);
  }
  const auto before = m_evacuated;
  for (const std::string& data_centre : before) {
    Set(data_centre, listed.contains(data_centre));
  }
  for (const std::string& data_centre : listed) {
    Set(data_centre, true);
  }
  Apply();
  if (const auto on_known = std::exchange(m_on_known, nullptr)) {
    on_known();
  }
}

void EvacuationWatch::Set(std::string_view data_centre, bool evacuated) {
  const auto it = m_evacuated.find(data_centre);
  if ((it != m_evacuated.end()) == evacuated) {
    return;
  }
  LogEvent(evacuated ? "evacuation_began" : "evacuation_ended")
      .Field("data_centre", data_centre);
  if (evacuated) {
    m_evacuated.emplace(data_centre);
  } else {
    m_evacuated.erase(it);
  }
}

void EvacuationWatch::Apply() {
  m_replicas.SetEvacuated(m_evacuated, Poller::Now());
}

void EvacuationWatch::OnEra(uint64_t era) {
  m_era = era;
  m_times.Clear();
  m_watcher.OnEra(era);
}

EvacuationGossip EvacuationWatch::MakeGossip(Millis now) {
  EvacuationGossip message;
  message.era = m_era;
  message.revisions = m_times.Recent(now, kMaxGossipedRevisions);
  return message;
}

void EvacuationWatch::OnGossip(const EvacuationGossip& message, Millis now) {
  if (message.era != m_era) {
    return;
  }
  for (const RevisionReport& report : message.revisions) {
    m_times.Record(report.revision, now - report.age);
    m_watcher.OnRemoteRevision(report.revision, now, report.age);
  }
}

}  // namespace tanagervane
