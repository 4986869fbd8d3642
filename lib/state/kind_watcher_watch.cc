// KindWatcher: watches, their checks, and reads of the latest changes.

#include <algorithm>

#include "tanagervane/state/kind_watcher.h"

namespace tanagervane {

namespace {

/// A watch that is answered sooner than this may report changes that were made
/// before it began.
constexpr Millis kPromptAnswerTime{200};

/// The longest time for which no VM watches the latest state, until another one
/// takes up the role of a VM that fails.
constexpr Millis kMaxWatchGap{2000};

}  // namespace

void KindWatcher::SetKnownUntil(Millis time, Freshness freshness) {
  if (freshness == Freshness::kLatest) {
    m_known_until = std::max(m_known_until, time);
  }
}

void KindWatcher::SetChangedInGap() {
  // Changes within the batch delay are part of the normal delay of a watch.
  const Millis now = m_hooks.now();
  m_changed_since = std::clamp(m_known_until + m_options.batch_delay,
                               now - kMaxWatchGap, now);
}

void KindWatcher::Watch() {
  const WatchRequest request{.revision = m_watch_revision,
                             .freshness = WatchFreshness()};
  ++m_watch_count;
  m_hooks.watch(request, [this, request, generation = m_generation,
                          sent_at = m_hooks.now()](StoreResult result,
                                                   const StoreEvents& events) {
    if (generation == m_generation) {
      OnWatchAnswer(request, sent_at, result, events);
    }
  });
  // A stale watch without an answer is detected by the gossip of the VMs that
  // watch the latest state; only these spend calls on checks.
  if (request.freshness == Freshness::kLatest) {
    ScheduleCheck();
  }
}

void KindWatcher::ScheduleCheck() {
  m_hooks.run_after(m_options.check_interval, [this, generation = m_generation,
                                               watch = m_watch_count] {
    if (generation == m_generation && watch == m_watch_count) {
      CheckWatch();
    }
  });
}

void KindWatcher::CheckWatch() {
  if (WatchFreshness() == Freshness::kStale) {
    // Another VM has the role since this watch began.
    return;
  }
  // A stale read costs the store least, but shows a change that the watch has
  // missed only when it is as old as the data.
  const bool stale = m_options.stale_reads && m_role != WatchRole::kLeader;
  const WatchRequest request{
      .revision = m_watch_revision,
      .freshness = stale ? Freshness::kStale : Freshness::kLatest,
      .wait = false};
  m_hooks.watch(request, [this, request, generation = m_generation,
                          watch = m_watch_count, sent_at = m_hooks.now()](
                             StoreResult result, const StoreEvents& events) {
    if (generation == m_generation && watch == m_watch_count) {
      OnCheck(request, sent_at, result, events);
    }
  });
}

void KindWatcher::OnCheck(const WatchRequest& request,
                          Millis sent_at,
                          StoreResult result,
                          const StoreEvents& events) {
  if (result == StoreResult::kUnavailable) {
    RelistAfterBackoff(result);
    return;
  }
  if (result == StoreResult::kRevisionTooOld) {
    Relist(Freshness::kLatest);
    return;
  }
  if (!AcceptEra(events.era)) {
    return;
  }
  if (events.events.empty()) {
    SetKnownUntil(sent_at, request.freshness);
    ScheduleCheck();
    return;
  }
  m_hooks.on_watch_unanswered(m_applied_revision, events.revision);
  SetChangedInGap();
  ApplyEvents(events);
  SetKnownUntil(sent_at, request.freshness);
  ++m_generation;
  Watch();
}

void KindWatcher::ReadLatestChanges() {
  ++m_generation;
  m_resyncing = true;
  const WatchRequest request{.revision = m_watch_revision,
                             .freshness = Freshness::kLatest,
                             .wait = false};
  m_hooks.watch(request,
                [this, generation = m_generation, sent_at = m_hooks.now()](
                    StoreResult result, const StoreEvents& events) {
                  if (generation == m_generation) {
                    OnLatestChanges(sent_at, result, events);
                  }
                });
}

void KindWatcher::OnLatestChanges(Millis sent_at,
                                  StoreResult result,
                                  const StoreEvents& events) {
  m_resyncing = false;
  if (result == StoreResult::kUnavailable) {
    RelistAfterBackoff(result);
    return;
  }
  if (result == StoreResult::kOk) {
    if (!AcceptEra(events.era)) {
      return;
    }
    m_changed_since = m_hooks.now();
    ApplyEvents(events);
    SetKnownUntil(sent_at, Freshness::kLatest);
  }
  if (result == StoreResult::kRevisionTooOld ||
      m_applied_revision < m_remote_revision) {
    Relist(Freshness::kLatest);
    return;
  }
  m_lagging_since.reset();
  Watch();
}

void KindWatcher::OnWatchAnswer(const WatchRequest& request,
                                Millis sent_at,
                                StoreResult result,
                                const StoreEvents& events) {
  // The check of this watch is not needed any more.
  ++m_watch_count;
  if (result == StoreResult::kRevisionTooOld) {
    SetReachable(true, result);
    Relist(Freshness::kLatest);
    return;
  }
  if (result != StoreResult::kOk) {
    // A waiting watch may be cut off at any time. The store counts as
    // unreachable only if it does not answer the list that follows.
    m_resyncing = true;
    ScheduleRelist();
    return;
  }
  if (!AcceptEra(events.era)) {
    return;
  }
  const Millis now = m_hooks.now();
  m_changed_since = now;
  if (request.freshness == Freshness::kLatest &&
      now - sent_at < kPromptAnswerTime) {
    SetChangedInGap();
  }
  ApplyEvents(events);
  SetKnownUntil(now, request.freshness);
  if (events.events.empty() || m_options.batch_delay == Millis(0)) {
    Watch();
    return;
  }
  m_hooks.run_after(m_options.batch_delay, [this, generation = m_generation] {
    if (generation == m_generation) {
      Watch();
    }
  });
}

void KindWatcher::ApplyEvents(const StoreEvents& events) {
  SetReachable(true, StoreResult::kOk);
  m_watch_revision = std::max(m_watch_revision, events.revision);
  for (const StoreEvent& event : events.events) {
    ApplyEvent(event, events.revision);
  }
}

void KindWatcher::ReadNow() {
  if (m_reachable && m_has_snapshot && !m_resyncing) {
    ReadLatestChanges();
  }
}

void KindWatcher::OnRemoteRevision(uint64_t revision, Millis now, Millis age) {
  // Keeps the maximum: reports from another lagging VM must not hide the
  // greater revision.
  m_remote_revision = std::max(m_remote_revision, revision);
  if (m_remote_revision <= m_applied_revision || !m_has_snapshot) {
    m_lagging_since.reset();
    return;
  }
  if (!m_lagging_since) {
    m_lagging_since = now - age;
  }
  if (now - *m_lagging_since < m_options.lag_timeout || !m_reachable ||
      m_resyncing) {
    return;
  }
  m_lagging_since = now;
  m_hooks.on_lagging(m_applied_revision, m_remote_revision);
  if (WatchFreshness() == Freshness::kStale) {
    ReadLatestChanges();
  } else {
    Relist(Freshness::kLatest);
  }
}

void KindWatcher::ApplyEvent(const StoreEvent& event, uint64_t revision) {
  const StoreObject& object = event.object;
  m_last_change_revision = std::max(m_last_change_revision, object.revision);
  m_applied_revision = std::max(m_applied_revision, object.revision);
  const auto known = m_object_revisions.find(object.name);
  if (known != m_object_revisions.end() && object.revision < known->second) {
    return;
  }
  if (event.deleted) {
    // The event may hold the revision of the object's last change or that of
    // its deletion.
    const bool is_deletion =
        known == m_object_revisions.end() || object.revision > known->second;
    if (known != m_object_revisions.end()) {
      m_object_revisions.erase(known);
    }
    m_hooks.on_removed(object.name, is_deletion ? object.revision : revision);
    return;
  }
  m_object_revisions[object.name] = object.revision;
  m_hooks.on_changed(object);
}

}  // namespace tanagervane
