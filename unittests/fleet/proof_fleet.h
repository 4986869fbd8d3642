// Simulated VMs that prove their configuration, without a network.

#ifndef TANAGERVANE_UNITTESTS_FLEET_PROOF_FLEET_H_
#define TANAGERVANE_UNITTESTS_FLEET_PROOF_FLEET_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "tanagervane/fleet/proof_exchange.h"
#include "tanagervane/identity/config_proof.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// Events in order of time.
class EventQueue {
 public:
  void At(Millis time, std::function<void()> run) {
    m_events.emplace(time.count(), std::move(run));
  }
  Millis now() const { return m_now; }
  void RunUntil(Millis end) {
    while (!m_events.empty() && m_events.begin()->first <= end.count()) {
      m_now = Millis(m_events.begin()->first);
      const auto run = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      run();
    }
    m_now = end;
  }

 private:
  std::multimap<double, std::function<void()>> m_events;
  Millis m_now{100'000};
};

/// VMs of one data centre that all reach the store, apart from those that are
/// killed or cut off. Proofs are exchanged as by tanagervane-node.
class ProofFleet {
 public:
  static constexpr Millis kLatency{1.4};
  static constexpr Millis kStoreLatency{12};
  static constexpr double kLossFraction = 0.02;

  struct Vm {
    Vm(PeerRecord record, size_t number)
        : self(std::move(record)), questions(number), random(number + 1) {}

    PeerRecord self;
    ConfigProof proof{MakeProofOptions(Millis(5000), Millis(5000))};
    ProofQuestions questions;
    Random random;
    bool alive = true;
    size_t sent_bytes = 0;
    size_t calls = 0;
    Millis max_age;
    size_t unproved_rounds = 0;
  };

  explicit ProofFleet(size_t size) : m_random(7) {
    for (size_t i = 0; i < size; ++i) {
      PeerRecord self;
      self.id = fmt::format("front-{:04}", i);
      self.state = PeerState::kServing;
      self.peer_address = self.id;
      m_vms.emplace_back(self, i + 1);
      m_vms.back().proof.SetConfig({.era = 0, .revision = 900, .version = 7});
      m_numbers[self.peer_address] = i;
      const Millis phase = kGossipInterval * m_random.NextDouble();
      m_queue.At(m_queue.now() + phase, [this, i] { RunRound(i); });
    }
  }

  std::vector<Vm>& vms() { return m_vms; }
  void SetStoreReachable(bool reachable) { m_store_reachable = reachable; }
  Millis now() const { return m_queue.now(); }
  void RunFor(Millis time) { m_queue.RunUntil(m_queue.now() + time); }

  void ResetMeasurements() {
    for (Vm& vm : m_vms) {
      vm.sent_bytes = 0;
      vm.calls = 0;
      vm.max_age = Millis(0);
      vm.unproved_rounds = 0;
    }
  }

  template <typename Value>
  Value MaxOf(Value Vm::*member) const {
    Value result{};
    for (const Vm& vm : m_vms) {
      result = vm.alive ? std::max(result, vm.*member) : result;
    }
    return result;
  }

  size_t TotalCalls() const {
    size_t calls = 0;
    for (const Vm& vm : m_vms) {
      calls += vm.calls;
    }
    return calls;
  }

 private:
  void RunRound(size_t number) {
    Vm& vm = m_vms[number];
    if (!vm.alive) {
      return;
    }
    const Millis now = m_queue.now();
    if (const auto age = vm.proof.Age(now); age && vm.proof.IsValid(now)) {
      vm.max_age = std::max(vm.max_age, *age);
    } else {
      ++vm.unproved_rounds;
    }
    const ProofRank place =
        ChooseProofTargets(vm.self, PeersOf(number), vm.random);
    if (vm.proof.ShouldCallStore(place.rank, now)) {
      CallStore(vm);
    }
    const ProofRequest request{vm.self.id, vm.questions.Ask(now), 7};
    for (const std::string& target : place.targets) {
      Send(vm, EncodeProofRequest(request), target);
    }
    m_queue.At(now + kGossipInterval, [this, number] { RunRound(number); });
  }

  std::vector<PeerTable::Peer> PeersOf(size_t number) const {
    std::vector<PeerTable::Peer> peers;
    for (size_t i = 0; i < m_vms.size(); ++i) {
      if (i != number) {
        peers.push_back({m_vms[i].self,
                         m_vms[i].alive ? Liveness::kAlive : Liveness::kDead,
                         Millis(0)});
      }
    }
    return peers;
  }

  void CallStore(Vm& vm) {
    ++vm.calls;
    const Millis sent_at = m_queue.now();
    vm.proof.OnCallStarted(sent_at);
    m_queue.At(sent_at + kStoreLatency, [this, &vm, sent_at] {
      if (m_store_reachable) {
        vm.proof.OnCallSucceeded(0, sent_at);
      } else {
        vm.proof.OnCallFailed(m_queue.now());
      }
    });
  }

  void Send(Vm& sender, const std::string& bytes, const std::string& target) {
    sender.sent_bytes += bytes.size();
    if (m_random.NextDouble() < kLossFraction) {
      return;
    }
    m_queue.At(m_queue.now() + kLatency, [this, bytes, target] {
      Receive(m_vms[m_numbers.at(target)], bytes);
    });
  }

  void Receive(Vm& vm, const std::string& bytes) {
    if (!vm.alive) {
      return;
    }
    const Millis now = m_queue.now();
    if (const auto request = DecodeProofRequest(bytes); request.ok()) {
      Send(
          vm,
          EncodeProofResponse({vm.self.id, request->nonce, vm.proof.Tell(now)}),
          request->sender);
      return;
    }
    const auto response = DecodeProofResponse(bytes);
    vm.proof.OnPeerProof(response->proof,
                         *vm.questions.AskedAt(response->nonce), now);
  }

  Random m_random;
  EventQueue m_queue;
  std::vector<Vm> m_vms;
  std::map<std::string, size_t> m_numbers;
  bool m_store_reachable = true;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_UNITTESTS_FLEET_PROOF_FLEET_H_
