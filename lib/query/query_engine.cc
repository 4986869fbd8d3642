// The life cycle of requests: admission, fan-out, answer.

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

/// Concurrency limits move by one at a time, so a bound this old is still
/// accurate; adding it up for each request would cost more than its attempts.
constexpr Millis kBoundLifetime{20};

/// Weight of a new sample in the moving averages of service times.
constexpr double kSampleWeight = 0.1;

/// The expected service time never exceeds this share of the class's
/// deadline. Without a limit, a slow phase could raise it until every request
/// is refused, and no answer would ever lower it again.
constexpr double kMaxServiceShare = 0.5;

/// A request is started or queued only with this many times its usual latency
/// left. Under overload the queue holds as much as the deadline allows, so
/// that with less each second fan-out would end after its deadline and its
/// work would be lost.
constexpr double kServiceMargin = 2;

/// Shortest time after which a refused caller may come back.
constexpr Millis kOverloadRetryAfter{50};
constexpr Millis kNoReplicaRetryAfter{500};
constexpr Millis kQuarantineRetryAfter{600'000};

constexpr Millis kQuarantineExpiryPeriod{1000};

template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  const auto it = std::ranges::find(items, name, &T::name);
  return it == items.end() ? nullptr : &*it;
}

void AddSample(Millis& average, Millis sample) {
  average = average == Millis() ? sample
                                : average + (sample - average) * kSampleWeight;
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

  void Submit(const QueryRequest& request, bool once, Millis now);
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
  /// What is kept for each index. Lives as long as the process.
  struct IndexState {
    AdmissionQueue queue;
    /// Usual time for which a fan-out holds its unit.
    Millis holding_time;
    std::optional<Millis> bound_computed;
  };

  struct Request {
    uint64_t serial = 0;
    QueryRequest request;
    /// Keeps `spec` alive after a newer document came into force.
    std::shared_ptr<const Document> document;
    const ClassSpec* spec = nullptr;
    IndexState* index = nullptr;
    Fingerprint fingerprint = 0;
    bool once = false;
    Millis deadline;
    Millis started;
    std::shared_ptr<RequestTrace> trace;
    std::optional<Fanout> fanout;
    std::optional<Millis> timer;
  };

  std::optional<Refusal> Validate(const QueryRequest& request,
                                  bool once,
                                  Millis now) const;
  void Admit(Request& request, Millis now);
  std::optional<Refusal> Enqueue(Request& request, Millis now);
  void Start(Request& request, Millis now);
  /// Answers a finished request, or arms the timer of an unfinished one.
  void Settle(Request& request, Millis now);
  void RefuseUnsent(Request& request, Refusal refusal, Millis now);
  void Emit(const Answer& answer, RequestTrace& trace, Millis now);
  void Forget(Request& request);
  /// Starts queued requests and suspects whose turn has come.
  void ContinueWaiting(Millis now);
  void DrainQueue(IndexState& index, Millis now);
  void ResumeSuspects(Millis now);

  Millis UsualLatency(const ClassSpec& spec) const;
  Millis ExpectedService(const ClassSpec& spec) const;
  void RefreshBound(std::string_view name, IndexState& index, Millis now);
  void SetTimer(Request& request, std::optional<Millis> at);
  void OnReplicasChanged();
  void ReportLoss(const ReplicaId& id, Millis now);

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
  std::map<std::pair<std::string, uint32_t>, Millis> m_last_shed;
  FanoutServices m_services;

  std::shared_ptr<const Document> m_document;
  std::map<std::string, IndexState, std::less<>> m_indexes;
  /// Usual latency of complete answers, by class.
  std::map<std::string, Millis, std::less<>> m_usual_latency;
  /// Incarnation of each replica at the time its connection was lost.
  std::map<ReplicaId, uint64_t> m_lost;
  Millis m_quarantine_expired;

  uint64_t m_last_serial = 0;
  std::unordered_map<RequestId, std::unique_ptr<Request>> m_requests;
  std::unordered_map<uint64_t, Request*> m_by_serial;
  std::set<std::pair<Millis, uint64_t>> m_timers;
  /// Requests that wait for the end of another attempt of their fingerprint.
  std::map<Fingerprint, std::deque<uint64_t>> m_suspects;
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
      m_services{m_table,     m_selector, m_hedging, m_retrying, m_quarantine,
                 m_snapshots, m_attempts, m_stats,   m_hooks,    m_last_shed} {}

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
  m_lost.erase(replica);
  OnReplicasChanged();
}

