// Admits requests of tenants within rate limits that hold over the fleet.

#ifndef TANAGERVANE_QUOTA_FLEET_QUOTA_H_
#define TANAGERVANE_QUOTA_FLEET_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/identity/tenant.h"
#include "tanagervane/quota/bounds.h"
#include "tanagervane/quota/fleet_census.h"
#include "tanagervane/quota/messages.h"
#include "tanagervane/quota/permit_client.h"
#include "tanagervane/quota/permit_decision.h"
#include "tanagervane/quota/permit_pool.h"
#include "tanagervane/quota/share_table.h"

namespace tanagervane {

/// Time between the questions of a pool VM for the shares of the others.
inline constexpr Millis kShareRoundInterval{500};

/// The same while this VM owns no share, or a live VM of its group has not lent
/// its share: after a start, requests are refused until then.
inline constexpr Millis kUnsettledRoundInterval{125};

/// The shortest delay between reads of the latest list, and before the first
/// one: each VM reads a stale list at its start anyway.
inline constexpr Millis kMinListDelay{500};

struct FleetQuotaHooks {
  /// Sends a message to another VM. It may be lost.
  std::function<void(std::string_view vm, const QuotaMessage&)> send;
  /// Writes this VM's claim to its registration. OnClaimWritten() must follow.
  std::function<void(uint64_t claim)> write_claim;
  /// Reads the latest list of VMs, if the store can be reached. OnList()
  /// follows if that succeeds.
  std::function<void()> read_latest_list;
  /// Reports the decision on a request for which Ask() returned kPending.
  std::function<void(uint64_t request, const PermitDecision&)> on_permit;
};

struct FleetQuotaStats {
  uint64_t granted = 0;
  uint64_t refused = 0;
  uint64_t unavailable = 0;
  /// Questions to other VMs, and those that got no answer in time.
  uint64_t questions = 0;
  uint64_t timeouts = 0;
  uint64_t returned = 0;
};

/// State of one VM. All times must come from a clock that counts the time in
/// which the machine is suspended. Only the hook on_permit may call back.
class FleetQuota {
 public:
  /// `seed` must differ between processes of the same VM.
  FleetQuota(std::string self,
             uint64_t seed,
             const QuotaBounds& bounds,
             FleetQuotaHooks hooks,
             Millis now);

  void SetBounds(const QuotaBounds& bounds, Millis now);

  /// Sets the tenants; those without a rate have no limit.
  void SetTenants(std::span<const TenantSpec> tenants, Millis now);

  /// Whether a tenant has a limit. Without one nothing is sent.
  bool enabled() const { return !m_pool.empty(); }
  bool IsLimited(std::string_view tenant) const {
    return m_pool.Contains(tenant);
  }

  /// Records a list of VMs from the store; see FleetCensus::OnList().
  void OnList(const CensusList& list, Millis now);

  /// Records the outcome of write_claim; see FleetCensus::OnClaimWritten().
  void OnClaimWritten(uint64_t claim, bool is_written, Millis now);

  /// Records that the store was restored from an earlier copy.
  void OnStoreRestored(Millis now) { m_census.OnStoreRestored(now); }

  /// Sets the other VMs that gossip considers alive and that do not leave.
  /// While this VM leaves, it is no pool VM.
  void SetLive(std::vector<std::string> others, bool is_leaving, Millis now);

  /// Asks for a permit for one request of a tenant with a limit.
  PermitDecision Ask(uint64_t request, std::string_view tenant, Millis now);

  /// Returns the permit of a request that will not run. Possible until the next
  /// permit is granted and within kPermitLifetime.
  void Return(uint64_t request, Millis now);

  /// Ends the wait of a request for which Ask() returned kPending.
  void Cancel(uint64_t request) { m_client.Cancel(request); }

  void OnMessage(const QuotaMessage& message, Millis now);

  void OnTick(Millis now);
  /// Time at which OnTick() must be called next; nullopt when no timer is set.
  std::optional<Millis> NextTimer() const;

