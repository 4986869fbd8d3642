// Assignment of tenants to slots and of slots to pool VMs.

#ifndef TANAGERVANE_QUOTA_RENDEZVOUS_H_
#define TANAGERVANE_QUOTA_RENDEZVOUS_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tanagervane {

/// Larger fleets are divided into groups of about kGroupSize VMs, each of which
/// pools its own shares.
inline constexpr size_t kMaxUndividedFleet = 64;
inline constexpr size_t kGroupSize = 48;

/// Returns the slot of a tenant.
size_t SlotOf(std::string_view tenant);

/// Returns the number of groups of a fleet of `count` VMs.
size_t GroupCount(size_t count);

/// Returns the group of a VM in a fleet of `count` VMs.
size_t GroupOf(std::string_view vm, size_t count);

/// Returns the pool VM of each slot: the VM among `members` with the highest
/// hash. `members` must not be empty.
std::vector<std::string> ChoosePoolVms(std::span<const std::string> members);

}  // namespace tanagervane

#endif  // TANAGERVANE_QUOTA_RENDEZVOUS_H_
