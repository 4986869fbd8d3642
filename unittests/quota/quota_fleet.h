// A fleet of FleetQuota objects that exchange messages in simulated time.

#ifndef TANAGERVANE_UNITTESTS_QUOTA_QUOTA_FLEET_H_
#define TANAGERVANE_UNITTESTS_QUOTA_QUOTA_FLEET_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tanagervane/quota/fleet_quota.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

inline TenantSpec MakeTenant(const std::string& name,
                             double rate,
                             double burst) {
  TenantSpec tenant;
  tenant.name = name;
  tenant.rate = rate;
  tenant.burst = burst;
  return tenant;
}

struct QuotaNetwork {
  double loss = 0;
  Millis min_delay{0.2};
  Millis max_delay{1.5};
};

class QuotaFleet {
 public:
  QuotaFleet(std::vector<TenantSpec> tenants,
             uint64_t seed,
             const QuotaBounds& bounds = {})
      : m_tenants(std::move(tenants)), m_random(seed), m_bounds(bounds) {}

  Millis now() const { return m_now; }
  size_t size() const { return m_vms.size(); }
  QuotaNetwork& network() { return m_network; }
  /// Times of admission by tenant.
  const std::vector<Millis>& admitted(const std::string& tenant) {
    return m_admitted[tenant];
  }
  uint64_t refused() const { return m_refused; }
  uint64_t unavailable() const { return m_unavailable; }
  const FleetQuota& quota(size_t vm) const { return *m_vms[vm].quota; }

  /// Adds a VM that is registered in the store at once.
  void Join() {
    m_vms.emplace_back();
    m_vms.back().id = "vm-" + std::to_string(m_vms.size());
    Start(m_vms.size() - 1);
  }

  /// Starts the process of a VM anew.
  void Start(size_t index) {
    Vm& vm = m_vms[index];
    ++vm.process;
    if (std::exchange(vm.leaving, false)) {
      vm.claim = 0;
      ++vm.revision;
    }
    vm.running = true;
    vm.paused = false;
    vm.next_list = m_now;
    vm.inbox.clear();
    vm.known_revision = 0;
    vm.has_written = false;
    FleetQuotaHooks hooks;
    hooks.write_claim = [this, index, process = vm.process](uint64_t claim) {
      WriteClaim(index, process, claim);
    };
    hooks.read_latest_list = [this, index, process = vm.process] {
      ReadLatestList(index, process);
    };
    hooks.send = [this, index](std::string_view to,
                               const QuotaMessage& message) {
      Deliver(index, std::string(to), message);
    };
    hooks.on_permit = [this](uint64_t request, const PermitDecision& decision) {
      OnDecision(request, decision);
    };
    vm.quota = std::make_unique<FleetQuota>(vm.id, m_random.Next(), m_bounds,
                                            hooks, m_now);
    vm.quota->SetTenants(m_tenants, m_now);
  }

  /// Adds a registration whose VM never runs.
  void Register(std::optional<uint64_t> claim) {
    m_vms.emplace_back();
    m_vms.back().id = "vm-" + std::to_string(m_vms.size());
    m_vms.back().claim = claim;
  }

  /// Stops a VM gracefully: it removes its registration and runs on until it is
  /// killed or started again.
  void Leave(size_t index) {
    Vm& vm = m_vms[index];
    vm.leaving = true;
    vm.quota->SetLive(LiveOthers(vm), true, m_now);
  }

  void Kill(size_t index) { m_vms[index].running = false; }
  void Pause(size_t index) { m_vms[index].paused = true; }
  /// Messages that arrived in the pause are handled now.
  void Resume(size_t index) {
    Vm& vm = m_vms[index];
    vm.paused = false;
    if (vm.running) {
      for (const QuotaMessage& message : std::exchange(vm.inbox, {})) {
        vm.quota->OnMessage(message, m_now);
      }
    }
  }

