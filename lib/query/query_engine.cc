#include "tanagervane/query/query_engine.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "tanagervane/query/admission_queue.h"
#include "tanagervane/query/attempt_table.h"
#include "tanagervane/query/explain_log.h"
#include "tanagervane/query/fanout.h"
#include "tanagervane/query/snapshot_chooser.h"
#include "tanagervane/routing/hedge_policy.h"
#include "tanagervane/routing/replica_selector.h"
#include "tanagervane/routing/replica_table.h"
#include "tanagervane/routing/retry_policy.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

/// How long the computed concurrency limit of an index is used. The limits of
/// replicas change by one at a time, so an older value is still accurate.
/// Computing it for each request would cost more than its attempts.
constexpr Millis kConcurrencyLimitLifetime{20};

/// Weight of a new sample in the moving averages of latencies and holding
/// times.
constexpr double kNewSampleWeight = 0.1;

/// The estimated latency and the required service time never exceed this
/// fraction of the class's timeout. Without the limit, a slow period could
/// raise them until all requests are refused, and without answers they would
/// never fall again.
constexpr double kMaxEstimateDeadlineFraction = 0.5;

/// A request that was not admitted at once is queued or started only while at
/// least this many times its estimated latency is left. Under overload,
/// requests wait in the queue for as long as their deadline allows; with less
/// time left, half of the fan-outs would end after the deadline and their work
/// would be lost.
constexpr double kRequiredLatencyMultiple = 2;

/// Minimum `retry_after` of a request that is refused because of overload.
constexpr Millis kOverloadRetryAfter{50};
constexpr Millis kNoReplicaRetryAfter{500};
constexpr Millis kQuarantineRetryAfter{600'000};

constexpr Millis kQuarantineExpiryInterval{1000};

template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  const auto it = std::ranges::find(items, name, &T::name);
  return it == items.end() ? nullptr : &*it;
}

void UpdateMovingAverage(Millis& average, Millis sample) {
  average = average == Millis()
                ? sample
                : average + (sample - average) * kNewSampleWeight;
}

Refusal Overloaded(std::string detail, Millis retry_after) {
  return {ErrorCode::kOverloaded, std::move(detail), Outcome::kNotRun,
          retry_after};
}

Refusal TooLittleTimeLeft(Millis retry_after) {
  return Overloaded(
      "the time left before the deadline is below the required service time",
      retry_after);
}

}  // namespace

class QueryEngine::Impl {
 public:
  Impl(QueryEngineOptions options, QueryEngineHooks hooks);

  void ApplyDocument(const Document& document);
  void UpsertReplica(const ReplicaInfo& replica, Millis now);
  void SetReplicaLeaving(const ReplicaId& replica);
  void RemoveReplica(const ReplicaId& replica);
  void OnReplicaStatus(const ReplicaId& id,
                       const ReplicaStatus& status,
                       Millis now);
  void OnReplicaStatusFailed(const ReplicaId& replica, Millis now);

  void Submit(const QueryRequest& request, bool at_most_once, Millis now);
  void Cancel(const RequestId& id, Millis now);
  void OnReply(AttemptId id, const BackendReply& reply, Millis now);
  void OnFailure(AttemptId id, FailureKind kind, Millis now);
  void OnTick(Millis now);
  std::optional<Millis> NextTimer() const;

  Quarantine& quarantine() { return m_quarantine; }
  const ExplainLog& explain() const { return m_explain; }
  SnapshotChooser& snapshots() { return m_snapshots; }
  QueryEngineStats stats() const;

 private:
  /// State of one index. Never removed while the engine lives.
  struct IndexState {
    AdmissionQueue queue;
    /// Moving average of the time for which a fan-out holds its permit.
    Millis holding_time;
    /// When the concurrency limit was computed; empty when it is stale.
    std::optional<Millis> limit_computed_at;
  };

  /// A request between its submission and its answer.
  struct Request {
    /// Never reused, unlike the caller's request id.
    uint64_t serial = 0;
    QueryRequest request;
    /// Keeps `spec` alive after a newer document was applied.
    std::shared_ptr<const Document> document;
    const ClassSpec* spec = nullptr;
    IndexState* index = nullptr;
    Fingerprint fingerprint = 0;
    bool at_most_once = false;
    Millis deadline;
    Millis started_at;
    std::shared_ptr<RequestTrace> trace;
    std::optional<Fanout> fanout;
    std::optional<Millis> timer;
  };

