// Results of claims, as OrderLedger returns them.

#ifndef TANAGERVANE_LIB_STATE_CLAIM_RESULTS_H_
#define TANAGERVANE_LIB_STATE_CLAIM_RESULTS_H_

#include <string>
#include <string_view>

#include "tanagervane/state/order_ledger.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

ClaimResult RefusedResult(ErrorCode code,
                          std::string_view detail,
                          Outcome outcome = Outcome::kNotRun);
ClaimResult MakeClaimResult(ClaimResult::Kind kind, Outcome outcome);
ClaimResult AlreadyDoneResult(std::string result);
ClaimResult InProgressResult();
ClaimResult KeyExpiredResult();
ClaimResult KeyReusedResult();
ClaimResult DeadlineExceededResult();

}  // namespace tanagervane

#endif  // TANAGERVANE_LIB_STATE_CLAIM_RESULTS_H_
