// Dispatcher: permits for requests of tenants with a rate limit.

#include <cassert>
#include <utility>
#include <vector>

#include "tanagervane/serving/dispatcher.h"

namespace tanagervane {

namespace {

/// Stated when the deadline of a request passed while it waited for a permit.
constexpr Millis kLatePermitRetryAfter{60};

}  // namespace

bool Dispatcher::ObtainPermit(std::unique_ptr<Request>& request) {
  const std::string& tenant = request->caller_request->tenant;
  if (!m_hooks.ask_permit || tenant.empty()) {
    return true;
  }
  const PermitDecision decision = m_hooks.ask_permit(request->key, tenant);
  if (decision.state == PermitState::kGranted) {
    return true;
  }
  if (decision.state != PermitState::kPending) {
    RefuseWithoutPermit(*request, decision);
    return false;
  }
  request->awaits_permit = true;
  m_timers.emplace(request->timer_at.count(), request->key);
  m_requests[request->key] = std::move(request);
  return false;
}

void Dispatcher::OnPermit(RequestKey key,
                          const PermitDecision& decision,
                          Millis now) {
  assert(decision.state != PermitState::kPending && "no decision was made");
  const auto it = m_requests.find(key);
  if (it == m_requests.end() || !it->second->awaits_permit) {
    return;
  }
  std::unique_ptr<Request> request = Unpark(key);
  if (decision.state != PermitState::kGranted) {
    RefuseWithoutPermit(*request, decision);
    return;
  }
  Admission admission = Admit(*request, *request->caller_request, now);
  if (now >= request->deadline) {
    admission.refusal = AnswerReason::kExpired;
    admission.retry_after = kLatePermitRetryAfter;
  }
  if (admission.refusal) {
    m_hooks.return_permit(key);
    Refuse(key, *request->caller_request, AnswerKind::kRefused,
           *admission.refusal, admission.retry_after, request->route);
    return;
  }
  Start(std::move(request), admission, now);
}

std::unique_ptr<Dispatcher::Request> Dispatcher::Unpark(RequestKey key) {
  std::unique_ptr<Request> request =
      std::move(m_requests.extract(key).mapped());
  m_timers.erase({request->timer_at.count(), key});
  request->timer_at = request->deadline;
  request->awaits_permit = false;
  return request;
}

void Dispatcher::RefuseWithoutPermit(const Request& request,
                                     const PermitDecision& decision) {
  const bool is_over_limit = decision.state == PermitState::kRefused;
  Refuse(request.key, *request.caller_request,
         is_over_limit ? AnswerKind::kOverLimit : AnswerKind::kRefused,
         is_over_limit ? AnswerReason::kTenantLimit : AnswerReason::kNoPermit,
         decision.retry_after, request.route);
}

void Dispatcher::RefuseParked(RequestKey key, AnswerReason reason) {
  m_hooks.cancel_permit(key);
  const std::unique_ptr<Request> request = Unpark(key);
  Refuse(key, *request->caller_request, AnswerKind::kRefused, reason,
         kLatePermitRetryAfter, request->route);
}

void Dispatcher::RefuseAllParked(AnswerReason reason) {
  std::vector<RequestKey> parked;
  for (const auto& [key, request] : m_requests) {
    if (request->awaits_permit) {
      parked.push_back(key);
    }
  }
  for (const RequestKey key : parked) {
    RefuseParked(key, reason);
  }
}

}  // namespace tanagervane
