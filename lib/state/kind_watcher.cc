// KindWatcher: lists, retries and eras.

#include "tanagervane/state/kind_watcher.h"

#include <algorithm>
#include <utility>

namespace tanagervane {

namespace {

/// Fraction of a backoff that is random, so that VMs do not retry at the same
/// time.
constexpr double kBackoffJitter = 0.5;

/// Of so many retries in a row, one is made also while another kind is retried.
constexpr uint32_t kRetriesPerOwnRetry = 4;

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
