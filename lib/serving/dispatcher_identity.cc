// Dispatcher: identity of the senders of requests.

#include "tanagervane/serving/dispatcher.h"

namespace tanagervane {

Identity Dispatcher::IdentifySender(const PlannedRoute& route,
                                    const PresentedKey& key,
                                    Millis now) const {
  const TenantDirectory& directory = m_plan->tenants();
  const bool needs_key = !directory.empty() && !route.spec.is_public;
  return Identify(directory, route.spec.is_public, key,
                  needs_key ? CertaintyOfConfig(now) : ConfigCertainty());
}

ConfigCertainty Dispatcher::CertaintyOfConfig(Millis now) const {
  return m_hooks.config_certainty ? m_hooks.config_certainty(now)
                                  : ConfigCertainty();
}

bool Dispatcher::MaySendFor(const Request& request, Millis now) {
  if (request.tenant == nullptr || CertaintyOfConfig(now).accepts_known_keys) {
    return true;
  }
  ++m_stats.unproved_attempts;
  return false;
}

FinalAnswer Dispatcher::MakeIdentityRefusal(const Identity& identity) {
  FinalAnswer answer;
  if (identity.verdict == IdentityVerdict::kUnauthenticated) {
    answer.kind = AnswerKind::kUnauthenticated;
    answer.reason = AnswerReason::kUnknownKey;
    return answer;
  }
  answer.kind = AnswerKind::kRefused;
  answer.reason = AnswerReason::kConfigUnproved;
  answer.retry_after = identity.retry_after;
  return answer;
}

std::optional<FinalAnswer> Dispatcher::CheckHeader(const CallerRequest& header,
                                                   const PresentedKey& key,
                                                   Millis now) {
  FinalAnswer answer;
  const PlannedRoute* route = nullptr;
  if (!m_plan) {
    answer = MakeNoConfigRefusal();
  } else if (route = m_plan->Find(header.host, header.target);
             route == nullptr) {
    answer.kind = AnswerKind::kUnknownRoute;
  } else if (const Identity identity = IdentifySender(*route, key, now);
             !identity.admitted()) {
    answer = MakeIdentityRefusal(identity);
  } else {
    return std::nullopt;
  }
  ++m_stats.submitted;
  ReportRefusal(answer, header, route);
  return answer;
}

}  // namespace tanagervane