  std::optional<Refusal> Validate(const QueryRequest& request,
                                  bool at_most_once,
                                  Millis now) const;
  /// Starts, queues or refuses a submitted request.
  void Admit(Request& request, Millis now);
  std::optional<Refusal> Enqueue(Request& request, Millis now);
  void Start(Request& request, Millis now);
  /// Answers a finished request. For an unfinished one, arms its timer and
  /// remembers whether it waits for another attempt.
  void AnswerOrArmTimer(Request& request, Millis now);
  void RefuseBeforeStart(Request& request, Refusal refusal, Millis now);
  void DeliverAnswer(const Answer& answer, RequestTrace& trace, Millis now);
  void EraseRequest(Request& request);
  /// Starts queued requests that may run now and resumes suspects that no
  /// longer wait for another attempt.
  void ContinueWaitingRequests(Millis now);
  void StartQueued(IndexState& index, Millis now);
  void ResumeSuspects(Millis now);

  /// The average latency of complete answers of a class, zero while unknown.
  Millis EstimatedLatency(const ClassSpec& spec) const;
  /// The time before its deadline by which a queued request must start.
  Millis RequiredServiceTime(const ClassSpec& spec) const;
  /// Sets the limit of the index to the smallest limit of its shards, unless it
  /// was computed recently.
  void RefreshConcurrencyLimit(std::string_view name,
                               IndexState& index,
                               Millis now);
  void SetTimer(Request& request, std::optional<Millis> at);
  /// Drops all cached values that depend on replicas.
  void OnReplicasChanged();
  /// Reports to the quarantine which requests were in flight at a replica whose
  /// connection was lost.
  void RecordReplicaLoss(const ReplicaId& id, Millis now);

  const QueryEngineOptions m_options;
  const QueryEngineHooks m_hooks;

  ReplicaTable m_table;
  ReplicaSelector m_selector;
  HedgePolicy m_hedging;
  RetryPolicy m_retrying;
  Quarantine m_quarantine;
  SnapshotChooser m_snapshots;
  AttemptTable m_attempts;
  ExplainLog m_explain;
  QueryEngineStats m_stats;
  std::map<std::pair<std::string, uint32_t>, Millis> m_last_shed_at;
  FanoutServices m_services;

  std::shared_ptr<const Document> m_document;
  std::map<std::string, IndexState, std::less<>> m_indexes;
  /// Moving average of the latency of complete answers, by class.
  std::map<std::string, Millis, std::less<>> m_average_latency;
  /// The incarnation of each replica whose connection was lost, until its next
  /// status shows whether it crashed.
  std::map<ReplicaId, uint64_t> m_incarnation_when_lost;
  Millis m_quarantine_expired_at;

  uint64_t m_last_serial = 0;
  std::unordered_map<RequestId, std::unique_ptr<Request>> m_requests;
  std::unordered_map<uint64_t, Request*> m_by_serial;
  /// Pairs of due time and serial.
  std::set<std::pair<Millis, uint64_t>> m_timers;
  /// Serials of the requests for which waits_for_other_attempt() holds.
  std::map<Fingerprint, std::deque<uint64_t>> m_waiting_suspects;
};

QueryEngine::Impl::Impl(QueryEngineOptions options, QueryEngineHooks hooks)
    : m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_table(m_options.policy),
      m_selector(m_table,
                 m_options.policy,
                 m_options.data_centre,
                 m_options.seed),
      m_hedging(m_options.policy.hedging),
      m_retrying(m_options.seed + 1),
      m_quarantine(m_options.policy.quarantine),
      m_snapshots(m_table),
      m_services{m_table,      m_selector,    m_hedging,  m_retrying,
                 m_quarantine, m_snapshots,   m_attempts, m_stats,
                 m_hooks,      m_last_shed_at} {}

void QueryEngine::Impl::ApplyDocument(const Document& document) {
  m_document = std::make_shared<const Document>(document);
  for (const IndexSpec& spec : m_document->indexes) {
    m_indexes[spec.name].queue.SetShares(m_document->tenants);
  }
}

