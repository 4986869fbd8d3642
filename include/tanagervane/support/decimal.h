// Decimal numbers in text from outside.

#ifndef TANAGERVANE_SUPPORT_DECIMAL_H_
#define TANAGERVANE_SUPPORT_DECIMAL_H_

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace tanagervane {

/// Parses a text that holds nothing but a finite decimal number. Returns
/// nullopt for other texts, also "nan" and "inf", which std::from_chars
/// accepts.
inline std::optional<double> ParseDecimal(std::string_view text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [next, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || next != end || !std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_DECIMAL_H_
