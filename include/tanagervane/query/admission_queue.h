#ifndef TANAGERVANE_QUERY_ADMISSION_QUEUE_H_
#define TANAGERVANE_QUERY_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "tanagervane/document/document.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Admits fan-outs to one index. Limits the number of running fan-outs and
/// queues the others: urgent classes are served first, and tenants of the same
/// urgency by deficit round robin, weighted by their shares. Each admitted
/// fan-out holds one permit until Release().
class AdmissionQueue {
 public:
  /// Identifies a queued fan-out. The caller chooses the value.
  using Ticket = uint64_t;

  /// Limit on the queued fan-outs of one class and tenant. At 1,000 fan-outs/s
  /// they take a quarter of a second, longer than any class can wait.
  static constexpr size_t kMaxQueuedPerFlow = 256;

  /// Fraction of the concurrency limit that patient classes may use.
  static constexpr double kPatientFraction = 0.7;

  /// Replaces the shares of all tenants. A tenant that is not listed gets the
  /// smallest listed share.
  void SetShares(std::span<const TenantShare> tenants);

  /// Sets how many fan-outs may run at the same time. Values below 1 count as
  /// 1.
  void SetConcurrencyLimit(uint32_t limit);

  /// Takes a permit if one is free and no fan-out of the same urgency is
  /// queued.
  bool TryAdmit(Urgency urgency);

  /// Queues a fan-out. Returns false when its class and tenant already have
  /// kMaxQueuedPerFlow queued fan-outs.
  bool Enqueue(Ticket ticket,
               Urgency urgency,
               std::string_view tenant,
               std::string_view class_name);

  /// Estimates how long a fan-out that is queued now waits for a permit, if
  /// each fan-out holds its permit for `holding_time`.
  Millis EstimatedWait(Urgency urgency,
                       std::string_view tenant,
                       Millis holding_time) const;

  /// Dequeues the next fan-out and takes a permit for it. Returns nothing when
  /// no queued fan-out may run.
  std::optional<Ticket> AdmitNext();

  /// Removes a fan-out from the queue. Returns false when it is not queued.
  bool Remove(Ticket ticket);

  /// Returns the permit of a fan-out of this urgency.
  void Release(Urgency urgency);

  uint32_t queued() const { return static_cast<uint32_t>(m_waiting.size()); }
  uint32_t running() const { return m_running[0] + m_running[1]; }
  uint32_t concurrency_limit() const { return m_concurrency_limit; }

 private:
  /// The queued fan-outs of one class and tenant.
  using Flow = std::list<Ticket>;

  struct TenantQueue {
    /// By class name.
    std::map<std::string, Flow, std::less<>> flows;
    /// The next class in the order of names is served next.
    std::string last_served_class;
    size_t queued = 0;
    /// Fan-outs that the tenant may still start in the current turn.
    double deficit = 0;
    /// True once the quantum of the current turn was added to `deficit`.
    bool quantum_granted = false;
  };

  struct UrgencyQueue {
    std::map<std::string, TenantQueue, std::less<>> tenants;
    /// Tenants with queued fan-outs, in the order in which they are served.
    std::list<std::string> active_tenants;
    size_t queued = 0;
  };

  /// Where a ticket is queued.
  struct WaitingFanout {
    Urgency urgency = Urgency::kUrgent;
    std::string tenant;
    std::string class_name;
    Flow::iterator position;
  };

  static size_t UrgencyIndex(Urgency urgency) {
    return urgency == Urgency::kUrgent ? 0 : 1;
  }
  /// How many fan-outs of this urgency may run at the same time.
  uint32_t MaxRunning(Urgency urgency) const;
  bool HasFreePermit(Urgency urgency) const;
  /// What one turn adds to the tenant's deficit, at least 1.
  double Quantum(std::string_view tenant) const;
  Ticket Dequeue(UrgencyQueue& queue);
  static Ticket DequeueFromTenant(TenantQueue& tenant);

  std::map<std::string, uint32_t, std::less<>> m_shares;
  uint32_t m_min_share = 1;
  uint32_t m_concurrency_limit = std::numeric_limits<uint32_t>::max();
  /// By UrgencyIndex().
  std::array<uint32_t, 2> m_running{};
  /// By UrgencyIndex().
  std::array<UrgencyQueue, 2> m_queues;
  std::unordered_map<Ticket, WaitingFanout> m_waiting;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUERY_ADMISSION_QUEUE_H_
