#include "tanagervane/serving/even_load.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace tanagervane {

namespace {

/// Half-life of the weight of a reported load.
constexpr Millis kLoadHalfLife{150};

/// The exponent with fresh reports or idle replicas: a replica with a cost that
/// is 3% lower is chosen about 30 times as often.
constexpr double kMaxPreference = 120;

/// The exponent without fresh reports and under full load.
constexpr double kMinPreference = 8;

/// Usual load for each slot from which choices are spread. Below it, queues are
/// short with any choice, and the nearest or fastest replica is best.
constexpr double kMinBusyFraction = 0.5;

}  // namespace

double ReportWeight(Millis age) {
  return std::exp2(-std::max(0.0, age / kLoadHalfLife));
}

LoadForecast ForecastLoad(const ReportedLoad& reported, double own) {
  const double weight = ReportWeight(reported.age);
  LoadForecast forecast;
  forecast.mean =
      own + reported.usual + (reported.latest - reported.usual) * weight;
  // Requests arrive independently, so their number varies like a Poisson
  // variable around the usual one.
  forecast.deviation =
      std::sqrt(std::max(0.0, reported.usual) * (1 - weight * weight));
  return forecast;
}

double ExpectedQueue(const LoadForecast& forecast, double slots) {
  const double excess = forecast.mean + 1 - slots;
  if (forecast.deviation <= 0) {
    return std::max(0.0, excess);
  }
  // Mean of the positive part of a normal variable.
  const double z = excess / forecast.deviation;
  const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
  const double probability = std::erfc(-z / std::numbers::sqrt2) / 2;
  return forecast.deviation * density + excess * probability;
}

bool ShouldSpread(double busy_fraction) {
  return busy_fraction >= kMinBusyFraction;
}

double Preference(double freshness, double busy_fraction) {
  const double idleness = 1 - std::clamp(busy_fraction, 0.0, 1.0);
  return kMinPreference + (kMaxPreference - kMinPreference) *
                              std::max(freshness, idleness * idleness);
}

}  // namespace tanagervane
