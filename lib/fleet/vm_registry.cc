// Registration, reading and clean-up of the list of VMs.

#include "tanagervane/fleet/vm_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tanagervane {

namespace {

/// The own object is written again after this time when the store did not take
/// it.
constexpr Millis kRegisterRetry{500};

/// A listed VM that has not been live for this long is removed. One that was
/// only cut off registers again when it reads the list.
constexpr Millis kAbandonedAfter{600'000};

/// One in so many readings must not be stale.
constexpr uint32_t kFullListEvery = 20;

}  // namespace

VmRegistry::VmRegistry(std::string id, VmRegistryHooks hooks)
    : m_id(std::move(id)), m_hooks(std::move(hooks)) {}

void VmRegistry::Start(Millis now) {
  // A list that may be old is cheap, and enough to know the fleet's size.
  ReadList(/*may_be_stale=*/true, now);
  Register(now);
}

void VmRegistry::Refresh(Millis now) {
  const bool may_be_stale = ++m_refreshes % kFullListEvery != 0;
  ReadList(may_be_stale && m_listed.has_value(), now);
}

void VmRegistry::Leave() {
  m_leaving = true;
  m_hooks.remove(m_id);
}

std::optional<size_t> VmRegistry::listed() const {
  if (!m_listed) {
    return std::nullopt;
  }
  return m_listed->size() + (IsListed() ? 0 : 1);
}

std::vector<std::string> VmRegistry::OtherAddresses() const {
  std::vector<std::string> addresses;
  if (m_listed) {
    for (const ListedVm& vm : *m_listed) {
      if (vm.id != m_id) {
        addresses.push_back(vm.gossip_address);
      }
    }
  }
  return addresses;
}

void VmRegistry::Register(Millis now) {
  if (m_leaving) {
    return;
  }
  m_registering = true;
  m_hooks.create([this, now](WriteResult result) {
    if (result == WriteResult::kConflict) {
      // This VM's previous process left it; a no-op when the address stands.
      m_hooks.replace(
          [this, now](WriteResult replaced) { OnRegistered(replaced, now); });
      return;
    }
    OnRegistered(result, now);
  });
}

void VmRegistry::OnRegistered(WriteResult result, Millis now) {
  if (result != WriteResult::kDone) {
    m_hooks.register_failed();
    m_hooks.after(kRegisterRetry, [this, now] { Register(now); });
    return;
  }
  m_registering = false;
  // Of VMs that start together, the last to register finds all others.
  ReadList(/*may_be_stale=*/false, now);
}

void VmRegistry::ReadList(bool may_be_stale, Millis now) {
  if (m_leaving) {
    return;
  }
  // A later reading replaces one that is under way.
  ++m_reading;
  m_page.clear();
  m_after.clear();
  ReadPage(may_be_stale, now);
}

void VmRegistry::ReadPage(bool may_be_stale, Millis now) {
  m_hooks.list(m_after, may_be_stale,
               [this, may_be_stale, now, reading = m_reading](
                   StoreResult result, ListedVmPage page) {
                 if (reading == m_reading && result == StoreResult::kOk) {
                   OnPage(std::move(page), may_be_stale, now);
                 }
               });
}

void VmRegistry::OnPage(ListedVmPage page, bool may_be_stale, Millis now) {
  std::ranges::move(page.vms, std::back_inserter(m_page));
  if (page.has_more && page.last_name > m_after) {
    m_after = std::move(page.last_name);
    ReadPage(may_be_stale, now);
    return;
  }
  OnList(may_be_stale, now);
}

void VmRegistry::OnList(bool may_be_stale, Millis now) {
  m_listed = std::exchange(m_page, {});
  // A stale list may be older than the registration.
  if (!IsListed() && !m_registering && !may_be_stale) {
    // Another VM took this one for gone.
    Register(now);
  }
  RemoveAbandoned(now);
  m_hooks.changed();
}

bool VmRegistry::IsListed() const {
  return std::ranges::find(*m_listed, m_id, &ListedVm::id) != m_listed->end();
}

bool VmRegistry::MajorityIsLive() const {
  const auto live = std::ranges::count_if(*m_listed, [this](const auto& vm) {
    return vm.id == m_id || m_hooks.is_live(vm.id);
  });
  return static_cast<size_t>(live) * 2 > m_listed->size();
}

bool VmRegistry::HasLowestLiveId() const {
  return std::ranges::none_of(*m_listed, [this](const ListedVm& vm) {
    return vm.id < m_id && m_hooks.is_live(vm.id);
  });
}

void VmRegistry::RemoveAbandoned(Millis now) {
  std::map<std::string, Millis, std::less<>> absent;
  for (const ListedVm& vm : *m_listed) {
    if (vm.id == m_id || m_hooks.is_live(vm.id)) {
      continue;
    }
    const auto known = m_absent_since.find(vm.id);
    absent[vm.id] = known == m_absent_since.end() ? now : known->second;
  }
  m_absent_since = std::move(absent);
  // One VM does it, and only while most are live: else this one is cut off.
  if (!MajorityIsLive() || !HasLowestLiveId()) {
    return;
  }
  for (const auto& [id, since] : m_absent_since) {
    if (now - since >= kAbandonedAfter) {
      m_hooks.remove(id);
    }
  }
}

}  // namespace tanagervane
