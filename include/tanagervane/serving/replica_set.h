// What this VM knows of the replicas of all services.

#ifndef TANAGERVANE_SERVING_REPLICA_SET_H_
#define TANAGERVANE_SERVING_REPLICA_SET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/serving/config.h"
#include "tanagervane/serving/retry_allowance.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Changes of replicas that come together are gathered for this part of the
/// drain bound, and read with one call: a replica that leaves serves on for
/// that bound.
inline constexpr double kBatchingPartOfDrain = 1.0 / 6;

/// What a replica says of itself in the platform's store.
struct ReplicaEntry {
  std::string id;
  /// Unix time of its start in milliseconds; tells incarnations with the same
  /// id apart.
  int64_t started_at_ms = 0;
  std::string service;
  std::string address;  ///< "ip:port".
  std::string data_centre;
  /// Requests that it runs at the same time.
  uint32_t slots = 1;
  bool draining = false;
  /// How much longer it stays slow after its start.
  Millis warm_up_left;

  bool operator==(const ReplicaEntry&) const = default;
};

/// The load that a replica reports with a response.
struct LoadReport {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
};

struct Service;

/// One incarnation of a replica.
struct ServingReplica {
  /// Id and start time: names the incarnation.
  std::string key;
  ReplicaEntry entry;
  Service* service = nullptr;
  /// Gets no new requests, for good.
  bool leaving = false;
  /// When its entry vanished without a word that it leaves: it stays in use
  /// for a while, because the entry may come back.
  std::optional<Millis> lapsed_at;
  Millis warm_until;

  /// Attempts in flight, in order of sending.
  std::vector<uint64_t> attempts;
  /// Connections that stand ready.
  uint32_t idle_connections = 0;
  /// Until then no connection is opened: a new one was reset, as a replica at
  /// its connection limit does.
  Millis no_connect_until;

  /// Latency relative to the usual one of the route, and when it was learnt.
  double slowness = 1;
  Millis slowness_at;
  /// Share of recent attempts that failed, and when it was learnt.
  double error_share = 0;
  Millis error_at;
  std::optional<LoadReport> load;
  Millis load_at;
  size_t own_at_report = 0;

  /// The latest send time among answered attempts, and the time of the latest
  /// answer.
  Millis answered_sent{-1};
  Millis answered_at{-1};
  /// Send time of the first attempt after the latest answer.
  std::optional<Millis> unanswered_since;
  /// How long it may stay without an answer before it counts as silent.
  Millis silence_limit;
  /// An attempt is unanswered for too long and no later one was answered.
  bool overdue = false;
  /// Connections to it fail or stay silent: it gets health probes only.
  bool unresponsive = false;
  Millis next_probe;
  bool probe_open = false;
  /// A connection to it broke under a request and it has not answered since.
  bool broke = false;
};

/// The replicas that are interchangeable, and what is shared among them.
struct Service {
  std::string name;
  std::string health_path;
  /// Attempts that this VM may have in flight at one replica; each takes a
  /// connection.
  size_t connection_cap = 1;
  uint32_t max_connections = 1;
  std::vector<std::shared_ptr<ServingReplica>> replicas;
  RetryAllowance allowance;
};

struct ReplicaSetHooks {
  /// A replica gets no new requests from now on.
  std::function<void(ServingReplica&, std::string_view reason)> retired;
  /// A replica was added.
  std::function<void(ServingReplica&)> added;
};

class ReplicaSet {
 public:
  explicit ReplicaSet(ReplicaSetHooks hooks) : m_hooks(std::move(hooks)) {}

  /// The service of this name, created when it is new. Valid as long as this
  /// object.
  Service& GetService(std::string_view name);

  /// Takes what the configuration says of services.
  void ApplyServices(std::span<const ServiceSpec> services);

  /// Sets how many VMs share connections and retry allowances, and the
  /// limits of the latter.
  void SetFleet(size_t vms, const RetryLimits& limits);

  /// Takes one entry: a new replica, a new incarnation or a change.
  void Apply(const ReplicaEntry& entry, Millis now);

  /// Sets how long a replica serves on after its entry has been removed.
  void SetDrainBound(Millis bound) { m_drain_bound = bound; }

  /// An entry is gone from the store. The store may have been away without
  /// this VM noticing, so an entry that was not draining may have lapsed.
  void Remove(std::string_view id, Millis now);

  /// Takes the full list: what it does not hold is gone.
  void ApplyList(std::span<const ReplicaEntry> entries, Millis now);

  /// Tells whether the store answers. While it does not, and soon after, no
  /// lapsed entry ends the use of its replica early.
  void SetStoreReachable(bool reachable, Millis now);

  /// Retires replicas whose lapsed entries did not come back.
  void Sweep(Millis now);

  const ServingReplica* Find(std::string_view id) const;
  size_t size() const { return m_replicas.size(); }
  void ForEachService(const std::function<void(Service&)>& visit);

 private:
  using Replicas =
      std::map<std::string, std::shared_ptr<ServingReplica>, std::less<>>;

  void Add(const ReplicaEntry& entry, Millis now);
  void Retire(Replicas::iterator it, std::string_view reason);
  bool StoreDisturbed(Millis now) const;
  Millis LapseGrace(Millis now) const;
  void ShareOut(Service& service) const;

  ReplicaSetHooks m_hooks;
  std::map<std::string, std::unique_ptr<Service>, std::less<>> m_services;
  Replicas m_replicas;
  size_t m_vms = 1;
  RetryLimits m_retry_limits;
  Millis m_drain_bound{3000};
  bool m_store_reachable = true;
  std::optional<Millis> m_store_back_at;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_REPLICA_SET_H_
