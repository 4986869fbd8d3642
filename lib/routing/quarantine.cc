// Records the losses counted against requests and merges them between entries.

#include "tanagervane/routing/quarantine.h"

#include <algorithm>
#include <utility>

#include "tanagervane/support/hash.h"

namespace tanagervane {
namespace {

constexpr Millis kEvidenceLifetime(10.0 * 60 * 1000);
constexpr size_t kMaxExportedRecords = 64;
// A record's age does not include its transit between entries, so the receiver
// estimates too late a time for the event. An event less than this later than a
// known one is taken as the known one.
constexpr Millis kTransitTolerance(1000);

}  // namespace

Fingerprint MakeFingerprint(std::string_view class_name,
                            std::string_view index,
                            std::string_view payload) {
  // Zero bytes between the fields keep ("ab", "c") distinct from ("a", "bc").
  const std::string_view separator("\0", 1);
  uint64_t state = StableHash(separator, StableHash(class_name));
  state = StableHash(separator, StableHash(index, state));
  return StableHash(payload, state);
}

Millis Quarantine::Suspect::latest_loss() const {
  Millis latest(-kEvidenceLifetime.count());
  for (const auto& [replica, lost_at] : losses) {
    latest = std::max(latest, lost_at);
  }
  return latest;
}

Quarantine::Verdict Quarantine::Check(Fingerprint fingerprint,
                                      Millis now) const {
  m_latest_time = std::max(m_latest_time, now);
  auto it = m_suspects.find(fingerprint);
  if (!m_enabled || it == m_suspects.end() ||
      now - it->second.latest_loss() >= kEvidenceLifetime) {
    return Verdict::kClear;
  }
  return it->second.losses.size() >= m_refusal_threshold ? Verdict::kRefused
                                                         : Verdict::kSuspect;
}

void Quarantine::OnReplicaLost(const ReplicaId& replica,
                               std::span<const InFlightRequest> in_flight,
                               Millis now) {
  if (!m_enabled) {
    return;
  }
  Expire(now);
  for (const InFlightRequest& request : in_flight) {
    auto& losses = m_suspects[request.fingerprint].losses;
    const bool independent = std::ranges::all_of(
        losses, [&](const auto& loss) { return loss.second <= request.sent; });
    if (independent) {
      losses[replica] = now;
    }
  }
}

void Quarantine::OnSuccess(Fingerprint fingerprint) {
  // Most requests are not suspects: the common case costs one lookup.
  if (m_suspects.contains(fingerprint)) {
    Clear(fingerprint, m_latest_time, m_latest_time);
  }
}

void Quarantine::OnCrashRuledOut(const ReplicaId& replica) {
  // Stored even without a recorded loss: a peer's record of it may still
  // arrive.
  m_crash_ruled_out[replica] = m_latest_time;
  for (auto it = m_suspects.begin(); it != m_suspects.end();) {
    it->second.losses.erase(replica);
    it = it->second.losses.empty() ? m_suspects.erase(it) : std::next(it);
  }
}

void Quarantine::Clear(Fingerprint fingerprint,
                       Millis losses_until,
                       std::optional<Millis> succeeded_at) {
  Clearance& cleared = m_cleared[fingerprint];
  cleared.losses_until = std::max(cleared.losses_until, losses_until);
  if (succeeded_at &&
      (!cleared.succeeded_at || *cleared.succeeded_at < *succeeded_at)) {
    cleared.succeeded_at = succeeded_at;
  }
  auto it = m_suspects.find(fingerprint);
  if (it == m_suspects.end()) {
    return;
  }
  std::erase_if(it->second.losses, [&](const auto& loss) {
    return loss.second <= cleared.losses_until;
  });
  if (it->second.losses.empty()) {
    m_suspects.erase(it);
  }
}

bool Quarantine::IsInvalidated(Fingerprint fingerprint,
                               const ReplicaId& replica,
                               Millis lost_at) {
  const Millis earliest_loss = lost_at - kTransitTolerance;
  const auto invalidated = m_invalidated.find({fingerprint, replica});
  if (invalidated != m_invalidated.end() &&
      earliest_loss <= invalidated->second) {
    // The same loss again, with a later estimated time because of its transit.
    invalidated->second = std::max(invalidated->second, lost_at);
    return true;
  }
  auto cleared = m_cleared.find(fingerprint);
  auto ruled_out = m_crash_ruled_out.find(replica);
  const bool is_invalidated = (cleared != m_cleared.end() &&
                               earliest_loss <= cleared->second.losses_until) ||
                              (ruled_out != m_crash_ruled_out.end() &&
                               earliest_loss <= ruled_out->second);
  if (is_invalidated) {
    m_invalidated[{fingerprint, replica}] = lost_at;
  }
  return is_invalidated;
}

void Quarantine::Merge(std::span<const QuarantineRecord> records, Millis now) {
  if (!m_enabled) {
    return;
  }
  Expire(now);
  for (const QuarantineRecord& record : records) {
    if (record.age >= Millis(0) && record.age < kEvidenceLifetime) {
      MergeRecord(record, now);
    }
  }
}

void Quarantine::MergeRecord(const QuarantineRecord& record, Millis now) {
  const Millis event_time = now - record.age;
  if (record.lost_replicas.empty()) {
    // A known success keeps its time: if each exchange adopted the later
    // estimate, the time would drift and the success would never expire.
    auto known = m_cleared.find(record.fingerprint);
    if (known == m_cleared.end() || !known->second.succeeded_at ||
        *known->second.succeeded_at + kTransitTolerance < event_time) {
      Clear(record.fingerprint, event_time, event_time);
    }
    return;
  }
  for (const ReplicaId& replica : record.lost_replicas) {
    if (IsInvalidated(record.fingerprint, replica, event_time)) {
      continue;
    }
    // A known loss keeps its time for the same reason. A loss that is later by
    // more than the tolerance is another loss of the same replica.
    auto& losses = m_suspects[record.fingerprint].losses;
    const auto [loss, added] = losses.try_emplace(replica, event_time);
    if (!added && loss->second + kTransitTolerance < event_time) {
      loss->second = event_time;
    }
  }
}

std::vector<QuarantineRecord> Quarantine::Export(Millis now) const {
  m_latest_time = std::max(m_latest_time, now);
  std::vector<QuarantineRecord> records;
  for (const auto& [fingerprint, suspect] : m_suspects) {
    QuarantineRecord record{fingerprint, {}, now - suspect.latest_loss()};
    for (const auto& [replica, lost_at] : suspect.losses) {
      record.lost_replicas.push_back(replica);
    }
    records.push_back(std::move(record));
  }
  for (const auto& [fingerprint, cleared] : m_cleared) {
    if (cleared.succeeded_at && !m_suspects.contains(fingerprint)) {
      records.push_back({fingerprint, {}, now - *cleared.succeeded_at});
    }
  }
  std::erase_if(records, [](const QuarantineRecord& record) {
    return record.age >= kEvidenceLifetime;
  });
  // Suspects come before successes, which only clear suspects.
  std::ranges::stable_sort(records, {}, [](const QuarantineRecord& record) {
    return std::pair(record.lost_replicas.empty(), record.age);
  });
  if (records.size() > kMaxExportedRecords) {
    records.resize(kMaxExportedRecords);
  }
  return records;
}

void Quarantine::Expire(Millis now) {
  m_latest_time = std::max(m_latest_time, now);
  std::vector<std::pair<Fingerprint, Millis>> expired;
  for (const auto& [fingerprint, suspect] : m_suspects) {
    if (const Millis latest = suspect.latest_loss();
        now - latest >= kEvidenceLifetime) {
      expired.emplace_back(fingerprint, latest);
    }
  }
  for (const auto& [fingerprint, latest] : expired) {
    Clear(fingerprint, latest, std::nullopt);
  }
  std::erase_if(m_cleared, [&](const auto& entry) {
    return now - entry.second.losses_until >=
           kEvidenceLifetime + kTransitTolerance;
  });
  const auto is_expired = [&](const auto& entry) {
    return now - entry.second >= kEvidenceLifetime + kTransitTolerance;
  };
  std::erase_if(m_crash_ruled_out, is_expired);
  std::erase_if(m_invalidated, is_expired);
}

}  // namespace tanagervane
