// Implementation with clock_gettime() and mallinfo2().

#include "measure.h"

#include <malloc.h>

#include <ctime>

#include "fmt/core.h"

namespace tanagervane {

namespace {

constexpr double kMinCpuMicros = 20000;

}  // namespace

Document MakeFanoutDocument(uint32_t shards,
                            uint32_t replicas,
                            uint32_t slots) {
  Document document;
  document.team = "team";
  document.indexes = {{.name = "parts",
                       .shards = shards,
                       .replicas = replicas,
                       .slots = slots,
                       .max_connections = 40,
                       .connect_time = {}}};
  document.classes = {{.name = "all",
                       .index = "parts",
                       .shape = RequestShape::kEveryShard,
                       .urgency = Urgency::kUrgent,
                       .timeout = Millis(86)}};
  document.tenants = {{"tenant", 1}};
  return document;
}

double CpuMicros() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void PrintRow(std::string_view cost, double x, double y) {
  fmt::print("{},{:g},{:.6g}\n", cost, x, y);
}

void MeasureCpu(std::string_view cost,
                double x,
                const std::function<void()>& body) {
  body();  // Warms up caches and allocates reused buffers.
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    const double start = CpuMicros();
    double used = 0;
    int runs = 0;
    while (used < kMinCpuMicros) {
      body();
      ++runs;
      used = CpuMicros() - start;
    }
    PrintRow(cost, x, used / runs);
  }
}

}  // namespace tanagervane