  /// VMs of different parts exchange nothing.
  void SetPart(size_t index, int part) { m_vms[index].part = part; }

  /// Whether the VM reads the list of VMs.
  void SetReadsList(size_t index, bool reads) {
    m_vms[index].reads_list = reads;
  }

  /// Each running VM learns the tenants within `max_delay`.
  void SetTenants(std::vector<TenantSpec> tenants, Millis max_delay) {
    m_tenants = std::move(tenants);
    for (Vm& vm : m_vms) {
      vm.config_at = m_now + max_delay * m_random.NextDouble();
    }
  }

  /// A caller sends one request of the tenant to a VM.
  void Send(size_t index, const std::string& tenant) {
    Vm& vm = m_vms[index];
    if (!vm.running || vm.paused) {
      return;
    }
    const uint64_t request = ++m_last_request;
    m_waiting[request] = tenant;
    const PermitDecision decision = vm.quota->Ask(request, tenant, m_now);
    if (decision.state != PermitState::kPending) {
      OnDecision(request, decision);
    }
    if (decision.state == PermitState::kGranted && m_return_odds > 0 &&
        m_random.NextDouble() < m_return_odds) {
      m_admitted[tenant].pop_back();
      vm.quota->Return(request, m_now);
    }
  }

  /// Some permits that were granted at once are returned.
  void SetReturnOdds(double odds) { m_return_odds = odds; }

  /// Advances the time in steps of a millisecond and calls `step` after each.
  void Run(
      Millis duration,
      const std::function<void()>& step = [] {}) {
    const Millis end = m_now + duration;
    while (m_now < end) {
      m_now += Millis(1);
      DeliverDue();
      RunStore();
      for (Vm& vm : m_vms) {
        Tick(vm);
      }
      step();
    }
  }

