// FleetQuota: permits and their messages. Shares are exchanged in
// fleet_quota_shares.cc.

#include "tanagervane/quota/fleet_quota.h"

#include <algorithm>
#include <utility>

#include "tanagervane/quota/rendezvous.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

namespace {

/// Stated to callers while no permit can be had. Shares move to another pool VM
/// within a few of these.
constexpr Millis kUnavailableRetryAfter{100};

/// The shortest time that a refusal states. Callers that come back at once only
/// cost time.
constexpr Millis kMinRetryAfter{20};

/// A refusal by the pool VM is repeated without a question for at most this
/// long, because the pool VM may get more shares.
constexpr Millis kMaxRefusalCacheTime{100};

/// A pool VM that does not answer is asked again after this time.
constexpr Millis kSilenceDuration{300};

}  // namespace

FleetQuota::FleetQuota(std::string self,
                       uint64_t seed,
                       const QuotaBounds& bounds,
                       FleetQuotaHooks hooks,
                       Millis now)
    : m_self(std::move(self)),
      m_bounds(bounds),
      m_hooks(std::move(hooks)),
      m_census(m_self, now),
      m_client(Random(seed).Next()),
      m_round_nonce(Random(seed).Next()),
      m_next_round(now),
      m_census_updated_at(now),
      m_next_list(now + kMinListDelay),
      m_list_delay(kMinListDelay) {
  ChoosePools(now);
}

void FleetQuota::SetBounds(const QuotaBounds& bounds, Millis now) {
  m_bounds = bounds;
  SetTenants(std::exchange(m_tenants, {}), now);
}

void FleetQuota::SetTenants(std::span<const TenantSpec> tenants, Millis now) {
  Advance(now);
  SettleAll(now);
  m_tenants.assign(tenants.begin(), tenants.end());
  m_pool.SetTenants(m_tenants, m_bounds, now);
  SettleAll(now);
  m_refusals.clear();
}

double FleetQuota::UsableShare(std::string_view tenant, Millis now) const {
  return m_shares.Usable(SlotOf(tenant), now);
}

PermitDecision FleetQuota::Ask(uint64_t request,
                               std::string_view tenant,
                               Millis now) {
  Advance(now);
  const std::string& pool_vm = m_pool_vms[SlotOf(tenant)];
  if (pool_vm == m_self) {
    return TakeLocally(request, tenant, now);
  }
  if (const auto it = m_refusals.find(tenant);
      it != m_refusals.end() && now < it->second.known_until) {
    return Refused(it->second.token_at - now);
  }
  if (const auto it = m_silent_until.find(pool_vm);
      it != m_silent_until.end() && now < it->second) {
    return TakeFallback(request, tenant, now);
  }
  const PermitQuestion& question = m_client.Ask(request, tenant, pool_vm, now);
  ++m_stats.questions;
  Send(pool_vm, PermitRequest{question.nonce, question.tenant});
  return {PermitState::kPending, {}};
}

PermitDecision FleetQuota::TakeLocally(uint64_t request,
                                       std::string_view tenant,
                                       Millis now) {
  const PermitReply reply = m_pool.Take(tenant, UsableShare(tenant, now), now);
  switch (reply.result) {
    case PermitResult::kGranted:
      ++m_stats.granted;
      m_last_permit = {request, std::string(tenant), "", 0, now};
      return {PermitState::kGranted, {}};
    case PermitResult::kRefused:
      return HoldsFewShares(tenant, now)
                 ? Unavailable()
                 : Refuse(tenant, reply.retry_after, now);
    case PermitResult::kNoShare:
      break;
  }
  return Unavailable();
}

PermitDecision FleetQuota::TakeFallback(uint64_t request,
                                        std::string_view tenant,
                                        Millis now) {
  const PermitReply reply = m_pool.Take(tenant, UsableShare(tenant, now), now);
  if (reply.result != PermitResult::kGranted) {
    // The tenant may be within its allowance: this VM has only its own share.
    return Unavailable();
  }
  ++m_stats.granted;
  m_last_permit = {request, std::string(tenant), "", 0, now};
  return {PermitState::kGranted, {}};
}

PermitDecision FleetQuota::Refuse(std::string_view tenant,
                                  Millis retry_after,
                                  Millis now) {
  m_refusals.insert_or_assign(
      std::string(tenant),
      Refusal{now + std::min(retry_after, kMaxRefusalCacheTime),
              now + retry_after});
  return Refused(retry_after);
}