void QueryEngine::Impl::UpsertReplica(const ReplicaInfo& replica, Millis now) {
  m_table.Upsert(replica, now);
  OnReplicasChanged();
}

void QueryEngine::Impl::SetReplicaLeaving(const ReplicaId& replica) {
  m_table.SetLeaving(replica);
  OnReplicasChanged();
}

void QueryEngine::Impl::RemoveReplica(const ReplicaId& replica) {
  m_table.Remove(replica);
  m_incarnation_when_lost.erase(replica);
  OnReplicasChanged();
}

void QueryEngine::Impl::OnReplicaStatus(const ReplicaId& id,
                                        const ReplicaStatus& status,
                                        Millis now) {
  const Replica* known = m_table.Find(id);
  const bool unchanged = known != nullptr && known->has_status &&
                         known->status.incarnation == status.incarnation &&
                         known->status.state == status.state &&
                         known->status.versions == status.versions;
  m_table.OnStatus(id, status, now);
  if (const auto lost = m_incarnation_when_lost.find(id);
      lost != m_incarnation_when_lost.end()) {
    if (lost->second == status.incarnation) {
      m_quarantine.OnCrashRuledOut(id);
    }
    m_incarnation_when_lost.erase(lost);
    ContinueWaitingRequests(now);
  }
  if (!unchanged) {
    OnReplicasChanged();
  }
}

void QueryEngine::Impl::OnReplicaStatusFailed(const ReplicaId& replica,
                                              Millis now) {
  m_table.OnStatusFailed(replica, now);
  OnReplicasChanged();
}

void QueryEngine::Impl::OnReplicasChanged() {
  m_snapshots.Invalidate();
  for (auto& [name, index] : m_indexes) {
    index.limit_computed_at.reset();
  }
}

std::optional<Refusal> QueryEngine::Impl::Validate(const QueryRequest& request,
                                                   bool at_most_once,
                                                   Millis now) const {
  const auto refuse = [](ErrorCode code, std::string detail) {
    return Refusal{code, std::move(detail), Outcome::kNotRun, Millis()};
  };
  if (!m_document) {
    return refuse(ErrorCode::kNotReady, "no document is in force");
  }
  if (request.id.empty()) {
    return refuse(ErrorCode::kInvalidRequest, "the request id is empty");
  }
  const ClassSpec* spec = FindByName(m_document->classes, request.class_name);
  if (spec == nullptr) {
    return refuse(ErrorCode::kUnknownClass,
                  "class \"" + request.class_name + "\" does not exist");
  }
  if (FindByName(m_document->tenants, request.tenant) == nullptr) {
    return refuse(ErrorCode::kUnknownTenant,
                  "tenant \"" + request.tenant + "\" does not exist");
  }
  if (at_most_once && spec->shape != RequestShape::kOneServer) {
    return refuse(
        ErrorCode::kInvalidRequest,
        "class \"" + spec->name +
            "\" is not of shape one_server and cannot run as an order");
  }
  if (!at_most_once && !spec->idempotent) {
    return refuse(ErrorCode::kInvalidRequest,
                  "class \"" + spec->name +
                      "\" is not idempotent and needs an idempotency key");
  }
  if (!std::isfinite(request.deadline.count())) {
    return refuse(ErrorCode::kInvalidRequest,
                  "the deadline is not a finite number");
  }
  if (request.deadline <= now) {
    return refuse(ErrorCode::kDeadlineTooShort, "the deadline has passed");
  }
  return std::nullopt;
}

