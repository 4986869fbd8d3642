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
  List();
}

void KindFollower::List() {
  const std::string after = m_pages.empty() ? "" : m_pages.back().name;
  m_hooks.list(after, [this, generation = m_generation](StoreResult result,
                                                        StorePage page) {
    if (generation == m_generation) {
      OnPage(result, std::move(page));
    }
  });
}

void KindFollower::ListAgain() {
  ++m_generation;
  m_pages.clear();
  List();
}

void KindFollower::OnPage(StoreResult result, StorePage page) {
  if (result != StoreResult::kOk) {
    RetryList(result);
    return;
  }
  SetReachable(true, result);
  if (m_pages.empty()) {
    // Changes made while the pages are read come again as events.
    m_revision = page.revision;
  }
  const bool grew = !page.objects.empty();
  std::ranges::move(page.objects, std::back_inserter(m_pages));
  if (page.has_more && grew) {
    List();
    return;
  }
  m_known.clear();
  for (const StoreObject& object : m_pages) {
    m_known[object.name] = object.revision;
    m_last_change = std::max(m_last_change, object.revision);
    m_covered = std::max(m_covered, object.revision);
  }
  m_has_snapshot = true;
  m_covered = std::max(m_covered, m_revision);
  // A full read leaves nothing to catch up with; a greater claim was false.
  m_seen_elsewhere = m_covered;
  m_behind_since.reset();
  m_hooks.snapshot(std::exchange(m_pages, {}));
  Watch();
}

void KindFollower::Watch() {
  m_hooks.watch(m_revision, [this, generation = m_generation](
                                StoreResult result, const StoreEvents& events) {
    if (generation == m_generation) {
      OnEvents(result, events);
    }
  });
}

void KindFollower::OnEvents(StoreResult result, const StoreEvents& events) {
  if (result == StoreResult::kHistoryGone) {
    SetReachable(true, result);
    ListAgain();
    return;
  }
  if (result != StoreResult::kOk) {
    RetryList(result);
    return;
  }
  SetReachable(true, result);
  m_revision = std::max(m_revision, events.revision);
  for (const StoreEvent& event : events.events) {
    Apply(event);
  }
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
  if (now - *m_behind_since < m_options.deaf_after || !m_reachable) {
    return;
  }
  m_behind_since = now;
  ListAgain();
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
  SetReachable(false, result);
  const double random = 1 - kBackoffJitter * m_random.Unit();
  const Millis delay = m_backoff * random;
  m_backoff = std::min(m_backoff * 2, m_options.last_backoff);
  // Resuming the watch could miss what changed while the store was away.
  ++m_generation;
  m_pages.clear();
  m_hooks.after(delay, [this, generation = m_generation] {
    if (generation == m_generation) {
      List();
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
