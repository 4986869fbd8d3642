// Measures the cost of documents by number of indexes and of order claims by
// number of claims.

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fmt/core.h"
#include "measure.h"
#include "tanagervane/document/parser.h"
#include "tanagervane/query/query_engine.h"
#include "tanagervane/state/order_ledger.h"
#include "tanagervane/support/hash.h"

namespace tanagervane {

namespace {

Document MakeDocument(uint32_t indexes) {
  Document document;
  document.team = "team";
  for (uint32_t i = 0; i < indexes; ++i) {
    const std::string name = fmt::format("index-{}", i);
    document.indexes.push_back({.name = name,
                                .shards = 10,
                                .replicas = 3,
                                .slots = 5,
                                .max_connections = 40,
                                .connect_time = Millis(6)});
    document.classes.push_back({.name = fmt::format("class-{}", i),
                                .index = name,
                                .shape = RequestShape::kEveryShard,
                                .urgency = Urgency::kUrgent,
                                .timeout = Millis(86)});
  }
  document.tenants = {{"packing-lines", 4}, {"foremen", 2}};
  return document;
}

/// A simulated platform with one stored object. Callbacks run in Run().
struct SingleObjectPlatform {
  PlatformObject object;
  std::deque<std::function<void()>> callbacks;

  PlatformApi Api() {
    PlatformApi api;
    api.get = [this](const std::string&, const std::string&,
                     const PlatformApi::ObjectDone& done) {
      callbacks.emplace_back([this, done] {
        done(object.version ? PlatformResult::kOk : PlatformResult::kNotFound,
             object);
      });
    };
    api.put = [this](const std::string&, const std::string&, uint64_t,
                     std::string value, const PlatformApi::ObjectDone& done) {
      object = {object.version + 1, std::move(value)};
      callbacks.emplace_back([this, done] {
        done(PlatformResult::kOk, {object.version, ""});
      });
    };
    return api;
  }
  void Run() {
    while (!callbacks.empty()) {
      const auto callback = std::move(callbacks.front());
      callbacks.pop_front();
      callback();
    }
  }
};

/// An order ledger on a simulated platform. All keys hash to the same stored
/// object.
class OrderSimulation {
 public:
  OrderSimulation()
      : m_ledger(
            {.team = "team",
             .self_id = "entry-0001",
             .incarnation = 1764800000000,
             .seed = kBenchmarkSeed},
            m_platform.Api(),
            [] { return Millis(1000); },
            [] { return WallMillis{kNow}; }) {}

  void Claim(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      m_ledger.Claim(NextKeyInObject(), 7, Millis(5000),
                     [this](const ClaimResult& result) {
                       m_granted +=
                           result.kind == ClaimResult::Kind::kGranted ? 1 : 0;
                     });
    }
    m_platform.Run();
  }
  size_t granted() const { return m_granted; }
  size_t object_bytes() const { return m_platform.object.value.size(); }

 private:
  static constexpr int64_t kNow = 1764800000000;

  OrderKey NextKeyInObject() {
    std::string key;
    do {
      key = fmt::format("order-{:016x}", ++m_next_number * 2654435761U);
    } while (StableHash(key) % 8 != 0);
    return {.key = key, .issued_at = WallMillis{kNow}};
  }

  SingleObjectPlatform m_platform;
  uint64_t m_next_number = 0;
  size_t m_granted = 0;
  OrderLedger m_ledger;
};

void MeasureClaims(size_t count) {
  const double x = static_cast<double>(count);
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    OrderSimulation simulation;
    double start = CpuMicros();
    simulation.Claim(count);
    PrintRow("order_batch_us", x, CpuMicros() - start);
    if (repetition == 0) {
      PrintRow("order_object_bytes", x,
               static_cast<double>(simulation.object_bytes()));
    }
    constexpr size_t kSingleClaims = 10;
    start = CpuMicros();
    for (size_t i = 0; i < kSingleClaims; ++i) {
      simulation.Claim(1);
    }
    PrintRow("order_single_us_by_claims_in_object", x,
             (CpuMicros() - start) / kSingleClaims);
    if (simulation.granted() != count + kSingleClaims) {
      fmt::print(stderr, "warning: only {} claims were granted\n",
                 simulation.granted());
    }
  }
}

}  // namespace

void MeasureDocument() {
  for (const uint32_t indexes : {4U, 16U, 64U, 256U}) {
    const Document document = MakeDocument(indexes);
    const std::string text = FormatDocument(document);
    PrintRow("document_bytes", indexes, static_cast<double>(text.size()));
    MeasureCpu("document_parse_us", indexes, [&text] {
      if (!ParseDocument(text).ok()) {
        fmt::print(stderr, "warning: the parser refused the document\n");
      }
    });
    QueryEngine engine(
        {.policy = {}, .data_centre = "ragusa-a", .seed = kBenchmarkSeed}, {});
    MeasureCpu("document_apply_us", indexes,
               [&] { engine.ApplyDocument(document, Millis(1000)); });
  }
}

void MeasureOrders() {
  for (const size_t count : {16U, 64U, 256U, 1024U, 1900U}) {
    MeasureClaims(count);
  }
  OrderSimulation simulation;
  constexpr size_t kClaimsAboveLimit = 3000;
  simulation.Claim(kClaimsAboveLimit);
  PrintRow("order_object_limit", kClaimsAboveLimit,
           static_cast<double>(simulation.granted()));
}

}  // namespace tanagervane
