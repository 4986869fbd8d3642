// Discrete-event simulation of a dispatcher and replicas under load.

#ifndef TANAGERVANE_UNITTESTS_SERVING_OVERLOAD_SIMULATION_H_
#define TANAGERVANE_UNITTESTS_SERVING_OVERLOAD_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "tanagervane/serving/dispatcher.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

inline constexpr size_t kShards = 10;
inline constexpr size_t kSlots = 3;
inline constexpr size_t kMaxWaiting = 18;
inline constexpr Millis kRunTime(20);
inline constexpr Millis kSlowRunTime(30);
inline constexpr Millis kOneWayDelay(1);
inline constexpr Millis kObjective(150);
inline constexpr Millis kCallerTimeout(800);

/// Requests of the light route run for a third of the time of others, with a
/// tighter objective.
inline constexpr Millis kLightObjective(60);
inline constexpr double kLightRunFraction = 1.0 / 3;
inline constexpr std::string_view kLightTarget = "/light/x";

/// Results of the counted requests.
struct CallerResults {
  size_t counted = 0;
  size_t on_time = 0;
  size_t refused = 0;
  /// Sum over answers on time of the squared fraction of shards in the answer.
  double score = 0;

  double mean_score() const { return score / static_cast<double>(counted); }
};

/// Discrete-event simulation of a dispatcher and replicas that have slots and a
/// queue.
class OverloadSimulation {
 public:
  using EditConfig = std::function<void(ServingConfig&)>;

