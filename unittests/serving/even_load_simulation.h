// Discrete-event simulation of many VMs that choose among the same replicas.

#ifndef TANAGERVANE_UNITTESTS_SERVING_EVEN_LOAD_SIMULATION_H_
#define TANAGERVANE_UNITTESTS_SERVING_EVEN_LOAD_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "tanagervane/serving/latency_window.h"
#include "tanagervane/serving/replica_chooser.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// How the VMs of the simulation choose a replica.
enum class ChoiceRule {
  kRandom,             ///< Uniformly.
  kLowestEstimate,     ///< ReplicaChooser without ServingPolicy::even_load.
  kEvenLoad,           ///< ReplicaChooser with ServingPolicy::even_load.
  kCompleteKnowledge,  ///< The earliest end according to all queues.
};

struct EvenLoadScenario {
  size_t vms = 25;
  size_t data_centres = 3;
  size_t replicas = 3;
  uint32_t slots = 4;
  /// Demand as a fraction of what all replicas can run between pauses.
  double load = 0.8;
  Millis run_time{25};
  /// Run times of replicas relative to `run_time`, in turn.
  std::vector<double> slowness{0.8, 1.0, 1.4};
  /// A replica starts and continues no work for `pause` in every
  /// `pause_interval`; zero for no pauses.
  Millis pause{200};
  Millis pause_interval{4000};
  /// In one fifth of `slow_interval` the work on a replica takes twice as long,
  /// which it reports; zero for never.
  Millis slow_interval{0};
  Millis remote_delay{0.9};
  Millis duration{25'000};
  uint64_t seed = 11;
};

struct EvenLoadResult {
  /// Mean over time of the standard deviation of the requests per slot among
  /// replicas.
  double spread = 0;
  /// Mean over time of the fraction of slots that are idle while requests wait
  /// for a slot of another replica.
  double idle_while_queued = 0;
  Millis mean_latency;
  Millis p99_latency;
  double remote_fraction = 0;
};

class EvenLoadSimulation {
 public:
  EvenLoadSimulation(EvenLoadScenario scenario, ChoiceRule rule)
      : m_scenario(std::move(scenario)),
        m_rule(rule),
        m_random(m_scenario.seed) {
    AddReplicas();
    for (size_t i = 0; i < m_scenario.vms; ++i) {
      m_vms.push_back(MakeVm(i));
    }
  }

  EvenLoadResult Run() {
    ScheduleArrival();
    ScheduleSample();
    while (!m_events.empty() && m_now < m_scenario.duration) {
      const auto it = m_events.begin();
      m_now = Millis(it->first);
      const auto event = std::move(it->second);
      m_events.erase(it);
      event();
    }
    return Summarise();
  }

 private:
  /// Samples of the first seconds are not counted.
  static constexpr Millis kWarmUp{5000};
  static constexpr Millis kSampleInterval{7};
  static constexpr Millis kLocalDelay{0.1};
  static constexpr double kSlowWork = 2;
  /// Age of the oldest unanswered attempt, as a multiple of the median latency,
  /// at which the replica counts as overdue.
  static constexpr double kOverdueMedians = 2.5;

  struct Task {
    uint64_t id = 0;
    size_t vm = 0;
    Millis sent_at;
  };

  struct SimulatedReplica {
    double slowness = 1;
    std::string data_centre;
    Millis pause_offset;
    Millis slow_offset;
    size_t running = 0;
    size_t on_the_way = 0;
    std::deque<Task> waiting;
  };

  struct Vm {
    std::string data_centre;
    std::unique_ptr<ReplicaSet> replicas;
    std::unique_ptr<ReplicaChooser> chooser;
    LatencyWindow latency{Millis(30)};
    std::map<uint64_t, Millis> sent_at;
  };

  static std::string DataCentre(size_t i) { return fmt::format("dc{}", i); }

  void AddReplicas() {
    for (size_t i = 0; i < m_scenario.replicas; ++i) {
      SimulatedReplica& replica = m_replicas.emplace_back();
      replica.slowness = m_scenario.slowness[i % m_scenario.slowness.size()];
      replica.data_centre = DataCentre(i % m_scenario.data_centres);
      replica.pause_offset = m_scenario.pause_interval * m_random.NextDouble();
      replica.slow_offset =
          m_scenario.slow_interval *
          (static_cast<double>(i) / static_cast<double>(m_scenario.replicas));
      m_per_second += 1000 * m_scenario.slots /
                      (m_scenario.run_time * replica.slowness).count();
    }
    m_per_second *=
        m_scenario.load * (1 - m_scenario.pause / m_scenario.pause_interval);
  }

