#include "tanagervane/quota/fleet_census.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "tanagervane/quota/share_table.h"

namespace tanagervane {

namespace {

/// After this time without a list, the VM asks the others for statements.
constexpr double kAskBeforeIsolationFraction = 0.25;

/// A share grows only by more than this factor, because it takes a write and a
/// read of the latest list.
constexpr double kMinGrowth = 1.1;

/// Rounding errors of sums of shares.
constexpr double kShareTolerance = 1e-9;

/// Returns the smallest divisor of at least `min` with which `parts` equal
/// shares fit into `room`; nullopt if there is no room.
std::optional<uint64_t> DivisorFor(double parts, double room, size_t min) {
  if (room <= kShareTolerance) {
    return std::nullopt;
  }
  const double divisor = std::ceil(parts / room - kShareTolerance);
  return std::max<uint64_t>(min, static_cast<uint64_t>(divisor));
}

}  // namespace

FleetCensus::FleetCensus(std::string self, Millis started_at)
    : m_self(std::move(self)),
      m_started_at(started_at),
      m_claimed_at(started_at) {}

void FleetCensus::OnList(const CensusList& list, Millis now) {
  m_has_list = true;
  for (auto& [id, vm] : m_others) {
    if (!vm.absent_since) {
      vm.absent_since = now;
    }
  }
  for (const CensusEntry& entry : list.entries) {
    if (entry.id == m_self) {
      m_listed_at = list.requested_at;
      continue;
    }
    const auto [it, is_new] = m_others.try_emplace(entry.id);
    it->second.absent_since.reset();
    if (is_new || list.is_latest) {
      it->second.claim = entry.claim;
    }
  }
  std::erase_if(m_others, [&](const auto& item) {
    return item.second.absent_since &&
           now - *item.second.absent_since >= kForgetVmAfter;
  });
  ReadOwnClaim(list);
  if (list.is_latest) {
    Verify(list, now);
  }
}

void FleetCensus::ReadOwnClaim(const CensusList& list) {
  const bool is_recent =
      list.is_latest ? list.requested_at >= m_claimed_at : m_trusts_stale_list;
  if (m_is_writing || !is_recent) {
    return;
  }
  const auto self = std::ranges::find(list.entries, m_self, &CensusEntry::id);
  m_knows_claim = true;
  m_claim = self == list.entries.end() ? 0 : self->claim.value_or(0);
}

void FleetCensus::Verify(const CensusList& list, Millis now) {
  if (m_is_writing || list.requested_at < m_claimed_at || !MayGrow()) {
    return;
  }
  const std::optional<uint64_t> divisor = FreeDivisor(now);
  const uint64_t verified = divisor ? std::max(*divisor, m_claim) : 0;
  // A greater share than before may still be used by others for a lease term.
  if (m_verified == 0 || verified < m_verified) {
    m_verified_since = now;
  }
  m_verified = verified;
}

void FleetCensus::OnStatement(std::string_view vm,
                              const CensusStatement& statement,
                              Millis now) {
  const auto [it, is_new] = m_others.try_emplace(std::string(vm));
  Vm& entry = it->second;
  if (is_new || entry.absent_since) {
    entry.absent_since = now;
  }
  entry.statement = statement;
  entry.stated_at = now;
}

void FleetCensus::Leave() {
  m_is_leaving = true;
  m_divisor = 0;
  m_verified = 0;
}

void FleetCensus::SetLive(std::span<const std::string> live) {
  m_live = {live.begin(), live.end()};
}

CensusStatement FleetCensus::MakeStatement() const {
  CensusStatement statement;
  statement.count = m_others.size() + 1;
  statement.floor = statement.count;
  for (const auto& [id, vm] : m_others) {
    statement.floor = std::min(statement.floor, vm.statement.count);
  }
  return statement;
}

size_t FleetCensus::Count(Millis now) const {
  size_t count = m_others.size() + 1;
  for (const auto& [id, vm] : m_others) {
    if (vm.stated_at && now - *vm.stated_at < kForgetVmAfter) {
      count = std::max<size_t>(count, vm.statement.count);
    }
  }
  return count;
}

bool FleetCensus::IsIsolated(Millis now) const {
  if (m_listed_at && now - *m_listed_at < kIsolationTimeout) {
    return false;
  }
  const auto heard = std::ranges::count_if(m_others, [&](const auto& item) {
    return item.second.stated_at &&
           now - *item.second.stated_at < kIsolationTimeout;
  });
  return static_cast<size_t>(heard + 1) * 2 <= m_others.size() + 1;
}

double FleetCensus::BoundOf(const Vm& vm, size_t count) const {
  // A registration without a claim is that of an earlier release, whose VMs
  // state the number among which they divide.
  const uint64_t stated = vm.stated_at ? vm.statement.count : count;
  const uint64_t divisor = vm.claim.value_or(std::max<uint64_t>(stated, 1));
  return divisor == 0 ? 0 : 1 / static_cast<double>(divisor);
}

uint64_t FleetCensus::EqualDivisor(Millis now) const {
  const size_t count = Count(now);
  const double equal_share = 1 / static_cast<double>(count);
  double room = 1;
  auto parts = static_cast<double>(count);
  for (const auto& [id, vm] : m_others) {
    const double bound = BoundOf(vm, count);
    if (bound > equal_share + kShareTolerance && !m_live.contains(id)) {
      room -= bound;
      parts -= 1;
    }
  }
  return DivisorFor(parts, room, count).value_or(count);
}

std::optional<uint64_t> FleetCensus::FreeDivisor(Millis now) const {
  const size_t count = Count(now);
  double room = 1;
  // VMs without a share get as much as this one.
  double parts = 1;
  for (const auto& [id, vm] : m_others) {
    const double bound = BoundOf(vm, count);
    room -= bound;
    parts += bound == 0 ? 1 : 0;
  }
  return DivisorFor(parts, room, EqualDivisor(now));
}

bool FleetCensus::MayGrow() const {
  return !m_is_leaving && m_is_written && m_claim > 0 &&
         (m_divisor == 0 || m_claim < m_divisor);
}

uint64_t FleetCensus::WantedClaim(Millis now) const {
  const uint64_t free = FreeDivisor(now).value_or(0);
  if (m_divisor == 0) {
    // The claim of the previous process serves until a share is owned.
    return m_claim > 0 ? m_claim : free;
  }
  const bool grows = free > 0 && static_cast<double>(free) * kMinGrowth <=
                                     static_cast<double>(m_divisor);
  return grows ? free : m_divisor;
}

std::optional<uint64_t> FleetCensus::TakeClaimToWrite(Millis now) {
  if (m_is_leaving || m_is_writing || !m_knows_claim) {
    return std::nullopt;
  }
  const uint64_t wanted = WantedClaim(now);
  if (wanted == 0 || (wanted == m_claim && m_is_written)) {
    m_next_claim = 0;
    return std::nullopt;
  }
  if (wanted != m_next_claim) {
    m_next_claim = wanted;
    m_next_claim_since = now;
  }
  // Others may see a claim for less than this VM uses.
  const bool is_urgent =
      !m_is_written || (m_divisor > 0 && (m_claim == 0 || m_claim > m_divisor));
  const bool is_first = m_divisor == 0 && m_claim == 0;
  const bool is_settled = now - m_next_claim_since >= kClaimSettleTime;
  if (!is_settled && (is_first || !is_urgent)) {
    return std::nullopt;
  }
  m_is_writing = true;
  m_trusts_stale_list = false;
  m_verified = 0;
  return wanted;
}

void FleetCensus::OnClaimWritten(uint64_t claim, bool is_written, Millis now) {
  m_is_writing = false;
  m_claimed_at = now;
  m_claim = is_written ? claim : 0;
  m_is_written = is_written;
  m_knows_claim = is_written;
}

void FleetCensus::ForgetClaim(Millis now) {
  m_claimed_at = now;
  m_is_written = false;
  m_knows_claim = false;
  m_trusts_stale_list = false;
  m_verified = 0;
}

bool FleetCensus::NeedsLatestList(Millis now) const {
  if (m_is_leaving || m_is_writing || m_verified > 0) {
    return false;
  }
  if (!m_knows_claim || MayGrow()) {
    return true;
  }
  if (m_divisor == 0) {
    // Otherwise a claim is written first.
    return m_claim == 0 && !FreeDivisor(now);
  }
  return static_cast<double>(m_divisor) >=
         kMinGrowth * static_cast<double>(Count(now));
}

void FleetCensus::Shrink(Millis now) {
  if (m_divisor > 0) {
    m_divisor = std::max(m_divisor, EqualDivisor(now));
  }
}

void FleetCensus::Grow(Millis now) {
  const Millis since = std::max(m_verified_since, m_started_at);
  // Shares that the others lent before they shrank are used until their leases
  // end, and so are those that the previous process lent.
  if (m_verified == 0 || now - since < kLeaseTerm) {
    return;
  }
  const std::optional<uint64_t> free = FreeDivisor(now);
  const uint64_t divisor = std::max(m_verified, free.value_or(0));
  m_verified = 0;
  if (free && (m_divisor == 0 || divisor < m_divisor)) {
    m_divisor = divisor;
  }
}

double FleetCensus::UpdateOwnedShare(Millis now) {
  if (IsIsolated(now)) {
    // The others may have forgotten this VM since.
    for (auto& [id, vm] : m_others) {
      vm.statement = {};
      vm.stated_at.reset();
    }
    if (m_divisor > 0 || m_verified > 0) {
      m_divisor = 0;
      ForgetClaim(now);
    }
  }
  if (!m_has_list) {
    return 0;
  }
  Shrink(now);
  Grow(now);
  return m_divisor == 0 ? 0 : 1 / static_cast<double>(m_divisor);
}

std::vector<std::string_view> FleetCensus::UnheardVms() const {
  std::vector<std::string_view> unheard;
  for (const auto& [id, vm] : m_others) {
    if (!vm.absent_since && !vm.stated_at) {
      unheard.push_back(id);
    }
  }
  return unheard;
}

bool FleetCensus::NeedsStatements(Millis now) const {
  return m_divisor == 0 || !m_listed_at ||
         now - *m_listed_at >= kIsolationTimeout * kAskBeforeIsolationFraction;
}

}  // namespace tanagervane
