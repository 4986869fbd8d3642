// Listing, watching and recovery.

#include "tanagervane/state/kind_follower.h"

#include <algorithm>
#include <utility>

namespace tanagervane {

namespace {

/// Share of a backoff that is random, so that VMs do not return together.
constexpr double kBackoffJitter = 0.5;

}  // namespace

std::string_view ToString(StoreResult result) {
  switch (result) {
    case StoreResult::kOk:
      return "ok";
    case StoreResult::kHistoryGone:
      return "history_gone";
    case StoreResult::kUnavailable:
      break;
  }
  return "unavailable";
}

KindFollower::KindFollower(KindFollowerOptions options,
                           KindFollowerHooks hooks,
                           uint64_t seed)
    : m_options(options),
      m_hooks(std::move(hooks)),
      m_random(seed),
      m_backoff(options.first_backoff) {}

void KindFollower::Start() {
  ListAgain(ListFreshness());
}

Freshness KindFollower::ListFreshness() const {
  return m_options.stale_reads ? Freshness::kStale : Freshness::kLatest;
}

Freshness KindFollower::WatchFreshness() const {
  return m_watches_latest ? Freshness::kLatest : ListFreshness();
}

void KindFollower::SetWatchesLatest(bool latest) {
  const bool begins = latest && !m_watches_latest;
  m_watches_latest = latest;
  if (begins && m_options.stale_reads && m_has_snapshot && m_reachable &&
      !m_rereading) {
    // In place of the stale watch, which may wait for long.
    ++m_generation;
    Watch();
  }
}

void KindFollower::List() {
  const std::string after = m_pages.empty() ? "" : m_pages.back().name;
  m_hooks.list(
      after, m_list_freshness,
      [this, generation = m_generation](StoreResult result, StorePage page) {
        if (generation == m_generation) {
          OnPage(result, std::move(page));
        }
      });
}

void KindFollower::ListAgain(Freshness freshness) {
  ++m_generation;
  m_rereading = true;
  m_pages.clear();
  m_list_freshness = freshness;
  List();
}

void KindFollower::OnPage(StoreResult result, StorePage page) {
  if (result != StoreResult::kOk) {
    RetryList(result);
    return;
  }
  SetReachable(true, result);
  // Changes made while the pages are read come again as events.
  m_pages_revision = m_pages.empty()
                         ? page.revision
                         : std::min(m_pages_revision, page.revision);
  const bool grew = !page.objects.empty();
  std::ranges::move(page.objects, std::back_inserter(m_pages));
  if (page.has_more && grew) {
    List();
    return;
  }
  if (m_pages_revision < m_covered && m_list_freshness == Freshness::kStale) {
    // Older than what is known; it would undo changes.
    ListAgain(Freshness::kLatest);
    return;
  }
  TakePages();
  Watch();
}

void KindFollower::TakePages() {
  m_rereading = false;
  m_revision = m_pages_revision;
  m_known.clear();
  for (const StoreObject& object : m_pages) {
    m_known[object.name] = object.revision;
    m_last_change = std::max(m_last_change, object.revision);
    m_covered = std::max(m_covered, object.revision);
  }
  m_has_snapshot = true;
  m_covered = std::max(m_covered, m_revision);
  if (m_list_freshness == Freshness::kLatest) {
    // Nothing is left to catch up with; a greater claim was false.
    m_seen_elsewhere = m_covered;
    m_behind_since.reset();
  }
  m_hooks.snapshot(std::exchange(m_pages, {}));
}

void KindFollower::Watch() {
  const WatchRequest request{.revision = m_revision,
                             .freshness = WatchFreshness()};
  m_hooks.watch(request, [this, generation = m_generation](
                             StoreResult result, const StoreEvents& events) {
    if (generation == m_generation) {
      OnEvents(result, events);
    }
  });
}

void KindFollower::CatchUp() {
  ++m_generation;
  m_rereading = true;
  const WatchRequest request{
      .revision = m_revision, .freshness = Freshness::kLatest, .wait = false};
  m_hooks.watch(request, [this, generation = m_generation](
                             StoreResult result, const StoreEvents& events) {
    if (generation == m_generation) {
      OnCaughtUp(result, events);
    }
  });
}

void KindFollower::OnCaughtUp(StoreResult result, const StoreEvents& events) {
  m_rereading = false;
  if (result == StoreResult::kUnavailable) {
    RetryList(result);
    return;
  }
  if (result == StoreResult::kOk) {
    ApplyEvents(events);
  }
  if (result == StoreResult::kHistoryGone || m_covered < m_seen_elsewhere) {
    ListAgain(Freshness::kLatest);
    return;
  }
  m_behind_since.reset();
  Watch();
}

void KindFollower::OnEvents(StoreResult result, const StoreEvents& events) {
  if (result == StoreResult::kHistoryGone) {
    SetReachable(true, result);
    ListAgain(Freshness::kLatest);
    return;
  }
  if (result != StoreResult::kOk) {
    RetryList(result);
    return;
  }
  ApplyEvents(events);
  if (events.events.empty() || m_options.batching == Millis(0)) {
    Watch();
    return;
  }
  m_hooks.after(m_options.batching, [this, generation = m_generation] {
    if (generation == m_generation) {
      Watch();
    }
  });
}

void KindFollower::ApplyEvents(const StoreEvents& events) {
  SetReachable(true, StoreResult::kOk);
  m_revision = std::max(m_revision, events.revision);
  for (const StoreEvent& event : events.events) {
    Apply(event);
  }
}

void KindFollower::OnRevisionElsewhere(uint64_t revision, Millis now) {
  // What this VM lags behind is remembered: a VM that lags as well would
  // otherwise hide it with each of its messages.
  m_seen_elsewhere = std::max(m_seen_elsewhere, revision);
  if (m_seen_elsewhere <= m_covered || !m_has_snapshot) {
    m_behind_since.reset();
    return;
  }
  if (!m_behind_since) {
    m_behind_since = now;
    return;
  }
  if (now - *m_behind_since < m_options.deaf_after || !m_reachable ||
      m_rereading) {
    return;
  }
  m_behind_since = now;
  m_hooks.lagging(m_covered, m_seen_elsewhere);
  if (WatchFreshness() == Freshness::kStale) {
    CatchUp();
  } else {
    ListAgain(Freshness::kLatest);
  }
}

void KindFollower::Apply(const StoreEvent& event) {
  const StoreObject& object = event.object;
  m_last_change = std::max(m_last_change, object.revision);
  m_covered = std::max(m_covered, object.revision);
  const auto known = m_known.find(object.name);
  if (known != m_known.end() && object.revision < known->second) {
    return;
  }
  if (event.deleted) {
    m_known.erase(object.name);
    m_hooks.removed(object.name);
    return;
  }
  m_known[object.name] = object.revision;
  m_hooks.changed(object);
}

void KindFollower::RetryList(StoreResult result) {
  m_rereading = false;
  SetReachable(false, result);
  const double random = 1 - kBackoffJitter * m_random.Unit();
  const Millis delay = m_backoff * random;
  m_backoff = std::min(m_backoff * 2, m_options.last_backoff);
  // Resuming the watch could miss what changed while the store was away.
  ++m_generation;
  m_hooks.after(delay, [this, generation = m_generation] {
    if (generation == m_generation) {
      ListAgain(ListFreshness());
    }
  });
}

void KindFollower::SetReachable(bool reachable, StoreResult result) {
  if (reachable) {
    m_backoff = m_options.first_backoff;
  }
  if (reachable != m_reachable) {
    m_reachable = reachable;
    m_hooks.reachable(reachable, result);
  }
}

}  // namespace tanagervane
