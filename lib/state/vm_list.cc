#include "tanagervane/state/vm_list.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tanagervane {

namespace {

/// Delay before a missing VM is removed if calls to it fail, or if there was no
/// call to it.
constexpr Millis kFailingRemovalDelay{10000};
constexpr Millis kUncalledRemovalDelay{60000};
/// Lower versions of the VM list are accepted after this time.
constexpr Millis kVersionResetTimeout{30000};
constexpr Millis kNever{1e15};

}  // namespace

VmDiff VmList::Apply(const VmSnapshot& snapshot, Millis now) {
  VmDiff diff;
  if (snapshot.version < m_version) {
    if (!m_lower_versions_since) {
      m_lower_versions_since = now;
    }
    if (now - *m_lower_versions_since < kVersionResetTimeout) {
      return diff;
    }
  }
  m_lower_versions_since.reset();
  m_version = snapshot.version;
  std::set<std::string_view> listed;
  for (const VmRecord& vm : snapshot.vms) {
    if (vm.id.empty() || !listed.insert(vm.id).second) {
      continue;
    }
    const auto [it, added] = m_vms.try_emplace(vm.id);
    KnownVm& entry = it->second;
    const VmRecord before = std::exchange(entry.record, vm);
    entry.missing_since.reset();
    entry.last_call_ok.reset();
    const bool leaving = vm.state == VmState::kLeaving;
    if (leaving && (added || before.state != VmState::kLeaving)) {
      diff.leaving.push_back(vm);
    }
    if (added && !leaving) {
      diff.added.push_back(vm);
    }
    VmRecord same_state = before;
    same_state.state = vm.state;
    const bool revived = !leaving && before.state == VmState::kLeaving;
    if (!added && (revived || !(same_state == vm))) {
      diff.changed.push_back(vm);
    }
  }
  m_listed_count = listed.size();
  for (auto& [id, entry] : m_vms) {
    if (!listed.contains(id) && !entry.missing_since) {
      entry.missing_since = now;
      entry.last_call_ok.reset();
    }
  }
  return diff;
}

void VmList::OnCallResult(std::string_view id, bool ok, Millis now) {
  const auto it = m_vms.find(id);
  if (it == m_vms.end() || !it->second.missing_since ||
      now < *it->second.missing_since) {
    return;
  }
  it->second.last_call_ok = ok;
}

std::optional<Millis> VmList::RemovalTime(const KnownVm& entry) const {
  if (!entry.missing_since) {
    return std::nullopt;
  }
  if (entry.last_call_ok) {
    return *entry.last_call_ok
               ? std::nullopt
               : std::optional(*entry.missing_since + kFailingRemovalDelay);
  }
  if (m_listed_count * 2 < m_vms.size()) {
    return std::nullopt;
  }
  return *entry.missing_since + kUncalledRemovalDelay;
}

VmDiff VmList::OnTick(Millis now) {
  VmDiff diff;
  std::vector<std::string> due;
  for (const auto& [id, entry] : m_vms) {
    if (const auto at = RemovalTime(entry); at && now >= *at) {
      due.push_back(id);
    }
  }
  for (const std::string& id : due) {
    const auto it = m_vms.find(id);
    diff.removed.push_back(std::move(it->second.record));
    m_vms.erase(it);
  }
  return diff;
}

Millis VmList::NextTimer() const {
  Millis next = kNever;
  for (const auto& [id, entry] : m_vms) {
    if (const auto at = RemovalTime(entry)) {
      next = std::min(next, *at);
    }
  }
  return next;
}

std::vector<VmRecord> VmList::Vms() const {
  std::vector<VmRecord> vms;
  vms.reserve(m_vms.size());
  for (const auto& [id, entry] : m_vms) {
    vms.push_back(entry.record);
  }
  return vms;
}

}  // namespace tanagervane
