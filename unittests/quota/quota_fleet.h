// A fleet of FleetQuota objects that exchange messages in simulated time.

#ifndef TANAGERVANE_UNITTESTS_QUOTA_QUOTA_FLEET_H_
#define TANAGERVANE_UNITTESTS_QUOTA_QUOTA_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tanagervane/quota/fleet_quota.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

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
    vm.running = true;
    vm.paused = false;
    vm.next_list = m_now;
    vm.inbox.clear();
    FleetQuotaHooks hooks;
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
    bool reads_list = true;
    int part = 0;
    Millis next_list;
    std::optional<Millis> config_at;
    std::vector<QuotaMessage> inbox;
    std::map<std::string, Millis> last_seen;
  };
  struct InFlight {
    size_t to = 0;
    QuotaMessage message;
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
      vm.quota->SetLive(LiveOthers(vm), false, m_now);
    }
    if (const auto next = vm.quota->NextTimer(); next && *next <= m_now) {
      vm.quota->OnTick(m_now);
    }
  }

  void ReadList(Vm& vm) {
    if (!vm.reads_list) {
      return;
    }
    std::vector<std::string> ids;
    for (const Vm& other : m_vms) {
      ids.push_back(other.id);
    }
    vm.quota->OnList(ids, m_now, m_now);
  }

  std::vector<std::string> LiveOthers(Vm& vm) {
    std::vector<std::string> live;
    for (const Vm& other : m_vms) {
      if (&other == &vm) {
        continue;
      }
      if (other.running && !other.paused && other.part == vm.part) {
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
  std::map<uint64_t, std::string> m_waiting;
  std::map<std::string, std::vector<Millis>> m_admitted;
  uint64_t m_last_request = 0;
  uint64_t m_refused = 0;
  uint64_t m_unavailable = 0;
  double m_return_odds = 0;
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