void QueryEngine::Impl::Submit(const QueryRequest& request,
                               bool at_most_once,
                               Millis now) {
  ++m_stats.submitted;
  const auto refuse = [&](Refusal refusal, RequestTrace& trace) {
    Answer answer;
    answer.request_id = request.id;
    answer.class_name = request.class_name;
    answer.tenant = request.tenant;
    answer.refusal = std::move(refusal);
    DeliverAnswer(answer, trace, now);
  };
  if (m_requests.contains(request.id)) {
    // The request that already has this id may run, so kNotRun would be wrong.
    RequestTrace unused;
    refuse({ErrorCode::kConflict, "a request with this id is running",
            Outcome::kUnknown, Millis()},
           unused);
    return;
  }
  std::shared_ptr<RequestTrace> trace = m_explain.Start(request.id);
  trace->Add(now, "submitted", -1, 0, request.class_name);
  if (std::optional<Refusal> refusal = Validate(request, at_most_once, now)) {
    refuse(std::move(*refusal), *trace);
    return;
  }
  auto new_request = std::make_unique<Request>();
  Request& added = *new_request;
  added.serial = ++m_last_serial;
  added.request = request;
  added.document = m_document;
  added.spec = FindByName(m_document->classes, request.class_name);
  added.index = &m_indexes[added.spec->index];
  added.fingerprint =
      MakeFingerprint(added.spec->name, added.spec->index, request.payload);
  added.at_most_once = at_most_once;
  added.deadline = std::min(request.deadline, now + added.spec->timeout);
  added.trace = std::move(trace);
  m_by_serial.emplace(added.serial, &added);
  m_requests.emplace(request.id, std::move(new_request));
  Admit(added, now);
  ContinueWaitingRequests(now);
}

void QueryEngine::Impl::Admit(Request& request, Millis now) {
  if (m_quarantine.Check(request.fingerprint, now) ==
      Quarantine::Verdict::kRefused) {
    RefuseBeforeStart(request,
                      {ErrorCode::kQuarantined,
                       "backend servers were lost while they ran this request",
                       Outcome::kNotRun, kQuarantineRetryAfter},
                      now);
    return;
  }
  RefreshConcurrencyLimit(request.spec->index, *request.index, now);
  if (request.index->queue.TryAdmit(request.spec->urgency)) {
    Start(request, now);
    return;
  }
  if (std::optional<Refusal> refusal = Enqueue(request, now)) {
    RefuseBeforeStart(request, std::move(*refusal), now);
  }
}

std::optional<Refusal> QueryEngine::Impl::Enqueue(Request& request,
                                                  Millis now) {
  AdmissionQueue& queue = request.index->queue;
  const ClassSpec& spec = *request.spec;
  const Millis remaining = request.deadline - now;
  const Millis required = RequiredServiceTime(spec);
  const Millis wait = queue.EstimatedWait(spec.urgency, request.request.tenant,
                                          request.index->holding_time);
  const Millis retry_after = std::max(wait, kOverloadRetryAfter);
  if (remaining < required) {
    return TooLittleTimeLeft(retry_after);
  }
  if (wait + required > remaining) {
    return Overloaded(
        "the estimated wait in the queue leaves too little time before the "
        "deadline",
        retry_after);
  }
  if (!queue.Enqueue(request.serial, spec.urgency, request.request.tenant,
                     spec.name)) {
    return Overloaded("the queue of this class and tenant is full",
                      retry_after);
  }
  request.trace->Add(now, "queued");
  SetTimer(request, request.deadline - required);
  return std::nullopt;
}

void QueryEngine::Impl::Start(Request& request, Millis now) {
  const std::optional<Snapshot> snapshot =
      m_snapshots.Choose(request.spec->index);
  const bool one_server = request.spec->shape == RequestShape::kOneServer;
  if (!snapshot || (one_server && snapshot->shard_count != 1)) {
    request.index->queue.Release(request.spec->urgency);
    RefuseBeforeStart(
        request,
        {ErrorCode::kNoReplica,
         snapshot ? "a one_server class needs an index with one shard, but "
                    "the index has more"
                  : "no live backend server holds the index",
         Outcome::kNotRun, kNoReplicaRetryAfter},
        now);
    return;
  }
  request.started_at = now;
  request.fanout.emplace(
      m_services,
      FanoutRequest{.request = &request.request,
                    .spec = request.spec,
                    .fingerprint = request.fingerprint,
                    .at_most_once = request.at_most_once,
                    .deadline = request.deadline,
                    .estimated_latency = EstimatedLatency(*request.spec),
                    .trace = request.trace},
      *snapshot);
  request.fanout->Start(now);
  AnswerOrArmTimer(request, now);
}

