// tanagervane-slopes: measures how processor time and memory of the decision
// core grow with the size of a deployment (shards, replicas, peers, documents).
// Prints CSV rows (cost, x, y) to standard output.

#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "fmt/core.h"
#include "measure.h"

ABSL_FLAG(std::string,
          group,
          "all",
          "engine, replicas, gossip, document, orders, hedges or all");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Prints processor time (us) and memory (bytes) of the decision core as "
      "CSV rows: cost, x, y.");
  absl::ParseCommandLine(argc, argv);
  const std::string group = absl::GetFlag(FLAGS_group);
  const auto is_selected = [&group](const char* name) {
    return group == "all" || group == name;
  };
  fmt::print("# seed {}\ncost,x,y\n", tanagervane::kBenchmarkSeed);
  if (is_selected("engine")) {
    tanagervane::MeasureEngine();
  }
  if (is_selected("replicas")) {
    tanagervane::MeasureReplicaTable();
  }
  if (is_selected("gossip")) {
    tanagervane::MeasureGossip();
  }
  if (is_selected("document")) {
    tanagervane::MeasureDocument();
  }
  if (is_selected("orders")) {
    tanagervane::MeasureOrders();
  }
  if (is_selected("hedges")) {
    tanagervane::MeasureHedges();
  }
  return 0;
}
