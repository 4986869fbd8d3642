#include "tanagervane/state/kind_watcher.h"

#include <algorithm>
#include <utility>

namespace tanagervane {

namespace {

/// Fraction of a backoff that is random, so that VMs do not retry at the same
/// time.
constexpr double kBackoffJitter = 0.5;

/// A watch that is answered sooner than this may report changes that were made
/// before it began.
constexpr Millis kPromptAnswerTime{200};

/// Of so many retries in a row, one is made also while another kind is retried.
constexpr uint32_t kRetriesPerOwnRetry = 4;

/// The longest time for which no VM watches the latest state, until another one
/// takes up the role of a VM that fails.
constexpr Millis kMaxWatchGap{2000};

}  // namespace

std::string_view ToString(StoreResult result) {
  switch (result) {
    case StoreResult::kOk:
      return "ok";
    case StoreResult::kRevisionTooOld:
      return "history_gone";
    case StoreResult::kUnavailable:
      break;
  }
  return "unavailable";
}

KindWatcher::KindWatcher(KindWatcherOptions options,
                         KindWatcherHooks hooks,
                         uint64_t seed)
    : m_options(options),
      m_hooks(std::move(hooks)),
      m_random(seed),
      m_backoff(options.initial_backoff) {}

void KindWatcher::Start() {
  Relist(ListFreshness());
}

Freshness KindWatcher::ListFreshness() const {
  const bool stale =
      m_options.stale_reads && (m_has_snapshot || !m_options.latest_first_list);
  return stale ? Freshness::kStale : Freshness::kLatest;
}

Freshness KindWatcher::WatchFreshness() const {
  return m_role == WatchRole::kNone ? ListFreshness() : Freshness::kLatest;
}

void KindWatcher::SetRole(WatchRole role) {
  const bool starts = m_role == WatchRole::kNone && role != WatchRole::kNone;
  m_role = role;
  if (starts && m_options.stale_reads && m_has_snapshot && m_reachable &&
      !m_resyncing) {
    // Replaces the stale watch in flight, which may wait for a long time.
    ++m_generation;
    Watch();
  }
}

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

void KindWatcher::ListNextPage() {
  const std::string after =
      m_listed_objects.empty() ? "" : m_listed_objects.back().name;
  m_hooks.list(
      after, m_list_freshness,
      [this, generation = m_generation](StoreResult result, StorePage page) {
        if (generation == m_generation) {
          OnPage(result, std::move(page));
        }
      });
}

void KindWatcher::Relist(Freshness freshness) {
  ++m_generation;
  m_resyncing = true;
  m_listed_objects.clear();
  m_list_freshness = freshness;
  m_list_sent_at = m_hooks.now();
  ListNextPage();
}

void KindWatcher::OnEra(uint64_t era) {
  if (era <= m_era) {
    return;
  }
  m_era = era;
  m_known_until = m_hooks.now();
  m_watch_revision = 0;
  m_last_change_revision = 0;
  m_applied_revision = 0;
  m_remote_revision = 0;
  m_lagging_since.reset();
  m_object_revisions.clear();
  // Before the first page, the list in flight is of the new era.
  if (m_has_snapshot || !m_listed_objects.empty()) {
    Relist(Freshness::kLatest);
  }
}

void KindWatcher::OnRemoteEra(uint64_t era) {
  if (era <= m_era || era <= m_remote_era || !m_has_snapshot || !m_reachable ||
      m_resyncing) {
    return;
  }
  m_remote_era = era;
  Relist(Freshness::kLatest);
}

bool KindWatcher::AcceptEra(uint64_t era) {
  const uint64_t generation = m_generation;
  OnEra(era);
  if (era < m_era) {
    RelistAfterBackoff(StoreResult::kUnavailable);
  }
  return generation == m_generation;
}

void KindWatcher::OnPage(StoreResult result, StorePage page) {
  if (result != StoreResult::kOk) {
    RelistAfterBackoff(result);
    return;
  }
  if (!AcceptEra(page.era)) {
    return;
  }
  SetReachable(true, result);
  // Changes made while the pages are read arrive again as events, because the
  // watch starts from the oldest page.
  m_list_revision = m_listed_objects.empty()
                        ? page.revision
                        : std::min(m_list_revision, page.revision);
  const bool has_objects = !page.objects.empty();
  std::ranges::move(page.objects, std::back_inserter(m_listed_objects));
  if (page.has_more && has_objects) {
    ListNextPage();
    return;
  }
  if (m_list_revision < m_applied_revision &&
      m_list_freshness == Freshness::kStale) {
    // The list is older than the local copy and would revert changes.
    Relist(Freshness::kLatest);
    return;
  }
  InstallSnapshot();
  Watch();
}

void KindWatcher::InstallSnapshot() {
  m_resyncing = false;
  // Without a change that another VM has seen earlier, the list itself is the
  // first to show what is missing.
  const uint64_t removal_revision =
      m_remote_revision > m_applied_revision
          ? std::min(m_remote_revision, m_list_revision)
          : m_list_revision;
  m_watch_revision = m_list_revision;
  m_object_revisions.clear();
  for (const StoreObject& object : m_listed_objects) {
    m_object_revisions[object.name] = object.revision;
    m_last_change_revision = std::max(m_last_change_revision, object.revision);
    m_applied_revision = std::max(m_applied_revision, object.revision);
  }
  m_changed_since = m_hooks.now();
  if (m_has_snapshot && m_list_freshness == Freshness::kLatest &&
      WatchFreshness() == Freshness::kLatest) {
    SetChangedInGap();
  }
  m_has_snapshot = true;
  SetKnownUntil(m_list_sent_at, m_list_freshness);
  m_applied_revision = std::max(m_applied_revision, m_watch_revision);
  if (m_list_freshness == Freshness::kLatest) {
    // The list is up to date. A greater reported revision was false.
    m_remote_revision = m_applied_revision;
    m_lagging_since.reset();
  }
  m_hooks.on_snapshot(std::exchange(m_listed_objects, {}), removal_revision);
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

void KindWatcher::RelistAfterBackoff(StoreResult result) {
  m_resyncing = false;
  SetReachable(false, result);
  ScheduleRelist();
}

void KindWatcher::ScheduleRelist() {
  const double jitter_factor = 1 - kBackoffJitter * m_random.NextDouble();
  const Millis delay = m_backoff * jitter_factor;
  m_backoff = std::min(m_backoff * 2, m_options.max_backoff);
  // Lists instead of resuming the watch, which could miss changes made while
  // the store was unreachable.
  ++m_generation;
  m_hooks.run_after(delay, [this, generation = m_generation] {
    if (generation == m_generation) {
      Retry();
    }
  });
}

void KindWatcher::Retry() {
  if (!m_reachable && !m_hooks.may_retry() &&
      ++m_skipped_retries < kRetriesPerOwnRetry) {
    ScheduleRelist();
    return;
  }
  m_skipped_retries = 0;
  Relist(ListFreshness());
}

void KindWatcher::RetryNow() {
  if (!m_reachable && !m_resyncing) {
    Relist(ListFreshness());
  }
}

void KindWatcher::SetReachable(bool reachable, StoreResult result) {
  if (reachable) {
    m_backoff = m_options.initial_backoff;
  }
  if (reachable != m_reachable) {
    m_reachable = reachable;
    // What vanished during an outage may come back after it, so its changes
    // count from the return of the store.
    m_known_until = m_hooks.now();
    m_hooks.on_reachability_changed(reachable, result);
  }
}

}  // namespace tanagervane
