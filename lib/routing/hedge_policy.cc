// Hedge delays from latency quantiles, and the hedge budget.

#include "tanagervane/routing/hedge_policy.h"

#include <algorithm>

namespace tanagervane {
namespace {

// Latency quantiles used as the hedge delay with a full and with an empty
// budget. At the 96% quantile, hedges become due at the rate that the 4% budget
// allows. The delay settles there, with the budget at three quarters of its
// burst.
constexpr double kFullBudgetQuantile = 0.95;
constexpr double kEmptyBudgetQuantile = 0.99;
constexpr size_t kWindowSize = 1024;
constexpr size_t kMinSamples = 20;
// The quantiles are recomputed after this fraction (1/16) of the window has
// changed, which costs about 16 element visits for each sample.
constexpr size_t kUpdateDivisor = 16;
constexpr double kMaxUtilisation = 0.8;
// Shorter delays are within the jitter of the event loop and the network.
constexpr Millis kMinDelay(1);

}  // namespace

TokenBudget::TokenBudget(double ratio, double burst, double initial)
    : m_ratio(ratio), m_burst(burst), m_tokens(initial) {}

void TokenBudget::Credit(double units) {
  m_tokens = std::min(m_burst, m_tokens + m_ratio * units);
}

bool TokenBudget::TrySpend() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

HedgePolicy::HedgePolicy(bool enabled) : m_enabled(enabled) {}

HedgePolicy::IndexState& HedgePolicy::GetState(std::string_view index) {
  auto it = m_indexes.find(index);
  if (it == m_indexes.end()) {
    it = m_indexes.emplace(std::string(index), IndexState()).first;
  }
  return it->second;
}

void HedgePolicy::OnLatency(std::string_view index, Millis latency) {
  IndexState& state = GetState(index);
  const auto value = static_cast<float>(latency.count());
  if (state.window.size() < kWindowSize) {
    state.window.push_back(value);
  } else {
    state.window[state.next] = value;
    state.next = (state.next + 1) % kWindowSize;
  }
  ++state.samples_since_update;
  if (state.window.size() < kMinSamples ||
      state.samples_since_update < state.window.size() / kUpdateDivisor) {
    return;
  }
  state.samples_since_update = 0;
  UpdateTail(state);
}

void HedgePolicy::UpdateTail(IndexState& state) {
  std::vector<float> sorted = state.window;
  const auto first =
      sorted.begin() +
      static_cast<ptrdiff_t>(kFullBudgetQuantile *
                             static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), first, sorted.end());
  std::sort(first, sorted.end());
  state.tail.assign(first, sorted.end());
}

void HedgePolicy::OnSubRequest(std::string_view index) {
  GetState(index).budget.Credit();
}

std::optional<Millis> HedgePolicy::HedgeDelay(std::string_view index) const {
  auto it = m_indexes.find(index);
  if (!m_enabled || it == m_indexes.end() ||
      it->second.window.size() < kMinSamples) {
    return std::nullopt;
  }
  const IndexState& state = it->second;
  const double position = (kEmptyBudgetQuantile - kFullBudgetQuantile) /
                          (1 - kFullBudgetQuantile) *
                          (1 - state.budget.fill_fraction());
  const auto rank = static_cast<size_t>(
      position * static_cast<double>(state.tail.size() - 1));
  return std::max(kMinDelay, Millis(state.tail[rank]));
}

bool HedgePolicy::TryHedge(std::string_view index,
                           double utilisation,
                           bool recently_shed) {
  if (!m_enabled || utilisation > kMaxUtilisation || recently_shed) {
    return false;
  }
  return GetState(index).budget.TrySpend();
}

}  // namespace tanagervane
