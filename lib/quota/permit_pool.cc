#include "tanagervane/quota/permit_pool.h"

#include "tanagervane/quota/rendezvous.h"

namespace tanagervane {

namespace {

/// Bounds the memory for answers; more questions within kPermitLifetime are
/// answered with kNoShare.
constexpr size_t kMaxRememberedAnswers = 4096;

}  // namespace

void PermitPool::SetTenants(std::span<const TenantSpec> tenants,
                            const QuotaBounds& bounds,
                            Millis now) {
  std::map<std::string, Tenant, std::less<>> changed;
  m_slots = 0;
  for (const TenantSpec& spec : tenants) {
    if (spec.rate <= 0) {
      continue;
    }
    const auto known = m_tenants.find(spec.name);
    const TokenBucket bucket =
        known == m_tenants.end() ? TokenBucket(now) : known->second.bucket;
    const size_t slot = SlotOf(spec.name);
    changed.insert_or_assign(
        spec.name, Tenant{slot, MakeFleetLimit(spec, bounds), bucket});
    m_slots |= SlotMask{1} << slot;
  }
  m_tenants = std::move(changed);
}

void PermitPool::Settle(size_t slot, double share, Millis now) {
  for (auto& [name, tenant] : m_tenants) {
    if (tenant.slot == slot) {
      tenant.bucket.Settle(tenant.limit, share, now);
    }
  }
}

PermitReply PermitPool::Take(std::string_view tenant,
                             double share,
                             Millis now) {
  PermitReply reply;
  const auto it = m_tenants.find(tenant);
  if (it == m_tenants.end() || share <= 0) {
    return reply;
  }
  auto& [slot, limit, bucket] = it->second;
  bucket.Settle(limit, share, now);
  if (bucket.TryTake()) {
    reply.result = PermitResult::kGranted;
    return reply;
  }
  reply.result = PermitResult::kRefused;
  reply.retry_after = bucket.TimeToToken(limit, share);
  return reply;
}

PermitReply PermitPool::TakeFor(std::string_view vm,
                                const PermitRequest& request,
                                double share,
                                Millis now) {
  ExpireAnswers(now);
  const AnswerKey key(vm, request.nonce);
  if (const auto it = m_answers.find(key); it != m_answers.end()) {
    return it->second.reply;
  }
  if (m_answers.size() >= kMaxRememberedAnswers) {
    return {request.nonce, PermitResult::kNoShare, {}};
  }
  PermitReply reply = Take(request.tenant, share, now);
  reply.nonce = request.nonce;
  m_answers[key] = {request.tenant, reply, now};
  m_answer_order.push_back(key);
  return reply;
}

void PermitPool::Return(std::string_view tenant, double share, Millis now) {
  if (const auto it = m_tenants.find(tenant); it != m_tenants.end()) {
    it->second.bucket.Settle(it->second.limit, share, now);
    it->second.bucket.Return(it->second.limit, share);
  }
}

std::string PermitPool::TakeReturned(std::string_view vm,
                                     uint64_t nonce,
                                     Millis now) {
  ExpireAnswers(now);
  const auto it = m_answers.find(AnswerKey(vm, nonce));
  if (it == m_answers.end() || it->second.returned ||
      it->second.reply.result != PermitResult::kGranted) {
    return {};
  }
  it->second.returned = true;
  return it->second.tenant;
}

void PermitPool::ExpireAnswers(Millis now) {
  while (!m_answer_order.empty()) {
    const auto it = m_answers.find(m_answer_order.front());
    if (now - it->second.answered_at <= kPermitLifetime) {
      return;
    }
    m_answers.erase(it);
    m_answer_order.pop_front();
  }
}

}  // namespace tanagervane
