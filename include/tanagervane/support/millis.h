// The time type used throughout the project, except for wall-clock times.

#ifndef TANAGERVANE_SUPPORT_MILLIS_H_
#define TANAGERVANE_SUPPORT_MILLIS_H_

#include <compare>
#include <functional>

namespace tanagervane {

/// A time point or a duration in milliseconds. Time points count from an
/// arbitrary origin, so only their differences are meaningful.
class Millis {
 public:
  constexpr Millis() = default;
  explicit constexpr Millis(double value) : m_value(value) {}

  constexpr double count() const { return m_value; }

  constexpr bool operator==(const Millis&) const = default;
  // Not defaulted because clang-tidy 14 reports the zero in a defaulted
  // three-way comparison as a null pointer.
  constexpr std::partial_ordering operator<=>(const Millis& other) const {
    return m_value <=> other.m_value;
  }

  constexpr Millis& operator+=(Millis other) {
    m_value += other.m_value;
    return *this;
  }
  constexpr Millis& operator-=(Millis other) {
    m_value -= other.m_value;
    return *this;
  }
  friend constexpr Millis operator+(Millis a, Millis b) {
    return Millis(a.m_value + b.m_value);
  }
  friend constexpr Millis operator-(Millis a, Millis b) {
    return Millis(a.m_value - b.m_value);
  }
  friend constexpr Millis operator*(Millis a, double factor) {
    return Millis(a.m_value * factor);
  }
  friend constexpr double operator/(Millis a, Millis b) {
    return a.m_value / b.m_value;
  }

 private:
  double m_value = 0;
};

/// Returns the current time. Injected into code whose decisions depend on time.
using ClockHook = std::function<Millis()>;

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_MILLIS_H_
