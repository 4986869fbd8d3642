// The list of VMs in the platform's store: how VMs of the tier find each other.

#ifndef TANAGERVANE_FLEET_VM_REGISTRY_H_
#define TANAGERVANE_FLEET_VM_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/state/store_types.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

struct ListedVm {
  std::string id;
  std::string gossip_address;
};

struct ListedVmPage {
  std::vector<ListedVm> vms;
  bool has_more = false;
  /// The last name of the page, also when its object cannot be read.
  std::string last_name;
};

struct VmRegistryHooks {
  using WriteDone = std::function<void(WriteResult)>;
  using PageDone = std::function<void(StoreResult, ListedVmPage)>;

  /// Create or replace this VM's object.
  std::function<void(WriteDone)> create;
  std::function<void(WriteDone)> replace;
  std::function<void(std::string_view id)> remove;
  /// Reads the page after the name `after`.
  std::function<void(std::string_view after, Freshness, PageDone)> list;
  std::function<void(Millis delay, std::function<void()> task)> after;
  /// Whether gossip counts a VM as running.
  std::function<bool(std::string_view id)> is_live;
  /// The list was read.
  std::function<void()> changed;
  /// Registering failed and will be tried again.
  std::function<void()> register_failed;
};

/// Registers this VM, reads the list, and removes VMs that are gone for good.
/// Reads are stale where a late answer does no harm: gossip tells of the VMs
/// that a stale list does not hold. The object must outlive its hooks' calls.
class VmRegistry {
 public:
  VmRegistry(std::string id, VmRegistryHooks hooks);

  /// Reads the list and registers this VM.
  void Start(Millis now);

  /// Reads the list again; call it a few times a minute.
  void Refresh(Millis now);

  /// Removes this VM's object for good.
  void Leave();

  /// The number of listed VMs, this one included; nothing before the first
  /// full read.
  std::optional<size_t> listed() const;

  /// The gossip address of a listed VM.
  std::optional<std::string> AddressOf(std::string_view id) const;

  /// Reads the list again soon, because a VM may have moved. Calls that follow
  /// each other count as one.
  void RefreshSoon(Millis now);

  /// Gossip addresses of the other VMs.
  std::vector<std::string> OtherAddresses() const;

 private:
  void Register(Millis now);
  void OnRegistered(WriteResult result, Millis now);
  /// Reads the list soon after the registration, for VMs that start together.
  void ReadSoon(Millis now);
  void ReadList(Freshness freshness, Millis now);
  void ReadPage(Freshness freshness, Millis now);
  void OnPage(ListedVmPage page, Freshness freshness, Millis now);
  void OnList(Freshness freshness, Millis now);
  bool FoundOthers() const;
  void RemoveAbandoned(Millis now);
  bool IsListed() const;
  bool HasLowestLiveId() const;
  bool MajorityIsLive() const;

  std::string m_id;
  VmRegistryHooks m_hooks;
  bool m_leaving = false;
  bool m_registering = false;
  /// When this VM was last registered.
  Millis m_registered_at{0};
  std::vector<ListedVm> m_page;
  std::string m_after;
  /// Tells the current reading from those given up.
  uint64_t m_reading = 0;
  uint32_t m_refreshes = 0;
  /// No extra reading before.
  Millis m_next_extra{0};
  std::optional<std::vector<ListedVm>> m_listed;
  /// Since when a listed VM has not been live.
  std::map<std::string, Millis, std::less<>> m_absent_since;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_VM_REGISTRY_H_
