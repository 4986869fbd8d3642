// Implements the life cycle, requests and orders of EntryCore.

#include "tanagervane/edge/entry_core.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "fmt/format.h"
#include "tanagervane/document/parser.h"
#include "tanagervane/support/hash.h"
#include "tanagervane/support/json_object.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr Millis kTickInterval(10);
constexpr Millis kVmListTimeout(10000);
constexpr Millis kMinVmListRetryDelay(500);
// With retries every 500 ms, 3,400 entries would send 6,800 calls/s to a
// platform that serves 2,000.
constexpr Millis kMaxVmListRetryDelay(5000);
// After this time an entry serves even if its backend servers hold no complete
// version of some index: callers then get a refusal that names the reason
// instead of no answer.
constexpr Millis kWarmUpTimeout(3000);
// A backend server may not notice a broken connection until after the entry
// has opened a new one, so each entry counts as two connections.
constexpr uint32_t kConnectionsPerEntry = 2;

PeerRecord MakeSelfRecord(const EntrySettings& settings, uint64_t incarnation) {
  PeerRecord self;
  self.id = settings.id;
  self.incarnation = incarnation;
  self.caller_address = settings.caller_address;
  self.peer_address = settings.peer_address;
  self.data_centre = settings.data_centre;
  return self;
}

uint32_t SlotCapacity(const Document& document) {
  uint32_t capacity = UINT32_MAX;
  for (const IndexSpec& index : document.indexes) {
    capacity = std::min(capacity, index.max_connections / kConnectionsPerEntry);
  }
  return document.indexes.empty() ? 0 : capacity;
}

Millis MaxDeadline(const Document& document) {
  Millis max_deadline;
  for (const ClassSpec& spec : document.classes) {
    max_deadline = std::max(max_deadline, spec.timeout);
  }
  return max_deadline;
}

uint64_t OrderDigest(const CallerRequest& request) {
  const std::string_view separator("\0", 1);
  uint64_t digest = StableHash(request.class_name);
  digest = StableHash(separator, digest);
  digest = StableHash(request.tenant, digest);
  digest = StableHash(separator, digest);
  return StableHash(request.payload, digest);
}

}  // namespace

EntryCore::EntryCore(EventLoop& loop,
                     EntrySettings settings,
                     uint64_t incarnation)
    : m_loop(loop),
      m_settings(std::move(settings)),
      m_incarnation(incarnation),
      m_random(StableHash(m_settings.id) ^ incarnation),
      m_latency(m_metrics,
                "tanagervane_request_duration_seconds",
                "Time from a request's arrival to its answer."),
      m_platform(m_settings.platform_address),
      m_peers(MakeSelfRecord(m_settings, incarnation), m_random.Next()),
      m_directory(m_peers, m_random.Next()),
      m_gossip(
          loop,
          m_peers,
          {
              .export_quarantine =
                  [this] { return m_engine.ExportQuarantine(m_loop.Now()); },
              .merge_quarantine =
                  [this](std::span<const QuarantineRecord> records) {
                    m_engine.MergeQuarantine(records, m_loop.Now());
                  },
              .find_newer_document =
                  [this](uint64_t newer_than) {
                    return m_tracker.NewerThan(newer_than);
                  },
              .on_change = [this] { OnPeersChanged(); },
          }),
      m_engine({.policy = m_settings.experiment,
                .data_centre = m_settings.data_centre,
                .seed = m_random.Next()},
               {
                   .send_attempt =
                       [this](const Attempt& attempt) {
                         m_pool->client().Send(attempt);
                       },
                   .cancel_attempt =
                       [this](AttemptId id) { m_pool->client().Cancel(id); },
                   .answer = [this](const Answer& answer) { OnAnswer(answer); },
               }),
      m_tracker(
          {.team = m_settings.team,
           .self_id = m_settings.id,
           .seed = m_random.Next()},
          m_platform.api(),
          ParseDocument,
          [this] { return m_loop.Now(); },
          {
              .on_accepted =
                  [this](const DocumentTracker::AcceptedDocument& accepted) {
                    OnDocumentAccepted(accepted);
                  },
              .fetch_from_peer =
                  [this](const std::string& peer,
                         uint64_t newer_than,
                         DocumentTracker::PeerDone done) {
                    m_gossip.FetchDocument(peer, newer_than, std::move(done));
                  },
          }),
      m_publisher(
          m_settings.team,
          m_platform.api(),
          ParseDocument,
          [this] { return m_loop.Now(); },
          [this] { return m_tracker.revision(); },
          m_random.Next()),
      m_ledger(
          {.team = m_settings.team,
           .self_id = m_settings.id,
           .incarnation = incarnation,
           .seed = m_random.Next()},
          m_platform.api(),
          [this] { return m_loop.Now(); },
          [] { return WallMillis{EventLoop::WallMillis()}; }),
      m_slots({.group = m_settings.team,
               .self_id = m_settings.id,
               .incarnation = incarnation,
               .seed = m_random.Next()},
              m_platform.api(),
              [this] { return m_loop.Now(); },
              {
                  .on_acquired =
                      [this](uint32_t slot) {
                        LogEvent("slot_acquired").Field("slot", slot);
                        m_slot_acquired_at = m_loop.Now();
                        m_pool->Enable();
                      },
                  .on_lost =
                      [this] {
                        LogEvent("slot_lost");
                        m_slot_acquired_at.reset();
                        m_pool->Disable();
                      },
                  .is_alive =
                      [this](const std::string& holder) {
                        const auto peer = m_peers.Find(holder, m_loop.Now());
                        return peer && peer->liveness == Liveness::kAlive;
                      },
              }) {}