PermitDecision FleetQuota::Refused(Millis retry_after) {
  ++m_stats.refused;
  return {PermitState::kRefused, std::max(retry_after, kMinRetryAfter)};
}

PermitDecision FleetQuota::Unavailable() {
  ++m_stats.unavailable;
  return {PermitState::kUnavailable, kUnavailableRetryAfter};
}

void FleetQuota::Return(uint64_t request, Millis now) {
  if (m_last_permit.request != request || m_last_permit.tenant.empty() ||
      now - m_last_permit.granted_at > kPermitLifetime - kPermitTimeout) {
    return;
  }
  const LastPermit permit = std::exchange(m_last_permit, {});
  ++m_stats.returned;
  if (permit.pool_vm.empty()) {
    m_pool.Return(permit.tenant, UsableShare(permit.tenant, now), now);
  } else {
    Send(permit.pool_vm, PermitReturn{permit.nonce});
  }
}

void FleetQuota::Finish(const PermitQuestion& question,
                        const PermitDecision& decision) {
  m_hooks.on_permit(question.request, decision);
}

void FleetQuota::OnMessage(const QuotaMessage& message, Millis now) {
  Advance(now);
  std::visit([&](const auto& body) { Handle(message.sender, body, now); },
             message.body);
}

void FleetQuota::Handle(const std::string& vm,
                        const PermitRequest& request,
                        Millis now) {
  PermitReply reply =
      m_pool.TakeFor(vm, request, UsableShare(request.tenant, now), now);
  if (reply.result == PermitResult::kRefused &&
      HoldsFewShares(request.tenant, now)) {
    reply.result = PermitResult::kNoShare;
  }
  Send(vm, reply);
}

void FleetQuota::Handle(const std::string& vm,
                        const PermitReply& reply,
                        Millis now) {
  const auto question = m_client.OnReply(vm, reply.nonce, now);
  if (!question) {
    return;
  }
  m_silent_until.erase(vm);
  switch (reply.result) {
    case PermitResult::kGranted:
      ++m_stats.granted;
      m_last_permit = {question->request, question->tenant, vm, reply.nonce,
                       now};
      Finish(*question, {PermitState::kGranted, {}});
      return;
    case PermitResult::kRefused:
      Finish(*question, Refuse(question->tenant, reply.retry_after, now));
      return;
    case PermitResult::kNoShare:
      break;
  }
  Finish(*question, TakeFallback(question->request, question->tenant, now));
}

void FleetQuota::Handle(const std::string& vm,
                        const PermitReturn& message,
                        Millis now) {
  const std::string tenant = m_pool.TakeReturned(vm, message.nonce, now);
  if (!tenant.empty()) {
    m_pool.Return(tenant, UsableShare(tenant, now), now);
  }
}

void FleetQuota::OnTick(Millis now) {
  Advance(now);
  if (now >= m_next_round) {
    m_next_round =
        now + (IsSettled(now) ? kShareRoundInterval : kUnsettledRoundInterval);
    if (enabled()) {
      SendRound(now);
      UpdateClaim(now);
    }
    m_shares.Expire(now);
  }
  for (const PermitQuestion& question : m_client.TakeTimeouts(now)) {
    ++m_stats.timeouts;
    m_silent_until.insert_or_assign(question.pool_vm, now + kSilenceDuration);
    Finish(question, TakeFallback(question.request, question.tenant, now));
  }
  for (const PermitQuestion& question : m_client.TakeRepeats(now)) {
    Send(question.pool_vm, PermitRequest{question.nonce, question.tenant});
  }
}

void FleetQuota::UpdateClaim(Millis now) {
  if (const auto claim = m_census.TakeClaimToWrite(now)) {
    m_list_delay = kMinListDelay;
    m_next_list = now;
    m_hooks.write_claim(*claim);
    return;
  }
  if (m_census.NeedsLatestList(now) && now >= m_next_list) {
    m_next_list = now + m_list_delay;
    m_hooks.read_latest_list();
  }
}

void FleetQuota::OnClaimWritten(uint64_t claim, bool is_written, Millis now) {
  m_census.OnClaimWritten(claim, is_written, now);
  UpdateClaim(now);
}

std::optional<Millis> FleetQuota::NextTimer() const {
  const std::optional<Millis> permits = m_client.NextTimer();
  if (!enabled()) {
    return permits;
  }
  return permits ? std::min(*permits, m_next_round) : m_next_round;
}

}  // namespace tanagervane
