#include "tanagervane/quota/rendezvous.h"

#include <algorithm>
#include <cassert>
#include <cstdint>

#include "tanagervane/quota/messages.h"
#include "tanagervane/support/hash.h"

namespace tanagervane {

namespace {

/// The finalizer of SplitMix64. The high bits of StableHash() depend little on
/// the last bytes of the text, but rendezvous hashing compares them.
uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

}  // namespace

size_t SlotOf(std::string_view tenant) {
  return Mix(StableHash(tenant)) % kQuotaSlots;
}

size_t GroupCount(size_t count) {
  return count <= kMaxUndividedFleet ? 1
                                     : (count + kGroupSize - 1) / kGroupSize;
}

size_t GroupOf(std::string_view vm, size_t count) {
  return Mix(StableHash(vm)) % GroupCount(count);
}

std::vector<std::string> ChoosePoolVms(std::span<const std::string> members) {
  assert(!members.empty() && "a fleet has at least this VM");
  std::vector<std::string> pool_vms;
  for (size_t slot = 0; slot < kQuotaSlots; ++slot) {
    pool_vms.push_back(
        *std::ranges::max_element(members, {}, [&](const std::string& vm) {
          return Mix(Mix(StableHash(vm)) + slot);
        }));
  }
  return pool_vms;
}

}  // namespace tanagervane