void QueryEngine::Impl::AnswerOrArmTimer(Request& request, Millis now) {
  Fanout& fanout = *request.fanout;
  if (!fanout.finished()) {
    SetTimer(request, fanout.next_timer());
    if (fanout.waits_for_other_attempt()) {
      std::deque<uint64_t>& waiting = m_waiting_suspects[request.fingerprint];
      if (std::ranges::find(waiting, request.serial) == waiting.end()) {
        waiting.push_back(request.serial);
      }
    }
    return;
  }
  const Answer answer = fanout.TakeAnswer();
  request.index->queue.Release(request.spec->urgency);
  // Time after the deadline is not counted: it comes from a pause of this
  // process, not from the fan-out.
  UpdateMovingAverage(request.index->holding_time,
                      std::min(now, request.deadline) - request.started_at);
  if (answer.complete()) {
    UpdateMovingAverage(m_average_latency[request.spec->name],
                        now - request.started_at);
  }
  const std::shared_ptr<RequestTrace> trace = request.trace;
  EraseRequest(request);
  DeliverAnswer(answer, *trace, now);
}

void QueryEngine::Impl::RefuseBeforeStart(Request& request,
                                          Refusal refusal,
                                          Millis now) {
  assert(!request.fanout && "a request that was not sent has no fan-out");
  Answer answer;
  answer.request_id = request.request.id;
  answer.class_name = request.spec->name;
  answer.tenant = request.request.tenant;
  answer.index = request.spec->index;
  answer.refusal = std::move(refusal);
  const std::shared_ptr<RequestTrace> trace = request.trace;
  EraseRequest(request);
  DeliverAnswer(answer, *trace, now);
}

void QueryEngine::Impl::DeliverAnswer(const Answer& answer,
                                      RequestTrace& trace,
                                      Millis now) {
  if (answer.refusal) {
    ++m_stats.refused;
    trace.Add(now, "refused", -1, 0, ToString(answer.refusal->error));
  } else {
    ++m_stats.answered;
    trace.Add(now, answer.complete() ? "answered" : "answered in part");
  }
  m_hooks.answer(answer);
}

void QueryEngine::Impl::EraseRequest(Request& request) {
  SetTimer(request, std::nullopt);
  m_by_serial.erase(request.serial);
  const auto it = m_requests.find(request.request.id);
  assert(it != m_requests.end() && "a request is answered once");
  m_requests.erase(it);
}

void QueryEngine::Impl::Cancel(const RequestId& id, Millis now) {
  const auto it = m_requests.find(id);
  if (it == m_requests.end()) {
    return;
  }
  Request& request = *it->second;
  if (request.fanout) {
    request.fanout->Cancel(now);
    AnswerOrArmTimer(request, now);
  } else {
    const bool was_queued = request.index->queue.Remove(request.serial);
    assert(was_queued && "a request without a fan-out is queued");
    static_cast<void>(was_queued);
    RefuseBeforeStart(
        request,
        {ErrorCode::kCancelled, "the caller cancelled the request",
         Outcome::kNotRun, Millis()},
        now);
  }
  ContinueWaitingRequests(now);
}

void QueryEngine::Impl::OnReply(AttemptId id,
                                const BackendReply& reply,
                                Millis now) {
  const OpenAttempt* attempt = m_attempts.Find(id);
  if (attempt == nullptr) {
    ++m_stats.dropped_replies;
    return;
  }
  Fanout& fanout = *attempt->fanout;
  Request& request = *m_requests.find(fanout.request_id())->second;
  fanout.OnReply(id, reply, now);
  AnswerOrArmTimer(request, now);
  ContinueWaitingRequests(now);
}

void QueryEngine::Impl::OnFailure(AttemptId id, FailureKind kind, Millis now) {
  const OpenAttempt* attempt = m_attempts.Find(id);
  if (attempt == nullptr) {
    return;
  }
  if (kind == FailureKind::kConnectionLost) {
    RecordReplicaLoss(attempt->replica, now);
  }
  Fanout& fanout = *attempt->fanout;
  Request& request = *m_requests.find(fanout.request_id())->second;
  fanout.OnFailure(id, kind, now);
  if (kind == FailureKind::kDraining || kind == FailureKind::kVersionGone) {
    OnReplicasChanged();
  }
  AnswerOrArmTimer(request, now);
  ContinueWaitingRequests(now);
}

