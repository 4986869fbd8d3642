#include "claim_results.h"

#include <utility>

namespace tanagervane {

ClaimResult RefusedResult(ErrorCode code,
                          std::string_view detail,
                          Outcome outcome) {
  ClaimResult result;
  result.status = MakeError(code, detail);
  result.outcome = outcome;
  return result;
}

ClaimResult MakeClaimResult(ClaimResult::Kind kind, Outcome outcome) {
  ClaimResult result;
  result.kind = kind;
  result.outcome = outcome;
  return result;
}

ClaimResult AlreadyDoneResult(std::string result) {
  ClaimResult claim_result =
      MakeClaimResult(ClaimResult::Kind::kAlreadyDone, Outcome::kRan);
  claim_result.result = std::move(result);
  return claim_result;
}

ClaimResult InProgressResult() {
  return MakeClaimResult(ClaimResult::Kind::kOutcomeUnknown, Outcome::kUnknown);
}

ClaimResult KeyExpiredResult() {
  return RefusedResult(ErrorCode::kIdempotencyKeyExpired,
                       "the order key has expired: it was issued too long ago",
                       Outcome::kUnknown);
}

ClaimResult KeyReusedResult() {
  return RefusedResult(ErrorCode::kIdempotencyKeyReused,
                       "the order key was already used with another payload");
}

ClaimResult DeadlineExceededResult() {
  return RefusedResult(ErrorCode::kDeadlineExceeded,
                       "the order claim was not confirmed before its deadline");
}

}  // namespace tanagervane