void QueryEngine::Impl::OnReplicaStatus(const ReplicaId& id,
                                        const ReplicaStatus& status,
                                        Millis now) {
  const Replica* known = m_table.Find(id);
  const bool same = known != nullptr && known->has_status &&
                    known->status.incarnation == status.incarnation &&
                    known->status.state == status.state &&
                    known->status.versions == status.versions;
  m_table.OnStatus(id, status, now);
  if (const auto lost = m_lost.find(id); lost != m_lost.end()) {
    if (lost->second == status.incarnation) {
      m_quarantine.OnReplicaSurvived(id);
    }
    m_lost.erase(lost);
    ContinueWaiting(now);
  }
  if (!same) {
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
    index.bound_computed.reset();
  }
}

std::optional<Refusal> QueryEngine::Impl::Validate(const QueryRequest& request,
                                                   bool once,
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
  if (once && spec->shape != RequestShape::kOneServer) {
    return refuse(ErrorCode::kInvalidRequest,
                  "class \"" + spec->name + "\" asks more than one server");
  }
  if (!once && !spec->idempotent) {
    return refuse(ErrorCode::kInvalidRequest,
                  "class \"" + spec->name + "\" needs an idempotency key");
  }
  if (!std::isfinite(request.deadline.count())) {
    return refuse(ErrorCode::kInvalidRequest, "the deadline is not a number");
  }
  if (request.deadline <= now) {
    return refuse(ErrorCode::kDeadlineTooShort, "the deadline has passed");
  }
  return std::nullopt;
}

void QueryEngine::Impl::Submit(const QueryRequest& request,
                               bool once,
                               Millis now) {
  ++m_stats.submitted;
  const auto refuse = [&](Refusal refusal, RequestTrace& trace) {
    Answer answer;
    answer.request_id = request.id;
    answer.class_name = request.class_name;
    answer.tenant = request.tenant;
    answer.refusal = std::move(refusal);
    Emit(answer, trace, now);
  };
  if (m_requests.contains(request.id)) {
    // The request with this id does run, so "not run" would be untrue for it.
    RequestTrace unused;
    refuse({ErrorCode::kConflict, "a request with this id is running",
            Outcome::kUnknown, Millis()},
           unused);
    return;
  }
  std::shared_ptr<RequestTrace> trace = m_explain.Start(request.id);
  trace->Add(now, "submitted", -1, 0, request.class_name);
  if (std::optional<Refusal> refusal = Validate(request, once, now)) {
    refuse(std::move(*refusal), *trace);
    return;
  }
  auto owned = std::make_unique<Request>();
  Request& added = *owned;
  added.serial = ++m_last_serial;
  added.request = request;
  added.document = m_document;
  added.spec = FindByName(m_document->classes, request.class_name);
  added.index = &m_indexes[added.spec->index];
  added.fingerprint =
      MakeFingerprint(added.spec->name, added.spec->index, request.payload);
  added.once = once;
  added.deadline = std::min(request.deadline, now + added.spec->deadline);
  added.trace = std::move(trace);
  m_by_serial.emplace(added.serial, &added);
  m_requests.emplace(request.id, std::move(owned));
  Admit(added, now);
  ContinueWaiting(now);
}

void QueryEngine::Impl::Admit(Request& request, Millis now) {
  if (m_quarantine.Check(request.fingerprint, now) ==
      Quarantine::Verdict::kRefused) {
    RefuseUnsent(request,
                 {ErrorCode::kQuarantined,
                  "backend servers were lost while they ran this request",
                  Outcome::kNotRun, kQuarantineRetryAfter},
                 now);
    return;
  }
  RefreshBound(request.spec->index, *request.index, now);
  if (request.index->queue.TryAdmit(request.spec->urgency)) {
    Start(request, now);
    return;
  }
  if (std::optional<Refusal> refusal = Enqueue(request, now)) {
    RefuseUnsent(request, std::move(*refusal), now);
  }
}