void QueryEngine::Impl::RecordReplicaLoss(const ReplicaId& id, Millis now) {
  const Replica* replica = m_table.Find(id);
  // A leaving replica was stopped on purpose; it did not crash.
  if (replica == nullptr || replica->leaving) {
    return;
  }
  m_quarantine.OnReplicaLost(id, m_attempts.RequestsInFlightAt(*replica), now);
  m_incarnation_when_lost[id] = replica->status.incarnation;
}

void QueryEngine::Impl::OnTick(Millis now) {
  if (now - m_quarantine_expired_at >= kQuarantineExpiryInterval) {
    m_quarantine_expired_at = now;
    m_quarantine.Expire(now);
  }
  while (!m_timers.empty() && m_timers.begin()->first <= now) {
    Request& request = *m_by_serial.at(m_timers.begin()->second);
    SetTimer(request, std::nullopt);
    if (request.fanout) {
      request.fanout->OnTimer(now);
      AnswerOrArmTimer(request, now);
      continue;
    }
    request.index->queue.Remove(request.serial);
    RefuseBeforeStart(request, TooLittleTimeLeft(kOverloadRetryAfter), now);
  }
  ContinueWaitingRequests(now);
}

void QueryEngine::Impl::ContinueWaitingRequests(Millis now) {
  for (auto& [name, index] : m_indexes) {
    if (index.queue.queued() > 0) {
      RefreshConcurrencyLimit(name, index, now);
      StartQueued(index, now);
    }
  }
  if (!m_waiting_suspects.empty()) {
    ResumeSuspects(now);
  }
}

void QueryEngine::Impl::StartQueued(IndexState& index, Millis now) {
  while (const auto serial = index.queue.AdmitNext()) {
    Request& request = *m_by_serial.at(*serial);
    const Millis remaining = request.deadline - now;
    if (remaining <= Millis() ||
        remaining < RequiredServiceTime(*request.spec)) {
      index.queue.Release(request.spec->urgency);
      RefuseBeforeStart(request, TooLittleTimeLeft(kOverloadRetryAfter), now);
      continue;
    }
    Start(request, now);
  }
}

void QueryEngine::Impl::ResumeSuspects(Millis now) {
  std::vector<Fingerprint> fingerprints;
  fingerprints.reserve(m_waiting_suspects.size());
  for (const auto& [fingerprint, waiting] : m_waiting_suspects) {
    fingerprints.push_back(fingerprint);
  }
  for (const Fingerprint fingerprint : fingerprints) {
    while (Fanout::CanResume(m_services, fingerprint, now)) {
      const auto it = m_waiting_suspects.find(fingerprint);
      if (it == m_waiting_suspects.end()) {
        break;
      }
      const uint64_t serial = it->second.front();
      it->second.pop_front();
      if (it->second.empty()) {
        m_waiting_suspects.erase(it);
      }
      const auto request = m_by_serial.find(serial);
      if (request == m_by_serial.end()) {
        continue;
      }
      request->second->fanout->Resume(now);
      AnswerOrArmTimer(*request->second, now);
    }
  }
}

Millis QueryEngine::Impl::EstimatedLatency(const ClassSpec& spec) const {
  const auto it = m_average_latency.find(spec.name);
  return it == m_average_latency.end()
             ? Millis()
             : std::min(it->second,
                        spec.timeout * kMaxEstimateDeadlineFraction);
}

Millis QueryEngine::Impl::RequiredServiceTime(const ClassSpec& spec) const {
  return std::min(EstimatedLatency(spec) * kRequiredLatencyMultiple,
                  spec.timeout * kMaxEstimateDeadlineFraction);
}

