// Tests of MetricsRegistry, LatencyHistogram and LogLinearHistogram.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "tanagervane/metrics/latency_histogram.h"
#include "tanagervane/metrics/log_linear_histogram.h"
#include "tanagervane/metrics/registry.h"
#include "tanagervane/support/random.h"

namespace tanagervane {
namespace {

bool Contains(const std::string& text, std::string_view expected) {
  return text.find(expected) != std::string::npos;
}

// Guards against an observation equal to a bound counted in the next bucket,
// and against NaN and negative values in the sum.
TEST(LatencyHistogramTest, BoundsAreInclusive) {
  LatencyHistogram histogram;
  for (double value : {1.0, 1.001, 10000.0, 10000.1, -5.0, std::nan("")}) {
    histogram.Record(Millis(value));
  }
  EXPECT_EQ(histogram.buckets().front(), 3U);
  EXPECT_EQ(histogram.buckets()[1], 1U);
  EXPECT_EQ(histogram.buckets()[LatencyHistogram::kBucketBoundsMs.size() - 1],
            1U);
  EXPECT_EQ(histogram.buckets().back(), 1U);
  EXPECT_EQ(histogram.count(), 6U);
  EXPECT_DOUBLE_EQ(histogram.sum().count(), 20002.101);
  EXPECT_DOUBLE_EQ(histogram.max().count(), 10000.1);
}

// Guards against quantiles read before the estimator has enough observations,
// and against estimates assigned to the wrong quantile.
TEST(LatencyHistogramTest, QuantilesOfAUniformDistribution) {
  LatencyHistogram histogram;
  Random random(7);
  for (int i = 0; i < 12; ++i) {
    histogram.Record(Millis(random.NextDouble() * 100));
    EXPECT_FALSE(histogram.Quantile(0).has_value());
  }
  for (int i = 0; i < 200000; ++i) {
    histogram.Record(Millis(random.NextDouble() * 100));
  }
  for (size_t i = 0; i < LatencyHistogram::kQuantiles.size(); ++i) {
    ASSERT_TRUE(histogram.Quantile(i).has_value());
    EXPECT_NEAR(histogram.Quantile(i)->count(),
                LatencyHistogram::kQuantiles[i] * 100, 0.5);
  }
  EXPECT_FALSE(histogram.Quantile(99).has_value());
}

// Guards against a quantile below the true value, or above it by more than the
// width of a bucket.
RC_GTEST_PROP(LogLinearHistogramTest, QuantileIsWithinOneBucket, ()) {
  const auto micros =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<uint32_t>>(rc::gen::map(
          rc::gen::pair(rc::gen::arbitrary<uint32_t>(),
                        rc::gen::inRange(0, 32)),
          [](const auto& pair) { return pair.first >> pair.second; })));
  const double q = *rc::gen::element(0.0, 0.5, 0.9, 0.99, 0.999, 1.0);
  LogLinearHistogram left;
  LogLinearHistogram right;
  for (size_t i = 0; i < micros.size(); ++i) {
    (i % 2 ? left : right).Record(Millis(micros[i] / 1000.0));
  }
  left.Merge(right);
  auto sorted = micros;
  std::sort(sorted.begin(), sorted.end());
  const auto rank = std::max<size_t>(
      1, std::ceil(q * static_cast<double>(sorted.size()) - 1e-9));
  const double exact = sorted[rank - 1];
  const double estimate = left.Quantile(q).count() * 1000;
  // Division by 1000 may round a value up to the next microsecond.
  RC_ASSERT(estimate >= exact - 0.01);
  RC_ASSERT(estimate <= (exact + 1) * (1 + 1.0 / 128) + 0.01);
  RC_ASSERT(left.count() == micros.size());
}

// Guards against an out-of-range bucket index for extreme values.
TEST(LogLinearHistogramTest, ExtremeValues) {
  LogLinearHistogram histogram;
  EXPECT_EQ(histogram.Quantile(0.5).count(), 0);
  for (double value : {-1.0, 0.0, 1e300, HUGE_VAL, std::nan("")}) {
    histogram.Record(Millis(value));
  }
  EXPECT_EQ(histogram.count(), 5U);
  EXPECT_EQ(histogram.Quantile(0.6).count(), 0);
  EXPECT_EQ(histogram.Quantile(1), histogram.max());
}

// Guards against a label value that closes its quotes or breaks the line.
TEST(RegistryTest, EscapesLabelValuesAndHelp) {
  MetricsRegistry registry;
  registry.GetCounter("c_total", "a\\b\nc", {{"tenant", "x\"y\\z\nw"}})
      .Increment(3);
  const std::string text = registry.Render();
  EXPECT_TRUE(Contains(text, "# HELP c_total a\\\\b\\nc\n"));
  EXPECT_TRUE(Contains(text, "c_total{tenant=\"x\\\"y\\\\z\\nw\"} 3\n"));
}

// Guards against buckets that are not cumulative, a missing +Inf bucket, and
// milliseconds rendered as seconds.
TEST(RegistryTest, RendersHistogram) {
  MetricsRegistry registry;
  auto& latency = registry.GetLatency("l_seconds", "h", {{"class", "k"}});
  latency.Record(Millis(1.5));
  latency.Record(Millis(20000));
  const std::string text = registry.Render();
  for (std::string_view line :
       {"# TYPE l_seconds histogram\n",
        "l_seconds_bucket{class=\"k\",le=\"0.001\"} 0\n",
        "l_seconds_bucket{class=\"k\",le=\"0.002\"} 1\n",
        "l_seconds_bucket{class=\"k\",le=\"10\"} 1\n",
        "l_seconds_bucket{class=\"k\",le=\"+Inf\"} 2\n",
        "l_seconds_sum{class=\"k\"} 20.0015\n",
        "l_seconds_count{class=\"k\"} 2\n",
        "l_seconds_max{class=\"k\"} 20\n"}) {
    EXPECT_TRUE(Contains(text, line)) << line << "in\n" << text;
  }
}

// Guards against unbounded memory when callers keep sending new tenants, and
// against lost counts beyond the bound on label sets.
TEST(RegistryTest, LabelSetsAreBounded) {
  MetricsRegistry registry(2);
  LatencyByClassAndTenant latency(registry, "l_seconds", "h");
  for (int round = 0; round < 2; ++round) {
    for (int tenant = 0; tenant < 50; ++tenant) {
      latency.Observe("k", std::to_string(tenant), Millis(1));
    }
  }
  const std::string text = registry.Render();
  EXPECT_TRUE(Contains(text, "_count{class=\"k\",tenant=\"1\"} 2\n"));
  EXPECT_FALSE(Contains(text, "tenant=\"2\""));
  EXPECT_TRUE(
      Contains(text, "_count{class=\"_overflow\",tenant=\"_overflow\"} 96\n"));
  EXPECT_TRUE(Contains(text, "tanagervane_metrics_overflowed_total 96\n"));
}

}  // namespace
}  // namespace tanagervane