EntryCore::~EntryCore() = default;

absl::Status EntryCore::Start() {
  m_peers.SetSeedAddresses(m_settings.seeds);
  if (absl::Status status = m_gossip.Start(m_settings.peer_address);
      !status.ok()) {
    return status;
  }
  m_pool = std::make_unique<BackendPool>(m_loop, m_gossip.runtime(), m_engine,
                                         m_random.Next());
  m_pool->set_on_engine_event([this] { ScheduleEngineTimer(); });
  m_pool->set_on_status_result([this](const std::string& id, bool ok) {
    m_vms.OnCallResult(id, ok, m_loop.Now());
  });
  m_pool->set_on_attempts_lost([this] { ScheduleGossipRound(); });
  m_loop.RunEvery(kTickInterval, [this] { RunDueTimers(); });
  ListVms();
  return absl::OkStatus();
}

void EntryCore::RunDueTimers() {
  const Millis now = m_loop.Now();
  if (m_tracker.NextTimer() <= now) {
    m_tracker.OnTick(now);
  }
  if (m_publisher.NextTimer() <= now) {
    m_publisher.OnTick(now);
  }
  if (m_ledger.NextTimer() <= now) {
    m_ledger.OnTick(now);
  }
  if (m_slots.NextTimer() <= now) {
    m_slots.OnTick(now);
  }
  if (m_vms.NextTimer() <= now) {
    OnVmDiff(m_vms.OnTick(now));
  }
  StartServingIfReady();
}

void EntryCore::ScheduleGossipRound() {
  if (m_gossip_round_posted) {
    return;
  }
  m_gossip_round_posted = true;
  m_loop.Post([this] {
    m_gossip_round_posted = false;
    m_gossip.RunRound();
  });
}

void EntryCore::StartServingIfReady() {
  if (state() != PeerState::kStarting || !m_tracker.ready() ||
      !m_vm_list_received || !m_slot_acquired_at) {
    return;
  }
  const Millis now = m_loop.Now();
  const std::vector<IndexSpec>& indexes =
      m_tracker.in_force()->document.indexes;
  const bool has_complete_versions =
      std::all_of(indexes.begin(), indexes.end(), [&](const IndexSpec& index) {
        return m_engine.ChosenVersion(index.name, now) != 0;
      });
  if (!has_complete_versions && now - *m_slot_acquired_at < kWarmUpTimeout) {
    return;
  }
  LogEvent("serving")
      .Field("id", m_settings.id)
      .Field("revision", m_tracker.revision())
      .Field("warm", has_complete_versions ? "yes" : "no");
  m_has_served = true;
  m_peers.SetState(PeerState::kServing);
  m_gossip.RunRound();
}

