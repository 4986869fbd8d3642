#ifndef TANAGERVANE_QUERY_FANOUT_H_
#define TANAGERVANE_QUERY_FANOUT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tanagervane/document/document.h"
#include "tanagervane/query/attempt_table.h"
#include "tanagervane/query/coverage.h"
#include "tanagervane/query/explain_log.h"
#include "tanagervane/query/query_engine.h"
#include "tanagervane/query/snapshot_chooser.h"
#include "tanagervane/query/types.h"
#include "tanagervane/routing/hedge_policy.h"
#include "tanagervane/routing/quarantine.h"
#include "tanagervane/routing/replica_selector.h"
#include "tanagervane/routing/replica_table.h"
#include "tanagervane/routing/retry_policy.h"

namespace tanagervane {

/// State and policies that all fan-outs share. Lives as long as the engine.
struct FanoutServices {
  ReplicaTable& table;
  ReplicaSelector& selector;
  HedgePolicy& hedging;
  RetryPolicy& retrying;
  Quarantine& quarantine;
  SnapshotChooser& snapshots;
  AttemptTable& attempts;
  QueryEngineStats& stats;
  const QueryEngineHooks& hooks;
  /// When a replica of a shard last shed an attempt, by index and shard.
  std::map<std::pair<std::string, uint32_t>, Millis>& last_shed_at;
};

/// The properties of one request that do not change while it runs.
struct FanoutRequest {
  /// The fan-out moves the payload out of it.
  QueryRequest* request = nullptr;
  const ClassSpec* spec = nullptr;
  Fingerprint fingerprint = 0;
  /// The request is sent to one replica, and sent again only after a failure
  /// that proves that it did not run.
  bool at_most_once = false;
  Millis deadline;
  /// Estimated latency of a complete answer of the class, zero while unknown.
  Millis estimated_latency;
  std::shared_ptr<RequestTrace> trace;
};

/// Sends the sub-requests of one request, hedges and retries them, and builds
/// the answer. All results come from one index version. If replicas no longer
/// hold that version and a newer one exists, the fan-out starts again on the
/// newer one. No attempt is open once the fan-out has finished.
class Fanout {
 public:
  Fanout(FanoutServices& services, FanoutRequest request, Snapshot snapshot);
  Fanout(const Fanout&) = delete;
  Fanout& operator=(const Fanout&) = delete;

  /// Sends the first attempt of each shard.
  void Start(Millis now);

  /// Processes the outcome of an open attempt of this fan-out.
  void OnReply(AttemptId id, const BackendReply& reply, Millis now);
  void OnFailure(AttemptId id, FailureKind kind, Millis now);

  /// Sends the hedges and retries that are due, or finishes the fan-out when
  /// its deadline has passed.
  void OnTimer(Millis now);

  /// Continues a fan-out for which waits_for_other_attempt() was true.
  void Resume(Millis now);

  /// Finishes the fan-out with a refusal, because the caller cancelled it.
  void Cancel(Millis now);

  bool finished() const { return m_answer.has_value(); }
  /// Moves the answer out. The fan-out must have finished.
  Answer TakeAnswer();

  const RequestId& request_id() const { return m_attempt_template.request_id; }

  /// True when the request is a quarantine suspect and its next sub-request is
  /// sent only once no other attempt with its fingerprint is in flight.
  bool waits_for_other_attempt() const { return m_waits_for_other_attempt; }

  /// When OnTimer() is due next.
  Millis next_timer() const { return m_next_timer; }

  /// False while the request is a quarantine suspect and an attempt with its
  /// fingerprint is in flight.
  static bool CanResume(const FanoutServices& services,
                        Fingerprint fingerprint,
                        Millis now);

 private:
  enum class ShardState {
    kReadyToSend,  ///< The next attempt is sent as soon as possible.
    kBackoff,      ///< A retry is due at `wake_at`.
    kInFlight,     ///< Attempts are open; a hedge may be due at `wake_at`.
    kSettled,
  };

