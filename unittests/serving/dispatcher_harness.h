// A dispatcher whose sends, answers and probes are recorded.

#ifndef TANAGERVANE_UNITTESTS_SERVING_DISPATCHER_HARNESS_H_
#define TANAGERVANE_UNITTESTS_SERVING_DISPATCHER_HARNESS_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "tanagervane/serving/dispatcher.h"

namespace tanagervane {

/// Two routes: "/all/" fans out over four shards of three replicas, "/one/"
/// goes to one of three replicas and must not be repeated.
class DispatcherHarness {
 public:
  static constexpr size_t kShards = 4;
  static constexpr size_t kReplicas = 3;

  explicit DispatcherHarness(ServingPolicy policy = {})
      : replicas({.retired = [](ServingReplica&, std::string_view) {},
                  .added = [](ServingReplica&) {}}),
        dispatcher({.policy = policy, .data_centre = "a", .seed = 7},
                   replicas,
                   quarantine,
                   Hooks()) {
    replicas.SetFleet(1, {.ratio = 0.2, .slack = 100, .window = Millis(10000)});
    dispatcher.ApplyConfig(MakeConfig(1));
    for (size_t shard = 0; shard < kShards; ++shard) {
      AddReplicas(fmt::format("shard{}", shard));
    }
    AddReplicas("desk");
  }

  static ServingConfig MakeConfig(uint64_t version) {
    ServingConfig config;
    config.version = version;
    RouteSpec all;
    all.name = "all";
    all.host = "h";
    all.prefix = "/all/";
    all.idempotent = true;
    all.timeout = Millis(1000);
    all.objective = Millis(200);
    all.attempts = 2;
    all.priority = 1;
    all.top_records = 2;
    all.min_shard_share = 0.75;
    RouteSpec one = all;
    one.name = "one";
    one.prefix = "/one/";
    one.idempotent = false;
    one.targets = {{"desk", 1}};
    for (size_t shard = 0; shard < kShards; ++shard) {
      all.shards.push_back(fmt::format("shard{}", shard));
      config.services.push_back({all.shards.back(), "/healthz", 40});
    }
    config.services.push_back({"desk", "/healthz", 40});
    config.routes = {all, one};
    return config;
  }

  void AddReplicas(const std::string& service) {
    for (size_t i = 0; i < kReplicas; ++i) {
      ReplicaEntry entry;
      entry.id = fmt::format("{}-{}", service, i);
      entry.service = service;
      entry.address = "127.0.0.1:1";
      entry.data_centre = "a";
      entry.slots = 5;
      replicas.Apply(entry, now);
    }
  }

  RequestKey Submit(const std::string& target,
                    Millis time_left = Millis(1000)) {
    auto request = std::make_shared<CallerRequest>();
    request->id = fmt::format("r{}", ++next_key);
    request->method = "GET";
    request->host = "h";
    request->target = target;
    request->time_left = time_left;
    dispatcher.Submit(next_key, request, now);
    return next_key;
  }

  static ReplicaReply Success(const std::string& seal,
                              const std::string& body = "") {
    ReplicaReply reply;
    reply.kind = ReplyKind::kSuccess;
    reply.status = 200;
    reply.signature = seal;
    reply.body = body;
    return reply;
  }

  static ReplicaReply Rejected() {
    ReplicaReply reply;
    reply.kind = ReplyKind::kRejected;
    reply.status = 503;
    return reply;
  }

  /// Moves the time on and runs the timers that come due.
  void Advance(Millis by) {
    const Millis end = now + by;
    for (auto timer = dispatcher.NextTimer(); timer && *timer <= end;
         timer = dispatcher.NextTimer()) {
      now = std::max(now, *timer);
      dispatcher.OnTick(now);
    }
    now = end;
  }

  /// Takes the sends made so far.
  std::vector<SendOrder> TakeSends() { return std::exchange(sends, {}); }

  void AnswerAll(const std::vector<SendOrder>& orders) {
    for (const SendOrder& order : orders) {
      dispatcher.OnReply(order.attempt, Success(order.replica->entry.id), now);
    }
  }

  Millis now{1000};
  std::vector<SendOrder> sends;
  std::vector<uint64_t> abandoned;
  std::vector<FinalAnswer> answers;
  Millis answered_at;
  std::vector<std::shared_ptr<ServingReplica>> probes;
  size_t reports = 0;
  RequestKey next_key = 0;
  Quarantine quarantine{true, 3};
  ReplicaSet replicas;
  Dispatcher dispatcher;

 private:
  DispatcherHooks Hooks() {
    DispatcherHooks hooks;
    hooks.send = [this](const SendOrder& order) { sends.push_back(order); };
    hooks.abandon = [this](uint64_t id, ServingReplica&) {
      abandoned.push_back(id);
    };
    hooks.answer = [this](const FinalAnswer& answer) {
      answers.push_back(answer);
      answered_at = now;
    };
    hooks.finished = [this](const RequestReport&) { ++reports; };
    hooks.probe = [this](const std::shared_ptr<ServingReplica>& replica) {
      probes.push_back(replica);
    };
    hooks.belief = [](ServingReplica&, std::string_view) {};
    return hooks;
  }
};

}  // namespace tanagervane

#endif  // TANAGERVANE_UNITTESTS_SERVING_DISPATCHER_HARNESS_H_
