#include "tanagervane/state/document_tracker.h"

#include <algorithm>
#include <utility>

#include "tanagervane/support/error.h"
#include "tanagervane/support/hash.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr char kObjectKind[] = "document";
constexpr Millis kRereadPeriod{30000};
constexpr Millis kUnreadyRereadPeriod{1000};
/// Interval between reads of a missing object, which are used instead of a
/// watch because a watch on a missing object may return at once.
constexpr Millis kMissingObjectInterval{1000};
constexpr Millis kWatchTimeout{25000};
constexpr Millis kReadTimeout{2000};
constexpr Millis kPeerFetchTimeout{1000};
constexpr Millis kPeerRetryInterval{500};
constexpr Millis kRefusedRetryInterval{30000};
constexpr double kInitialBackoffMs = 100;
/// A revision must reach every entry within 5 s, even right after an outage of
/// the platform.
constexpr double kMaxBackoffMs = 2000;
constexpr size_t kMaxRefusedRevisions = 16;
/// Number of entries that watch the platform object: two, so that the
/// failure of one does not delay revisions.
constexpr size_t kWatchers = 2;
constexpr size_t kMaxParallelFetches = 2;
constexpr size_t kMaxParallelStartupFetches = 8;

}  // namespace

std::vector<std::string> RendezvousOrder(std::string_view document,
                                         std::span<const std::string> entries,
                                         size_t count) {
  std::vector<std::pair<uint64_t, std::string>> scored;
  scored.reserve(entries.size());
  for (const std::string& entry : entries) {
    uint64_t score = StableHash(entry, StableHash(document));
    // Applies the 64-bit finalizer of MurmurHash3, because FNV-1a leaves the
    // high bits of similar names correlated.
    score = (score ^ (score >> 33)) * 0xff51afd7ed558ccdULL;
    score = (score ^ (score >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    scored.emplace_back(score ^ (score >> 33), entry);
  }
  std::sort(scored.begin(), scored.end());
  std::vector<std::string> result;
  for (const auto& [score, entry] : scored) {
    if (result.size() == count) {
      break;
    }
    result.push_back(entry);
  }
  return result;
}

DocumentTracker::DocumentTracker(Options options,
                                 PlatformApi platform,
                                 DocumentParser parser,
                                 ClockHook clock,
                                 Hooks hooks)
    : m_options(std::move(options)),
      m_platform(std::move(platform)),
      m_parser(std::move(parser)),
      m_clock(std::move(clock)),
      m_hooks(std::move(hooks)),
      m_random(m_options.seed),
      m_next_call(m_clock()) {}

void DocumentTracker::SetPeers(std::span<const Peer> peers, bool self_serving) {
  std::map<std::string, PeerFetch> known;
  std::vector<std::string> serving;
  for (const Peer& peer : peers) {
    auto node = m_peers.extract(peer.id);
    PeerFetch& fetch = node.empty()
                           ? known[peer.id]
                           : known.insert(std::move(node)).position->second;
    fetch.peer = peer;
    if (peer.serving) {
      serving.push_back(peer.id);
    }
  }
  m_peers = std::move(known);
  if (self_serving) {
    serving.push_back(m_options.self_id);
  }
  const auto watchers = RendezvousOrder(m_options.team, serving, kWatchers);
  const bool was_watcher =
      std::exchange(m_watcher, std::find(watchers.begin(), watchers.end(),
                                         m_options.self_id) != watchers.end());
  const Millis now = m_clock();
  if (m_watcher && !was_watcher && m_failures == 0) {
    m_read_next = true;
    m_next_call = now;
  }
  StartDueFetches(now);
  UpdateReady();
}

bool DocumentTracker::AcceptIfNewer(const StoredDocument& stored,
                                    std::string_view source) {
  if (stored.revision <= revision()) {
    return false;
  }
  absl::StatusOr<Document> document = m_parser(stored.text);
  if (!document.ok()) {
    Refuse(stored.revision, document.status(), source, m_clock());
    return false;
  }
  m_in_force = AcceptedDocument{stored, *std::move(document)};
  LogEvent("document_accepted")
      .Field("revision", stored.revision)
      .Field("source", source);
  if (m_hooks.on_accepted) {
    m_hooks.on_accepted(*m_in_force);
  }
  UpdateReady();
  return true;
}

void DocumentTracker::Refuse(uint64_t revision,
                             absl::Status reason,
                             std::string_view source,
                             Millis now) {
  LogEvent("document_refused")
      .Field("revision", revision)
      .Field("source", source)
      .Field("reason", GetErrorMessage(reason));
  m_last_invalid =
      InvalidDocument{revision, std::move(reason), std::string(source), now};
  m_refused_until[revision] = now + kRefusedRetryInterval;
  if (m_refused_until.size() > kMaxRefusedRevisions) {
    m_refused_until.erase(m_refused_until.begin());
  }
}

void DocumentTracker::OnTick(Millis now) {
  if (m_call.Overdue(now)) {
    m_call.Cancel();
    OnPlatformFailure(now);
  }
  std::vector<std::string> overdue;
  for (auto& [id, fetch] : m_peers) {
    if (fetch.call.Overdue(now)) {
      fetch.call.Cancel();
      overdue.push_back(id);
    }
  }
  for (const std::string& id : overdue) {
    OnPeerReply(id, false, std::nullopt);
  }
  if (!m_call.active() && now >= m_next_call) {
    StartPlatformCall(now);
  }
  StartDueFetches(now);
}

Millis DocumentTracker::NextTimer() const {
  Millis next = m_call.active() ? *m_call.deadline() : m_next_call;
  for (const auto& [id, fetch] : m_peers) {
    if (const auto deadline = fetch.call.deadline()) {
      next = std::min(next, *deadline);
    } else if (fetch.peer.revision > revision() || !m_ready) {
      next = std::min(next,
                      std::max(fetch.retry_at, m_clock() + kPeerRetryInterval));
    }
  }
  return next;
}

uint64_t DocumentTracker::revision() const {
  return m_in_force ? m_in_force->stored.revision : 0;
}

std::optional<StoredDocument> DocumentTracker::NewerThan(
    uint64_t revision) const {
  if (!m_in_force || m_in_force->stored.revision <= revision) {
    return std::nullopt;
  }
  return m_in_force->stored;
}

void DocumentTracker::StartPlatformCall(Millis now) {
  const bool watch = m_watcher && !m_read_next && m_platform_version != 0;
  const Millis timeout = watch ? kWatchTimeout + kReadTimeout : kReadTimeout;
  PlatformApi::ObjectDone done = m_call.Start(
      now + timeout,
      PlatformApi::ObjectDone(
          [this, watch](PlatformResult result, const PlatformObject& object) {
            OnPlatformReply(watch, result, object);
          }));
  if (watch) {
    m_platform.watch(kObjectKind, m_options.team, m_platform_version,
                     kWatchTimeout, std::move(done));
  } else {
    m_platform.get(kObjectKind, m_options.team, std::move(done));
  }
}

void DocumentTracker::OnPlatformReply(bool watch,
                                      PlatformResult result,
                                      const PlatformObject& object) {
  const Millis now = m_clock();
  switch (result) {
    case PlatformResult::kOk:
      ApplyObject(watch, object, now);
      return;
    case PlatformResult::kNotFound:
      // The object may have been deleted; the document in force remains.
      m_platform_version = 0;
      break;
    case PlatformResult::kUnchanged:
      // A watch does not detect an object that was deleted and created again
      // with lower versions, so a read follows each watch that saw no change.
      m_read_next = true;
      m_failures = 0;
      m_next_call = now;
      return;
    case PlatformResult::kVersionTooOld:
      m_read_next = true;
      OnPlatformFailure(now);
      return;
    default:
      OnPlatformFailure(now);
      return;
  }
  m_failures = 0;
  m_platform_read = true;
  ScheduleNext(now);
  UpdateReady();
}

void DocumentTracker::ApplyObject(bool watch,
                                  const PlatformObject& object,
                                  Millis now) {
  if (watch && object.version <= m_platform_version) {
    // The reply is stale. Another watch without a delay could return the same
    // reply in a loop.
    m_read_next = true;
    OnPlatformFailure(now);
    return;
  }
  m_platform_version = object.version;
  m_read_next = false;
  m_failures = 0;
  m_platform_read = true;
  ScheduleNext(now);
  if (const auto stored = ParseStoredDocument(object.value); stored.ok()) {
    AcceptIfNewer(*stored, "platform");
  } else {
    Refuse(0, stored.status(), "platform", now);
  }
  UpdateReady();
}

void DocumentTracker::OnPlatformFailure(Millis now) {
  m_platform_failed = true;
  const double max_delay_ms = std::min(
      kMaxBackoffMs,
      kInitialBackoffMs * static_cast<double>(1U << std::min(m_failures, 10U)));
  ++m_failures;
  m_next_call =
      now + Millis(max_delay_ms * (0.5 + 0.5 * m_random.NextDouble()));
  UpdateReady();
}

void DocumentTracker::ScheduleNext(Millis now) {
  if (m_watcher && m_platform_version != 0) {
    m_next_call = now;
  } else if (m_watcher) {
    m_next_call = now + Jitter(kMissingObjectInterval);
  } else {
    m_next_call = now + Jitter(m_ready ? kRereadPeriod : kUnreadyRereadPeriod);
    m_read_next = true;
  }
}

Millis DocumentTracker::Jitter(Millis interval) {
  return interval * (0.8 + 0.4 * m_random.NextDouble());
}

void DocumentTracker::StartDueFetches(Millis now) {
  size_t active = 0;
  std::vector<PeerFetch*> due;
  for (auto& [id, fetch] : m_peers) {
    if (fetch.call.active()) {
      ++active;
      continue;
    }
    const auto refused = m_refused_until.find(fetch.peer.revision);
    if (refused != m_refused_until.end() && now < refused->second &&
        fetch.attempted) {
      continue;
    }
    const bool wanted =
        fetch.peer.revision > revision() || (!m_ready && !fetch.attempted) ||
        (!m_ready && !m_serving_peer_answered && fetch.peer.serving);
    if (wanted && now >= fetch.retry_at) {
      due.push_back(&fetch);
    }
  }
  const size_t limit =
      m_ready ? kMaxParallelFetches : kMaxParallelStartupFetches;
  while (!due.empty() && active < limit) {
    const size_t index = m_random.NextBelow(due.size());
    std::swap(due[index], due.back());
    StartFetch(*due.back(), now);
    due.pop_back();
    ++active;
  }
}

void DocumentTracker::StartFetch(PeerFetch& fetch, Millis now) {
  const std::string id = fetch.peer.id;
  PeerDone done = fetch.call.Start(
      now + kPeerFetchTimeout,
      PeerDone(
          [this, id](bool ok, const std::optional<StoredDocument>& stored) {
            OnPeerReply(id, ok, stored);
          }));
  m_hooks.fetch_from_peer(id, revision(), std::move(done));
}

void DocumentTracker::OnPeerReply(const std::string& id,
                                  bool ok,
                                  const std::optional<StoredDocument>& stored) {
  const Millis now = m_clock();
  bool serving = false;
  if (const auto it = m_peers.find(id); it != m_peers.end()) {
    it->second.attempted = true;
    it->second.retry_at = now + Jitter(kPeerRetryInterval);
    serving = it->second.peer.serving;
  }
  if (stored) {
    AcceptIfNewer(*stored, id);
  }
  if (ok && serving && m_in_force) {
    m_serving_peer_answered = true;
  }
  UpdateReady();
  StartDueFetches(now);
}

void DocumentTracker::UpdateReady() {
  if (m_ready || !m_in_force) {
    return;
  }
  const bool platform_done =
      m_platform_read || (m_platform_failed && m_serving_peer_answered);
  const bool all_attempted =
      std::all_of(m_peers.begin(), m_peers.end(),
                  [](const auto& item) { return item.second.attempted; });
  m_ready = platform_done && all_attempted;
}

}  // namespace tanagervane
