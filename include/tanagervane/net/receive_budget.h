// A bound on the bytes of unfinished messages that many connections hold.

#ifndef TANAGERVANE_NET_RECEIVE_BUDGET_H_
#define TANAGERVANE_NET_RECEIVE_BUDGET_H_

#include <cassert>
#include <cstddef>

namespace tanagervane {

/// Shared by the connections of one kind. A message that is small stays within
/// its bound even when others have spent the budget.
class ReceiveBudget {
 public:
  /// Bytes that any one message may hold whatever the others do.
  static constexpr size_t kAlwaysFree = 65'536;

  /// `limit` in bytes over all connections.
  explicit ReceiveBudget(size_t limit) : m_limit(limit) {}

  void SetLimit(size_t limit) { m_limit = limit; }

  /// Whether a message that holds `held` bytes may go on to grow.
  bool Allows(size_t held) const {
    return held <= kAlwaysFree || m_held <= m_limit;
  }

  void Take(size_t bytes) { m_held += bytes; }
  void Release(size_t bytes) {
    assert(bytes <= m_held);
    m_held -= bytes;
  }

  size_t held() const { return m_held; }

 private:
  size_t m_limit;
  size_t m_held = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_RECEIVE_BUDGET_H_
