// Wires the modules of a simulated entry to the simulated platform, peers,
// backend servers and callers.

#include "core/simulated_entry.h"

#include "tanagervane/support/hash.h"

namespace tanagervane {

SimulatedEntry::SimulatedEntry(SimulatedWorld& world,
                               std::string id,
                               uint64_t incarnation)
    : m_world(world),
      m_id(std::move(id)),
      m_incarnation(incarnation),
      m_random(world.random().Next()),
      m_platform(MakePlatform()),
      m_peers(PeerRecord{.id = m_id,
                         .incarnation = incarnation,
                         .caller_address = m_id,
                         .peer_address = m_id,
                         .data_centre = "a"},
              m_random.Next()),
      m_directory(m_peers, m_random.Next()),
      m_engine({.policy = {}, .data_centre = "a", .seed = m_random.Next()},
               {[this](const Attempt& attempt) { Send(attempt); },
                [this](AttemptId attempt) { m_in_flight.erase(attempt); },
                [this](const Answer& answer) { OnAnswer(answer); }}),
      m_tracker({"team", m_id, m_random.Next()},
                m_platform,
                ParseTestDocument,
                [this] { return now(); },
                {[this](const DocumentTracker::AcceptedDocument& accepted) {
                   OnDocumentAccepted(accepted);
                 },
                 [this](const std::string& peer,
                        uint64_t newer_than,
                        const DocumentTracker::PeerDone& done) {
                   FetchDocument(peer, newer_than, done);
                 }}),
      m_publisher(
          "team",
          m_platform,
          ParseTestDocument,
          [this] { return now(); },
          [this] { return m_tracker.revision(); },
          m_random.Next()),
      m_ledger(
          {"team", m_id, incarnation, m_random.Next()},
          m_platform,
          [this] { return now(); },
          [this] {
            return WallMillis{1000000000 + static_cast<int64_t>(now().count())};
          }),
      m_slots({"team", m_id, incarnation, m_random.Next()},
              m_platform,
              [this] { return now(); },
              {[this](uint32_t) {
                 m_slot_acquired_at = now();
                 m_backends_enabled = true;
                 for (auto& [id, server] : m_servers) {
                   ActivateServer(server);
                 }
               },
               [this] {
                 m_slot_acquired_at.reset();
                 DisableBackends();
               },
               [this](const std::string& holder) {
                 const auto peer = m_peers.Find(holder, now());
                 return peer && peer->liveness == Liveness::kAlive;
               }}),
      m_running_since(world.now()),
      m_next_heartbeat(world.now()) {}

void SimulatedEntry::Start() {
  ListVms();
}

void SimulatedEntry::Post(std::function<void()> action) {
  if (m_dead) {
    return;
  }
  if (m_paused) {
    m_backlog.push_back(std::move(action));
    return;
  }
  action();
  ScheduleEngineTimer();
}

void SimulatedEntry::PostAfter(double delay, std::function<void()> action) {
  m_world.After(delay, [weak = weak_from_this(), action] {
    if (const Ptr self = weak.lock()) {
      self->Post(action);
    }
  });
}

void SimulatedEntry::Resume() {
  m_paused = false;
  m_running_since = now();
  auto backlog = std::exchange(m_backlog, {});
  // Timers and messages that became due during the pause run in any order.
  const size_t tick_at = m_random.NextBelow(backlog.size() + 1);
  for (size_t i = 0; i < backlog.size(); ++i) {
    if (i == tick_at) {
      Tick();
    }
    Post(backlog[i]);
  }
}

void SimulatedEntry::Kill() {
  m_dead = true;
  m_backlog.clear();
  for (auto& [id, backend] : m_world.backends) {
    backend.connections.erase(process());
  }
}

void SimulatedEntry::Leave(std::function<void()> on_exited) {
  m_on_exited = std::move(on_exited);
  m_exit_at =
      serving() ? EntryDirectory::ServeUntil(now(), Millis(100)) : now();
  m_peers.SetState(PeerState::kLeaving);
  RunGossipRound();
}

void SimulatedEntry::Tick() {
  if (m_dead || m_paused) {
    return;
  }
  if (now() >= m_next_heartbeat) {
    m_next_heartbeat = now() + kGossipInterval;
    m_peers.AdvanceHeartbeat(now());
    RunGossipRound();
    OnPeersChanged();
  }
  m_tracker.OnTick(now());
  m_publisher.OnTick(now());
  m_ledger.OnTick(now());
  m_slots.OnTick(now());
  OnVmDiff(m_vms.OnTick(now()));
  PollStatus();
  StartServingIfReady();
  ScheduleEngineTimer();
  if (m_exit_at && now() >= *m_exit_at && m_pending_requests.empty()) {
    m_exit_at.reset();
    DisableBackends();
    m_slots.Release(Millis(2000), [this](bool) {
      Kill();
      m_on_exited();
    });
  }
}

void SimulatedEntry::ScheduleEngineTimer() {
  const std::optional<Millis> due = m_engine.NextTimer();
  if (!due || (m_engine_timer_due && *m_engine_timer_due <= *due)) {
    return;
  }
  m_engine_timer_due = due;
  PostAfter(std::max(0.1, (*due - now()).count()), [this, due] {
    if (m_engine_timer_due == due) {
      m_engine_timer_due.reset();
      m_engine.OnTick(now());
    }
  });
}

// The platform.

template <typename Object>
std::function<void(PlatformResult, Object)> SimulatedEntry::WithPlatformFaults(
    bool write,
    std::function<void(PlatformResult, Object)> done) {
  return [this, weak = weak_from_this(), write, done](PlatformResult result,
                                                      Object object) {
    const Ptr self = weak.lock();
    if (!self) {
      return;
    }
    if (m_world.isolated_from_platform.contains(m_id)) {
      result = write ? PlatformResult::kUnknownOutcome
                     : PlatformResult::kUnavailable;
      object = {};
    }
    PostAfter(m_world.platform_delay * m_random.NextDouble(),
              [done, result, object] { done(result, object); });
  };
}

PlatformApi SimulatedEntry::MakePlatform() {
  PlatformApi api = m_world.platform.Api();
  const auto check_reachable = [this](const PlatformApi::ObjectDone& done) {
    if (!m_world.isolated_from_platform.contains(m_id)) {
      return true;
    }
    PostAfter(500, [done] { done(PlatformResult::kUnavailable, {}); });
    return false;
  };
  api.get = [this, check_reachable, inner = api.get](
                std::string kind, std::string name, auto done) {
    if (check_reachable(done)) {
      inner(kind, name, WithPlatformFaults(false, done));
    }
  };
  api.put = [this, check_reachable, inner = api.put](
                std::string kind, std::string name, uint64_t expected,
                std::string value, auto done) {
    if (check_reachable(done)) {
      inner(kind, name, expected, value, WithPlatformFaults(true, done));
    }
  };
  api.remove = [this, check_reachable, inner = api.remove](
                   std::string kind, std::string name, uint64_t expected,
                   auto done) {
    if (check_reachable(done)) {
      inner(kind, name, expected, WithPlatformFaults(true, done));
    }
  };
  api.watch = [this, check_reachable, inner = api.watch](
                  std::string kind, std::string name, uint64_t from,
                  Millis timeout, auto done) {
    if (check_reachable(done)) {
      inner(kind, name, from, timeout, WithPlatformFaults(false, done));
    }
  };
  api.list_vms = [this](uint64_t from, Millis timeout, auto done) {
    PollVmList(from, now() + timeout, done);
  };
  return api;
}

void SimulatedEntry::PollVmList(uint64_t known_version,
                                Millis poll_end,
                                PlatformApi::VmsDone done) {
  PostAfter(10 + m_random.NextDouble() * 100,
            [this, known_version, poll_end, done] {
              const VmSnapshot& visible = m_world.VisibleVms();
              if (m_world.isolated_from_platform.contains(m_id) ||
                  m_random.NextDouble() < m_world.platform.faults.down) {
                done(PlatformResult::kUnavailable, {});
              } else if (visible.version > known_version) {
                done(PlatformResult::kOk, visible);
              } else if (now() >= poll_end) {
                done(PlatformResult::kUnchanged, {});
              } else {
                PollVmList(known_version, poll_end, done);
              }
            });
}

void SimulatedEntry::ListVms() {
  m_platform.list_vms(
      m_vms.version(), Millis(10000),
      [this](PlatformResult result, const VmSnapshot& snapshot) {
        if (result == PlatformResult::kOk) {
          m_vm_list_received = true;
          OnVmDiff(m_vms.Apply(snapshot, now()));
          m_listed_vm_ids.clear();
          for (const VmRecord& vm : snapshot.vms) {
            m_listed_vm_ids.push_back(vm.id);
          }
        }
        if (result == PlatformResult::kOk ||
            result == PlatformResult::kUnchanged) {
          m_slots.ObserveVms(m_listed_vm_ids, now());
          ListVms();
        } else {
          PostAfter(500, [this] { ListVms(); });
        }
      });
}

void SimulatedEntry::OnVmDiff(const VmDiff& diff) {
  if (diff.empty()) {
    return;
  }
  for (const auto* vms : {&diff.added, &diff.changed, &diff.leaving}) {
    for (const VmRecord& vm : *vms) {
      if (vm.role == VmRole::kBackendServer) {
        m_servers[vm.id].vm = vm;
        m_servers[vm.id].leaving = vm.state == VmState::kLeaving;
        ActivateServer(m_servers[vm.id]);
      }
    }
  }
  for (const VmRecord& vm : diff.removed) {
    if (m_servers.erase(vm.id) > 0) {
      m_engine.RemoveReplica(vm.id, now());
      SetConnected(vm.id, false);
    }
  }
  std::vector<std::string> seeds;
  for (const VmRecord& vm : m_vms.Vms()) {
    if (vm.role == VmRole::kEntry && vm.id != m_id) {
      seeds.push_back(vm.address);
    }
  }
  m_peers.SetSeedAddresses(std::move(seeds));
}

// Other entries.

void SimulatedEntry::RunGossipRound() {
  struct Digest {
    std::string sender;
    std::vector<PeerRecord> records;
    std::vector<QuarantineRecord> quarantine;
  };
  const auto make_digest = [](SimulatedEntry& entry) {
    return Digest{entry.m_id, entry.m_peers.RecordsToSend(entry.now(), 64),
                  entry.m_engine.ExportQuarantine(entry.now())};
  };
  const auto merge = [](SimulatedEntry& entry, const Digest& digest) {
    entry.m_peers.Merge(digest.sender, digest.records, entry.now());
    entry.m_engine.MergeQuarantine(digest.quarantine, entry.now());
    entry.OnPeersChanged();
  };
  for (const std::string& target : m_peers.ChooseTargets(now())) {
    m_world.Transmit(m_id, target,
                     [=, this, from = m_id, digest = make_digest(*this),
                      weak = weak_from_this()] {
                       const Ptr peer = m_world.entry(target);
                       if (!peer) {
                         return;
                       }
                       peer->Post([=, world = &m_world] {
                         merge(*peer, digest);
                         world->Transmit(
                             target, from, [=, reply = make_digest(*peer)] {
                               if (const Ptr self = weak.lock()) {
                                 self->Post([=] { merge(*self, reply); });
                               }
                             });
                       });
                     });
  }
}

void SimulatedEntry::OnPeersChanged() {
  std::vector<DocumentTracker::Peer> peers;
  for (const PeerTable::Peer& peer : m_peers.Peers(now())) {
    if (peer.liveness != Liveness::kDead) {
      peers.push_back({peer.record.id,
                       peer.liveness == Liveness::kAlive &&
                           peer.record.state == PeerState::kServing,
                       peer.record.document_revision});
    }
  }
  m_tracker.SetPeers(peers, serving());
}

void SimulatedEntry::FetchDocument(const std::string& peer,
                                   uint64_t newer_than,
                                   const DocumentTracker::PeerDone& done) {
  // The transport reports a timeout when the request or the reply is lost.
  const auto replied = std::make_shared<bool>(false);
  const auto finish = [replied, done](bool ok, auto stored) {
    if (!std::exchange(*replied, true)) {
      done(ok, stored);
    }
  };
  PostAfter(2000, [finish] { finish(false, std::optional<StoredDocument>()); });
  m_world.Transmit(
      m_id, peer,
      [=, this, from = m_id, weak = weak_from_this(), world = &m_world] {
        const Ptr other = world->entry(peer);
        if (!other) {
          return;
        }
        other->Post([=] {
          world->Transmit(peer, from,
                          [=, stored = other->m_tracker.NewerThan(newer_than)] {
                            if (const Ptr self = weak.lock()) {
                              self->Post([=] { finish(true, stored); });
                            }
                          });
        });
      });
}

void SimulatedEntry::OnDocumentAccepted(
    const DocumentTracker::AcceptedDocument& accepted) {
  const StoredDocument& stored = accepted.stored;
  if (stored.revision <= m_peers.self().document_revision) {
    m_world.AddViolation(fmt::format("document: {} reverts to revision {}",
                                     m_id, stored.revision));
  }
  const auto [it, added] =
      m_world.documents.emplace(stored.revision, stored.write_id);
  if (!added && it->second != stored.write_id) {
    m_world.AddViolation(
        fmt::format("document: two texts with revision {}", stored.revision));
  }
  m_peers.SetDocumentRevision(stored.revision);
  m_engine.ApplyDocument(accepted.document, now());
  m_document = accepted.document;
  for (auto& [id, server] : m_servers) {
    ActivateServer(server);
  }
  m_slots.Acquire(kEntriesPerReplica);
  RunGossipRound();
}

void SimulatedEntry::StartServingIfReady() {
  if (m_peers.self().state != PeerState::kStarting || !m_tracker.ready() ||
      !m_vm_list_received || !m_slot_acquired_at) {
    return;
  }
  if ((m_engine.ChosenVersion("parts", now()) == 0 ||
       m_engine.ChosenVersion("desk", now()) == 0) &&
      now() - *m_slot_acquired_at < Millis(3000)) {
    return;
  }
  m_peers.SetState(PeerState::kServing);
  RunGossipRound();
}

void SimulatedEntry::Publish(const std::string& text) {
  m_publisher.Publish({text, m_tracker.revision(), m_id, WallMillis{1}},
                      [this](const PublishResult& result) {
                        if (result.status.ok()) {
                          m_world.accepted_revision = std::max(
                              m_world.accepted_revision, result.revision);
                          m_tracker.AcceptIfNewer(result.stored, m_id);
                        }
                      });
}

void SimulatedEntry::CheckAddresses(
    const std::map<std::string, Millis>& left_at) {
  if (m_dead || m_paused) {
    return;
  }
  for (const EntryAddress& address :
       m_directory.Addresses("a", now()).addresses) {
    if (const auto it = left_at.find(address.id);
        it != left_at.end() && now() - it->second > kLeavePropagationDelay) {
      m_world.AddViolation(fmt::format("addresses: {} returns {}, which left",
                                       m_id, address.id));
    }
  }
}

// Backend servers.

void SimulatedEntry::ActivateServer(Server& server) {
  if (!m_backends_enabled || !m_document.FindIndex(server.vm.index)) {
    return;
  }
  m_engine.UpsertReplica(
      {server.vm.id, server.vm.address, "a", server.vm.index, 16}, now());
  if (server.leaving) {
    m_engine.SetReplicaLeaving(server.vm.id, now());
  }
  if (!std::exchange(server.active, true)) {
    SetConnected(server.vm.id, true);
    server.next_status_at = now();
  }
}

void SimulatedEntry::DisableBackends() {
  m_backends_enabled = false;
  for (auto& [id, server] : m_servers) {
    if (std::exchange(server.active, false)) {
      m_engine.RemoveReplica(id, now());
      SetConnected(id, false);
      server.status_pending = false;
    }
  }
}

void SimulatedEntry::SetConnected(const std::string& replica, bool connected) {
  Backend& backend = m_world.backends[replica];
  if (!connected) {
    backend.connections.erase(process());
  } else if (backend.up) {
    backend.connections.insert(process());
    m_world.CheckConnections(backend);
  }
}

void SimulatedEntry::PollStatus() {
  for (auto& [id, server] : m_servers) {
    if (!server.active || server.status_pending ||
        server.next_status_at > now()) {
      continue;
    }
    SetConnected(id, true);
    server.status_pending = true;
    const Backend& backend = m_world.backends[id];
    std::optional<ReplicaStatus> status;
    if (backend.up && !backend.frozen) {
      status = ReplicaStatus{backend.incarnation,
                             backend.leaving_since ? ServerState::kDraining
                                                   : ServerState::kServing,
                             {},
                             m_world.HeldVersions(backend)};
    }
    PostAfter(status ? 1 + m_random.NextDouble() * 2 : 400,
              [this, id = id, status] { OnStatus(id, status); });
  }
}

void SimulatedEntry::OnStatus(const std::string& replica,
                              const std::optional<ReplicaStatus>& status) {
  const auto it = m_servers.find(replica);
  if (it == m_servers.end()) {
    return;
  }
  it->second.status_pending = false;
  it->second.next_status_at = now() + Millis(400 + 200 * m_random.NextDouble());
  m_vms.OnCallResult(replica, status.has_value(), now());
  if (status) {
    m_engine.OnReplicaStatus(replica, *status, now());
  } else {
    m_engine.OnReplicaStatusFailed(replica, now());
  }
}

void SimulatedEntry::OnConnectionsLost(const std::string& replica) {
  m_world.backends[replica].connections.erase(process());
  std::vector<AttemptId> lost;
  for (const auto& [id, attempt] : m_in_flight) {
    if (attempt.replica == replica) {
      lost.push_back(id);
    }
  }
  for (const AttemptId id : lost) {
    PostAfter(0.2,
              [this, id] { FailAttempt(id, FailureKind::kConnectionLost); });
  }
}

void SimulatedEntry::FailAttempt(AttemptId id, FailureKind kind) {
  if (m_in_flight.erase(id) > 0) {
    m_engine.OnFailure(id, kind, now());
  }
}

void SimulatedEntry::Send(const Attempt& attempt) {
  m_in_flight[attempt.id] = attempt;
  const Backend& backend = m_world.backends[attempt.replica];
  if (!backend.connections.contains(process())) {
    PostAfter(0.1, [this, id = attempt.id] {
      FailAttempt(id, FailureKind::kConnectFailed);
    });
    return;
  }
  m_world.CheckSend(attempt, m_id, m_running_since);
  if (now() >= attempt.deadline) {
    m_world.AddViolation("an attempt was sent after its deadline");
  }
  m_world.ScheduleExecution(attempt, backend.incarnation, weak_from_this());
  PostAfter((attempt.deadline - now()).count(), [this, id = attempt.id] {
    FailAttempt(id, FailureKind::kTimedOut);
  });
}

void SimulatedEntry::Deliver(const Attempt& attempt,
                             const BackendReply& reply) {
  m_in_flight.erase(attempt.id);
  m_engine.OnReply(attempt.id, reply, now());
}

// Callers.

void SimulatedEntry::Query(const QueryRequest& request) {
  if (m_peers.self().state == PeerState::kStarting) {
    m_world.refusals[request.id] = Outcome::kNotRun;
    return;
  }
  m_pending_requests[request.id] = {request, std::nullopt};
  m_engine.Submit(request, now());
}

void SimulatedEntry::Order(const QueryRequest& request, const OrderKey& key) {
  if (m_peers.self().state == PeerState::kStarting) {
    m_world.refusals[request.id] = Outcome::kNotRun;
    return;
  }
  m_ledger.Claim(key, StableHash(request.payload), request.deadline,
                 [this, request, key](const ClaimResult& result) {
                   if (result.kind == ClaimResult::Kind::kRefused) {
                     m_world.refusals[request.id] = result.outcome;
                   }
                   if (result.kind != ClaimResult::Kind::kGranted) {
                     return;
                   }
                   if (now() >= request.deadline) {
                     m_ledger.Release(key);
                     m_world.refusals[request.id] = Outcome::kNotRun;
                     return;
                   }
                   m_pending_requests[request.id] = {request, key};
                   m_engine.SubmitAtMostOnce(request, now());
                 });
}

void SimulatedEntry::OnAnswer(const Answer& answer) {
  const auto it = m_pending_requests.find(answer.request_id);
  if (it == m_pending_requests.end() ||
      !m_answered.insert(answer.request_id).second) {
    m_world.AddViolation("answers: a second answer to " + answer.request_id);
    return;
  }
  const PendingRequest pending = it->second;
  m_pending_requests.erase(it);
  ++m_world.answers;
  if (answer.refusal) {
    m_world.refusals[answer.request_id] = answer.refusal->outcome;
  } else {
    m_world.CheckAnswer(answer, pending.request);
  }
  if (!pending.order) {
    return;
  }
  if (!answer.refusal) {
    ++m_world.orders_done;
    m_ledger.RecordResult(*pending.order, "done");
  } else if (answer.refusal->outcome == Outcome::kNotRun) {
    m_ledger.Release(*pending.order);
  } else if (answer.refusal->outcome == Outcome::kRan) {
    m_ledger.RecordResult(*pending.order, "");
  } else {
    m_ledger.MarkOutcomeUnknown(*pending.order);
  }
}

void SimulatedEntry::CheckAfterRun() {
  if (!m_pending_requests.empty()) {
    m_world.AddViolation(fmt::format("answers: request {} has no answer on {}",
                                     m_pending_requests.begin()->first, m_id));
  }
  if (m_tracker.revision() < m_world.accepted_revision) {
    m_world.AddViolation(fmt::format("document: {} has revision {}, not {}",
                                     m_id, m_tracker.revision(),
                                     m_world.accepted_revision));
  }
}

}  // namespace tanagervane