  /// The greatest number of admissions in a window of the default bounds.
  size_t MaxInWindow(const std::string& tenant, Millis from = Millis(0)) {
    const std::vector<Millis>& times = m_admitted[tenant];
    size_t max = 0;
    size_t first = 0;
    for (size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] > m_bounds.window) {
        ++first;
      }
      if (times[first] >= from) {
        max = std::max(max, last - first + 1);
      }
    }
    return max;
  }

 private:
  struct Vm {
    std::string id;
    std::unique_ptr<FleetQuota> quota;
    uint64_t process = 0;
    bool running = false;
    bool paused = false;
    bool leaving = false;
    bool reads_list = true;
    int part = 0;
    Millis next_list;
    std::optional<Millis> config_at;
    /// The claim in the registration; nullopt for one of an earlier release.
    std::optional<uint64_t> claim = 0;
    uint64_t revision = 1;
    /// The revision that the process knows; 0 if none.
    uint64_t known_revision = 0;
    bool has_written = false;
    std::vector<QuotaMessage> inbox;
    std::map<std::string, Millis> last_seen;
  };
  struct InFlight {
    size_t to = 0;
    QuotaMessage message;
  };
  struct StoreCall {
    size_t vm = 0;
    uint64_t process = 0;
    std::function<void()> run;
  };

  /// As the intervals of gossip and of reads of the list.
  static constexpr Millis kListInterval{15'000};
  static constexpr Millis kSuspectAfter{1500};

  void Deliver(size_t from,
               const std::string& to,
               const QuotaMessage& message) {
    const size_t target = std::stoul(to.substr(3)) - 1;
    if (m_vms[from].part != m_vms[target].part ||
        m_random.NextDouble() < m_network.loss) {
      return;
    }
    const Millis span = m_network.max_delay - m_network.min_delay;
    const Millis at =
        m_now + m_network.min_delay + span * m_random.NextDouble();
    m_in_flight.emplace(at.count(), InFlight{target, message});
    if (m_random.NextDouble() < m_network.loss) {
      // Networks also duplicate.
      m_in_flight.emplace(at.count() + 300 * m_random.NextDouble(),
                          InFlight{target, message});
    }
  }

  void DeliverDue() {
    while (!m_in_flight.empty() &&
           m_in_flight.begin()->first <= m_now.count()) {
      const InFlight item =
          std::move(m_in_flight.extract(m_in_flight.begin()).mapped());
      Vm& vm = m_vms[item.to];
      if (vm.running && vm.paused) {
        vm.inbox.push_back(item.message);
      } else if (vm.running) {
        vm.quota->OnMessage(item.message, m_now);
      }
    }
  }

  Millis StoreDelay() { return Millis(1 + 20 * m_random.NextDouble()); }

  /// Runs `task` later unless the process has ended; at once after a pause.
  void RunLater(size_t index, uint64_t process, std::function<void()> task) {
    m_store_calls.emplace((m_now + StoreDelay()).count(),
                          StoreCall{index, process, std::move(task)});
  }

  /// The write takes effect even if the process ends meanwhile, but only on the
  /// revision that the process knew. Some writes are late and unanswered.
  void WriteClaim(size_t index, uint64_t process, uint64_t claim) {
    Vm& vm = m_vms[index];
    const uint64_t expected = std::exchange(vm.known_revision, 0);
    vm.has_written = true;
    const auto answer = [this, index, process, claim](bool is_written) {
      RunLater(index, process, [this, index, claim, is_written] {
        m_vms[index].quota->OnClaimWritten(claim, is_written, m_now);
      });
    };
    if (!vm.reads_list || expected == 0) {
      answer(false);
      return;
    }
    const bool is_late = m_random.NextBelow(10) == 0;
    if (is_late) {
      answer(false);
    }
    const Millis delay = is_late ? StoreDelay() * 100 : StoreDelay();
    m_store_writes.emplace((m_now + delay).count(), [=, this] {
      Vm& target = m_vms[index];
      const bool is_written = target.revision == expected && !target.leaving;
      if (is_written) {
        target.claim = claim;
        ++target.revision;
      }
      if (!is_late) {
        answer(is_written);
      }
    });
  }

  void ReadLatestList(size_t index, uint64_t process) {
    if (!m_vms[index].reads_list) {
      return;
    }
    const CensusList list = MakeList(true);
    RunLater(index, process,
             [this, index, list, revision = m_vms[index].revision] {
               m_vms[index].known_revision = revision;
               m_vms[index].quota->OnList(list, m_now);
             });
  }

  CensusList MakeList(bool is_latest) const {
    CensusList list;
    for (const Vm& vm : m_vms) {
      if (!vm.leaving) {
        list.entries.push_back({vm.id, vm.claim});
      }
    }
    list.is_latest = is_latest;
    list.requested_at = m_now;
    return list;
  }

  void RunStore() {
    while (!m_store_writes.empty() &&
           m_store_writes.begin()->first <= m_now.count()) {
      m_store_writes.extract(m_store_writes.begin()).mapped()();
    }
    for (auto it = m_store_calls.begin();
         it != m_store_calls.end() && it->first <= m_now.count();) {
      Vm& vm = m_vms[it->second.vm];
      if (!vm.running || vm.process != it->second.process) {
        it = m_store_calls.erase(it);
      } else if (vm.paused) {
        ++it;
      } else {
        const auto run = std::move(it->second.run);
        m_store_calls.erase(it);
        run();
        it = m_store_calls.begin();
      }
    }
  }

  void Tick(Vm& vm) {
    if (!vm.running || vm.paused) {
      return;
    }
    if (vm.config_at && *vm.config_at <= m_now) {
      vm.config_at.reset();
      vm.quota->SetTenants(m_tenants, m_now);
    }
    if (vm.next_list <= m_now) {
      vm.next_list = m_now + kListInterval * (0.5 + m_random.NextDouble() / 2);
      ReadList(vm);
    }
    if (static_cast<int64_t>(m_now.count()) % 50 == 0) {
      vm.quota->SetLive(LiveOthers(vm), vm.leaving, m_now);
    }
    if (const auto next = vm.quota->NextTimer(); next && *next <= m_now) {
      vm.quota->OnTick(m_now);
    }
  }

  void ReadList(Vm& vm) {
    if (!vm.reads_list) {
      return;
    }
    if (vm.known_revision == 0 && !vm.has_written) {
      vm.known_revision = vm.revision;
    }
    vm.quota->OnList(MakeList(false), m_now);
  }

  std::vector<std::string> LiveOthers(Vm& vm) {
    std::vector<std::string> live;
    for (const Vm& other : m_vms) {
      if (&other == &vm) {
        continue;
      }
      if (other.running && !other.paused && !other.leaving &&
          other.part == vm.part) {
        vm.last_seen[other.id] = m_now;
      }
      const auto seen = vm.last_seen.find(other.id);
      if (seen != vm.last_seen.end() && m_now - seen->second < kSuspectAfter) {
        live.push_back(other.id);
      }
    }
    return live;
  }

  void OnDecision(uint64_t request, const PermitDecision& decision) {
    const std::string tenant = m_waiting.extract(request).mapped();
    if (decision.state == PermitState::kGranted) {
      m_admitted[tenant].push_back(m_now);
    } else if (decision.state == PermitState::kRefused) {
      ++m_refused;
    } else {
      ++m_unavailable;
    }
  }

  std::vector<TenantSpec> m_tenants;
  Random m_random;
  QuotaBounds m_bounds;
  QuotaNetwork m_network;
  Millis m_now{0};
  std::vector<Vm> m_vms;
  std::multimap<double, InFlight> m_in_flight;
  std::multimap<double, std::function<void()>> m_store_writes;
  std::multimap<double, StoreCall> m_store_calls;
  std::map<uint64_t, std::string> m_waiting;
  std::map<std::string, std::vector<Millis>> m_admitted;
  uint64_t m_last_request = 0;
  uint64_t m_refused = 0;
  uint64_t m_unavailable = 0;
  double m_return_odds = 0;
};

