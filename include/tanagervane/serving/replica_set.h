// Replicas of all services, with their load, latency and health state.

#ifndef TANAGERVANE_SERVING_REPLICA_SET_H_
#define TANAGERVANE_SERVING_REPLICA_SET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tanagervane/serving/config.h"
#include "tanagervane/serving/leaving_replicas.h"
#include "tanagervane/serving/request_limits.h"
#include "tanagervane/serving/retry_budget.h"
#include "tanagervane/serving/self_report.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Changes of replica registrations are gathered for this fraction of the drain
/// timeout and read with one call. This is safe because a leaving replica keeps
/// serving for the whole drain timeout.
inline constexpr double kBatchDelayFraction = 1.0 / 6;

/// A replica's registration in the platform's store.
struct ReplicaRegistration {
  std::string id;
  /// Unix time of the replica's start in milliseconds; distinguishes
  /// incarnations with the same id.
  int64_t started_at_ms = 0;
  std::string service;
  std::string address;  ///< "ip:port".
  std::string data_centre;
  /// Requests that the replica runs concurrently.
  uint32_t slots = 1;
  bool draining = false;
  /// How much longer the replica is slow because it warms up.
  Millis warm_up_left;

  bool operator==(const ReplicaRegistration&) const = default;
};

struct Service;

/// One incarnation of a replica.
struct ServingReplica {
  /// Id and start time; identifies the incarnation.
  std::string key;
  /// Hash of `key`.
  IncarnationHash incarnation = 0;
  ReplicaRegistration registration;
  Service* service = nullptr;
  /// The replica is draining, has stated that it leaves, or is removed. It
  /// receives no new requests.
  bool leaving = false;
  /// When the first VM of the fleet saw that the registration had vanished
  /// although the replica was not draining. The replica stays in use for a
  /// grace time, because the registration may come back.
  std::optional<Millis> lapsed_at;
  /// The latest state was read before the end of the grace time.
  bool lapse_verified = false;
  Millis warming_up_until;
  /// Never null.
  std::shared_ptr<RequestLimits> limits;

  /// Attempts in flight, in order of sending.
  std::vector<uint64_t> attempts;
  /// Open connections without an attempt.
  uint32_t idle_connections = 0;
  /// Before this time no new connection is opened, because the replica reset
  /// one. A replica at its connection limit resets new connections.
  Millis no_connect_until;

  /// Latency as a multiple of the route's median, and when it was updated.
  double slowness = 1;
  Millis slowness_updated_at;
  /// Fraction of recent attempts that failed, and when it was updated.
  double error_fraction = 0;
  Millis error_updated_at;
  std::optional<LoadReport> load;
  Millis load_reported_at;
  /// The load in `load` less this VM's attempts in flight at that time.
  double other_load = 0;
  /// Moving averages of `other_load` and of all requests on the replica.
  double usual_other_load = 0;
  double usual_load = 0;
  /// Moving average, with the weights of `slowness`, of the reported work time
  /// as a multiple of the usual one: the part of `slowness` that a later report
  /// replaces.
  double slowness_work_time = 1;

  /// The latest send time among answered attempts, and the time of the latest
  /// answer; -1 before the first answer.
  Millis last_answered_sent_at{-1};
  Millis last_answer_at{-1};
  /// Send time of the first attempt after the latest answer.
  std::optional<Millis> unanswered_since;
  /// Time without an answer after which the replica counts as unresponsive.
  Millis unresponsive_timeout;
  /// No attempt sent at or after the oldest one in flight has been answered,
  /// and one in flight has reached its hedge delay. The attempts in flight are
  /// then hedged early.
  bool overdue = false;
  /// Connections to the replica fail or bring no answer. It receives only
  /// health probes.
  bool unresponsive = false;
  /// Its data centre is evacuated: it receives no requests, only health probes.
  bool evacuated = false;
  Millis next_probe_at;
  bool probe_in_flight = false;
  Millis probe_sent_at;
  /// How long the next probe may take, if probes have gone unanswered.
  std::optional<Millis> probe_timeout;
  /// A connection was lost with an attempt in flight, and the replica has not
  /// answered since.
  bool connection_lost = false;
};

/// A group of interchangeable replicas and the limits that apply to them.
struct Service {
  std::string name;
  std::string health_path;
  /// Connections that this VM may open to one replica. Each attempt in flight
  /// uses one.
  size_t max_own_connections = 1;
  uint32_t max_connections = 1;
  std::vector<std::shared_ptr<ServingReplica>> replicas;
  RetryBudget retry_budget;
  /// The shortest latency objective among the routes that use the service;
  /// nullopt when no route does.
  std::optional<Millis> tightest_objective;
};

struct ReplicaSetHooks {
  /// Called when a replica stops receiving new requests.
  std::function<void(ServingReplica&, std::string_view reason)> on_retired;
  /// Called when a replica was added.
  std::function<void(ServingReplica&)> on_added;
  /// Called when a replica's rate limit begins, changes or ends. `source` is
  /// "response" if the replica told this VM and "peer" if another VM did.
  std::function<void(const ServingReplica&, std::string_view source)>
      on_rate_limit_changed;
  /// Called when a replica takes no requests for some time.
  std::function<void(const ServingReplica&, Millis duration)> on_backoff;
};

/// Keeps the replicas of all services in step with their registrations.
class ReplicaSet {
 public:
  /// `seed` must differ between VMs; see RequestLimitTable.
  explicit ReplicaSet(ReplicaSetHooks hooks, uint64_t seed = 1)
      : m_hooks(std::move(hooks)), m_limits(seed) {}

