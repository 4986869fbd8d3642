#ifndef TANAGERVANE_QUERY_QUERY_ENGINE_H_
#define TANAGERVANE_QUERY_QUERY_ENGINE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "tanagervane/document/document.h"
#include "tanagervane/query/types.h"
#include "tanagervane/routing/quarantine.h"
#include "tanagervane/routing/types.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Functions through which the engine sends attempts and delivers answers.
/// A hook must not call the engine before it returns.
struct QueryEngineHooks {
  std::function<void(const Attempt&)> send_attempt;
  std::function<void(AttemptId)> cancel_attempt;
  /// Called exactly once for each submitted request.
  std::function<void(const Answer&)> answer;
};

struct QueryEngineOptions {
  PolicyOptions policy;
  /// Data centre of this entry.
  std::string data_centre;
  uint64_t seed = 1;
};

/// Counters for status and metrics.
struct QueryEngineStats {
  uint64_t submitted = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;
  uint64_t sub_requests = 0;
  uint64_t hedges = 0;
  uint64_t retries = 0;
  /// Fan-outs that started again on a newer index version.
  uint64_t fanout_restarts = 0;
  /// Replies to attempts that are no longer open, or that do not match their
  /// attempt.
  uint64_t dropped_replies = 0;
  /// Requests that run or are queued now.
  uint32_t running = 0;
  uint32_t queued = 0;
};

/// One event of a request, kept for `tanagervane-ctl explain`.
struct ExplainEvent {
  Millis at;
  std::string description;
};

/// Runs requests from submission to answer: admits or queues each request,
/// sends its sub-requests to replicas, and builds one answer. Performs no input
/// or output and reads no clock: hooks send, and callers pass the current time.
class QueryEngine {
 public:
  QueryEngine(QueryEngineOptions options, QueryEngineHooks hooks);
  ~QueryEngine();
  QueryEngine(const QueryEngine&) = delete;
  QueryEngine& operator=(const QueryEngine&) = delete;

  /// Applies a document to new requests. Requests that were submitted before
  /// keep their class definition.
  void ApplyDocument(const Document& document, Millis now);

  // Replicas: changes of the VM list and results of status calls.
  void UpsertReplica(const ReplicaInfo& replica, Millis now);
  void SetReplicaLeaving(const ReplicaId& replica, Millis now);
  void RemoveReplica(const ReplicaId& replica, Millis now);
  void OnReplicaStatus(const ReplicaId& replica,
                       const ReplicaStatus& status,
                       Millis now);
  void OnReplicaStatusFailed(const ReplicaId& replica, Millis now);

  // Requests.

  /// Submits a request. The answer hook is called for it exactly once, possibly
  /// before Submit() returns.
  void Submit(const QueryRequest& request, Millis now);

  /// Cancels a request; its answer is a refusal with kCancelled. Unknown ids
  /// are ignored.
  void Cancel(const RequestId& request, Millis now);

  /// Submits a request that must run at most once: it is sent to one replica,
  /// and sent again only after a failure that proves that it did not run.
  void SubmitAtMostOnce(const QueryRequest& request, Millis now);

  // Outcomes of attempts. Attempts that are no longer open are ignored.
  void OnReply(AttemptId attempt, const BackendReply& reply, Millis now);
  void OnFailure(AttemptId attempt, FailureKind kind, Millis now);

  // Timers.

  /// Runs all timers that are due.
  void OnTick(Millis now);

  /// When OnTick() is due next, or nothing when no timer is pending.
  std::optional<Millis> NextTimer() const;

  // Exchange of quarantine records with other entries.
  std::vector<QuarantineRecord> ExportQuarantine(Millis now) const;
  void MergeQuarantine(std::span<const QuarantineRecord> records, Millis now);

  // Inspection.
  QueryEngineStats stats() const;
  /// The recorded events of a recent request, oldest first.
  std::vector<ExplainEvent> Explain(std::string_view request) const;

  /// The index version that new requests read, or zero when there is none.
  uint64_t ChosenVersion(std::string_view index, Millis now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUERY_QUERY_ENGINE_H_
