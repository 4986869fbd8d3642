// A common memory budget for incomplete HTTP messages.

#ifndef TANAGERVANE_NET_RECEIVE_BUDGET_H_
#define TANAGERVANE_NET_RECEIVE_BUDGET_H_

#include <cassert>
#include <cstddef>

namespace tanagervane {

/// Bounds the bytes of incomplete messages that a group of connections buffers.
/// Small messages are always allowed, also when others have spent the budget.
class ReceiveBudget {
 public:
  /// Each message may hold this many bytes even if the budget is spent.
  static constexpr size_t kGuaranteedMessageBytes = 65'536;

  /// `limit` is in bytes over all connections.
  explicit ReceiveBudget(size_t limit) : m_limit(limit) {}

  void SetLimit(size_t limit) { m_limit = limit; }

  /// Returns whether a message of `message_bytes` may be kept and grow further.
  bool Allows(size_t message_bytes) const {
    return message_bytes <= kGuaranteedMessageBytes || m_spent <= m_limit;
  }

  void Spend(size_t bytes) { m_spent += bytes; }
  void Release(size_t bytes) {
    assert(bytes <= m_spent);
    m_spent -= bytes;
  }

  size_t spent() const { return m_spent; }

 private:
  size_t m_limit;
  size_t m_spent = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_RECEIVE_BUDGET_H_