  struct Shard {
    ShardState state = ShardState::kReadyToSend;
    /// When the next hedge or retry is due; empty when none is planned.
    std::optional<Millis> wake_at;
    uint32_t retries = 0;
    uint32_t attempts = 0;
    /// True once the retry policy allowed a retry. A replica that was tried
    /// before may then be used when no other one is left.
    bool may_repeat_replica = false;
    std::vector<AttemptId> open_attempts;
    std::vector<ReplicaId> tried_replicas;
    /// Replicas that rejected an attempt because they do not hold the version.
    std::vector<ReplicaId> replicas_without_version;
    std::vector<std::string> rows;
  };

  bool ReplyMatches(AttemptId id,
                    const OpenAttempt& attempt,
                    const BackendReply& reply) const;
  OpenAttempt CloseAttempt(AttemptId id);
  void RecordFailure(const OpenAttempt& attempt,
                     AttemptId id,
                     FailureKind kind,
                     Millis now);
  void RetryOrGiveUp(uint32_t shard_number, FailureKind kind, Millis now);
  /// Starts again on a newer index version. Returns false when there is none
  /// or too little time is left.
  bool TryRestart(Millis now);

  /// Sends what is ready, and finishes the fan-out when all shards are settled,
  /// enough rows have arrived or the deadline has passed.
  void Advance(Millis now);
  void SendReadyShards(Millis now);
  void SendNextAttempt(uint32_t shard_number, Millis now);
  std::optional<ReplicaId> PickReplica(uint32_t shard_number, Millis now);
  void OnNoReplica(uint32_t shard_number, Millis now);
  void Send(uint32_t shard_number,
            const ReplicaId& replica,
            AttemptRole role,
            Millis now);
  /// Sends the hedge that is due, or sets the timer to check again.
  void MaybeSendHedge(uint32_t shard_number, Millis now);
  /// Returns false when the hedge policy allows no hedge: the replicas of the
  /// shard are near their concurrency limits or recently shed an attempt, or
  /// the budget is spent.
  bool TrySpendHedgeBudget(uint32_t shard_number, Millis now);
  void ArmHedgeTimer(Shard& shard, Millis now);
  /// True when a replica holds the shard that is not leaving and not yet tried.
  bool HasUntriedHolder(uint32_t shard_number) const;
  /// True when no replica holds the shard at this index version, and a replica
  /// rejected an attempt for this reason or a newer version exists.
  bool IsVersionGone(uint32_t shard_number) const;

  void SettleAsMissing(uint32_t shard_number, MissingReason reason, Millis now);
  void CancelOpenAttempts(Shard& shard, Millis now);
  void CancelAllAttempts(Millis now);
  void SetShardTimer(Shard& shard, Millis at);
  void FinishAtDeadline(Millis now);
  void Finish(Millis now);
  void FinishWithRefusal(ErrorCode error, std::string detail, Millis now);
  Answer MakeAnswer();
  /// The refusal when too few shards are covered, nothing otherwise.
  std::optional<Refusal> RefusalForCoverage() const;
  /// Whether the request ran, as far as the outcomes of its attempts tell.
  Outcome outcome() const;

  std::string_view index() const { return m_request.spec->index; }
  Millis remaining(Millis now) const { return m_request.deadline - now; }

  FanoutServices& m_services;
  FanoutRequest m_request;
  Snapshot m_snapshot;
  Coverage m_coverage;
  std::vector<Shard> m_shards;
  /// Reused for each attempt, so that the payload is not copied for each.
  Attempt m_attempt_template;
  /// Shards in kReadyToSend.
  uint32_t m_ready_count = 0;
  /// Rows received from all shards.
  uint64_t m_row_count = 0;
  bool m_waits_for_other_attempt = false;
  Millis m_next_timer;

  uint32_t m_attempts_sent = 0;
  uint32_t m_attempts_proved_not_run = 0;
  /// True once a reply or a server error proved that an attempt ran.
  bool m_known_ran = false;
  std::optional<Answer> m_answer;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUERY_FANOUT_H_