std::optional<Refusal> QueryEngine::Impl::Enqueue(Request& request,
                                                  Millis now) {
  AdmissionQueue& queue = request.index->queue;
  const ClassSpec& spec = *request.spec;
  const Millis remaining = request.deadline - now;
  const Millis expected = ExpectedService(spec);
  const Millis wait = queue.EstimatedWait(spec.urgency, request.request.tenant,
                                          request.index->holding_time);
  const auto refuse = [wait](std::string detail) {
    return Refusal{ErrorCode::kOverloaded, std::move(detail), Outcome::kNotRun,
                   std::max(wait, kOverloadRetryAfter)};
  };
  if (remaining < expected) {
    return refuse("the remaining time is below the expected service time");
  }
  if (wait + expected > remaining) {
    return refuse("the estimated wait exceeds the remaining time");
  }
  if (!queue.Enqueue(request.serial, spec.urgency, request.request.tenant,
                     spec.name)) {
    return refuse("the queue of this class and tenant is full");
  }
  request.trace->Add(now, "queued");
  SetTimer(request, request.deadline - expected);
  return std::nullopt;
}

void QueryEngine::Impl::Start(Request& request, Millis now) {
  const std::optional<Snapshot> snapshot =
      m_snapshots.Choose(request.spec->index);
  const bool one_server = request.spec->shape == RequestShape::kOneServer;
  if (!snapshot || (one_server && snapshot->shard_count != 1)) {
    request.index->queue.Release(request.spec->urgency);
    RefuseUnsent(request,
                 {ErrorCode::kNoReplica,
                  snapshot ? "the index has more than one shard"
                           : "no backend server holds the index",
                  Outcome::kNotRun, kNoReplicaRetryAfter},
                 now);
    return;
  }
  request.started = now;
  request.fanout.emplace(
      m_services,
      FanoutRequest{.request = &request.request,
                    .spec = request.spec,
                    .fingerprint = request.fingerprint,
                    .once = request.once,
                    .deadline = request.deadline,
                    .usual_latency = UsualLatency(*request.spec),
                    .trace = request.trace},
      *snapshot);
  request.fanout->Start(now);
  Settle(request, now);
}

void QueryEngine::Impl::Settle(Request& request, Millis now) {
  Fanout& fanout = *request.fanout;
  if (!fanout.finished()) {
    SetTimer(request, fanout.next_timer());
    if (fanout.waits_for_turn()) {
      std::deque<uint64_t>& waiting = m_suspects[request.fingerprint];
      if (std::ranges::find(waiting, request.serial) == waiting.end()) {
        waiting.push_back(request.serial);
      }
    }
    return;
  }
  const Answer answer = fanout.TakeAnswer();
  request.index->queue.Release(request.spec->urgency);
  // A pause of this process is no part of the time that a unit is held.
  AddSample(request.index->holding_time,
            std::min(now, request.deadline) - request.started);
  if (answer.complete()) {
    AddSample(m_usual_latency[request.spec->name], now - request.started);
  }
  const std::shared_ptr<RequestTrace> trace = request.trace;
  Forget(request);
  Emit(answer, *trace, now);
}

void QueryEngine::Impl::RefuseUnsent(Request& request,
                                     Refusal refusal,
                                     Millis now) {
  assert(!request.fanout && "a request that was never sent has no fan-out");
  Answer answer;
  answer.request_id = request.request.id;
  answer.class_name = request.spec->name;
  answer.tenant = request.request.tenant;
  answer.index = request.spec->index;
  answer.refusal = std::move(refusal);
  const std::shared_ptr<RequestTrace> trace = request.trace;
  Forget(request);
  Emit(answer, *trace, now);
}

void QueryEngine::Impl::Emit(const Answer& answer,
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

void QueryEngine::Impl::Forget(Request& request) {
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
    Settle(request, now);
  } else {
    const bool waited = request.index->queue.Remove(request.serial);
    assert(waited && "a request without a fan-out waits in the queue");
    static_cast<void>(waited);
    RefuseUnsent(request,
                 {ErrorCode::kCancelled, "the caller cancelled the request",
                  Outcome::kNotRun, Millis()},
                 now);
  }
  ContinueWaiting(now);
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
  Settle(request, now);
  ContinueWaiting(now);
}

void QueryEngine::Impl::OnFailure(AttemptId id, FailureKind kind, Millis now) {
  const OpenAttempt* attempt = m_attempts.Find(id);
  if (attempt == nullptr) {
    return;
  }
  if (kind == FailureKind::kConnectionLost) {
    ReportLoss(attempt->replica, now);
  }
  Fanout& fanout = *attempt->fanout;
  Request& request = *m_requests.find(fanout.request_id())->second;
  fanout.OnFailure(id, kind, now);
  if (kind == FailureKind::kDraining || kind == FailureKind::kVersionGone) {
    OnReplicasChanged();
  }
  Settle(request, now);
  ContinueWaiting(now);
}