/// Sends requests of a tenant as a Poisson process.
class Demand {
 public:
  Demand(QuotaFleet& fleet,
         std::string tenant,
         double per_second,
         Random& random)
      : m_fleet(fleet),
        m_tenant(std::move(tenant)),
        m_per_ms(per_second / 1000),
        m_random(random) {}

  /// Sends the requests of one millisecond to VMs in [first, first + count).
  /// Returns their number.
  int Step(size_t first, size_t count) {
    int sent = 0;
    for (m_due += m_per_ms * -std::log(1 - m_random.NextDouble()); m_due >= 1;
         m_due -= 1) {
      m_fleet.Send(first + m_random.NextBelow(count), m_tenant);
      ++sent;
    }
    return sent;
  }

 private:
  QuotaFleet& m_fleet;
  std::string m_tenant;
  double m_per_ms;
  Random& m_random;
  double m_due = 0;
};

/// The bound on the admissions of a tenant in a window.
inline double WindowBound(const TenantSpec& tenant, const QuotaBounds& bounds) {
  const double window_s = bounds.window / Millis(1000);
  return (tenant.rate * window_s + tenant.burst) * (1 + bounds.overshoot) +
         bounds.slack;
}

/// One counter for the whole fleet without any delay.
class IdealCounter {
 public:
  explicit IdealCounter(const TenantSpec& tenant)
      : m_tenant(tenant), m_tokens(tenant.burst) {}

  bool Admit(Millis now) {
    const double seconds = (now - m_updated_at) / Millis(1000);
    m_tokens = std::min(m_tokens + seconds * m_tenant.rate,
                        std::max(m_tenant.burst, 1.0));
    m_updated_at = now;
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

 private:
  TenantSpec m_tenant;
  double m_tokens;
  Millis m_updated_at;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_UNITTESTS_QUOTA_QUOTA_FLEET_H_
