// Counters, gauges and latency histograms in the Prometheus text exposition
// format.

#ifndef TANAGERVANE_METRICS_REGISTRY_H_
#define TANAGERVANE_METRICS_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "tanagervane/metrics/latency_histogram.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Label names and values. Names are fixed in the code, values may come from
/// requests.
using Labels = std::map<std::string, std::string, std::less<>>;

class Counter {
 public:
  void Increment(uint64_t by = 1) { m_value += by; }
  uint64_t value() const { return m_value; }

  /// Sets the counter to a total that is counted elsewhere, unless it is lower:
  /// counters never decrease.
  void RaiseTo(uint64_t total) { m_value = total > m_value ? total : m_value; }

 private:
  uint64_t m_value = 0;
};

class Gauge {
 public:
  void Set(double value) { m_value = value; }
  void Add(double by) { m_value += by; }
  double value() const { return m_value; }

 private:
  double m_value = 0;
};

/// All metrics of a process. Not thread-safe. References to series stay valid
/// as long as the registry. All series of a name must have the same kind.
class MetricsRegistry {
 public:
  /// The value of every label of the series that stands for all label sets
  /// beyond the bound.
  static constexpr std::string_view kOverflowValue = "_overflow";

  /// Keeps at most `max_label_sets` label sets for each name, so that callers
  /// who keep sending new values do not grow the process without bound.
  explicit MetricsRegistry(size_t max_label_sets = 500)
      : m_max_label_sets(max_label_sets) {}

  Counter& GetCounter(std::string_view name,
                      std::string_view help,
                      const Labels& labels = {});
  Gauge& GetGauge(std::string_view name,
                  std::string_view help,
                  const Labels& labels = {});

  /// `name` ends in "_seconds", the unit in which it is rendered. The
  /// quantiles, mean and maximum are rendered as gauges with the suffixes
  /// "_quantile", "_mean" and "_max".
  LatencyHistogram& GetLatency(std::string_view name,
                               std::string_view help,
                               const Labels& labels = {});

  /// Number of lookups of a new label set that returned the overflow series.
  uint64_t overflow_lookups() const { return m_overflow_lookups; }

  /// Returns all metrics in the text exposition format.
  std::string Render() const;

 private:
  using Series = std::variant<Counter, Gauge, LatencyHistogram>;

  struct Family {
    std::string help;
    /// The kind of metric, as its index in Series.
    size_t kind = 0;
    /// Keys are the rendered labels without braces.
    std::map<std::string, Series, std::less<>> series;
  };

  template <typename Metric>
  Metric& Get(std::string_view name,
              std::string_view help,
              const Labels& labels);

  std::map<std::string, Family, std::less<>> m_families;
  size_t m_max_label_sets;
  uint64_t m_overflow_lookups = 0;
};

/// Caches the latency histogram of each pair of class and tenant, so that a
/// lookup does not render labels.
class LatencyByClassAndTenant {
 public:
  LatencyByClassAndTenant(MetricsRegistry& registry,
                          std::string_view name,
                          std::string_view help)
      : m_registry(registry), m_name(name), m_help(help) {}

  void Observe(std::string_view class_name,
               std::string_view tenant,
               Millis latency);

 private:
  using Key = std::pair<std::string, std::string>;
  using KeyView = std::pair<std::string_view, std::string_view>;
  struct PairLess {
    using is_transparent = void;
    bool operator()(const KeyView& a, const KeyView& b) const { return a < b; }
  };

  MetricsRegistry& m_registry;
  std::string m_name;
  std::string m_help;
  std::map<Key, LatencyHistogram*, PairLess> m_histograms;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_METRICS_REGISTRY_H_
