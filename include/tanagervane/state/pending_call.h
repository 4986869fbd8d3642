// Deadline and completion of one platform call.

#ifndef TANAGERVANE_STATE_PENDING_CALL_H_
#define TANAGERVANE_STATE_PENDING_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Tracks at most one call. A completion that arrives after the call was
/// cancelled, or after this object was destroyed, is ignored.
class PendingCall {
 public:
  bool active() const { return m_state->deadline.has_value(); }

  /// The deadline of the active call; nullopt if no call is active.
  std::optional<Millis> deadline() const { return m_state->deadline; }

  /// True if a call is active and its deadline has passed at `now`.
  bool Overdue(Millis now) const { return active() && now >= *deadline(); }

  /// Cancels the call locally; its completion will be ignored.
  void Cancel() {
    ++m_state->generation;
    m_state->deadline.reset();
  }

  /// Records the start of a call and returns a wrapper of its completion.
  template <typename... Args>
  std::function<void(Args...)> Start(Millis deadline,
                                     std::function<void(Args...)> done) {
    m_state->deadline = deadline;
    const uint64_t generation = ++m_state->generation;
    return [weak = std::weak_ptr<State>(m_state), generation,
            done = std::move(done)](Args... args) {
      if (const auto state = weak.lock();
          state && state->generation == generation && state->deadline) {
        state->deadline.reset();
        done(std::move(args)...);
      }
    };
  }

 private:
  struct State {
    uint64_t generation = 0;
    std::optional<Millis> deadline;
  };
  std::shared_ptr<State> m_state = std::make_shared<State>();
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_PENDING_CALL_H_
