// Known backend servers and entries, from the platform's VM list.

#ifndef TANAGERVANE_STATE_VM_LIST_H_
#define TANAGERVANE_STATE_VM_LIST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/state/platform_api.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Changes of the known VMs.
struct VmDiff {
  std::vector<VmRecord> added;
  std::vector<VmRecord> changed;  ///< Address, data centre, index or role.
  std::vector<VmRecord> leaving;  ///< Previously live or unknown.
  std::vector<VmRecord> removed;

  bool empty() const {
    return added.empty() && changed.empty() && leaving.empty() &&
           removed.empty();
  }
};

/// Tracks the VMs of the platform's list, and delays their removal. A VM that
/// is missing from the list is kept while the last call to it succeeded, and is
/// removed after 10 s if the last call failed. Without any call since it went
/// missing it is removed after 60 s, but not while the list shows less than
/// half of the known VMs. An outage that empties the list therefore removes no
/// VM that still answers.
class VmList {
 public:
  /// Applies a VM list. Ignores versions lower than the known one, unless only
  /// lower versions arrived for 30 s: then the platform has lost its state and
  /// restarted its version numbers.
  VmDiff Apply(const VmSnapshot& snapshot, Millis now);

  /// Handles the result of a call to a VM, such as a status probe.
  void OnCallResult(std::string_view id, bool ok, Millis now);

  /// Removes missing VMs whose removal is due. Call at NextTimer().
  VmDiff OnTick(Millis now);
  /// Returns a time far in the future if no removal is scheduled.
  Millis NextTimer() const;

  /// The version to pass to PlatformApi::list_vms.
  uint64_t version() const { return m_version; }

  /// Returns all VMs that are not removed, in order of id.
  std::vector<VmRecord> Vms() const;

 private:
  struct KnownVm {
    VmRecord record;
    std::optional<Millis> missing_since;
    std::optional<bool> last_call_ok;  ///< Since it went missing.
  };

  std::optional<Millis> RemovalTime(const KnownVm& entry) const;

  std::map<std::string, KnownVm, std::less<>> m_vms;
  uint64_t m_version = 0;
  size_t m_listed_count = 0;
  std::optional<Millis> m_lower_versions_since;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_VM_LIST_H_
