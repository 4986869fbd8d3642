// Checks against a simulated store that no proof appears younger than it is.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "proof_fleet.h"
#include "rapidcheck/gtest.h"
#include "tanagervane/fleet/proof_exchange.h"

namespace tanagervane {
namespace {

constexpr size_t kVms = 4;
constexpr int kSteps = 400;

bool IsEarlier(const ConfigPosition& a, const ConfigPosition& b) {
  return std::pair(a.era, a.revision) < std::pair(b.era, b.revision);
}

/// VMs with random delays, losses, duplicates, replays, pauses and restarts,
/// and a store whose configuration changes and that is restored at times.
class TruthSimulation {
 public:
  explicit TruthSimulation(uint64_t seed) : m_random(seed) {
    m_changes = {{m_queue.now(), {.era = 0, .revision = 1, .version = 1}}};
    for (size_t i = 0; i < kVms; ++i) {
      m_vms.emplace_back(m_random.Next());
    }
  }

  /// Takes one random step, then checks all VMs.
  void Step() {
    m_queue.RunUntil(m_queue.now() + Time(120));
    Vm& vm = m_vms[m_random.NextBelow(kVms)];
    switch (m_random.NextBelow(10)) {
      case 0:
        ChangeConfig();
        break;
      case 1:
        vm.paused_until = m_queue.now() + Time(3000);
        break;
      case 2:
        ReadStale(vm);
        break;
      case 3:
      case 4:
        CallStore(vm);
        break;
      case 5:
        Replay();
        break;
      case 6:
        if (m_random.NextBelow(10) == 0) {
          vm = Vm(m_random.Next());
        }
        break;
      default:
        Ask(vm);
    }
    Check();
  }

  /// Number of checks that found a proof.
  size_t proofs() const { return m_proofs; }

 private:
  struct Vm {
    explicit Vm(uint64_t seed) : questions(seed) {}

    ConfigProof proof{MakeProofOptions(Millis(5000), Millis(5000))};
    ProofQuestions questions;
    Millis paused_until;
    /// A call of an earlier process of the VM must not be answered.
    uint64_t call = 0;
  };

  struct Change {
    Millis at;
    ConfigPosition config;
  };

  Millis Time(double max) { return Millis(max * m_random.NextDouble()); }

  const ConfigPosition& LatestAt(Millis time) const {
    const auto later = std::ranges::upper_bound(
        m_changes, time, {}, [](const Change& change) { return change.at; });
    return later == m_changes.begin() ? later->config
                                      : std::prev(later)->config;
  }

  void ChangeConfig() {
    ConfigPosition config = m_changes.back().config;
    if (m_random.NextBelow(6) == 0) {
      ++config.era;
      config.revision -= std::min<uint64_t>(config.revision - 1, 2);
    } else {
      config.revision += 1 + m_random.NextBelow(2);
    }
    // Otherwise the version alone would show each change to other VMs.
    config.version += m_random.NextBelow(2);
    m_changes.push_back({m_queue.now(), config});
  }

  /// Runs `task` at a time, or as soon as the VM runs again.
  void RunOn(Vm& vm, Millis at, std::function<void()> task) {
    m_queue.At(at, [this, &vm, task = std::move(task)]() mutable {
      if (vm.paused_until > m_queue.now()) {
        RunOn(vm, vm.paused_until, std::move(task));
      } else {
        task();
      }
    });
  }

  /// Gives the VM the configuration of some seconds ago.
  void ReadStale(Vm& vm) {
    RunOn(vm, m_queue.now(),
          [this, &vm] { Install(vm, LatestAt(m_queue.now() - Time(6000))); });
  }

  static void Install(Vm& vm, const ConfigPosition& config) {
    if (!IsEarlier(config, vm.proof.config())) {
      vm.proof.SetConfig(config);
    }
  }

  void CallStore(Vm& vm) {
    if (vm.paused_until > m_queue.now() || vm.call != 0) {
      return;
    }
    const Millis sent_at = m_queue.now();
    vm.proof.OnCallStarted(sent_at);
    const uint64_t call = ++m_last_call;
    vm.call = call;
    m_queue.At(sent_at + Time(400), [this, &vm, sent_at, call] {
      const ConfigPosition latest = m_changes.back().config;
      RunOn(vm, m_queue.now() + Time(1500), [this, &vm, sent_at, call, latest] {
        if (std::exchange(vm.call, vm.call == call ? 0 : vm.call) != call) {
          return;
        }
        if (IsEarlier(vm.proof.config(), latest)) {
          vm.proof.OnCallFailed(m_queue.now());
          Install(vm, latest);
        } else {
          vm.proof.OnCallSucceeded(latest.era, sent_at);
        }
      });
    });
  }

  void Ask(Vm& vm) {
    if (vm.paused_until > m_queue.now()) {
      return;
    }
    const size_t from = static_cast<size_t>(&vm - m_vms.data());
    const ProofRequest request{std::to_string(from),
                               vm.questions.Ask(m_queue.now()),
                               vm.proof.config().version};
    Deliver(m_random.NextBelow(kVms), EncodeProofRequest(request));
  }

  /// Delivers a message never, once or twice, each time after another delay.
  void Deliver(size_t to, const std::string& bytes) {
    m_messages.emplace_back(to, bytes);
    for (uint64_t copies = m_random.NextBelow(3); copies > 0; --copies) {
      Vm& vm = m_vms[to];
      RunOn(vm, m_queue.now() + Time(m_random.NextBelow(4) == 0 ? 4000 : 100),
            [this, &vm, bytes] { Receive(vm, bytes); });
    }
  }

  void Replay() {
    if (!m_messages.empty()) {
      const auto& [to, bytes] =
          m_messages[m_random.NextBelow(m_messages.size())];
      Vm& vm = m_vms[to];
      RunOn(vm, m_queue.now(),
            [this, &vm, bytes = bytes] { Receive(vm, bytes); });
    }
  }

  void Receive(Vm& vm, const std::string& bytes) {
    const Millis now = m_queue.now();
    if (const auto request = DecodeProofRequest(bytes); request.ok()) {
      Deliver(std::stoul(request->sender),
              EncodeProofResponse({"x", request->nonce, vm.proof.Tell(now)}));
      return;
    }
    const auto response = DecodeProofResponse(bytes);
    if (const auto asked_at = vm.questions.AskedAt(response->nonce)) {
      vm.proof.OnPeerProof(response->proof, *asked_at, now);
    }
  }

  void Check() {
    const Millis now = m_queue.now();
    for (const Vm& vm : m_vms) {
      const auto age = vm.proof.Age(now);
      if (!age) {
        continue;
      }
      ++m_proofs;
      RC_ASSERT(*age >= Millis(0));
      RC_ASSERT(!IsEarlier(vm.proof.config(), LatestAt(now - *age)));
    }
  }

  Random m_random;
  EventQueue m_queue;
  std::vector<Change> m_changes;
  std::vector<Vm> m_vms;
  std::vector<std::pair<size_t, std::string>> m_messages;
  uint64_t m_last_call = 0;
  size_t m_proofs = 0;
};

// A VM that claims to have had the latest configuration at a time must have had
// it, whatever happened to messages and processes: else a revoked key would be
// accepted after the bound.
RC_GTEST_PROP(ProofTruthProperty, NoProofAppearsYoungerThanItIs, ()) {
  TruthSimulation simulation(*rc::gen::arbitrary<uint64_t>());
  for (int i = 0; i < kSteps; ++i) {
    simulation.Step();
  }
  RC_CLASSIFY(simulation.proofs() > kSteps / 4, "many proofs");
}

}  // namespace
}  // namespace tanagervane