void QueryEngine::Impl::ReportLoss(const ReplicaId& id, Millis now) {
  const Replica* replica = m_table.Find(id);
  // A replica that was told to stop did not crash.
  if (replica == nullptr || replica->leaving) {
    return;
  }
  m_quarantine.OnReplicaLost(id, m_attempts.InFlightAt(*replica), now);
  m_lost[id] = replica->status.incarnation;
}

void QueryEngine::Impl::OnTick(Millis now) {
  if (now - m_quarantine_expired >= kQuarantineExpiryPeriod) {
    m_quarantine_expired = now;
    m_quarantine.Expire(now);
  }
  while (!m_timers.empty() && m_timers.begin()->first <= now) {
    Request& request = *m_by_serial.at(m_timers.begin()->second);
    SetTimer(request, std::nullopt);
    if (request.fanout) {
      request.fanout->OnTimer(now);
      Settle(request, now);
      continue;
    }
    request.index->queue.Remove(request.serial);
    RefuseUnsent(request,
                 {ErrorCode::kOverloaded,
                  "the remaining time is below the expected service time",
                  Outcome::kNotRun, kOverloadRetryAfter},
                 now);
  }
  ContinueWaiting(now);
}

void QueryEngine::Impl::ContinueWaiting(Millis now) {
  for (auto& [name, index] : m_indexes) {
    if (index.queue.queued() > 0) {
      RefreshBound(name, index, now);
      DrainQueue(index, now);
    }
  }
  if (!m_suspects.empty()) {
    ResumeSuspects(now);
  }
}

void QueryEngine::Impl::DrainQueue(IndexState& index, Millis now) {
  while (const auto serial = index.queue.Next()) {
    Request& request = *m_by_serial.at(*serial);
    const Millis remaining = request.deadline - now;
    if (remaining <= Millis() || remaining < ExpectedService(*request.spec)) {
      index.queue.Release(request.spec->urgency);
      RefuseUnsent(request,
                   {ErrorCode::kOverloaded,
                    "the remaining time is below the expected service time",
                    Outcome::kNotRun, kOverloadRetryAfter},
                   now);
      continue;
    }
    Start(request, now);
  }
}

void QueryEngine::Impl::ResumeSuspects(Millis now) {
  std::vector<Fingerprint> fingerprints;
  fingerprints.reserve(m_suspects.size());
  for (const auto& [fingerprint, waiting] : m_suspects) {
    fingerprints.push_back(fingerprint);
  }
  for (const Fingerprint fingerprint : fingerprints) {
    while (Fanout::MayRun(m_services, fingerprint, now)) {
      const auto it = m_suspects.find(fingerprint);
      if (it == m_suspects.end()) {
        break;
      }
      const uint64_t serial = it->second.front();
      it->second.pop_front();
      if (it->second.empty()) {
        m_suspects.erase(it);
      }
      const auto request = m_by_serial.find(serial);
      if (request == m_by_serial.end()) {
        continue;
      }
      request->second->fanout->Resume(now);
      Settle(*request->second, now);
    }
  }
}

Millis QueryEngine::Impl::UsualLatency(const ClassSpec& spec) const {
  const auto it = m_usual_latency.find(spec.name);
  return it == m_usual_latency.end()
             ? Millis()
             : std::min(it->second, spec.deadline * kMaxServiceShare);
}

Millis QueryEngine::Impl::ExpectedService(const ClassSpec& spec) const {
  return std::min(UsualLatency(spec) * kServiceMargin,
                  spec.deadline * kMaxServiceShare);
}

void QueryEngine::Impl::RefreshBound(std::string_view name,
                                     IndexState& index,
                                     Millis now) {
  if (!m_options.policy.admission || !m_document) {
    return;
  }
  if (index.bound_computed && now - *index.bound_computed < kBoundLifetime) {
    return;
  }
  index.bound_computed = now;
  uint32_t bound = std::numeric_limits<uint32_t>::max();
  if (const auto snapshot = m_snapshots.Choose(name)) {
    for (uint32_t shard = 0; shard < snapshot->shard_count; ++shard) {
      const uint32_t limit =
          m_selector.Capacity(name, snapshot->version, shard, now).limit;
      // A shard without a replica delays no fan-out: it is missing at once.
      if (limit > 0) {
        bound = std::min(bound, limit);
      }
    }
  }
  index.queue.SetBound(bound);
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
  m_impl->Submit(request, /*once=*/false, now);
}

void QueryEngine::SubmitOnce(const QueryRequest& request, Millis now) {
  m_impl->Submit(request, /*once=*/true, now);
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
