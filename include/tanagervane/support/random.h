// The pseudo-random generator that is injected into decision code.

#ifndef TANAGERVANE_SUPPORT_RANDOM_H_
#define TANAGERVANE_SUPPORT_RANDOM_H_

#include <cstdint>
#include <random>

namespace tanagervane {

/// A seeded pseudo-random generator: equal seeds give equal sequences and
/// thus equal decisions.
class Random {
 public:
  explicit Random(uint64_t seed) : m_engine(seed) {}

  /// A uniform integer in [0, bound), up to modulo bias. `bound` must be
  /// positive.
  uint64_t NextBelow(uint64_t bound) { return m_engine() % bound; }

  /// A uniform number in [0, 1).
  double NextDouble() {
    return static_cast<double>(m_engine() >> 11) * 0x1.0p-53;
  }

  uint64_t Next() { return m_engine(); }

 private:
  std::mt19937_64 m_engine;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_RANDOM_H_