  const FleetQuotaStats& stats() const { return m_stats; }
  /// The share of each limit that this VM owns.
  double owned_share() const { return m_shares.owned(); }
  /// The claim of this VM's registration as far as known; 0 if none.
  uint64_t claim() const { return m_census.claim(); }
  /// The VMs among which limits are divided, and those of them that have not
  /// stated anything.
  size_t counted_vms(Millis now) const { return m_census.Count(now); }
  size_t unheard_vms() const { return m_census.UnheardVms().size(); }
  /// The share of the tenant's limit that this VM may use now.
  double UsableShare(std::string_view tenant, Millis now) const;

 private:
  /// The permit that was granted last, which Return() may return.
  struct LastPermit {
    uint64_t request = 0;
    std::string tenant;
    /// Empty if this VM granted it.
    std::string pool_vm;
    uint64_t nonce = 0;
    Millis granted_at;
  };
  struct Refusal {
    /// Until then requests are refused without a question.
    Millis known_until;
    /// When the pool VM has a token again.
    Millis token_at;
  };
  struct Round {
    uint64_t nonce = 0;
    Millis sent_at;
  };

  /// Takes shares back whose lease has ended, and updates the owned share.
  void Advance(Millis now);
  void UpdateOwnedShare(Millis now);
  void SettleAll(Millis now);
  void Settle(size_t slot, Millis now);
  void ChoosePools(Millis now);
  void SendRound(Millis now);
  /// Writes the claim or reads the latest list if the census needs it.
  void UpdateClaim(Millis now);
  SlotMask PooledSlots() const;
  /// Whether this VM owns a share and holds those of all live VMs of its group
  /// for the slots that it pools.
  bool IsSettled(Millis now) const;
  bool IsInGroup(std::string_view vm) const;
  /// Whether so few shares of the tenant's slot are here that a lack of tokens
  /// does not show that the tenant has used its allowance.
  bool HoldsFewShares(std::string_view tenant, Millis now) const;

  void Handle(const std::string& vm, const ShareRequest& request, Millis now);
  void Handle(const std::string& vm, const ShareGrant& grant, Millis now);
  void Handle(const std::string& vm, const PermitRequest& request, Millis now);
  void Handle(const std::string& vm, const PermitReply& reply, Millis now);
  void Handle(const std::string& vm, const PermitReturn& message, Millis now);

  /// Lends the share of a slot to the pool VM that asks.
  bool Lend(size_t slot, const std::string& vm, Millis now);
  PermitDecision TakeLocally(uint64_t request,
                             std::string_view tenant,
                             Millis now);
  /// Uses this VM's share because the pool VM does not answer or holds none.
  PermitDecision TakeFallback(uint64_t request,
                              std::string_view tenant,
                              Millis now);
  PermitDecision Refuse(std::string_view tenant,
                        Millis retry_after,
                        Millis now);
  PermitDecision Refused(Millis retry_after);
  PermitDecision Unavailable();
  void Finish(const PermitQuestion& question, const PermitDecision& decision);
  template <typename Body>
  void Send(std::string_view vm, Body body) {
    m_hooks.send(vm, {.sender = m_self, .body = std::move(body)});
  }

  std::string m_self;
  QuotaBounds m_bounds;
  FleetQuotaHooks m_hooks;
  std::vector<TenantSpec> m_tenants;
  FleetCensus m_census;
  ShareTable m_shares;
  PermitPool m_pool;
  PermitClient m_client;
  std::vector<std::string> m_live;
  bool m_is_leaving = false;
  /// The number of VMs for which m_pool_vms was chosen.
  size_t m_group_count = 0;
  /// By slot.
  std::vector<std::string> m_pool_vms;
  uint64_t m_round_nonce;
  /// Rounds whose answers may still start a lease.
  std::deque<Round> m_rounds;
  Millis m_next_round;
  Millis m_census_updated_at;
  /// When the latest list may be read again, and the delay after that.
  Millis m_next_list;
  Millis m_list_delay;
  /// Where the next round begins among the VMs of other groups.
  size_t m_next_outside = 0;
  /// The latest refusal of each tenant.
  std::map<std::string, Refusal, std::less<>> m_refusals;
  /// By VM: until when it is not asked because it did not answer.
  std::map<std::string, Millis, std::less<>> m_silent_until;
  LastPermit m_last_permit;
  FleetQuotaStats m_stats;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUOTA_FLEET_QUOTA_H_
