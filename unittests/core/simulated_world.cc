// Simulated backend servers, and checks of what callers observe.

#include "core/simulated_world.h"

#include "core/simulated_entry.h"

namespace tanagervane {

void SimulatedWorld::ScheduleExecution(
    const Attempt& attempt,
    uint64_t incarnation,
    const std::weak_ptr<SimulatedEntry>& sender) {
  After(0.5 + random().NextDouble(), [this, attempt, incarnation, sender] {
    Execute(attempt, incarnation, sender);
  });
}

void SimulatedWorld::Execute(const Attempt& attempt,
                             uint64_t incarnation,
                             const std::weak_ptr<SimulatedEntry>& sender) {
  const Backend& backend = backends[attempt.replica];
  if (!backend.up || backend.incarnation != incarnation) {
    return;
  }
  if (backend.frozen) {
    After(50, [this, attempt, incarnation, sender] {
      Execute(attempt, incarnation, sender);
    });
    return;
  }
  const auto post = [this, sender](
                        double delay,
                        std::function<void(SimulatedEntry&)> action) {
    After(delay, [sender, action] {
      if (const auto entry = sender.lock()) {
        entry->Post([entry, action] { action(*entry); });
      }
    });
  };
  const std::vector<HeldVersion> held = HeldVersions(backend);
  const HeldVersion requested{attempt.index, attempt.index_version,
                              attempt.shard,
                              ShardCount(backend.id, attempt.index_version)};
  if (std::find(held.begin(), held.end(), requested) == held.end()) {
    return post(1, [id = attempt.id](SimulatedEntry& entry) {
      entry.OnAttemptFailed(id, FailureKind::kVersionGone);
    });
  }
  const uint64_t roll = random().NextBelow(100);
  if (roll < 2) {
    return post(1, [id = attempt.id](SimulatedEntry& entry) {
      entry.OnAttemptFailed(id, FailureKind::kShed);
    });
  }
  ++executions[attempt.request_id];
  if (attempt.class_name == "order" &&
      ++order_executions[attempt.payload] > 1) {
    AddViolation("orders: " + attempt.payload + " ran twice");
  }
  if (attempt.payload.starts_with("crash")) {
    return Crash(attempt.replica, 300);
  }
  BackendReply reply = ReplyTo(
      attempt,
      {ExpectedRow(attempt.payload, attempt.index_version, attempt.shard)});
  if (roll < 4) {
    return;  // The reply is lost.
  }
  if (roll < 6) {
    std::swap(reply, last_reply);  // Another attempt's reply.
  } else {
    last_reply = reply;
  }
  const int copies = roll < 10 ? 2 : 1;
  const bool slow = roll >= 10 && roll < 13;
  for (int i = 0; i < copies; ++i) {
    post((slow ? 120 : 1 + random().NextDouble() * 4) + i,
         [attempt, reply](SimulatedEntry& entry) {
           entry.Deliver(attempt, reply);
         });
  }
}

void SimulatedWorld::Crash(const std::string& replica, double down_for) {
  Backend& backend = backends[replica];
  if (!backend.up) {
    return;
  }
  backend.up = false;
  backend.frozen = false;
  ++backend.incarnation;
  for (const auto& [id, process] : entries) {
    process->OnConnectionsLost(replica);
  }
  backend.connections.clear();
  After(down_for, [this, replica] { backends[replica].up = true; });
}

void SimulatedWorld::CheckAnswer(const Answer& answer,
                                 const QueryRequest& request) {
  complete_answers += answer.complete() ? 1 : 0;
  const std::string replica = answer.index == "desk" ? "d0" : "p0";
  if (answer.shard_count != ShardCount(replica, answer.index_version)) {
    AddViolation("answers: wrong shard count of " + answer.request_id);
    return;
  }
  std::vector<int> seen(answer.shard_count);
  for (const ShardResult& result : answer.results) {
    ++seen.at(result.shard);
    if (result.rows.size() != 1 ||
        result.rows[0] !=
            ExpectedRow(request.payload, answer.index_version, result.shard)) {
      AddViolation("answers: rows of another request, version or shard in " +
                   answer.request_id);
    }
  }
  for (const MissingShard& missing : answer.missing) {
    ++seen.at(missing.shard);
  }
  if (seen != std::vector<int>(answer.shard_count, 1)) {
    AddViolation(
        "answers: results and missing shards do not name each shard once "
        "in " +
        answer.request_id);
  }
}

void SimulatedWorld::CheckRefusals() {
  for (const auto& [id, outcome] : refusals) {
    if (outcome == Outcome::kNotRun && executions.contains(id)) {
      AddViolation("not_run: refused request " + id + " ran");
    }
  }
}

}  // namespace tanagervane
