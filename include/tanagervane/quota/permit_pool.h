// Token buckets of the tenants, and the permits that other VMs take from them.

#ifndef TANAGERVANE_QUOTA_PERMIT_POOL_H_
#define TANAGERVANE_QUOTA_PERMIT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "tanagervane/quota/messages.h"
#include "tanagervane/quota/token_bucket.h"

namespace tanagervane {

/// Answers each question once: a repeated question gets the first answer again.
class PermitPool {
 public:
  /// Replaces the limits. Tenants that had a limit keep their tokens.
  void SetTenants(std::span<const TenantSpec> tenants,
                  const QuotaBounds& bounds,
                  Millis now);

  bool empty() const { return m_tenants.empty(); }
  bool Contains(std::string_view tenant) const {
    return m_tenants.contains(tenant);
  }
  /// The slots that contain a tenant.
  SlotMask slots() const { return m_slots; }

  /// Adds the tokens of a slot's tenants since the previous call; see
  /// TokenBucket::Settle().
  void Settle(size_t slot, double share, Millis now);

  /// Takes a permit for this VM at the given share of the tenant's slot.
  /// Unknown tenants get kNoShare.
  PermitReply Take(std::string_view tenant, double share, Millis now);

  /// Takes a permit for another VM.
  PermitReply TakeFor(std::string_view vm,
                      const PermitRequest& request,
                      double share,
                      Millis now);

  /// Puts back a permit that Take() granted at most kPermitLifetime ago.
  void Return(std::string_view tenant, double share, Millis now);

  /// Returns the tenant of a permit that another VM returns, or an empty string
  /// if the permit is unknown, old or was returned before.
  std::string TakeReturned(std::string_view vm, uint64_t nonce, Millis now);

 private:
  struct Tenant {
    size_t slot = 0;
    FleetLimit limit;
    TokenBucket bucket;
  };
  struct Answer {
    std::string tenant;
    PermitReply reply;
    Millis answered_at;
    bool returned = false;
  };
  using AnswerKey = std::pair<std::string, uint64_t>;

  void ExpireAnswers(Millis now);

  std::map<std::string, Tenant, std::less<>> m_tenants;
  SlotMask m_slots = 0;
  /// Answers to other VMs by VM and nonce, and their keys in order of time.
  std::map<AnswerKey, Answer> m_answers;
  std::deque<AnswerKey> m_answer_order;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUOTA_PERMIT_POOL_H_
