// Dispatcher with hooks that record attempts, answers and probes.

#ifndef TANAGERVANE_UNITTESTS_SERVING_DISPATCHER_HARNESS_H_
#define TANAGERVANE_UNITTESTS_SERVING_DISPATCHER_HARNESS_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "tanagervane/serving/dispatcher.h"

namespace tanagervane {

/// Provides two routes: "/all/" fans out over four shards with three replicas
/// each; "/one/" goes to one of three replicas and is not idempotent.
class DispatcherHarness {
 public:
  static constexpr size_t kShards = 4;
  static constexpr size_t kReplicas = 3;

  using CertaintyHook = std::function<ConfigCertainty(Millis)>;

  explicit DispatcherHarness(ServingPolicy policy = {},
                             CertaintyHook certainty = nullptr)
      : replicas({.on_retired = [](ServingReplica&, std::string_view) {},
                  .on_added = [](ServingReplica&) {},
                  .on_rate_limit_changed = [](const ServingReplica&,
                                              std::string_view) {},
                  .on_backoff = [](const ServingReplica&, Millis) {}}),
        dispatcher({.policy = policy, .data_centre = "a", .seed = 7},
                   replicas,
                   quarantine,
                   Hooks(std::move(certainty))) {
    replicas.SetFleetSize(
        1, {.ratio = 0.2, .slack = 100, .window = Millis(10000)});
    dispatcher.ApplyConfig(MakeConfig(1));
    for (size_t shard = 0; shard < kShards; ++shard) {
      AddReplicas(fmt::format("shard{}", shard));
    }
    AddReplicas("desk");
  }

  static ServingConfig MakeConfig(uint64_t version) {
    ServingConfig config;
    config.version = version;
    RouteSpec fanout;
    fanout.name = "all";
    fanout.host = "h";
    fanout.prefix = "/all/";
    fanout.idempotent = true;
    fanout.timeout = Millis(1000);
    fanout.objective = Millis(200);
    fanout.max_replicas = 2;
    fanout.priority = 1;
    fanout.top_records = 2;
    fanout.min_shard_fraction = 0.75;
    RouteSpec non_idempotent = fanout;
    non_idempotent.name = "one";
    non_idempotent.prefix = "/one/";
    non_idempotent.idempotent = false;
    non_idempotent.targets = {{"desk", 1}};
    for (size_t shard = 0; shard < kShards; ++shard) {
      fanout.shards.push_back(fmt::format("shard{}", shard));
      config.services.push_back({fanout.shards.back(), "/healthz", 40});
    }
    config.services.push_back({"desk", "/healthz", 40});
    config.routes = {fanout, non_idempotent};
    return config;
  }

  void AddReplicas(const std::string& service) {
    for (size_t i = 0; i < kReplicas; ++i) {
      ReplicaRegistration registration;
      registration.id = fmt::format("{}-{}", service, i);
      registration.service = service;
      registration.address = "127.0.0.1:1";
      registration.data_centre = "a";
      registration.slots = 5;
      replicas.Apply(registration, now);
    }
  }

  RequestKey Submit(const std::string& target,
                    Millis time_left = Millis(1000)) {
    auto request = std::make_shared<CallerRequest>();
    request->id = fmt::format("r{}", ++last_key);
    request->method = "GET";
    request->host = "h";
    request->target = target;
    request->time_left = time_left;
    request->tenant = tenant;
    dispatcher.Submit(last_key, request, now);
    return last_key;
  }

  static ReplicaReply Success(const std::string& signature,
                              const std::string& body = "") {
    ReplicaReply reply;
    reply.kind = ReplyKind::kSuccess;
    reply.status = 200;
    reply.signature = signature;
    reply.body = body;
    return reply;
  }

  static ReplicaReply Rejected() {
    ReplicaReply reply;
    reply.kind = ReplyKind::kRejected;
    reply.status = 503;
    return reply;
  }

  /// Advances the time and runs the timers that become due.
  void Advance(Millis duration) {
    const Millis end = now + duration;
    for (auto timer = dispatcher.NextTimer(); timer && *timer <= end;
         timer = dispatcher.NextTimer()) {
      now = std::max(now, *timer);
      dispatcher.OnTick(now);
    }
    now = end;
  }

  /// Returns and removes the attempts sent so far.
  std::vector<OutgoingAttempt> PopSentAttempts() {
    return std::exchange(sent_attempts, {});
  }

  void AnswerAll(const std::vector<OutgoingAttempt>& attempts) {
    for (const OutgoingAttempt& attempt : attempts) {
      dispatcher.OnReply(attempt.attempt_id,
                         Success(attempt.replica->registration.id), now);
    }
  }

  Millis now{1000};
  std::vector<OutgoingAttempt> sent_attempts;
  std::vector<uint64_t> cancelled_attempts;
  std::vector<FinalAnswer> answers;
  Millis last_answer_at;
  std::vector<std::shared_ptr<ServingReplica>> probes;
  size_t cancelled_probes = 0;
  size_t reports = 0;
  /// Tenant of the requests that are submitted.
  std::string tenant;
  /// The answer to questions for permits.
  PermitDecision permit{PermitState::kGranted, {}};
  std::vector<RequestKey> asked_permits;
  std::vector<RequestKey> cancelled_permits;
  std::vector<RequestKey> returned_permits;
  RequestKey last_key = 0;
  Quarantine quarantine{true, 3};
  ReplicaSet replicas;
  Dispatcher dispatcher;

 private:
  DispatcherHooks Hooks(CertaintyHook certainty) {
    DispatcherHooks hooks;
    hooks.config_certainty = std::move(certainty);
    hooks.send = [this](const OutgoingAttempt& attempt) {
      sent_attempts.push_back(attempt);
    };
    hooks.cancel_attempt = [this](uint64_t id, ServingReplica&) {
      cancelled_attempts.push_back(id);
    };
    hooks.answer = [this](const FinalAnswer& answer) {
      answers.push_back(answer);
      last_answer_at = now;
    };
    hooks.on_finished = [this](const RequestReport&) { ++reports; };
    hooks.probe = [this](const std::shared_ptr<ServingReplica>& replica) {
      probes.push_back(replica);
    };
    hooks.cancel_probe = [this](ServingReplica&) { ++cancelled_probes; };
    hooks.ask_permit = [this](RequestKey key, std::string_view) {
      asked_permits.push_back(key);
      return permit;
    };
    hooks.cancel_permit = [this](RequestKey key) {
      cancelled_permits.push_back(key);
    };
    hooks.return_permit = [this](RequestKey key) {
      returned_permits.push_back(key);
    };
    hooks.on_health_changed = [](ServingReplica&, std::string_view) {};
    return hooks;
  }
};

}  // namespace tanagervane

#endif  // TANAGERVANE_UNITTESTS_SERVING_DISPATCHER_HARNESS_H_
