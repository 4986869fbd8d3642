// Names of enumerators as they appear in logs, metrics and answers.

#include "tanagervane/serving/exchange.h"

namespace tanagervane {

std::string_view ToString(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::kReply:
      return "reply";
    case AnswerKind::kMerged:
      return "merged";
    case AnswerKind::kRefused:
      return "refused";
    case AnswerKind::kFailed:
      return "failed";
    case AnswerKind::kTimedOut:
      return "timed_out";
    case AnswerKind::kUnauthenticated:
      return "unauthenticated";
    case AnswerKind::kOverLimit:
      return "over_limit";
    case AnswerKind::kUnknownRoute:
      break;
  }
  return "unknown_route";
}

std::string_view ToString(AnswerReason reason) {
  switch (reason) {
    case AnswerReason::kNone:
      return "none";
    case AnswerReason::kNoConfig:
      return "no_config";
    case AnswerReason::kNoReplica:
      return "no_replica";
    case AnswerReason::kOverloaded:
      return "overloaded";
    case AnswerReason::kRateLimited:
      return "rate_limited";
    case AnswerReason::kQuarantined:
      return "quarantined";
    case AnswerReason::kExpired:
      return "expired";
    case AnswerReason::kShed:
      return "shed";
    case AnswerReason::kReplicaFailed:
      return "replica_failed";
    case AnswerReason::kConnectionLost:
      return "connection_lost";
    case AnswerReason::kNoRetryBudget:
      return "no_allowance";
    case AnswerReason::kTooSlow:
      return "too_slow";
    case AnswerReason::kStopping:
      return "stopping";
    case AnswerReason::kUnknownKey:
      return "unknown_key";
    case AnswerReason::kConfigUnproved:
      return "config_unproved";
    case AnswerReason::kTenantLimit:
      return "tenant_limit";
    case AnswerReason::kNoPermit:
      return "no_permit";
    case AnswerReason::kCallerGone:
      break;
  }
  return "caller_gone";
}

std::string_view ToString(TraceEvent::Type type) {
  switch (type) {
    case TraceEvent::Type::kSent:
      return "sent";
    case TraceEvent::Type::kHedged:
      return "hedged";
    case TraceEvent::Type::kRetried:
      return "retried";
    case TraceEvent::Type::kAnswered:
      return "answered";
    case TraceEvent::Type::kReplicaFailed:
      return "replica_failed";
    case TraceEvent::Type::kRejected:
      return "rejected";
    case TraceEvent::Type::kMisdirected:
      return "misdirected";
    case TraceEvent::Type::kCorrupt:
      return "corrupt";
    case TraceEvent::Type::kConnectFailed:
      return "connect_failed";
    case TraceEvent::Type::kConnectionLost:
      return "connection_lost";
    case TraceEvent::Type::kNoReplica:
      return "no_replica";
    case TraceEvent::Type::kReplicasFull:
      return "no_room";
    case TraceEvent::Type::kRateLimited:
      return "rate_limited";
    case TraceEvent::Type::kReopened:
      return "reopened";
    case TraceEvent::Type::kSkipped:
      return "skipped";
    case TraceEvent::Type::kNoRetryBudget:
      break;
  }
  return "no_allowance";
}

}  // namespace tanagervane
