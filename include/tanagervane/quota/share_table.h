// Shares of the fleet's limits that this VM owns, lends and borrows.

#ifndef TANAGERVANE_QUOTA_SHARE_TABLE_H_
#define TANAGERVANE_QUOTA_SHARE_TABLE_H_

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "tanagervane/quota/messages.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Time for which a share is lent. It survives a lost exchange at
/// kShareRoundInterval. A process waits as long after its start, so a longer
/// term keeps a restarted fleet from serving.
inline constexpr Millis kLeaseTerm{1200};

/// Each VM owns an equal share of every slot, which it lends to the slot's pool
/// VM. The owner counts the term from its answer and the pool VM from its
/// question, which is earlier, so no share is used twice.
class ShareTable {
 public:
  /// Sets the share that this VM owns of each slot.
  void SetOwned(double share) { m_owned = share; }
  double owned() const { return m_owned; }

  /// Lends the share of a slot to `vm` or prolongs the lease. Returns false if
  /// it is lent to another VM.
  bool Lend(size_t slot, std::string_view vm, Millis now);

  /// Returns whether the slot's share is lent.
  bool IsLent(size_t slot) const { return !m_slots[slot].lent_to.empty(); }

  /// Returns whether the slot's share is lent and the term has ended, so that
  /// TakeBack() may be called.
  bool IsDue(size_t slot, Millis now) const;
  void TakeBack(size_t slot);

  /// Records a share that `owner` lends until `until`.
  void Borrow(size_t slot, std::string_view owner, double share, Millis until);

  /// Returns the share that `owner` lends now; 0 if none.
  double BorrowedFrom(size_t slot, std::string_view owner, Millis now) const;

  /// Returns the sum of the shares of the slot that this VM may use now.
  double Usable(size_t slot, Millis now) const;

  /// Forgets leases that have ended.
  void Expire(Millis now);

 private:
  struct Lease {
    double share = 0;
    Millis until;
  };
  struct Slot {
    /// Empty while the share is not lent.
    std::string lent_to;
    Millis lent_until;
    /// By owner.
    std::map<std::string, Lease, std::less<>> borrowed;
  };

  double m_owned = 0;
  std::array<Slot, kQuotaSlots> m_slots;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUOTA_SHARE_TABLE_H_
