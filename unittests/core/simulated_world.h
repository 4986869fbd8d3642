// State shared by simulated entries: clock, network, platform, backend servers
// and the recorded violations of invariants.

#ifndef TANAGERVANE_UNITTESTS_CORE_SIMULATED_WORLD_H_
#define TANAGERVANE_UNITTESTS_CORE_SIMULATED_WORLD_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "query/query_harness.h"
#include "state/platform_model.h"
#include "tanagervane/query/types.h"
#include "tanagervane/state/stored_document.h"

namespace tanagervane {

/// Parses texts that start with "doc" into a document with four connection
/// slots.
inline absl::StatusOr<Document> ParseTestDocument(std::string_view text) {
  if (text.substr(0, 3) != "doc") {
    return MakeError(ErrorCode::kInvalidDocument, "not a document");
  }
  Document document = TestDocument();
  for (IndexSpec& index : document.indexes) {
    index.max_connections = 8;
    index.slots = 16;
  }
  return document;
}

inline constexpr size_t kEntriesPerReplica = 4;

/// One backend server. It accepts work even while it leaves, so that the tests
/// detect entries that send it new work.
struct Backend {
  std::string id;
  uint64_t incarnation = 1;
  bool up = true;
  bool frozen = false;
  std::optional<Millis> leaving_since;
  /// Entry processes that are connected.
  std::set<std::string> connections;

  const char* index() const { return id[0] == 'd' ? "desk" : "parts"; }
};

class SimulatedEntry;

struct SimulatedWorld {
  explicit SimulatedWorld(uint64_t seed)
      : simulation(seed), platform(simulation) {
    platform.Set("document/team",
                 FormatStoredDocument({1, "doc first", "a", {1}, "first"}));
    documents[1] = "first";
    for (const char* id :
         {"p0", "p1", "p2", "p3", "p4", "p5", "d0", "d1", "d2"}) {
      backends[id].id = id;
    }
  }

  Millis now() const { return simulation.now; }
  Random& random() { return simulation.random; }
  bool Chance(double probability) {
    return simulation.random.NextDouble() < probability;
  }
  void After(double delay, std::function<void()> action) {
    simulation.After(Millis(delay), std::move(action));
  }
  void AddViolation(const std::string& description) {
    if (violations.size() < 5) {
      violations.push_back(
          fmt::format("{:.0f} ms: {}", now().count(), description));
    }
  }

  // The network between entries.
  bool IsPartitioned(const std::string& a, const std::string& b) const {
    return isolated_entries.contains(a) != isolated_entries.contains(b);
  }
  /// Delivers `message` with a random delay, rarely twice or never.
  void Transmit(const std::string& from,
                const std::string& to,
                const std::function<void()>& message) {
    const int copies =
        Chance(fault_probability) ? 0 : (Chance(fault_probability) ? 2 : 1);
    for (int i = 0; i < copies; ++i) {
      After(0.5 + random().NextDouble() * (Chance(fault_probability) ? 200 : 3),
            [this, from, to, message] {
              if (!IsPartitioned(from, to)) {
                message();
              }
            });
    }
  }

  // The VM list.
  void PublishVms() {
    VmSnapshot snapshot{.version = vm_lists.size() + 1, .vms = {}};
    for (const auto& [id, backend] : backends) {
      snapshot.vms.push_back(
          {id, VmRole::kBackendServer,
           backend.leaving_since ? VmState::kLeaving : VmState::kLive, id, "a",
           backend.index()});
    }
    for (const std::string& id : entry_vms) {
      snapshot.vms.push_back({id, VmRole::kEntry, VmState::kLive, id, "a", ""});
    }
    if (vms_empty) {
      snapshot.vms.clear();
    }
    vm_lists.emplace_back(now(), std::move(snapshot));
  }
  const VmSnapshot& VisibleVms() const {
    size_t i = vm_lists.size() - 1;
    while (i > 0 && vm_lists[i].first > now() - vm_lag) {
      --i;
    }
    return vm_lists[i].second;
  }

  // Backend servers.
  uint32_t ShardCount(const std::string& backend, uint64_t version) const {
    return backend[0] == 'd' ? 1 : 2 + version % 2;
  }
  std::vector<HeldVersion> HeldVersions(const Backend& backend) const {
    std::vector<HeldVersion> held;
    const uint64_t newest = backend.id[0] == 'd' ? 1 : newest_version;
    for (uint64_t v = newest > 1 ? newest - 1 : 1; v <= newest; ++v) {
      const uint32_t count = ShardCount(backend.id, v);
      const auto number = static_cast<uint32_t>(backend.id[1] - '0');
      held.push_back({backend.index(), v, number % count, count});
    }
    return held;
  }
  static std::string ExpectedRow(const std::string& payload,
                                 uint64_t version,
                                 uint32_t shard) {
    return fmt::format("{}/{}/{}", payload, version, shard);
  }
  /// Lets an attempt arrive at a backend server. It is executed even if its
  /// sender has died meanwhile.
  void ScheduleExecution(const Attempt& attempt,
                         uint64_t incarnation,
                         const std::weak_ptr<SimulatedEntry>& sender);
  void Execute(const Attempt& attempt,
               uint64_t incarnation,
               const std::weak_ptr<SimulatedEntry>& sender);
  void Crash(const std::string& replica, double down_for);
  void CheckAnswer(const Answer& answer, const QueryRequest& request);
  void CheckRefusals();
  void CheckConnections(const Backend& backend) {
    if (backend.connections.size() > kEntriesPerReplica) {
      AddViolation(
          fmt::format("connection limit: {} is connected to {} entries",
                      backend.id, backend.connections.size()));
    }
  }

  /// Adds a violation when `entry` sends to a backend server that has been
  /// leaving for more than 3 s. After a pause of the entry, the 3 s start at
  /// `running_since`.
  void CheckSend(const Attempt& attempt,
                 const std::string& entry,
                 Millis running_since) {
    const Backend& backend = backends[attempt.replica];
    if (backend.leaving_since &&
        now() - std::max(*backend.leaving_since, running_since) >
            Millis(3000)) {
      AddViolation(fmt::format(
          "leaving: {} sent an attempt to {} more than 3 s after it started to "
          "leave",
          entry, attempt.replica));
    }
  }

  Simulation simulation;
  PlatformModel platform;
  double fault_probability = 0.02;
  std::set<std::string> isolated_entries;
  std::set<std::string> isolated_from_platform;
  double platform_delay = 0;
  std::map<std::string, Backend> backends;
  uint64_t newest_version = 1;
  std::set<std::string> entry_vms;
  std::vector<std::pair<Millis, VmSnapshot>> vm_lists;
  Millis vm_lag{200};
  bool vms_empty = false;
  BackendReply last_reply;
  /// The latest process of each entry.
  std::map<std::string, std::shared_ptr<SimulatedEntry>> entries;
  std::shared_ptr<SimulatedEntry> entry(const std::string& id) const {
    const auto it = entries.find(id);
    return it == entries.end() ? nullptr : it->second;
  }

  // What callers and operators observed.
  std::map<RequestId, int> executions;
  std::map<std::string, int> order_executions;
  std::map<RequestId, Outcome> refusals;
  std::map<uint64_t, std::string> documents;  ///< Write id by revision.
  uint64_t accepted_revision = 0;
  uint64_t answers = 0;
  uint64_t complete_answers = 0;
  uint64_t orders_done = 0;
  std::vector<std::string> violations;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_UNITTESTS_CORE_SIMULATED_WORLD_H_
