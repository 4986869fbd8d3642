// Counts the VMs among which the fleet's limits are divided.

#ifndef TANAGERVANE_QUOTA_FLEET_CENSUS_H_
#define TANAGERVANE_QUOTA_FLEET_CENSUS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/quota/messages.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// A VM that is no longer listed is counted for this long, because it may still
/// use its share.
inline constexpr Millis kForgetVmAfter{300'000};

/// A VM that has neither read the list nor heard from a majority for this long
/// stops using its share. Shorter than kForgetVmAfter by more than the age of a
/// stale list.
inline constexpr Millis kIsolationTimeout{270'000};

/// A claim is written only if it has been the same for this long, because many
/// VMs start at the same time.
inline constexpr Millis kClaimSettleTime{1000};

/// The registration of a VM, as the census needs it.
struct CensusEntry {
  std::string id;
  /// The VM uses at most 1 over this number of each limit; 0 if it uses
  /// nothing, nullopt if the registration does not say.
  std::optional<uint64_t> claim;
};

/// A list of the registered VMs.
struct CensusList {
  std::vector<CensusEntry> entries;
  /// Whether the list includes all changes that the store had acknowledged when
  /// the list was requested.
  bool is_latest = false;
  /// A pause of this process may have passed since then.
  Millis requested_at;
};

/// Decides what share of the limits this VM owns. The shares of all VMs add up
/// to at most 1, whether or not they answer each other:
///
/// - A VM uses at most the share that its registration in the store claims.
/// - Before it uses more than before, also after a start, it writes its claim,
///   then reads the latest list, and takes no more than the claims of all other
///   VMs leave. Of two VMs that do so at the same time, at least one sees the
///   claim of the other.
/// - It uses less at once when it learns of another VM, and lowers its claim
///   later.
///
/// So the share of a VM that does not answer is set aside, and the others
/// divide the rest.
class FleetCensus {
 public:
  FleetCensus(std::string self, Millis started_at);

  /// Records a list of VMs that was read from the store.
  void OnList(const CensusList& list, Millis now);

  /// Records a statement of another VM.
  void OnStatement(std::string_view vm,
                   const CensusStatement& statement,
                   Millis now);

  /// Stops owning a share, for good: this VM removes its registration, and one
  /// that starts from then on may take the share.
  void Leave();

  /// Sets the VMs that gossip considers alive.
  void SetLive(std::span<const std::string> live);

  /// Returns the claim that must be written now, if any. The registration then
  /// holds this claim or, if the write fails, still the previous one.
  std::optional<uint64_t> TakeClaimToWrite(Millis now);
  /// Records that the claim was or was not written.
  void OnClaimWritten(uint64_t claim, bool is_written, Millis now);

  /// Records that the store may have lost the claim that it has acknowledged.
  void OnStoreRestored(Millis now) { ForgetClaim(now); }

  /// The latest claim that this VM has written; 0 if none.
  uint64_t claim() const { return m_claim; }

  /// Whether this VM must read the latest list to own a share.
  bool NeedsLatestList(Millis now) const;

  /// What this VM states to others.
  CensusStatement MakeStatement() const;

  /// The number of VMs among which limits are divided.
  size_t Count(Millis now) const;

  /// Updates the state and returns the share that this VM owns.
  double UpdateOwnedShare(Millis now);

  /// The listed VMs that have stated nothing yet.
  std::vector<std::string_view> UnheardVms() const;

  /// Whether this VM needs statements of others to own or to keep its share.
  bool NeedsStatements(Millis now) const;

 private:
  struct Vm {
    /// Since when lists lack the VM; nullopt while it is listed.
    std::optional<Millis> absent_since;
    /// The claim in its registration; nullopt if unknown.
    std::optional<uint64_t> claim;
    CensusStatement statement;
    std::optional<Millis> stated_at;
  };

  bool IsIsolated(Millis now) const;
  /// The greatest share that a VM may use; 0 if it uses nothing.
  double BoundOf(const Vm& vm, size_t count) const;
  /// The divisor for an equal division of what the VMs that do not answer
  /// leave.
  uint64_t EqualDivisor(Millis now) const;
  /// The divisor for the share that this VM may own beside all others; nullopt
  /// if they leave nothing.
  std::optional<uint64_t> FreeDivisor(Millis now) const;
  /// Uses a smaller share if there are more VMs than before.
  void Shrink(Millis now);
  /// Uses the share that the latest list has left for long enough.
  void Grow(Millis now);
  void ReadOwnClaim(const CensusList& list);
  /// Requires that the claim is read, written and verified again.
  void ForgetClaim(Millis now);
  /// Finds the share that the latest list leaves beside the written claim.
  void Verify(const CensusList& list, Millis now);
  /// Whether the written claim allows a greater share than the owned one.
  bool MayGrow() const;
  /// The claim that the registration should hold; 0 if there is none.
  uint64_t WantedClaim(Millis now) const;

  std::string m_self;
  Millis m_started_at;
  bool m_has_list = false;
  /// When the latest list that names this VM was requested.
  std::optional<Millis> m_listed_at;
  /// The other VMs.
  std::map<std::string, Vm, std::less<>> m_others;
  /// The VMs that gossip considers alive.
  std::set<std::string, std::less<>> m_live;

  /// This VM owns 1 over this number; 0 if it owns nothing.
  uint64_t m_divisor = 0;
  /// The claim in the store as far as known; while a write is in progress, the
  /// previous one.
  uint64_t m_claim = 0;
  /// When the registration was last known to hold m_claim.
  Millis m_claimed_at;
  bool m_is_leaving = false;
  bool m_is_writing = false;
  /// Whether m_claim was read or written since this VM last lost track of it.
  bool m_knows_claim = false;
  /// Until the first write, a stale list shows the claim of the previous
  /// process, and the write succeeds only if it was up to date.
  bool m_trusts_stale_list = true;
  /// Whether this process has written m_claim. A write of the previous process
  /// may be executed late, which a later write prevents.
  bool m_is_written = false;
  /// The claim that would be written, and since when it has been the same.
  uint64_t m_next_claim = 0;
  Millis m_next_claim_since;
  /// The smallest divisor that a latest list after m_claimed_at has allowed,
  /// and since when; 0 if none.
  uint64_t m_verified = 0;
  Millis m_verified_since;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUOTA_FLEET_CENSUS_H_
