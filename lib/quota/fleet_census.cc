#include "tanagervane/quota/fleet_census.h"

#include <algorithm>
#include <utility>

#include "tanagervane/quota/share_table.h"

namespace tanagervane {

namespace {

/// After this time without a list, the VM asks the others for statements.
constexpr double kAskBeforeIsolationFraction = 0.25;

}  // namespace

FleetCensus::FleetCensus(std::string self, Millis started_at)
    : m_self(std::move(self)), m_started_at(started_at) {}

void FleetCensus::OnList(std::span<const std::string> listed,
                         Millis requested_at,
                         Millis now) {
  m_has_list = true;
  if (std::ranges::find(listed, m_self) != listed.end()) {
    m_listed_at = requested_at;
  }
  for (auto& [id, vm] : m_others) {
    if (!vm.absent_since) {
      vm.absent_since = now;
    }
  }
  for (const std::string& id : listed) {
    if (id != m_self) {
      m_others[id].absent_since.reset();
    }
  }
  std::erase_if(m_others, [&](const auto& item) {
    return item.second.absent_since &&
           now - *item.second.absent_since >= kForgetVmAfter;
  });
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

bool FleetCensus::IsCountedByAll(Millis now) const {
  const size_t count = Count(now);
  const bool all = std::ranges::all_of(m_others, [&](const auto& item) {
    return item.second.statement.count >= count;
  });
  return all || std::ranges::any_of(m_others, [&](const auto& item) {
           return item.second.statement.floor >= count;
         });
}

double FleetCensus::UpdateOwnedShare(Millis now) {
  if (IsIsolated(now)) {
    // The others may have forgotten this VM since.
    for (auto& [id, vm] : m_others) {
      vm.statement = {};
      vm.stated_at.reset();
    }
    m_owns_share = false;
  }
  if (!m_has_list) {
    return 0;
  }
  if (!m_owns_share) {
    if (!IsCountedByAll(now)) {
      m_counted_since.reset();
      return 0;
    }
    m_counted_since = m_counted_since.value_or(now);
    const Millis since = std::max(*m_counted_since, m_started_at);
    m_owns_share = now - since >= kLeaseTerm;
  }
  return m_owns_share ? 1.0 / static_cast<double>(Count(now)) : 0;
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
  return !m_owns_share || !m_listed_at ||
         now - *m_listed_at >= kIsolationTimeout * kAskBeforeIsolationFraction;
}

}  // namespace tanagervane