void EntryCore::OnDocumentAccepted(
    const DocumentTracker::AcceptedDocument& accepted) {
  assert(accepted.stored.revision > m_peers.self().document_revision &&
         "a document in force is never replaced by an older one");
  LogEvent("document_in_force")
      .Field("revision", accepted.stored.revision)
      .Field("author", accepted.stored.author);
  m_peers.SetDocumentRevision(accepted.stored.revision);
  m_engine.ApplyDocument(accepted.document, m_loop.Now());
  m_pool->ApplyDocument(accepted.document);
  m_slots.Acquire(SlotCapacity(accepted.document));
  ScheduleEngineTimer();
  m_on_document_change();
  m_gossip.RunRound();
}

void EntryCore::OnPeersChanged() {
  std::vector<DocumentTracker::Peer> peers;
  for (const PeerTable::Peer& peer : m_peers.Peers(m_loop.Now())) {
    if (peer.liveness != Liveness::kDead) {
      peers.push_back({.id = peer.record.id,
                       .serving = peer.liveness == Liveness::kAlive &&
                                  peer.record.state == PeerState::kServing,
                       .revision = peer.record.document_revision});
    }
  }
  m_tracker.SetPeers(peers, state() == PeerState::kServing);
}

void EntryCore::ListVms() {
  m_platform.api().list_vms(
      m_vms.version(), kVmListTimeout,
      [this](PlatformResult result, const VmSnapshot& snapshot) {
        if (result != PlatformResult::kOk &&
            result != PlatformResult::kUnchanged) {
          ScheduleVmListRetry();
          return;
        }
        m_vm_list_retry_delay = Millis(0);
        if (result == PlatformResult::kOk) {
          m_vm_list_received = true;
          OnVmDiff(m_vms.Apply(snapshot, m_loop.Now()));
          m_listed_vm_ids.clear();
          for (const VmRecord& vm : snapshot.vms) {
            m_listed_vm_ids.push_back(vm.id);
          }
        }
        // Also called for an unchanged list: the slot table reclaims a slot
        // only when its holder is absent from lists read shortly after each
        // other.
        if (m_vm_list_received) {
          m_slots.ObserveVms(m_listed_vm_ids, m_loop.Now());
        }
        ListVms();
      });
}

void EntryCore::ScheduleVmListRetry() {
  m_vm_list_retry_delay =
      std::min(std::max(kMinVmListRetryDelay, m_vm_list_retry_delay * 2),
               kMaxVmListRetryDelay);
  m_loop.RunAfter(m_vm_list_retry_delay * (0.8 + 0.4 * m_random.NextDouble()),
                  [this] { ListVms(); });
}

void EntryCore::OnVmDiff(const VmDiff& diff) {
  if (diff.empty()) {
    return;
  }
  const auto upsert = [this](const VmRecord& vm) {
    if (vm.role == VmRole::kBackendServer) {
      m_pool->Upsert(vm);
    }
  };
  std::for_each(diff.added.begin(), diff.added.end(), upsert);
  std::for_each(diff.changed.begin(), diff.changed.end(), upsert);
  for (const VmRecord& vm : diff.leaving) {
    if (vm.role == VmRole::kBackendServer) {
      m_pool->Upsert(vm);
      m_pool->SetLeaving(vm.id);
    }
  }
  for (const VmRecord& vm : diff.removed) {
    m_pool->Remove(vm.id);
  }
  RefreshSeeds();
}

void EntryCore::RefreshSeeds() {
  std::vector<std::string> seeds = m_settings.seeds;
  for (const VmRecord& vm : m_vms.Vms()) {
    if (vm.role == VmRole::kEntry && vm.id != m_settings.id) {
      seeds.push_back(vm.address);
    }
  }
  m_peers.SetSeedAddresses(std::move(seeds));
}

