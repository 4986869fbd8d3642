// Registration of VMs in the platform's store, through which the VMs of the
// tier discover each other.

#ifndef TANAGERVANE_FLEET_VM_REGISTRY_H_
#define TANAGERVANE_FLEET_VM_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/state/store_types.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

struct ListedVm {
  std::string id;
  std::string gossip_address;
  /// See CensusEntry::claim.
  std::optional<uint64_t> claim;
  /// The store's revision at the last change of the registration.
  uint64_t revision = 0;
};

struct ListedVmPage {
  std::vector<ListedVm> vms;
  bool has_more = false;
  /// The last name on the page, even if its object could not be decoded.
  std::string last_name;
};

struct VmRegistryHooks {
  using WriteDone = std::function<void(WriteResult)>;
  using PageDone = std::function<void(StoreResult, ListedVmPage)>;

  /// Creates this VM's registration.
  std::function<void(WriteDone)> create;
  /// Replaces this VM's registration, which must still have the revision, by
  /// one with the claim.
  std::function<void(uint64_t revision, uint64_t claim, WriteDone)> replace;
  /// Deletes the registration of a VM.
  std::function<void(std::string_view id)> remove;
  /// Reads the page that starts after the name `after`.
  std::function<void(std::string_view after, Freshness, PageDone)> list;
  /// Runs a task after a delay.
  std::function<void(Millis delay, std::function<void()> task)> run_after;
  /// Returns whether gossip considers a VM alive or suspected, not dead.
  std::function<bool(std::string_view id)> is_live;
  /// All pages of the list have been read.
  std::function<void()> on_list_read;
  /// The first registration found one of an earlier process of this VM, so the
  /// VMs of the fleet know each other from the list.
  std::function<void()> on_registered_before;
  /// The registration failed and will be retried.
  std::function<void()> on_register_failed;
};

/// Registers this VM, reads the list of VMs, and removes the registrations of
/// VMs that have been dead for a long time. Most reads may be stale, because
/// gossip finds the VMs that a stale list lacks. The object must outlive the
/// calls that its hooks start.
class VmRegistry {
 public:
  VmRegistry(std::string id, std::string gossip_address, VmRegistryHooks hooks);

  /// Reads the list and registers this VM.
  void Start(Millis now);

  /// Reads the list again. Call it a few times a minute.
  void Refresh(Millis now);

  /// Writes this VM's registration again, because the store may have lost it.
  void RegisterAgain(Millis now);

  /// Reads the latest list.
  void ReadLatest(Millis now) { ReadList(Freshness::kLatest, now); }

  /// Writes the claim to this VM's registration. `done` is told whether that
  /// succeeded; if not, the latest list must be read before the next call.
  void WriteClaim(uint64_t claim, std::function<void(bool)> done);

  /// Removes this VM's registration and never registers it again.
  void Deregister();

  /// The number of listed VMs, including this one even if the list lacks it.
  /// Empty before the first full read.
  std::optional<size_t> listed_count() const;

  /// The listed VMs; empty before the first full read.
  std::span<const ListedVm> listed() const;

  /// Whether the list includes all changes before it was requested.
  bool is_latest() const { return m_is_latest; }

  /// The gossip address of a VM; empty when the VM is not listed.
  std::optional<std::string> AddressOf(std::string_view id) const;

  /// Reads the list again because a VM may have changed its address. Ignored
  /// within kMinRequestedReadInterval of the previous requested read.
  void RequestRefresh(Millis now);

  /// Gossip addresses of the other listed VMs.
  std::vector<std::string> OtherAddresses() const;

 private:
  void Register(Millis now);
  void OnRegistered(WriteResult result, Millis now);
  /// Continues the registration after the store has found an earlier one.
  void ResolveConflict(Millis now);
  /// Schedules two reads soon after the registration, so that VMs that start at
  /// the same time discover each other.
  void ScheduleEarlyReads(Millis now);
  void ReadList(Freshness freshness, Millis now);
  void ReadPage(Freshness freshness, Millis now);
  void OnPage(ListedVmPage page, Freshness freshness, Millis now);
  void ApplyList(Freshness freshness, Millis now);
  bool HasLiveOthers() const;
  void RemoveDeadVms(Millis now);
  const ListedVm* FindSelf() const;
  bool IsListed() const { return FindSelf() != nullptr; }
  bool HasLowestLiveId() const;
  bool MajorityIsLive() const;

  std::string m_id;
  std::string m_gossip_address;
  VmRegistryHooks m_hooks;
  bool m_deregistered = false;
  bool m_registering = false;
  bool m_registered_once = false;
  /// The store holds a registration of this VM, which the next list shows.
  bool m_has_conflict = false;
  /// The write in flight must be followed by another one.
  bool m_register_again = false;
  /// When this VM was last registered.
  Millis m_registered_at{0};
  /// VMs on the pages of the current read.
  std::vector<ListedVm> m_partial_list;
  std::string m_page_cursor;
  /// Identifies the current read; results of earlier reads are ignored.
  uint64_t m_read_generation = 0;
  uint32_t m_refresh_count = 0;
  /// RequestRefresh() does nothing before this time.
  Millis m_next_requested_read{0};
  std::optional<std::vector<ListedVm>> m_listed;
  bool m_is_latest = false;
  /// The latest known revision of this VM's registration; 0 after a write.
  uint64_t m_own_revision = 0;
  /// From then on a stale list may show a revision from before the write.
  bool m_has_written_claim = false;
  /// By VM id: since when a listed VM has not been live.
  std::map<std::string, Millis, std::less<>> m_not_live_since;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_VM_REGISTRY_H_
