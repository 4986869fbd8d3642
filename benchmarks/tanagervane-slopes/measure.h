// Measures processor time and heap memory and prints the results as CSV rows.

#ifndef TANAGERVANE_BENCHMARKS_TANAGERVANE_SLOPES_MEASURE_H_
#define TANAGERVANE_BENCHMARKS_TANAGERVANE_SLOPES_MEASURE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "tanagervane/document/document.h"

namespace tanagervane {

/// Seed of all random choices.
inline constexpr uint64_t kBenchmarkSeed = 20261204;
/// Measurements of each point; the fit of the slopes uses their median.
inline constexpr int kRepetitions = 5;

/// A document with a class that asks every shard of the index "parts".
Document MakeFanoutDocument(uint32_t shards, uint32_t replicas, uint32_t slots);

/// Processor time of this process in microseconds.
double CpuMicros();

/// Bytes allocated on the heap and not freed.
double HeapBytes();

/// Prints a CSV row: the name of the cost, the size `x` and the measured cost
/// `y`.
void PrintRow(std::string_view cost, double x, double y);

/// Runs `body` repeatedly until 20 ms of processor time are used and prints the
/// mean microseconds for each run; does so kRepetitions times.
void MeasureCpu(std::string_view cost,
                double x,
                const std::function<void()>& body);

// Each function measures one group of costs, see --group, and prints its rows.
void MeasureEngine();
void MeasureReplicaTable();
void MeasureGossip();
void MeasureDocument();
void MeasureOrders();
void MeasureHedges();

}  // namespace tanagervane

#endif  // TANAGERVANE_BENCHMARKS_TANAGERVANE_SLOPES_MEASURE_H_
