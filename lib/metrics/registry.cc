// MetricsRegistry, and its rendering as Prometheus text.

#include "tanagervane/metrics/registry.h"

#include <cassert>
#include <functional>
#include <optional>

#include "fmt/format.h"

namespace tanagervane {

namespace {

bool IsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '_';
}

bool IsValidName(std::string_view name) {
  if (name.empty() || (name[0] >= '0' && name[0] <= '9')) {
    return false;
  }
  for (char c : name) {
    if (!IsNameChar(c)) {
      return false;
    }
  }
  return true;
}

std::string Escape(std::string_view text, bool quotes) {
  std::string escaped;
  for (char c : text) {
    if (c == '\\') {
      escaped += "\\\\";
    } else if (c == '\n') {
      escaped += "\\n";
    } else if (c == '"' && quotes) {
      escaped += "\\\"";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string LabelText(const Labels& labels,
                      std::optional<std::string_view> override_value) {
  std::string text;
  for (const auto& [name, value] : labels) {
    assert(IsValidName(name) && "label names come from code and must be valid");
    const std::string_view shown_value = override_value.value_or(value);
    text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name,
                        Escape(shown_value, true));
  }
  return text;
}

void AppendHeader(std::string& out,
                  std::string_view name,
                  std::string_view help,
                  std::string_view type) {
  out += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, Escape(help, false),
                     name, type);
}

template <typename Value>
void AppendSample(std::string& out,
                  std::string_view name,
                  std::string_view labels,
                  std::string_view extra_label,
                  Value value) {
  out += name;
  if (!labels.empty() || !extra_label.empty()) {
    const bool need_comma = !labels.empty() && !extra_label.empty();
    out +=
        fmt::format("{{{}{}{}}}", labels, need_comma ? "," : "", extra_label);
  }
  out += fmt::format(" {}\n", value);
}

double ToSeconds(Millis value) {
  return value.count() / 1000.0;
}

void AppendBuckets(std::string& out,
                   const std::string& name,
                   std::string_view labels,
                   const LatencyHistogram& histogram) {
  const std::string bucket_name = name + "_bucket";
  uint64_t cumulative = 0;
  for (size_t i = 0; i < LatencyHistogram::kBucketBoundsMs.size(); ++i) {
    cumulative += histogram.buckets()[i];
    const double bound =
        ToSeconds(Millis(LatencyHistogram::kBucketBoundsMs[i]));
    AppendSample(out, bucket_name, labels, fmt::format("le=\"{}\"", bound),
                 cumulative);
  }
  AppendSample(out, bucket_name, labels, "le=\"+Inf\"", histogram.count());
  AppendSample(out, name + "_sum", labels, "", ToSeconds(histogram.sum()));
  AppendSample(out, name + "_count", labels, "", histogram.count());
}

void AppendQuantiles(std::string& out,
                     const std::string& name,
                     std::string_view labels,
                     const LatencyHistogram& histogram) {
  for (size_t i = 0; i < LatencyHistogram::kQuantiles.size(); ++i) {
    if (const auto value = histogram.Quantile(i)) {
      AppendSample(
          out, name, labels,
          fmt::format("quantile=\"{}\"", LatencyHistogram::kQuantiles[i]),
          ToSeconds(*value));
    }
  }
}

}  // namespace

template <typename Metric>
Metric& MetricsRegistry::Get(std::string_view name,
                             std::string_view help,
                             const Labels& labels) {
  assert(IsValidName(name) && "metric names come from code and must be valid");
  auto family = m_families.find(name);
  const Series new_series = Metric();
  if (family == m_families.end()) {
    family = m_families
                 .emplace(std::string(name),
                          Family{std::string(help), new_series.index(), {}})
                 .first;
  }
  assert(family->second.kind == new_series.index() &&
         "all series of a name must have the same kind");
  auto& series = family->second.series;
  std::string key = LabelText(labels, std::nullopt);
  auto found = series.find(key);
  if (found == series.end() && series.size() >= m_max_label_sets) {
    ++m_overflow_lookups;
    key = LabelText(labels, kOverflowValue);
    found = series.find(key);
  }
  if (found == series.end()) {
    found = series.emplace(std::move(key), new_series).first;
  }
  return std::get<Metric>(found->second);
}

Counter& MetricsRegistry::GetCounter(std::string_view name,
                                     std::string_view help,
                                     const Labels& labels) {
  return Get<Counter>(name, help, labels);
}

Gauge& MetricsRegistry::GetGauge(std::string_view name,
                                 std::string_view help,
                                 const Labels& labels) {
  return Get<Gauge>(name, help, labels);
}

LatencyHistogram& MetricsRegistry::GetLatency(std::string_view name,
                                              std::string_view help,
                                              const Labels& labels) {
  assert(name.ends_with("_seconds") &&
         "name of a latency must end in _seconds");
  return Get<LatencyHistogram>(name, help, labels);
}

std::string MetricsRegistry::Render() const {
  std::string out;
  for (const auto& [name, family] : m_families) {
    const Series& first = family.series.begin()->second;
    if (std::holds_alternative<Counter>(first)) {
      AppendHeader(out, name, family.help, "counter");
      for (const auto& [labels, series] : family.series) {
        AppendSample(out, name, labels, "", std::get<Counter>(series).value());
      }
      continue;
    }
    if (std::holds_alternative<Gauge>(first)) {
      AppendHeader(out, name, family.help, "gauge");
      for (const auto& [labels, series] : family.series) {
        AppendSample(out, name, labels, "", std::get<Gauge>(series).value());
      }
      continue;
    }
    // The lines of a metric family must be consecutive, so each suffix gets its
    // own pass over the series.
    AppendHeader(out, name, family.help, "histogram");
    for (const auto& [labels, series] : family.series) {
      AppendBuckets(out, name, labels, std::get<LatencyHistogram>(series));
    }
    AppendHeader(out, name + "_quantile", family.help, "gauge");
    for (const auto& [labels, series] : family.series) {
      AppendQuantiles(out, name + "_quantile", labels,
                      std::get<LatencyHistogram>(series));
    }
    AppendHeader(out, name + "_mean", family.help, "gauge");
    for (const auto& [labels, series] : family.series) {
      AppendSample(out, name + "_mean", labels, "",
                   ToSeconds(std::get<LatencyHistogram>(series).mean()));
    }
    AppendHeader(out, name + "_max", family.help, "gauge");
    for (const auto& [labels, series] : family.series) {
      AppendSample(out, name + "_max", labels, "",
                   ToSeconds(std::get<LatencyHistogram>(series).max()));
    }
  }
  constexpr std::string_view kOverflowMetric =
      "tanagervane_metrics_overflowed_total";
  AppendHeader(out, kOverflowMetric,
               "Lookups of a new label set beyond the bound on label sets.",
               "counter");
  AppendSample(out, kOverflowMetric, "", "", m_overflow_lookups);
  return out;
}

void LatencyByClassAndTenant::Observe(std::string_view class_name,
                                      std::string_view tenant,
                                      Millis latency) {
  if (const auto cached = m_histograms.find(KeyView(class_name, tenant));
      cached != m_histograms.end()) {
    cached->second->Record(latency);
    return;
  }
  const uint64_t overflow_lookups = m_registry.overflow_lookups();
  LatencyHistogram& histogram = m_registry.GetLatency(
      m_name, m_help,
      {{"class", std::string(class_name)}, {"tenant", std::string(tenant)}});
  histogram.Record(latency);
  // Pairs beyond the registry's bound are not cached, or m_histograms would
  // grow without bound.
  if (m_registry.overflow_lookups() == overflow_lookups) {
    m_histograms.emplace(Key(class_name, tenant), &histogram);
  }
}

}  // namespace tanagervane
