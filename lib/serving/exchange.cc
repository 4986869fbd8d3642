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
      break;
  }
  return "stopping";
}

std::string_view ToString(TraceEvent::What type) {
  switch (type) {
    case TraceEvent::What::kSent:
      return "sent";
    case TraceEvent::What::kHedged:
      return "hedged";
    case TraceEvent::What::kRetried:
      return "retried";
    case TraceEvent::What::kAnswered:
      return "answered";
    case TraceEvent::What::kReplicaFailed:
      return "replica_failed";
    case TraceEvent::What::kRejected:
      return "rejected";
    case TraceEvent::What::kMisdirected:
      return "misdirected";
    case TraceEvent::What::kCorrupt:
      return "corrupt";
    case TraceEvent::What::kConnectFailed:
      return "connect_failed";
    case TraceEvent::What::kConnectionLost:
      return "connection_lost";
    case TraceEvent::What::kNoReplica:
      return "no_replica";
    case TraceEvent::What::kReplicasFull:
      return "no_room";
    case TraceEvent::What::kSkipped:
      return "skipped";
    case TraceEvent::What::kNoRetryBudget:
      break;
  }
  return "no_allowance";
}

}  // namespace tanagervane
