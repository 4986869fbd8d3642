// Questions for permits that other VMs have not answered yet.

#ifndef TANAGERVANE_QUOTA_PERMIT_CLIENT_H_
#define TANAGERVANE_QUOTA_PERMIT_CLIENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/quota/messages.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// A question without an answer is repeated once after this time.
inline constexpr Millis kPermitRepeatDelay{15};

/// An answer that arrives later is ignored. Shorter than kPermitLifetime.
inline constexpr Millis kPermitTimeout{50};

/// A question for a permit on behalf of a caller's request.
struct PermitQuestion {
  uint64_t request = 0;
  uint64_t nonce = 0;
  std::string tenant;
  std::string pool_vm;
  Millis asked_at;
  bool repeated = false;
};

class PermitClient {
 public:
  /// `first_nonce` must differ between processes of the same VM.
  explicit PermitClient(uint64_t first_nonce) : m_next_nonce(first_nonce) {}

  /// Records a question that is sent now.
  const PermitQuestion& Ask(uint64_t request,
                            std::string_view tenant,
                            std::string_view pool_vm,
                            Millis now);

  /// Removes and returns the question that the reply answers; nullopt if there
  /// is none, if it timed out or if another VM was asked.
  std::optional<PermitQuestion> OnReply(std::string_view vm,
                                        uint64_t nonce,
                                        Millis now);

  /// Forgets the question on behalf of `request`.
  void Cancel(uint64_t request);

  /// Returns the questions that must be repeated now.
  std::vector<PermitQuestion> TakeRepeats(Millis now);

  /// Removes and returns the questions that have timed out.
  std::vector<PermitQuestion> TakeTimeouts(Millis now);

  /// Time of the next repeat or timeout.
  std::optional<Millis> NextTimer() const;

 private:
  uint64_t m_next_nonce;
  /// By nonce, which is also the order of time.
  std::map<uint64_t, PermitQuestion> m_questions;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUOTA_PERMIT_CLIENT_H_
