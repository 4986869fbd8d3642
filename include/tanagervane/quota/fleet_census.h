// Counts the VMs among which the fleet's limits are divided.

#ifndef TANAGERVANE_QUOTA_FLEET_CENSUS_H_
#define TANAGERVANE_QUOTA_FLEET_CENSUS_H_

#include <map>
#include <optional>
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

/// Decides what share of the limits this VM owns. The shares of all VMs add up
/// to at most 1: a new process owns none until each VM that it counts is known
/// to count as many VMs, and an old one shrinks its share as soon as it learns
/// of another VM.
class FleetCensus {
 public:
  FleetCensus(std::string self, Millis started_at);

  /// Records a list of VMs that was read from the store. A pause of this
  /// process may have passed since `requested_at`.
  void OnList(std::span<const std::string> listed,
              Millis requested_at,
              Millis now);

  /// Records a statement of another VM.
  void OnStatement(std::string_view vm,
                   const CensusStatement& statement,
                   Millis now);

  /// What this VM states to others.
  CensusStatement MakeStatement() const;

  /// The number of VMs among which limits are divided.
  size_t Count(Millis now) const;

  /// Updates the state and returns the share that this VM owns. After it owned
  /// none, it does from a lease term after all others are known to count it.
  double UpdateOwnedShare(Millis now);

  /// The listed VMs that have stated nothing yet.
  std::vector<std::string_view> UnheardVms() const;

  /// Whether this VM needs statements of others to own or to keep its share.
  bool NeedsStatements(Millis now) const;

 private:
  struct Vm {
    /// Since when lists lack the VM; nullopt while it is listed.
    std::optional<Millis> absent_since;
    CensusStatement statement;
    std::optional<Millis> stated_at;
  };

  bool IsIsolated(Millis now) const;
  bool IsCountedByAll(Millis now) const;

  std::string m_self;
  Millis m_started_at;
  bool m_has_list = false;
  /// When the latest list that names this VM was requested.
  std::optional<Millis> m_listed_at;
  /// The other VMs.
  std::map<std::string, Vm, std::less<>> m_others;
  /// Since when IsCountedByAll() has held.
  std::optional<Millis> m_counted_since;
  bool m_owns_share = false;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUOTA_FLEET_CENSUS_H_