  Vm MakeVm(size_t index) {
    Vm vm;
    vm.data_centre = DataCentre(index % m_scenario.data_centres);
    vm.replicas = std::make_unique<ReplicaSet>(ReplicaSetHooks{
        .on_retired = [](ServingReplica&, std::string_view) {},
        .on_added = [](ServingReplica&) {},
        .on_rate_limit_changed = [](const ServingReplica&, std::string_view) {},
        .on_backoff = [](const ServingReplica&, Millis) {}});
    ServingPolicy policy;
    policy.even_load = m_rule == ChoiceRule::kEvenLoad;
    vm.chooser = std::make_unique<ReplicaChooser>(policy, vm.data_centre,
                                                  m_random.Next());
    vm.replicas->ApplyServices(
        std::vector<ServiceSpec>{{"s", "/healthz", 100'000}});
    vm.replicas->SetFleetSize(m_scenario.vms, {.ratio = 0.2, .slack = 50});
    for (size_t i = 0; i < m_replicas.size(); ++i) {
      ReplicaRegistration registration;
      registration.id = fmt::format("{}", i);
      registration.service = "s";
      registration.address = "127.0.0.1:1";
      registration.data_centre = m_replicas[i].data_centre;
      registration.slots = m_scenario.slots;
      vm.replicas->Apply(registration, Millis(0));
      Known(vm, i).idle_connections = 1;
    }
    return vm;
  }

  static ServingReplica& Known(Vm& vm, size_t replica) {
    return *vm.replicas->GetService("s").replicas[replica];
  }

  void Schedule(Millis when, std::function<void()> event) {
    m_events.emplace(when.count(), std::move(event));
  }

  void ScheduleArrival() {
    const Millis interval(-std::log(1 - m_random.NextDouble()) * 1000 /
                          m_per_second);
    Schedule(m_now + interval, [this] {
      OnRequest(m_random.NextBelow(m_vms.size()));
      ScheduleArrival();
    });
  }

  void ScheduleSample() {
    Schedule(m_now + kSampleInterval, [this] {
      if (m_now >= kWarmUp) {
        Sample();
      }
      ScheduleSample();
    });
  }

  Millis Delay(const Vm& vm, const SimulatedReplica& replica) const {
    return vm.data_centre == replica.data_centre ? kLocalDelay
                                                 : m_scenario.remote_delay;
  }

  bool IsSlow(const SimulatedReplica& replica) const {
    return m_scenario.slow_interval > Millis(0) &&
           std::fmod((m_now + replica.slow_offset).count(),
                     m_scenario.slow_interval.count()) <
               m_scenario.slow_interval.count() / 5;
  }

  /// The time at which work of the given duration that starts now ends.
  Millis EndOfWork(const SimulatedReplica& replica, Millis duration) const {
    if (m_scenario.pause <= Millis(0)) {
      return m_now + duration;
    }
    const double interval = m_scenario.pause_interval.count();
    double position =
        std::fmod((m_now + replica.pause_offset).count(), interval);
    Millis start = m_now;
    if (position < m_scenario.pause.count()) {
      start += m_scenario.pause - Millis(position);
      position = m_scenario.pause.count();
    }
    const bool interrupted = position + duration.count() > interval;
    return start + duration + (interrupted ? m_scenario.pause : Millis(0));
  }

  size_t Choose(Vm& vm) {
    if (m_rule == ChoiceRule::kRandom) {
      return m_random.NextBelow(m_replicas.size());
    }
    if (m_rule == ChoiceRule::kCompleteKnowledge) {
      return EarliestEnd();
    }
    MarkOverdue(vm);
    const AttemptProfile profile{.median_latency = vm.latency.median(),
                                 .objective = Millis(200)};
    const auto chosen =
        vm.chooser->Choose(vm.replicas->GetService("s"), profile, {}, m_now);
    return std::stoul(chosen->registration.id);
  }

  size_t EarliestEnd() const {
    const auto end = [this](const SimulatedReplica& replica) {
      const Millis run_time = m_scenario.run_time * replica.slowness *
                              (IsSlow(replica) ? kSlowWork : 1);
      const double ahead = static_cast<double>(
          replica.running + replica.waiting.size() + replica.on_the_way);
      const double queued = std::max(0.0, ahead + 1 - m_scenario.slots);
      return EndOfWork(replica, run_time * (1 + queued / m_scenario.slots));
    };
    const auto best = std::ranges::min_element(m_replicas, {}, end);
    return static_cast<size_t>(best - m_replicas.begin());
  }

  void MarkOverdue(Vm& vm) const {
    for (size_t i = 0; i < m_replicas.size(); ++i) {
      ServingReplica& replica = Known(vm, i);
      if (replica.attempts.empty()) {
        continue;
      }
      const Millis sent_at = vm.sent_at.at(replica.attempts.front());
      replica.overdue |=
          replica.last_answered_sent_at < sent_at &&
          m_now - sent_at > vm.latency.median() * kOverdueMedians;
    }
  }

  void OnRequest(size_t vm_index) {
    Vm& vm = m_vms[vm_index];
    const size_t chosen = Choose(vm);
    const Task task{++m_last_id, vm_index, m_now};
    Known(vm, chosen).attempts.push_back(task.id);
    vm.sent_at[task.id] = m_now;
    SimulatedReplica& replica = m_replicas[chosen];
    ++replica.on_the_way;
    if (m_now >= kWarmUp) {
      ++m_sent;
      m_sent_remote += vm.data_centre == replica.data_centre ? 0 : 1;
    }
    Schedule(m_now + Delay(vm, replica), [this, task, chosen] {
      SimulatedReplica& receiver = m_replicas[chosen];
      --receiver.on_the_way;
      receiver.waiting.push_back(task);
      StartNext(chosen);
    });
  }

  void StartNext(size_t index) {
    SimulatedReplica& replica = m_replicas[index];
    if (replica.running == m_scenario.slots || replica.waiting.empty()) {
      return;
    }
    const Task task = replica.waiting.front();
    replica.waiting.pop_front();
    ++replica.running;
    const Millis run_time = m_scenario.run_time * replica.slowness *
                            (IsSlow(replica) ? kSlowWork : 1) *
                            (0.5 + m_random.NextDouble());
    Schedule(EndOfWork(replica, run_time), [this, task, index] {
      --m_replicas[index].running;
      Answer(task, index);
      StartNext(index);
    });
  }

  void Answer(const Task& task, size_t index) {
    const SimulatedReplica& replica = m_replicas[index];
    LoadReport load{static_cast<uint32_t>(replica.running),
                    static_cast<uint32_t>(replica.waiting.size()),
                    m_scenario.slots};
    if (m_scenario.slow_interval > Millis(0)) {
      load.work_time_percent = IsSlow(replica) ? 100 * kSlowWork : 100;
    }
    Schedule(m_now + Delay(m_vms[task.vm], replica),
             [this, task, index, load] { OnAnswer(task, index, load); });
  }

  void OnAnswer(const Task& task, size_t index, const LoadReport& load) {
    Vm& vm = m_vms[task.vm];
    ServingReplica& replica = Known(vm, index);
    std::erase(replica.attempts, task.id);
    vm.sent_at.erase(task.id);
    replica.last_answered_sent_at =
        std::max(replica.last_answered_sent_at, task.sent_at);
    replica.overdue = false;
    ReplicaChooser::RecordLoad(replica, load, m_now);
    const Millis latency = m_now - task.sent_at;
    ReplicaChooser::RecordLatency(replica, latency, vm.latency.median(), m_now);
    vm.latency.Record(latency);
    if (task.sent_at >= kWarmUp) {
      m_latencies.push_back(latency.count());
    }
  }

  void Sample() {
    const double slots = m_scenario.slots;
    double sum = 0;
    double squares = 0;
    size_t waiting = 0;
    size_t idle = 0;
    for (const SimulatedReplica& replica : m_replicas) {
      const double load =
          static_cast<double>(replica.running + replica.waiting.size()) / slots;
      sum += load;
      squares += load * load;
      waiting += replica.waiting.size();
      idle += m_scenario.slots - replica.running;
    }
    const auto count = static_cast<double>(m_replicas.size());
    m_spread += std::sqrt(
        std::max(0.0, squares / count - (sum / count) * (sum / count)));
    m_idle += static_cast<double>(std::min(idle, waiting)) / (count * slots);
    ++m_samples;
  }

  EvenLoadResult Summarise() {
    std::ranges::sort(m_latencies);
    double sum = 0;
    for (const double latency : m_latencies) {
      sum += latency;
    }
    EvenLoadResult result;
    result.spread = m_spread / static_cast<double>(m_samples);
    result.idle_while_queued = m_idle / static_cast<double>(m_samples);
    result.mean_latency = Millis(sum / static_cast<double>(m_latencies.size()));
    result.p99_latency = Millis(m_latencies[m_latencies.size() * 99 / 100]);
    result.remote_fraction =
        static_cast<double>(m_sent_remote) / static_cast<double>(m_sent);
    return result;
  }

  EvenLoadScenario m_scenario;
  ChoiceRule m_rule;
  Millis m_now{0};
  Random m_random;
  double m_per_second = 0;
  std::multimap<double, std::function<void()>> m_events;
  std::vector<SimulatedReplica> m_replicas;
  std::vector<Vm> m_vms;
  uint64_t m_last_id = 0;
  std::vector<double> m_latencies;
  double m_spread = 0;
  double m_idle = 0;
  size_t m_samples = 0;
  size_t m_sent = 0;
  size_t m_sent_remote = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_UNITTESTS_SERVING_EVEN_LOAD_SIMULATION_H_