  explicit OverloadSimulation(
      ServingPolicy policy,
      const EditConfig& edit_config = [](ServingConfig&) {})
      : m_replicas({.on_retired = [](ServingReplica&, std::string_view) {},
                    .on_added = [](ServingReplica&) {},
                    .on_rate_limit_changed = [](const ServingReplica&,
                                                std::string_view) {},
                    .on_backoff = [](const ServingReplica&, Millis) {}}),
        m_dispatcher({.policy = policy, .data_centre = "a", .seed = 7},
                     m_replicas,
                     m_quarantine,
                     Hooks()) {
    m_replicas.SetFleetSize(
        1, {.ratio = 0.2, .slack = 58, .window = Millis(10'000)});
    RouteSpec route;
    route.name = "all";
    route.host = "h";
    route.prefix = "/";
    route.idempotent = true;
    route.timeout = kCallerTimeout;
    route.objective = kObjective;
    route.max_replicas = 2;
    route.priority = 1;
    route.top_records = 2;
    route.min_shard_fraction = 0.89;
    ServingConfig config;
    config.version = 1;
    for (size_t shard = 0; shard < kShards; ++shard) {
      route.shards.push_back(ShardName(shard));
      config.services.push_back({ShardName(shard), "/healthz", 200});
    }
    RouteSpec light = route;
    light.name = "light";
    light.prefix = "/light/";
    light.objective = kLightObjective;
    light.priority = 2;
    light.min_shard_fraction = 0.75;
    config.routes = {route, light};
    edit_config(config);
    m_dispatcher.ApplyConfig(config);
  }

  static std::string ShardName(size_t i) { return fmt::format("shard{}", i); }

  /// Adds replicas that reject the given fraction of their requests.
  void AddReplicas(size_t shard,
                   size_t count,
                   double reject_fraction = 0,
                   Millis run_time = kRunTime) {
    for (size_t i = 0; i < count; ++i) {
      ReplicaRegistration registration;
      registration.id = fmt::format("r{}", m_simulated_replicas.size());
      registration.service = ShardName(shard);
      registration.address = "127.0.0.1:1";
      registration.data_centre = "a";
      registration.slots = kSlots;
      m_replicas.Apply(registration, m_now);
      m_simulated_replicas[registration.id].reject_fraction = reject_fraction;
      m_simulated_replicas[registration.id].run_time = run_time;
    }
  }

  /// Lets every replica of the shard state a limit of requests per second.
  void LimitReplicas(size_t shard, double per_second) {
    for (const auto& replica :
         m_replicas.GetService(ShardName(shard)).replicas) {
      m_simulated_replicas.at(replica->registration.id).rate_limit = per_second;
    }
  }

  /// Submits `per_second` requests a second, of which the given fraction goes
  /// to the light route. Requests of the first second are not counted.
  void Run(double per_second, Millis duration, double light_fraction = 0) {
    const Millis interval(1000 / per_second);
    const Millis end = m_now + duration;
    const Millis counted_from = m_now + Millis(1000);
    for (; m_now < end; RunUntil(m_now + NextInterval(interval))) {
      const bool light = m_random.NextDouble() < light_fraction;
      SubmittedRequest& submitted = m_submitted[++m_last_key];
      submitted = {m_now, light, m_now >= counted_from, {}};
      CallerResults& results = light ? m_light_results : m_results;
      results.counted += submitted.counted ? 1 : 0;
      auto request = std::make_shared<CallerRequest>();
      request->id = fmt::format("q{}", m_last_key);
      request->method = "GET";
      request->host = "h";
      request->target = light ? kLightTarget : "/x";
      request->time_left = kCallerTimeout;
      if (m_pick_tenant) {
        submitted.tenant = m_pick_tenant(m_random);
        m_tenant_results[submitted.tenant].counted += submitted.counted ? 1 : 0;
      }
      // The key of a tenant is its name.
      m_dispatcher.Submit(m_last_key, request, m_now, {1, submitted.tenant});
    }
    RunUntil(m_now + kCallerTimeout);
  }

  /// Makes the times between requests exponentially distributed instead of
  /// equal.
  void UseRandomArrivals() { m_random_arrivals = true; }

  /// Sets how the tenant of each request is drawn. Its key is its name.
  void SetTenants(std::function<std::string(Random&)> pick_tenant) {
    m_pick_tenant = std::move(pick_tenant);
  }

  const std::map<std::string, CallerResults>& tenant_results() const {
    return m_tenant_results;
  }

  /// The Retry-After of all refusals.
  const std::vector<Millis>& retry_afters() const { return m_retry_afters; }

  const CallerResults& results() const { return m_results; }
  const CallerResults& light_results() const { return m_light_results; }

 private:
  struct SubmittedRequest {
    Millis at;
    bool light = false;
    bool counted = false;
    std::string tenant;
  };

  struct SentAttempt {
    std::string replica;
    double run_fraction = 1;
  };

  struct SimulatedReplica {
    double reject_fraction = 0;
    Millis run_time = kRunTime;
    std::optional<double> rate_limit;
    std::set<uint64_t> running;
    std::deque<uint64_t> waiting;
  };

  DispatcherHooks Hooks() {
    DispatcherHooks hooks;
    hooks.send = [this](const OutgoingAttempt& attempt) {
      m_sent[attempt.attempt_id] = {
          attempt.replica->registration.id,
          attempt.request->target == kLightTarget ? kLightRunFraction : 1};
      Schedule(m_now + kOneWayDelay,
               [this, id = attempt.attempt_id] { OnArrival(id); });
    };
    hooks.cancel_attempt = [this](uint64_t id, ServingReplica&) {
      Schedule(m_now + kOneWayDelay, [this, id] { OnCancel(id); });
    };
    hooks.answer = [this](const FinalAnswer& answer) { RecordAnswer(answer); };
    hooks.on_finished = [](const RequestReport&) {};
    hooks.probe = [](const std::shared_ptr<ServingReplica>&) {};
    hooks.cancel_probe = [](ServingReplica&) {};
    hooks.on_health_changed = [](ServingReplica&, std::string_view) {};
    return hooks;
  }

  Millis NextInterval(Millis mean) {
    return m_random_arrivals ? mean * -std::log(1 - m_random.NextDouble())
                             : mean;
  }

  void Schedule(Millis when, std::function<void()> event) {
    m_events.emplace(when.count(), std::move(event));
  }

  void RunUntil(Millis until) {
    while (true) {
      const auto timer = m_dispatcher.NextTimer();
      const bool has_event = !m_events.empty();
      const Millis event(has_event ? m_events.begin()->first : 0);
      if (timer && *timer <= until && (!has_event || *timer <= event)) {
        m_now = std::max(m_now, *timer);
        m_dispatcher.OnTick(m_now);
      } else if (has_event && event <= until) {
        m_now = std::max(m_now, event);
        const auto run_event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        run_event();
      } else {
        m_now = until;
        return;
      }
    }
  }

  void OnArrival(uint64_t attempt) {
    SimulatedReplica& replica =
        m_simulated_replicas.at(m_sent.at(attempt).replica);
    const bool full = replica.running.size() == kSlots &&
                      replica.waiting.size() >= kMaxWaiting;
    if (full || m_random.NextDouble() < replica.reject_fraction) {
      Reply(attempt, replica, ReplyKind::kRejected);
    } else if (replica.running.size() == kSlots) {
      replica.waiting.push_back(attempt);
    } else {
      StartRun(attempt, replica);
    }
  }

  void StartRun(uint64_t attempt, SimulatedReplica& replica) {
    replica.running.insert(attempt);
    const Millis mean_run_time =
        replica.run_time * m_sent.at(attempt).run_fraction;
    Schedule(m_now + mean_run_time * (0.5 + m_random.NextDouble()),
             [this, attempt, &replica] {
               if (replica.running.erase(attempt) > 0) {
                 Reply(attempt, replica, ReplyKind::kSuccess);
                 StartNextRun(replica);
               }
             });
  }

  void StartNextRun(SimulatedReplica& replica) {
    if (replica.waiting.empty()) {
      return;
    }
    const uint64_t next = replica.waiting.front();
    replica.waiting.pop_front();
    StartRun(next, replica);
  }

  /// The replica drops a request whose connection closes.
  void OnCancel(uint64_t attempt) {
    SimulatedReplica& replica =
        m_simulated_replicas.at(m_sent.at(attempt).replica);
    std::erase(replica.waiting, attempt);
    if (replica.running.erase(attempt) > 0) {
      StartNextRun(replica);
    }
  }

  void Reply(uint64_t attempt,
             const SimulatedReplica& replica,
             ReplyKind kind) {
    ReplicaReply reply;
    reply.kind = kind;
    reply.status = kind == ReplyKind::kSuccess ? 200 : 503;
    reply.signature = fmt::format("{}", attempt);
    reply.self_report.load =
        LoadReport{static_cast<uint32_t>(replica.running.size()),
                   static_cast<uint32_t>(replica.waiting.size()), kSlots};
    reply.self_report.rate_limit = replica.rate_limit;
    Schedule(m_now + kOneWayDelay, [this, attempt, reply] {
      m_dispatcher.OnReply(attempt, reply, m_now);
    });
  }

  void RecordAnswer(const FinalAnswer& answer) {
    const SubmittedRequest& submitted = m_submitted.at(answer.key);
    if (!submitted.counted) {
      return;
    }
    if (answer.kind == AnswerKind::kRefused) {
      m_retry_afters.push_back(answer.retry_after);
    }
    CallerResults& results = submitted.light ? m_light_results : m_results;
    results.refused += answer.kind == AnswerKind::kRefused ? 1 : 0;
    const Millis objective = submitted.light ? kLightObjective : kObjective;
    if (answer.kind == AnswerKind::kMerged &&
        m_now - submitted.at <= objective) {
      const double answered_fraction =
          1 - static_cast<double>(answer.missing_shards) / kShards;
      ++results.on_time;
      if (m_pick_tenant) {
        ++m_tenant_results[submitted.tenant].on_time;
      }
      results.score += answered_fraction * answered_fraction;
    }
  }

  Millis m_now{1000};
  Random m_random{5};
  bool m_random_arrivals = false;
  std::multimap<double, std::function<void()>> m_events;
  std::map<std::string, SimulatedReplica> m_simulated_replicas;
  std::map<uint64_t, SentAttempt> m_sent;
  std::map<RequestKey, SubmittedRequest> m_submitted;
  RequestKey m_last_key = 0;
  CallerResults m_results;
  CallerResults m_light_results;
  std::function<std::string(Random&)> m_pick_tenant;
  std::map<std::string, CallerResults> m_tenant_results;
  std::vector<Millis> m_retry_afters;
  Quarantine m_quarantine{true, 3};
  ReplicaSet m_replicas;
  Dispatcher m_dispatcher;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_UNITTESTS_SERVING_OVERLOAD_SIMULATION_H_