void EntryCore::ScheduleEngineTimer() {
  const std::optional<Millis> due = m_engine.NextTimer();
  if (!due || (m_engine_timer_due && *m_engine_timer_due <= *due)) {
    return;
  }
  m_loop.CancelTimer(m_engine_timer);
  m_engine_timer_due = due;
  m_engine_timer = m_loop.RunAfter(*due - m_loop.Now(), [this] {
    m_engine_timer = 0;
    m_engine_timer_due.reset();
    m_engine.OnTick(m_loop.Now());
    ScheduleEngineTimer();
  });
}

std::optional<QueryRequest> EntryCore::BuildQuery(
    const CallerRequest& request,
    bool is_order,
    const ResponseCallback& done) {
  const auto refuse = [&](ErrorCode code, std::string_view detail,
                          std::string_view path) {
    CountRequest("", "", ToString(code));
    done(FormatError(MakeError(code, detail, path), Outcome::kNotRun));
  };
  if (!HasServed()) {
    refuse(ErrorCode::kNotReady, "this entry is starting", "");
    return std::nullopt;
  }
  const Document& document = m_tracker.in_force()->document;
  const ClassSpec* spec = document.FindClass(request.class_name);
  if (!spec) {
    refuse(ErrorCode::kUnknownClass, "the document has no such class", "class");
    return std::nullopt;
  }
  if (!document.FindTenant(request.tenant)) {
    refuse(ErrorCode::kUnknownTenant, "the document has no such tenant",
           "tenant");
    return std::nullopt;
  }
  if (!spec->idempotent && !is_order) {
    refuse(ErrorCode::kInvalidRequest,
           "this class is not idempotent: send it to /v1/order", "class");
    return std::nullopt;
  }
  if (!request.request_id.empty() &&
      m_pending_requests.contains(request.request_id)) {
    refuse(ErrorCode::kConflict, "a request with this id is running",
           "request_id");
    return std::nullopt;
  }
  QueryRequest query;
  query.id = request.request_id.empty()
                 ? fmt::format("{}-{:x}-{}", m_settings.id, m_incarnation,
                               m_next_request_number++)
                 : request.request_id;
  query.class_name = request.class_name;
  query.tenant = request.tenant;
  query.payload = request.payload;
  query.deadline =
      m_loop.Now() +
      std::min(request.timeout.value_or(spec->timeout), spec->timeout);
  return query;
}

RequestId EntryCore::Query(const CallerRequest& request,
                           ResponseCallback done) {
  auto query = BuildQuery(request, /*is_order=*/false, done);
  if (!query) {
    return "";
  }
  m_pending_requests[query->id] = {.done = std::move(done),
                                   .on_order_answer = nullptr,
                                   .arrived_at = m_loop.Now()};
  m_engine.Submit(*query, m_loop.Now());
  ScheduleEngineTimer();
  return std::move(query->id);
}

void EntryCore::Order(const CallerRequest& request,
                      const ResponseCallback& done) {
  const auto query = BuildQuery(request, /*is_order=*/true, done);
  if (!query) {
    return;
  }
  const OrderKey key{.key = request.idempotency_key,
                     .issued_at = WallMillis{request.issued_at_ms}};
  m_ledger.Claim(
      key, OrderDigest(request), query->deadline,
      [this, request, query = *query, done = done](const ClaimResult& result) {
        switch (result.kind) {
          case ClaimResult::Kind::kGranted:
            OnOrderClaimGranted(request, query, done);
            return;
          case ClaimResult::Kind::kAlreadyDone: {
            CountRequest(query.class_name, query.tenant, "repeated");
            HttpResponse response;
            response.body = result.result.empty()
                                ? R"({"outcome":"ran","repeated":true})"
                                : result.result;
            done(response);
            return;
          }
          case ClaimResult::Kind::kOutcomeUnknown:
            CountRequest(query.class_name, query.tenant, "conflict");
            done(FormatError(
                MakeError(ErrorCode::kConflict,
                          "the order is in progress, or the entry that "
                          "claimed it was lost",
                          "idempotency_key"),
                Outcome::kUnknown));
            return;
          case ClaimResult::Kind::kRefused:
            CountRequest(query.class_name, query.tenant, "refused");
            done(FormatError(result.status, result.outcome));
            return;
        }
      });
}