void QueryEngine::Impl::RefreshConcurrencyLimit(std::string_view name,
                                                IndexState& index,
                                                Millis now) {
  if (!m_options.policy.admission || !m_document) {
    return;
  }
  if (index.limit_computed_at &&
      now - *index.limit_computed_at < kConcurrencyLimitLifetime) {
    return;
  }
  index.limit_computed_at = now;
  uint32_t concurrency_limit = std::numeric_limits<uint32_t>::max();
  if (const auto snapshot = m_snapshots.Choose(name)) {
    for (uint32_t shard = 0; shard < snapshot->shard_count; ++shard) {
      const uint32_t shard_limit =
          m_selector.Capacity(name, snapshot->version, shard, now).limit;
      // A shard without a replica is reported missing at once, so it does not
      // limit how many fan-outs can run.
      if (shard_limit > 0) {
        concurrency_limit = std::min(concurrency_limit, shard_limit);
      }
    }
  }
  index.queue.SetConcurrencyLimit(concurrency_limit);
}

void QueryEngine::Impl::SetTimer(Request& request, std::optional<Millis> at) {
  if (request.timer == at) {
    return;
  }
  if (request.timer) {
    m_timers.erase({*request.timer, request.serial});
  }
  request.timer = at;
  if (at) {
    m_timers.emplace(*at, request.serial);
  }
}

std::optional<Millis> QueryEngine::Impl::NextTimer() const {
  return m_timers.empty() ? std::nullopt
                          : std::optional<Millis>(m_timers.begin()->first);
}

QueryEngineStats QueryEngine::Impl::stats() const {
  QueryEngineStats stats = m_stats;
  for (const auto& [name, index] : m_indexes) {
    stats.running += index.queue.running();
    stats.queued += index.queue.queued();
  }
  return stats;
}

QueryEngine::QueryEngine(QueryEngineOptions options, QueryEngineHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(hooks))) {}

QueryEngine::~QueryEngine() = default;

void QueryEngine::ApplyDocument(const Document& document, Millis /*now*/) {
  m_impl->ApplyDocument(document);
}

void QueryEngine::UpsertReplica(const ReplicaInfo& replica, Millis now) {
  m_impl->UpsertReplica(replica, now);
}

void QueryEngine::SetReplicaLeaving(const ReplicaId& replica, Millis /*now*/) {
  m_impl->SetReplicaLeaving(replica);
}

void QueryEngine::RemoveReplica(const ReplicaId& replica, Millis /*now*/) {
  m_impl->RemoveReplica(replica);
}

void QueryEngine::OnReplicaStatus(const ReplicaId& replica,
                                  const ReplicaStatus& status,
                                  Millis now) {
  m_impl->OnReplicaStatus(replica, status, now);
}

void QueryEngine::OnReplicaStatusFailed(const ReplicaId& replica, Millis now) {
  m_impl->OnReplicaStatusFailed(replica, now);
}

void QueryEngine::Submit(const QueryRequest& request, Millis now) {
  m_impl->Submit(request, /*at_most_once=*/false, now);
}

void QueryEngine::SubmitAtMostOnce(const QueryRequest& request, Millis now) {
  m_impl->Submit(request, /*at_most_once=*/true, now);
}

void QueryEngine::Cancel(const RequestId& request, Millis now) {
  m_impl->Cancel(request, now);
}

void QueryEngine::OnReply(AttemptId attempt,
                          const BackendReply& reply,
                          Millis now) {
  m_impl->OnReply(attempt, reply, now);
}

void QueryEngine::OnFailure(AttemptId attempt, FailureKind kind, Millis now) {
  m_impl->OnFailure(attempt, kind, now);
}

void QueryEngine::OnTick(Millis now) {
  m_impl->OnTick(now);
}

std::optional<Millis> QueryEngine::NextTimer() const {
  return m_impl->NextTimer();
}

std::vector<QuarantineRecord> QueryEngine::ExportQuarantine(Millis now) const {
  return m_impl->quarantine().Export(now);
}

void QueryEngine::MergeQuarantine(std::span<const QuarantineRecord> records,
                                  Millis now) {
  m_impl->quarantine().Merge(records, now);
}

QueryEngineStats QueryEngine::stats() const {
  return m_impl->stats();
}

std::vector<ExplainEvent> QueryEngine::Explain(std::string_view request) const {
  return m_impl->explain().Find(request);
}

uint64_t QueryEngine::ChosenVersion(std::string_view index,
                                    Millis /*now*/) const {
  const auto snapshot = m_impl->snapshots().Choose(index);
  return snapshot ? snapshot->version : 0;
}

}  // namespace tanagervane