  /// Returns the service of this name and creates it if needed. The reference
  /// stays valid for the lifetime of this object.
  Service& GetService(std::string_view name);

  /// Applies the services of a configuration.
  void ApplyServices(std::span<const ServiceSpec> services);

  /// Sets the number of VMs that share connection limits, rate limits and retry
  /// budgets, and the limits of the budgets.
  void SetFleetSize(size_t vm_count, const RetryLimits& limits);

  /// Sets the number of VMs of the fleet that come before this one in the order
  /// of their ids.
  void SetRank(size_t rank) { m_limits.SetRank(rank); }

  /// Applies one registration: a new replica, a new incarnation or a change.
  void Apply(const ReplicaRegistration& registration, Millis now);

  /// Sets how long a replica keeps serving after its registration was removed.
  void SetDrainTimeout(Millis timeout) { m_drain_timeout = timeout; }

  /// Called when a registration was removed from the store; `seen_at` is the
  /// earliest time at which a VM is known to have seen the removal. A draining
  /// replica is retired. Any other registration may have lapsed during an
  /// outage of the store that this VM did not notice, so its replica stays in
  /// use for a grace time, which begins at `seen_at`.
  void Remove(std::string_view id, Millis seen_at, Millis now);

  /// Sets the data centres whose replicas get no requests. Replicas whose data
  /// centre is no longer one of them warm up.
  void SetEvacuated(const std::set<std::string, std::less<>>& data_centres,
                    Millis now);
  size_t CountEvacuated() const;

  /// Ends the use of this incarnation of a replica, which is about to end.
  void MarkLeaving(ServingReplica& replica,
                   std::string_view reason,
                   Millis now);

  /// Ends the use of incarnations of which another VM knows that they leave.
  void MarkLeaving(std::span<const IncarnationHash> incarnations, Millis now);

  /// Returns incarnations of which other VMs may not know yet that they leave,
  /// at most `max_count`; see LeavingReplicas.
  std::vector<IncarnationHash> RecentlyLeaving(Millis now, size_t max_count) {
    return m_leaving.Recent(now, max_count);
  }

  /// Records the rate limit that the replica stated at this time; nullopt when
  /// it stated none.
  void RecordRateLimit(const ServingReplica& replica,
                       std::optional<double> per_second,
                       Millis now);

  /// Sends the replica nothing for some time, as it has stated to this VM.
  void RecordBackoff(const ServingReplica& replica,
                     Millis duration,
                     Millis now);

  /// Records what replicas stated to another VM about their rate limits.
  void RecordRateLimits(std::span<const RateLimitReport> reports, Millis now);

  /// Returns statements about rate limits that other VMs may not know, at most
  /// `max_count`; see RequestLimitTable.
  std::vector<RateLimitReport> RecentRateLimits(Millis now, size_t max_count) {
    return m_limits.RecentRateLimits(now, max_count);
  }

  /// Applies a complete list; replicas that are not listed count as removed,
  /// see Remove().
  void ApplyList(std::span<const ReplicaRegistration> registrations,
                 Millis seen_at,
                 Millis now);

  /// Returns whether the latest registrations should be read now: the grace
  /// time of most replicas of a service is about to end. A service rarely
  /// leaves as a whole, so their registrations probably lapsed during an outage
  /// and may be back already. Returns true once for each lapse.
  bool ShouldVerifyLapse(Millis now);

  /// Sets whether the store is reachable. While it is not, no lapsed replica is
  /// retired, nor for some time after its return.
  void SetStoreReachable(bool reachable, Millis now);

  /// Called when the store was restored from an earlier copy: registrations
  /// that it lost are written again, as after an outage.
  void OnStoreRestored(Millis now) { m_store_reachable_since = now; }

  /// Retires replicas whose registration lapsed and did not come back within
  /// the grace time, and forgets what replicas that were removed long ago have
  /// stated. Call it a few times a second.
  void RetireLapsed(Millis now);

  const ServingReplica* Find(std::string_view id) const;
  size_t size() const { return m_replicas.size(); }
  void ForEachService(const std::function<void(Service&)>& visit);

 private:
  using Replicas =
      std::map<std::string, std::shared_ptr<ServingReplica>, std::less<>>;

  void Add(const ReplicaRegistration& registration, Millis now);
  void Retire(Replicas::iterator it, std::string_view reason);
  /// Until when a replica stays in use after its registration lapsed: for a
  /// grace time that is shorter than the drain timeout, and until registrations
  /// that lapsed during an outage of the store must be back.
  Millis LapseEnd(const ServingReplica& replica) const;
  /// Sets this VM's share of the service's connections and retry budget.
  void ApportionLimits(Service& service) const;

  ReplicaSetHooks m_hooks;
  std::map<std::string, std::unique_ptr<Service>, std::less<>> m_services;
  Replicas m_replicas;
  std::unordered_map<IncarnationHash, std::shared_ptr<ServingReplica>>
      m_by_incarnation;
  std::set<std::string, std::less<>> m_evacuated;
  LeavingReplicas m_leaving;
  RequestLimitTable m_limits;
  size_t m_vm_count = 1;
  RetryLimits m_retry_limits;
  Millis m_drain_timeout{3000};
  bool m_store_reachable = true;
  std::optional<Millis> m_store_reachable_since;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_REPLICA_SET_H_
