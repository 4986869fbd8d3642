#include "tanagervane/query/attempt_table.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>

namespace tanagervane {

AttemptId AttemptTable::Open(OpenAttempt attempt) {
  ++m_in_flight_by_fingerprint[attempt.fingerprint];
  const AttemptId id = ++m_last_id;
  m_open.emplace(id, std::move(attempt));
  return id;
}

OpenAttempt AttemptTable::Close(AttemptId id) {
  const auto it = m_open.find(id);
  assert(it != m_open.end() && "only an open attempt is closed");
  OpenAttempt attempt = std::move(it->second);
  m_open.erase(it);
  const auto count = m_in_flight_by_fingerprint.find(attempt.fingerprint);
  if (--count->second == 0) {
    m_in_flight_by_fingerprint.erase(count);
  }
  return attempt;
}

const OpenAttempt* AttemptTable::Find(AttemptId id) const {
  const auto it = m_open.find(id);
  return it == m_open.end() ? nullptr : &it->second;
}

uint32_t AttemptTable::CountInFlight(Fingerprint fingerprint) const {
  const auto it = m_in_flight_by_fingerprint.find(fingerprint);
  return it == m_in_flight_by_fingerprint.end() ? 0 : it->second;
}

std::vector<Quarantine::InFlightRequest> AttemptTable::RequestsInFlightAt(
    const Replica& replica) const {
  std::map<Fingerprint, Millis> latest;
  for (const auto& [id, sent_at] : replica.in_flight) {
    if (const OpenAttempt* attempt = Find(id)) {
      Millis& sent = latest[attempt->fingerprint];
      sent = std::max(sent, sent_at);
    }
  }
  std::vector<Quarantine::InFlightRequest> requests;
  requests.reserve(latest.size());
  for (const auto& [fingerprint, sent] : latest) {
    requests.push_back({fingerprint, sent});
  }
  return requests;
}

}  // namespace tanagervane