void EntryCore::OnOrderClaimGranted(const CallerRequest& request,
                                    const QueryRequest& query,
                                    const ResponseCallback& done) {
  const OrderKey key{.key = request.idempotency_key,
                     .issued_at = WallMillis{request.issued_at_ms}};
  if (m_loop.Now() >= query.deadline || m_pending_requests.contains(query.id)) {
    m_ledger.Release(key);
    done(FormatError(MakeError(ErrorCode::kDeadlineExceeded,
                               "the claim was granted after the deadline"),
                     Outcome::kNotRun));
    return;
  }
  m_pending_requests[query.id] = {
      .done = done,
      .on_order_answer =
          [this, key](const Answer& answer) { OnOrderAnswer(key, answer); },
      .arrived_at = m_loop.Now()};
  m_engine.SubmitAtMostOnce(query, m_loop.Now());
  ScheduleEngineTimer();
}

void EntryCore::OnOrderAnswer(const OrderKey& key, const Answer& answer) {
  if (!answer.refusal) {
    m_ledger.RecordResult(key, FormatAnswer(answer).body);
    return;
  }
  switch (answer.refusal->outcome) {
    case Outcome::kNotRun:
      m_ledger.Release(key);
      return;
    case Outcome::kRan:
      m_ledger.RecordResult(key, "");
      return;
    case Outcome::kUnknown:
      m_ledger.MarkOutcomeUnknown(key);
      return;
  }
}

void EntryCore::OnAnswer(const Answer& answer) {
  auto node = m_pending_requests.extract(answer.request_id);
  assert(!node.empty() && "an answer belongs to a pending request");
  const PendingRequest& pending = node.mapped();
  if (pending.on_order_answer) {
    pending.on_order_answer(answer);
  }
  m_latency.Observe(answer.class_name, answer.tenant,
                    m_loop.Now() - pending.arrived_at);
  std::string_view result = answer.complete() ? "complete" : "partial";
  if (answer.refusal) {
    result = ToString(answer.refusal->error);
  }
  CountRequest(answer.class_name, answer.tenant, result);
  pending.done(FormatAnswer(answer));
}

void EntryCore::Cancel(const RequestId& id) {
  m_engine.Cancel(id, m_loop.Now());
  ScheduleEngineTimer();
}

EntryAddresses EntryCore::Addresses(std::string_view data_centre) {
  return m_directory.Addresses(data_centre, m_loop.Now());
}

void EntryCore::BeginLeaving() {
  if (state() == PeerState::kLeaving) {
    return;
  }
  const Millis now = m_loop.Now();
  // Callers never got the address of an entry that has not served, so it need
  // not wait.
  m_serve_until = state() == PeerState::kServing
                      ? EntryDirectory::ServeUntil(
                            now, MaxDeadline(m_tracker.in_force()->document))
                      : now;
  m_peers.SetState(PeerState::kLeaving);
  LogEvent("leaving")
      .Field("id", m_settings.id)
      .Field("serve_ms", (m_serve_until - now).count());
  m_gossip.RunRound();
}

void EntryCore::Shutdown(Millis slot_release_timeout,
                         std::function<void()> done) {
  m_pool->Disable();
  m_slots.Release(slot_release_timeout, [done = std::move(done)](bool freed) {
    LogEvent("slot_released").Field("freed", freed ? "yes" : "no");
    done();
  });
}

void EntryCore::CountRequest(std::string_view class_name,
                             std::string_view tenant,
                             std::string_view result) {
  m_metrics
      .GetCounter("tanagervane_requests_total", "Requests by result.",
                  {{"class", std::string(class_name)},
                   {"tenant", std::string(tenant)},
                   {"result", std::string(result)}})
      .Increment();
}

}  // namespace tanagervane
