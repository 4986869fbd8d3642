#include "tanagervane/quota/share_table.h"

#include <cassert>

namespace tanagervane {

bool ShareTable::Lend(size_t slot, std::string_view vm, Millis now) {
  Slot& entry = m_slots[slot];
  if (!entry.lent_to.empty() && entry.lent_to != vm) {
    return false;
  }
  entry.lent_to = vm;
  entry.lent_until = now + kLeaseTerm;
  return true;
}

bool ShareTable::IsDue(size_t slot, Millis now) const {
  return IsLent(slot) && now >= m_slots[slot].lent_until;
}

void ShareTable::TakeBack(size_t slot) {
  m_slots[slot].lent_to.clear();
}

void ShareTable::Borrow(size_t slot,
                        std::string_view owner,
                        double share,
                        Millis until) {
  const auto [it, is_new] =
      m_slots[slot].borrowed.try_emplace(std::string(owner));
  it->second = {share, until};
}

double ShareTable::BorrowedFrom(size_t slot,
                                std::string_view owner,
                                Millis now) const {
  const auto it = m_slots[slot].borrowed.find(owner);
  return it != m_slots[slot].borrowed.end() && now < it->second.until
             ? it->second.share
             : 0;
}

double ShareTable::Usable(size_t slot, Millis now) const {
  double share = IsLent(slot) ? 0 : m_owned;
  for (const auto& [owner, lease] : m_slots[slot].borrowed) {
    share += now < lease.until ? lease.share : 0;
  }
  return share;
}

void ShareTable::Expire(Millis now) {
  for (Slot& slot : m_slots) {
    std::erase_if(slot.borrowed,
                  [&](const auto& item) { return now >= item.second.until; });
  }
}

}  // namespace tanagervane
