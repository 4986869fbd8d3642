// Evidence against requests, its withdrawal and its exchange.

#include "tanagervane/routing/quarantine.h"

#include <algorithm>
#include <utility>

#include "tanagervane/support/hash.h"

namespace tanagervane {
namespace {

constexpr Millis kLifetime(10.0 * 60 * 1000);
constexpr size_t kMaxExported = 64;
// The age in a record does not include its way between entries, so a peer
// dates a loss later than it was. Evidence within this time counts as old.
constexpr Millis kTransitTolerance(1000);

}  // namespace

Fingerprint MakeFingerprint(std::string_view class_name,
                            std::string_view index,
                            std::string_view payload) {
  // The zero bytes keep ("ab", "c") apart from ("a", "bc").
  const std::string_view separator("\0", 1);
  uint64_t state = StableHash(separator, StableHash(class_name));
  state = StableHash(separator, StableHash(index, state));
  return StableHash(payload, state);
}

Millis Quarantine::Suspect::latest_loss() const {
  Millis latest(-kLifetime.count());
  for (const auto& [replica, lost_at] : losses) {
    latest = std::max(latest, lost_at);
  }
  return latest;
}

Quarantine::Verdict Quarantine::Check(Fingerprint fingerprint,
                                      Millis now) const {
  m_now = std::max(m_now, now);
  auto it = m_suspects.find(fingerprint);
  if (!m_enabled || it == m_suspects.end() ||
      now - it->second.latest_loss() >= kLifetime) {
    return Verdict::kClear;
  }
  return it->second.losses.size() >= m_refused_after ? Verdict::kRefused
                                                     : Verdict::kSuspect;
}

void Quarantine::OnReplicaLost(const ReplicaId& replica,
                               std::span<const InFlight> in_flight,
                               Millis now) {
  if (!m_enabled) {
    return;
  }
  Expire(now);
  for (const InFlight& request : in_flight) {
    auto& losses = m_suspects[request.fingerprint].losses;
    const bool independent = std::ranges::all_of(
        losses, [&](const auto& loss) { return loss.second <= request.sent; });
    if (independent) {
      losses[replica] = now;
    }
  }
}

void Quarantine::OnSuccess(Fingerprint fingerprint) {
  // Most requests are no suspects, so this stays one lookup.
  if (m_suspects.contains(fingerprint)) {
    Clear(fingerprint, m_now, m_now);
  }
}

void Quarantine::OnReplicaSurvived(const ReplicaId& replica) {
  // Kept also without evidence at hand: a peer's record may still arrive.
  m_survived[replica] = m_now;
  for (auto it = m_suspects.begin(); it != m_suspects.end();) {
    it->second.losses.erase(replica);
    it = it->second.losses.empty() ? m_suspects.erase(it) : std::next(it);
  }
}

void Quarantine::Clear(Fingerprint fingerprint,
                       Millis until,
                       std::optional<Millis> at) {
  Cleared& cleared = m_cleared[fingerprint];
  cleared.until = std::max(cleared.until, until);
  if (at && (!cleared.at || *cleared.at < *at)) {
    cleared.at = at;
  }
  auto it = m_suspects.find(fingerprint);
  if (it == m_suspects.end()) {
    return;
  }
  std::erase_if(it->second.losses,
                [&](const auto& loss) { return loss.second <= cleared.until; });
  if (it->second.losses.empty()) {
    m_suspects.erase(it);
  }
}

bool Quarantine::IsVoid(Fingerprint fingerprint,
                        const ReplicaId& replica,
                        Millis lost_at) {
  const Millis earliest = lost_at - kTransitTolerance;
  const auto voided = m_voided.find({fingerprint, replica});
  if (voided != m_voided.end() && earliest <= voided->second) {
    // The same loss again, dated later by its way here.
    voided->second = std::max(voided->second, lost_at);
    return true;
  }
  auto cleared = m_cleared.find(fingerprint);
  auto survived = m_survived.find(replica);
  const bool is_void =
      (cleared != m_cleared.end() && earliest <= cleared->second.until) ||
      (survived != m_survived.end() && earliest <= survived->second);
  if (is_void) {
    m_voided[{fingerprint, replica}] = lost_at;
  }
  return is_void;
}

void Quarantine::Merge(std::span<const QuarantineRecord> records, Millis now) {
  if (!m_enabled) {
    return;
  }
  Expire(now);
  for (const QuarantineRecord& record : records) {
    if (record.age >= Millis(0) && record.age < kLifetime) {
      MergeOne(record, now);
    }
  }
}

void Quarantine::MergeOne(const QuarantineRecord& record, Millis now) {
  const Millis happened = now - record.age;
  if (record.lost_replicas.empty()) {
    // A known success keeps its time: taking the later estimate on each
    // exchange would let it drift and never expire.
    auto known = m_cleared.find(record.fingerprint);
    if (known == m_cleared.end() || !known->second.at ||
        *known->second.at + kTransitTolerance < happened) {
      Clear(record.fingerprint, happened, happened);
    }
    return;
  }
  for (const ReplicaId& replica : record.lost_replicas) {
    if (IsVoid(record.fingerprint, replica, happened)) {
      continue;
    }
    // A known loss keeps its time for the same reason. A clearly later one is
    // another loss of the same replica.
    auto& losses = m_suspects[record.fingerprint].losses;
    const auto [loss, added] = losses.try_emplace(replica, happened);
    if (!added && loss->second + kTransitTolerance < happened) {
      loss->second = happened;
    }
  }
}

std::vector<QuarantineRecord> Quarantine::Export(Millis now) const {
  m_now = std::max(m_now, now);
  std::vector<QuarantineRecord> records;
  for (const auto& [fingerprint, suspect] : m_suspects) {
    QuarantineRecord record{fingerprint, {}, now - suspect.latest_loss()};
    for (const auto& [replica, lost_at] : suspect.losses) {
      record.lost_replicas.push_back(replica);
    }
    records.push_back(std::move(record));
  }
  for (const auto& [fingerprint, cleared] : m_cleared) {
    if (cleared.at && !m_suspects.contains(fingerprint)) {
      records.push_back({fingerprint, {}, now - *cleared.at});
    }
  }
  std::erase_if(records, [](const QuarantineRecord& record) {
    return record.age >= kLifetime;
  });
  // Suspects come before successes, which only help to clear them.
  std::ranges::stable_sort(records, {}, [](const QuarantineRecord& record) {
    return std::pair(record.lost_replicas.empty(), record.age);
  });
  if (records.size() > kMaxExported) {
    records.resize(kMaxExported);
  }
  return records;
}

void Quarantine::Expire(Millis now) {
  m_now = std::max(m_now, now);
  std::vector<std::pair<Fingerprint, Millis>> expired;
  for (const auto& [fingerprint, suspect] : m_suspects) {
    if (const Millis latest = suspect.latest_loss();
        now - latest >= kLifetime) {
      expired.emplace_back(fingerprint, latest);
    }
  }
  for (const auto& [fingerprint, latest] : expired) {
    Clear(fingerprint, latest, std::nullopt);
  }
  std::erase_if(m_cleared, [&](const auto& entry) {
    return now - entry.second.until >= kLifetime + kTransitTolerance;
  });
  const auto is_old = [&](const auto& entry) {
    return now - entry.second >= kLifetime + kTransitTolerance;
  };
  std::erase_if(m_survived, is_old);
  std::erase_if(m_voided, is_old);
}

}  // namespace tanagervane
