// Decimal numbers in text from outside.

#ifndef TANAGERVANE_SUPPORT_DECIMAL_H_
#define TANAGERVANE_SUPPORT_DECIMAL_H_

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace tanagervane {

/// Parses a text that holds nothing but a finite decimal number. A number
/// outside of [min, max] counts as the nearest bound. Returns nullopt for other
/// texts, also "nan" and "inf", which std::from_chars accepts.
inline std::optional<double> ParseDecimal(std::string_view text,
                                          double min,
                                          double max) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [next, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || next != end || !std::isfinite(number)) {
    return std::nullopt;
  }
  return std::clamp(number, min, max);
}

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_DECIMAL_H_
