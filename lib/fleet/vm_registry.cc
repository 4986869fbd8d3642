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

/// When the list is read after the registration. Of VMs that start together,
/// the first list shows few, and a stale one may show none.
constexpr Millis kFirstRead{1500};
constexpr Millis kSecondRead{4000};

/// Time between readings because a VM may have moved. Forged gossip must not
/// cost more calls than this.
constexpr Millis kExtraReadPeriod{3000};

/// A stale list is no older than this.
constexpr Millis kStalenessBound{10'000};

/// A listed VM that has not been live for this long is removed. One that was
/// only cut off registers again when it reads the list.
constexpr Millis kAbandonedAfter{600'000};

/// One in so many readings must not be stale.
constexpr uint32_t kFullListEvery = 20;

}  // namespace

VmRegistry::VmRegistry(std::string id, VmRegistryHooks hooks)
    : m_id(std::move(id)), m_hooks(std::move(hooks)) {}

void VmRegistry::Start(Millis now) {
  ReadList(Freshness::kStale, now);
  Register(now);
}

void VmRegistry::Refresh(Millis now) {
  const bool full = ++m_refreshes % kFullListEvery == 0;
  const bool stale = !full && m_listed && FoundOthers();
  ReadList(stale ? Freshness::kStale : Freshness::kLatest, now);
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

std::optional<std::string> VmRegistry::AddressOf(std::string_view id) const {
  if (!m_listed) {
    return std::nullopt;
  }
  const auto found = std::ranges::find(*m_listed, id, &ListedVm::id);
  return found == m_listed->end() ? std::nullopt
                                  : std::optional(found->gossip_address);
}

void VmRegistry::RefreshSoon(Millis now) {
  if (now < m_next_extra || !m_listed) {
    return;
  }
  m_next_extra = now + kExtraReadPeriod;
  ReadList(Freshness::kStale, now);
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
  m_registered_at = now;
  ReadSoon(now);
}

void VmRegistry::ReadSoon(Millis now) {
  m_hooks.after(kFirstRead,
                [this, now] { ReadList(Freshness::kStale, now + kFirstRead); });
  m_hooks.after(kSecondRead, [this, now] {
    // Nobody was found: a stale list may hide the others, and so may a latest
    // one that was read before they registered.
    const bool stale = m_listed && FoundOthers();
    ReadList(stale ? Freshness::kStale : Freshness::kLatest, now + kSecondRead);
  });
}

bool VmRegistry::FoundOthers() const {
  return std::ranges::any_of(*m_listed, [this](const ListedVm& vm) {
    return vm.id != m_id && m_hooks.is_live(vm.id);
  });
}

void VmRegistry::ReadList(Freshness freshness, Millis now) {
  if (m_leaving) {
    return;
  }
  // A later reading replaces one that is under way.
  ++m_reading;
  m_page.clear();
  m_after.clear();
  ReadPage(freshness, now);
}

void VmRegistry::ReadPage(Freshness freshness, Millis now) {
  m_hooks.list(m_after, freshness,
               [this, freshness, now, reading = m_reading](StoreResult result,
                                                           ListedVmPage page) {
                 if (reading == m_reading && result == StoreResult::kOk) {
                   OnPage(std::move(page), freshness, now);
                 }
               });
}

void VmRegistry::OnPage(ListedVmPage page, Freshness freshness, Millis now) {
  std::ranges::move(page.vms, std::back_inserter(m_page));
  if (page.has_more && page.last_name > m_after) {
    m_after = std::move(page.last_name);
    ReadPage(freshness, now);
    return;
  }
  OnList(freshness, now);
}

void VmRegistry::OnList(Freshness freshness, Millis now) {
  m_listed = std::exchange(m_page, {});
  // A stale list may be older than the registration.
  const bool current = freshness == Freshness::kLatest ||
                       now - m_registered_at > kStalenessBound;
  if (!IsListed() && !m_registering && current) {
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
