// Simulates load beyond the capacity of single shards and measures the answers
// that callers get. Each test runs with and without one mechanism.

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fmt/format.h"
#include "gtest/gtest.h"
#include "tanagervane/serving/dispatcher.h"
#include "tanagervane/support/random.h"
#include "unittests/serving/capacity_bound.h"

namespace tanagervane {
namespace {

constexpr size_t kShards = 10;
constexpr size_t kSlots = 3;
constexpr size_t kMaxWaiting = 18;
constexpr Millis kRunTime(20);
constexpr Millis kSlowRunTime(30);
constexpr Millis kOneWayDelay(1);
constexpr Millis kObjective(150);
constexpr Millis kCallerTimeout(800);

/// Requests of the light route run for a third of the time of others, with a
/// tighter objective.
constexpr Millis kLightObjective(60);
constexpr double kLightRunFraction = 1.0 / 3;
constexpr std::string_view kLightTarget = "/light/x";

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
  explicit OverloadSimulation(ServingPolicy policy)
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
      submitted = {m_now, light, m_now >= counted_from};
      CallerResults& results = light ? m_light_results : m_results;
      results.counted += submitted.counted ? 1 : 0;
      auto request = std::make_shared<CallerRequest>();
      request->id = fmt::format("q{}", m_last_key);
      request->method = "GET";
      request->host = "h";
      request->target = light ? kLightTarget : "/x";
      request->time_left = kCallerTimeout;
      m_dispatcher.Submit(m_last_key, request, m_now);
    }
    RunUntil(m_now + kCallerTimeout);
  }

  /// Makes the times between requests exponentially distributed instead of
  /// equal.
  void UseRandomArrivals() { m_random_arrivals = true; }

  const CallerResults& results() const { return m_results; }
  const CallerResults& light_results() const { return m_light_results; }

 private:
  struct SubmittedRequest {
    Millis at;
    bool light = false;
    bool counted = false;
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
    CallerResults& results = submitted.light ? m_light_results : m_results;
    results.refused += answer.kind == AnswerKind::kRefused ? 1 : 0;
    const Millis objective = submitted.light ? kLightObjective : kObjective;
    if (answer.kind == AnswerKind::kMerged &&
        m_now - submitted.at <= objective) {
      const double answered_fraction =
          1 - static_cast<double>(answer.missing_shards) / kShards;
      ++results.on_time;
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
  Quarantine m_quarantine{true, 3};
  ReplicaSet m_replicas;
  Dispatcher m_dispatcher;
};

/// With kRunTime, a replica answers 150 requests a second.
constexpr double kRequestsPerSecond = 150;
constexpr Millis kDuration(8'000);
constexpr double kBusyRequestsPerSecond = 180;
constexpr double kOverloadRequestsPerSecond = 220;
constexpr double kLightShare = 0.25;
/// Shards that an answer of the first route can do without.
constexpr size_t kMaxMissingShards = 1;

// Guards against refusals and late answers when each request can do without one
// of two full shards. Two of ten shards have one replica each, which can run
// two thirds of the requests; one shard may be missing from an answer.
TEST(OverloadTest, SkippingKeepsTwoFullShardsOnTime) {
  const auto simulate = [](bool skipping) {
    OverloadSimulation simulation({.skipping = skipping});
    for (size_t shard = 0; shard < kShards; ++shard) {
      const bool full = shard < 2;
      simulation.AddReplicas(shard, full ? 1 : 3, 0,
                             full ? kSlowRunTime : kRunTime);
    }
    simulation.Run(kRequestsPerSecond, kDuration);
    return simulation.results();
  };
  const CallerResults with_skipping = simulate(true);
  const CallerResults without_skipping = simulate(false);
  // One shard in ten is missing, so each answer on time scores at least 0.81.
  EXPECT_GE(with_skipping.mean_score(), 0.8);
  EXPECT_LE(with_skipping.refused * 50, with_skipping.counted);
  EXPECT_LT(without_skipping.mean_score(), with_skipping.mean_score() - 0.1);
}

// Guards against queues that only requests with a loose objective survive.
// Three of ten shards have one replica each and are asked for more than it can
// run; the light route has a tighter objective and needs eight shards.
TEST(OverloadTest, ShortQueuesKeepTheTighterRouteOnTime) {
  const auto simulate = [](bool short_queues) {
    OverloadSimulation simulation({.short_queues = short_queues});
    for (size_t shard = 0; shard < kShards; ++shard) {
      simulation.AddReplicas(shard, shard < 3 ? 1 : 3);
    }
    simulation.Run(kOverloadRequestsPerSecond, kDuration, kLightShare);
    return std::pair(simulation.results(), simulation.light_results());
  };
  const auto [results, light_results] = simulate(true);
  EXPECT_GE(light_results.mean_score(), 0.95);
  // Nine of ten shards score 0.81.
  EXPECT_GE(results.mean_score(), 0.81);
  EXPECT_LT(simulate(false).second.mean_score(), 0.85);
}

/// Adds one shard with a slow replica, the given number of shards whose
/// replicas all reject, and shards with one replica that does not reject.
void AddRejectingShards(OverloadSimulation& simulation, size_t rejecting) {
  constexpr double kRejectFraction = 0.6;
  simulation.AddReplicas(0, 1, 0, kSlowRunTime);
  for (size_t shard = 1; shard < kShards; ++shard) {
    const bool all_reject = shard <= rejecting;
    simulation.AddReplicas(shard, all_reject ? 3 : 2, kRejectFraction);
    if (!all_reject) {
      simulation.AddReplicas(shard, 1);
    }
  }
}

// Guards against work for requests that have failed already. When most replicas
// reject, requests fail within milliseconds, and their remaining attempts fill
// the queues of the replicas that do not.
TEST(OverloadTest, FailedRequestsDoNotDelayOthers) {
  const auto simulate = [](bool cancel_failed) {
    OverloadSimulation simulation({.cancel_failed = cancel_failed});
    AddRejectingShards(simulation, 2);
    simulation.Run(kOverloadRequestsPerSecond, kDuration, kLightShare);
    return simulation.results().mean_score();
  };
  const double with_cancelling = simulate(true);
  EXPECT_GE(with_cancelling, 0.5);
  EXPECT_LT(simulate(false), with_cancelling - 0.1);
}

// Guards against failing a request at which a skipped shard could still be
// asked: the skipped one uses up the only shard that the answer can do without,
// and then another one rejects.
TEST(OverloadTest, SkippedShardsReplaceRejectedOnes) {
  const auto simulate = [](bool reopen_skipped) {
    OverloadSimulation simulation({.reopen_skipped = reopen_skipped});
    AddRejectingShards(simulation, 1);
    simulation.Run(kBusyRequestsPerSecond, kDuration, kLightShare);
    return simulation.results().mean_score();
  };
  EXPECT_GT(simulate(true), simulate(false) + 0.05);
}

// Guards against requests that use permits of two shards although they can do
// without one, so that the next request gets none. Of two of ten shards, all
// replicas together take half of the requests; one shard may be missing.
TEST(OverloadTest, ScarcePermitsAreSparedForOtherRequests) {
  const auto simulate = [](bool spare_permits) {
    OverloadSimulation simulation({.spare_permits = spare_permits});
    simulation.UseRandomArrivals();
    for (size_t shard = 0; shard < kShards; ++shard) {
      simulation.AddReplicas(shard, 3);
      if (shard < 2) {
        simulation.LimitReplicas(shard, kRequestsPerSecond / 2 / 3);
      }
    }
    simulation.Run(kRequestsPerSecond, kDuration);
    return simulation.results().mean_score();
  };
  // Nine of ten shards score 0.81.
  EXPECT_GE(simulate(true), 0.75);
  EXPECT_LT(simulate(false), 0.65);
}

// Guards against a shard that is left out although it has permits, because it
// is the only one with a limit.
TEST(OverloadTest, PermitsOfTheOnlyLimitedShardAreUsed) {
  OverloadSimulation simulation({});
  simulation.UseRandomArrivals();
  for (size_t shard = 0; shard < kShards; ++shard) {
    simulation.AddReplicas(shard, 3);
  }
  simulation.LimitReplicas(0, kRequestsPerSecond / 2 / 3);
  simulation.Run(kRequestsPerSecond, kDuration);
  // Half of the answers have all shards, the others score 0.81.
  EXPECT_GE(simulation.results().mean_score(), 0.95 * (1 + 0.81) / 2);
}

// Compares the tier with a bound that any tier obeys, over random deployments.
// Guards against policies that suit one deployment only.
TEST(OverloadTest, ScoreIsNearTheBoundOfScarceShards) {
  Random random(11);
  for (int i = 0; i < 12; ++i) {
    OverloadSimulation simulation({});
    std::vector<double> capacities;
    for (size_t shard = 0; shard < kShards; ++shard) {
      const size_t replicas = random.NextDouble() < 0.3 ? 1 : 3;
      const Millis run_time = kRunTime * (0.8 + 0.6 * random.NextDouble());
      simulation.AddReplicas(shard, replicas, 0, run_time);
      capacities.push_back(static_cast<double>(replicas * kSlots) * 1000 /
                           run_time.count());
    }
    simulation.Run(kRequestsPerSecond, kDuration);
    const double bound =
        BestMeanScore(capacities, kRequestsPerSecond, kMaxMissingShards);
    EXPECT_GE(simulation.results().mean_score(), 0.9 * bound) << "run " << i;
  }
}

}  // namespace
}  // namespace tanagervane
