#include "tanagervane/fleet/vm_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tanagervane {

namespace {

/// Delay before a failed registration is retried.
constexpr Millis kRegisterRetryDelay{500};

/// Delays between the registration and the reads of the list that follow it.
/// When many VMs start at the same time, the first list contains only a few of
/// them, and a stale list may contain none.
constexpr Millis kFirstReadDelay{1500};
constexpr Millis kSecondReadDelay{4000};

/// Minimum time between reads that RequestRefresh() starts. It bounds the
/// number of store calls that forged gossip can cause.
constexpr Millis kMinRequestedReadInterval{3000};

/// Upper bound on the age of a stale list.
constexpr Millis kMaxStaleness{10'000};

/// The registration of a VM that has not been live for this long is removed. If
/// the VM was only partitioned, it registers again after it has read the list.
constexpr Millis kRemoveDeadAfter{600'000};

/// One in this many calls of Refresh() reads the latest list.
constexpr uint32_t kRefreshesPerLatestRead = 20;

}  // namespace

VmRegistry::VmRegistry(std::string id,
                       std::string gossip_address,
                       VmRegistryHooks hooks)
    : m_id(std::move(id)),
      m_gossip_address(std::move(gossip_address)),
      m_hooks(std::move(hooks)) {}

void VmRegistry::Start(Millis now) {
  ReadList(Freshness::kStale, now);
  Register(now);
}

void VmRegistry::Refresh(Millis now) {
  const bool force_latest = ++m_refresh_count % kRefreshesPerLatestRead == 0;
  const bool allow_stale = !force_latest && m_listed && HasLiveOthers();
  ReadList(allow_stale ? Freshness::kStale : Freshness::kLatest, now);
}

void VmRegistry::RegisterAgain(Millis now) {
  if (m_registering) {
    m_register_again = true;
    return;
  }
  Register(now);
}

void VmRegistry::Deregister() {
  m_deregistered = true;
  m_hooks.remove(m_id);
}

std::optional<size_t> VmRegistry::listed_count() const {
  if (!m_listed) {
    return std::nullopt;
  }
  return m_listed->size() + (IsListed() ? 0 : 1);
}

std::span<const ListedVm> VmRegistry::listed() const {
  return m_listed ? std::span<const ListedVm>(*m_listed)
                  : std::span<const ListedVm>();
}

std::optional<std::string> VmRegistry::AddressOf(std::string_view id) const {
  if (!m_listed) {
    return std::nullopt;
  }
  const auto found = std::ranges::find(*m_listed, id, &ListedVm::id);
  return found == m_listed->end() ? std::nullopt
                                  : std::optional(found->gossip_address);
}

void VmRegistry::RequestRefresh(Millis now) {
  if (now < m_next_requested_read || !m_listed) {
    return;
  }
  m_next_requested_read = now + kMinRequestedReadInterval;
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
  if (m_deregistered) {
    return;
  }
  m_registering = true;
  m_hooks.create([this, now](WriteResult result) {
    if (result == WriteResult::kConflict) {
      // The previous process of this VM left its registration.
      if (!m_registered_once) {
        m_hooks.on_registered_before();
      }
      m_has_conflict = true;
      if (m_listed) {
        ResolveConflict(now);
      }
      m_hooks.run_after(kRegisterRetryDelay, [this, now] {
        if (std::exchange(m_has_conflict, false)) {
          OnRegistered(WriteResult::kUnknown, now);
        }
      });
      return;
    }
    OnRegistered(result, now);
  });
}

void VmRegistry::ResolveConflict(Millis now) {
  const ListedVm* self = FindSelf();
  if (self == nullptr && !m_is_latest) {
    ReadList(Freshness::kLatest, now);
    return;
  }
  m_has_conflict = false;
  if (self == nullptr) {
    // It has been removed since.
    Register(now);
    return;
  }
  if (self->gossip_address == m_gossip_address) {
    OnRegistered(WriteResult::kDone, now);
    return;
  }
  m_hooks.replace(std::exchange(m_own_revision, 0), 0,
                  [this, now](WriteResult replaced) {
                    if (replaced == WriteResult::kConflict) {
                      ReadList(Freshness::kLatest, now);
                    }
                    OnRegistered(replaced, now);
                  });
}

void VmRegistry::WriteClaim(uint64_t claim, std::function<void(bool)> done) {
  const uint64_t revision = std::exchange(m_own_revision, 0);
  m_has_written_claim = true;
  if (m_deregistered || revision == 0) {
    done(false);
    return;
  }
  m_hooks.replace(revision, claim,
                  [done = std::move(done)](WriteResult result) {
                    done(result == WriteResult::kDone);
                  });
}

void VmRegistry::OnRegistered(WriteResult result, Millis now) {
  if (result != WriteResult::kDone) {
    m_hooks.on_register_failed();
    m_hooks.run_after(kRegisterRetryDelay, [this, now] { Register(now); });
    return;
  }
  m_registering = false;
  m_registered_once = true;
  if (std::exchange(m_register_again, false)) {
    Register(now);
    return;
  }
  m_registered_at = now;
  ScheduleEarlyReads(now);
}

void VmRegistry::ScheduleEarlyReads(Millis now) {
  m_hooks.run_after(kFirstReadDelay, [this, now] {
    ReadList(Freshness::kStale, now + kFirstReadDelay);
  });
  m_hooks.run_after(kSecondReadDelay, [this, now] {
    // Without live peers, a stale list may lack the other VMs, and so may a
    // latest list that was read before they registered.
    const bool allow_stale = m_listed && HasLiveOthers();
    ReadList(allow_stale ? Freshness::kStale : Freshness::kLatest,
             now + kSecondReadDelay);
  });
}

bool VmRegistry::HasLiveOthers() const {
  return std::ranges::any_of(*m_listed, [this](const ListedVm& vm) {
    return vm.id != m_id && m_hooks.is_live(vm.id);
  });
}

void VmRegistry::ReadList(Freshness freshness, Millis now) {
  if (m_deregistered) {
    return;
  }
  // This read supersedes one that is still in progress.
  ++m_read_generation;
  m_partial_list.clear();
  m_page_cursor.clear();
  ReadPage(freshness, now);
}

void VmRegistry::ReadPage(Freshness freshness, Millis now) {
  m_hooks.list(
      m_page_cursor, freshness,
      [this, freshness, now, generation = m_read_generation](
          StoreResult result, ListedVmPage page) {
        if (generation == m_read_generation && result == StoreResult::kOk) {
          OnPage(std::move(page), freshness, now);
        }
      });
}

void VmRegistry::OnPage(ListedVmPage page, Freshness freshness, Millis now) {
  std::ranges::move(page.vms, std::back_inserter(m_partial_list));
  if (page.has_more && page.last_name > m_page_cursor) {
    m_page_cursor = std::move(page.last_name);
    ReadPage(freshness, now);
    return;
  }
  ApplyList(freshness, now);
}

void VmRegistry::ApplyList(Freshness freshness, Millis now) {
  m_listed = std::exchange(m_partial_list, {});
  m_is_latest = freshness == Freshness::kLatest;
  const ListedVm* self = FindSelf();
  if (self != nullptr && (m_is_latest || !m_has_written_claim)) {
    m_own_revision = self->revision;
  }
  if (m_has_conflict) {
    ResolveConflict(now);
  }
  // A stale list may be older than this VM's registration.
  const bool reflects_registration =
      freshness == Freshness::kLatest || now - m_registered_at > kMaxStaleness;
  if (!IsListed() && !m_registering && reflects_registration) {
    // Another VM considered this one dead and removed its registration.
    Register(now);
  }
  RemoveDeadVms(now);
  m_hooks.on_list_read();
}

const ListedVm* VmRegistry::FindSelf() const {
  const auto self = std::ranges::find(*m_listed, m_id, &ListedVm::id);
  return self == m_listed->end() ? nullptr : &*self;
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

void VmRegistry::RemoveDeadVms(Millis now) {
  std::map<std::string, Millis, std::less<>> not_live;
  for (const ListedVm& vm : *m_listed) {
    if (vm.id == m_id || m_hooks.is_live(vm.id)) {
      continue;
    }
    const auto known = m_not_live_since.find(vm.id);
    not_live[vm.id] = known == m_not_live_since.end() ? now : known->second;
  }
  m_not_live_since = std::move(not_live);
  // Only the live VM with the lowest id removes registrations, and only while
  // a majority is live: otherwise this VM may itself be partitioned.
  if (!MajorityIsLive() || !HasLowestLiveId()) {
    return;
  }
  for (const auto& [id, since] : m_not_live_since) {
    if (now - since >= kRemoveDeadAfter) {
      m_hooks.remove(id);
    }
  }
}

}  // namespace tanagervane
