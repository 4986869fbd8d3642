// Wiring of a VM of the tier.

#include "tools/tanagervane-node/node.h"

#include <algorithm>
#include <utility>

#include "platform/caller_codec.h"
#include "platform/object_codec.h"
#include "platform/replica_codec.h"
#include "tanagervane/net/socket.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr Millis kSweepPeriod{100};

/// A restarted VM reads the list of the others' addresses this often until the
/// store answers, and now and then after that.
constexpr Millis kRegisterRetry{500};
constexpr Millis kListVmsPeriod{15'000};

/// Changes of replicas that come together are read with one call. A replica
/// that leaves serves on for seconds.
constexpr Millis kReplicaBatching{400};

/// Callers keep an address for up to three times the lifetime that the
/// directory states.
constexpr double kAddressLifetimes = 3;
/// How long other VMs may take to stop giving out this VM's address.
constexpr Millis kLeavingNews{400};
/// Kept free at the end of the grace time.
constexpr Millis kStopMargin{400};
constexpr Millis kStopPoll{40};

/// Replicas that a request must crash before it is refused.
constexpr size_t kCrashesToRefuse = 3;

/// VMs assumed until gossip has told of the others.
constexpr Millis kGossipWarmUp{1500};
constexpr size_t kAssumedVms = 4;

/// Descriptors that callers' connections leave free.
constexpr size_t kReservedDescriptors = 300;
constexpr size_t kCallerDescriptorPart = 2;

/// Small requests of the platform and of scrapers.
constexpr HttpListenerOptions kServiceListener = {
    .limits = {.header_bytes = 8192, .body_bytes = 4096},
    .header_timeout = Millis(2000),
    .idle_timeout = Millis(20'000),
    .max_connections = 500};

/// Probes share the exchange ids with attempts.
constexpr uint64_t kProbeBit = uint64_t{1} << 63;

HttpListenerOptions CallerOptions(const NodeSettings& settings,
                                  const CallerLimits& limits) {
  HttpListenerOptions options;
  options.limits = {limits.header_bytes, limits.body_bytes};
  options.header_timeout = limits.header_timeout;
  options.idle_timeout = limits.idle_timeout;
  const size_t usable =
      std::max(settings.max_descriptors, 2 * kReservedDescriptors) -
      kReservedDescriptors;
  options.max_connections = usable / kCallerDescriptorPart;
  return options;
}

PeerRecord MakeSelf(const NodeSettings& settings, uint64_t incarnation) {
  PeerRecord self;
  self.id = settings.id;
  self.incarnation = incarnation;
  self.caller_address = settings.caller_address;
  self.peer_address = settings.gossip_address;
  self.data_centre = settings.data_centre;
  return self;
}

void LogRejected(std::string_view event,
                 std::string_view name,
                 const absl::Status& status) {
  const auto message = status.message();
  LogEvent(event)
      .Field("object", name)
      .Field("path", GetErrorPath(status))
      .Field("reason", std::string_view(message.data(), message.size()));
}

HttpResponseMessage PlainStatus(unsigned status) {
  HttpResponseMessage response;
  response.status = status;
  return response;
}

FailureKind FailureOf(ExchangeError error) {
  switch (error) {
    case ExchangeError::kNotConnected:
      return FailureKind::kConnectFailed;
    case ExchangeError::kInvalid:
      return FailureKind::kCorruptReply;
    case ExchangeError::kBroken:
      break;
  }
  return FailureKind::kConnectionLost;
}

}  // namespace

Node::Node(EventLoop& loop, NodeSettings settings, uint64_t incarnation)
    : m_loop(loop),
      m_settings(std::move(settings)),
      m_quarantine(true, kCrashesToRefuse),
      m_replicas({.retired =
                      [this](ServingReplica& replica, std::string_view reason) {
                        LogEvent("replica_retired")
                            .Field("replica", replica.entry.id)
                            .Field("service", replica.entry.service)
                            .Field("reason", reason);
                        m_connections.DropIdle(replica);
                      },
                  .added =
                      [](ServingReplica& replica) {
                        LogEvent("replica_added")
                            .Field("replica", replica.entry.id)
                            .Field("service", replica.entry.service)
                            .Field("address", replica.entry.address);
                      }}),
      m_dispatcher({.policy = m_settings.policy,
                    .data_centre = m_settings.data_centre,
                    .seed = incarnation,
                    .answer_margin = m_settings.answer_margin},
                   m_replicas,
                   m_quarantine,
                   MakeDispatcherHooks()),
      m_connections(m_poller,
                    {.done =
                         [this](uint64_t exchange, ExchangeResult result) {
                           OnExchangeDone(exchange, std::move(result));
                         }}),
      m_callers(m_poller, CallerOptions(m_settings, {}), CallerHooks()),
      m_readiness(m_poller, kServiceListener, ReadinessHooks()),
      m_directory_listener(m_poller, kServiceListener, DirectoryHooks()),
      m_metrics_listener(m_poller, kServiceListener, MetricsHooks()),
      m_peers(MakeSelf(m_settings, incarnation), incarnation),
      m_directory(m_peers, incarnation),
      m_gossip(m_poller, m_peers, m_quarantine, GossipHooks()),
      m_started_at(Poller::Now()) {
  m_poller.SetAlarmHook([this] {
    m_dispatcher.OnTick(Poller::Now());
    UpdateAlarm();
  });
}

Node::~Node() = default;

absl::Status Node::Start() {
  const auto store = ParseSocketAddress(m_settings.store_address);
  if (!store.ok()) {
    return store.status();
  }
  absl::Status status = m_callers.Listen(m_settings.caller_address);
  status.Update(m_readiness.Listen(m_settings.readiness_address));
  status.Update(m_directory_listener.Listen(m_settings.directory_address));
  status.Update(m_metrics_listener.Listen(m_settings.metrics_address));
  status.Update(m_gossip.Start(m_settings.gossip_address));
  if (!status.ok()) {
    return status;
  }
  m_replicas.SetFleet(kAssumedVms, m_settings.retries);
  m_store = std::make_unique<StoreClient>(m_poller, m_loop, *store);
  const uint64_t seed = m_peers.self().incarnation;
  m_config_follower = std::make_unique<KindFollower>(KindFollowerOptions{},
                                                     ConfigHooks(), seed);
  m_replica_follower = std::make_unique<KindFollower>(
      KindFollowerOptions{.batching = kReplicaBatching}, ReplicaHooks(), seed);
  m_config_follower->Start();
  m_replica_follower->Start();
  RegisterVm();
  m_loop.Every(kSweepPeriod, [this] { Sweep(); });
  m_loop.Every(kGossipPeriod, [this] {
    m_gossip.Beat(Poller::Now());
    OnMembershipChange();
  });
  m_loop.Every(kListVmsPeriod, [this] { ListVms(); });
  return absl::OkStatus();
}

HttpListenerHooks Node::CallerHooks() {
  return {.request =
              [this](ExchangeId exchange, HttpRequestMessage message) {
                OnCallerRequest(exchange, std::move(message));
              },
          .caller_gone =
              [this](ExchangeId exchange) {
                m_request_ids.erase(exchange);
                m_dispatcher.Cancel(exchange, Poller::Now());
                UpdateAlarm();
              }};
}

HttpListenerHooks Node::ReadinessHooks() {
  return {.request =
              [this](ExchangeId exchange, const HttpRequestMessage& message) {
                const unsigned ready = IsReady() ? 200 : 503;
                m_readiness.Respond(
                    exchange,
                    PlainStatus(IsReadinessQuestion(message) ? ready : 404));
              },
          .caller_gone = [](ExchangeId) {}};
}

HttpListenerHooks Node::DirectoryHooks() {
  return {.request =
              [this](ExchangeId exchange, const HttpRequestMessage& message) {
                if (!IsAddressQuestion(message)) {
                  m_directory_listener.Respond(exchange, PlainStatus(404));
                  return;
                }
                AnswerAddresses(exchange);
              },
          .caller_gone = [](ExchangeId) {}};
}

HttpListenerHooks Node::MetricsHooks() {
  return {.request =
              [this](ExchangeId exchange, const HttpRequestMessage&) {
                HttpResponseMessage response = PlainStatus(200);
                response.fields.Add("Content-Type",
                                    "text/plain; version=0.0.4");
                response.body = m_request_log.metrics().Render();
                m_metrics_listener.Respond(exchange, response);
              },
          .caller_gone = [](ExchangeId) {}};
}

DispatcherHooks Node::MakeDispatcherHooks() {
  DispatcherHooks hooks;
  hooks.send = [this](const SendOrder& order) {
    m_connections.Start(order.attempt, order.replica, EncodeSend(order), false);
  };
  hooks.abandon = [this](uint64_t attempt, ServingReplica&) {
    m_connections.Abandon(attempt);
  };
  hooks.answer = [this](const FinalAnswer& answer) { OnAnswer(answer); };
  hooks.finished = [this](const RequestReport& report) {
    m_request_log.OnFinished(report);
  };
  hooks.probe = [this](const std::shared_ptr<ServingReplica>& replica) {
    const uint64_t exchange = kProbeBit | ++m_next_probe;
    m_probes[exchange] = replica;
    m_connections.Start(exchange, replica, EncodeHealthQuestion(*replica),
                        true);
  };
  hooks.belief = [this](const ServingReplica& replica,
                        std::string_view reason) {
    LogEvent("replica_belief")
        .Field("replica", replica.entry.id)
        .Field("service", replica.entry.service)
        .Field("state", replica.unresponsive ? "unresponsive" : "answering")
        .Field("reason", reason)
        .Field("last_answer_age_ms",
               (Poller::Now() - replica.answered_at).count());
    if (replica.unresponsive) {
      // Other connections to it may be dead as well.
      m_connections.DropIdle(const_cast<ServingReplica&>(replica));
    }
  };
  return hooks;
}

UdpGossipHooks Node::GossipHooks() {
  return {.membership = [this] { OnMembershipChange(); },
          .fill =
              [this](GossipMessage& message) {
                message.config_change = m_config_follower->last_change();
                message.replica_change = m_replica_follower->last_change();
              },
          .received =
              [this](const GossipMessage& message) {
                const Millis now = Poller::Now();
                m_config_follower->OnRevisionElsewhere(message.config_change,
                                                       now);
                m_replica_follower->OnRevisionElsewhere(message.replica_change,
                                                        now);
              }};
}

KindFollowerHooks Node::StoreHooks(StoreKind kind) {
  KindFollowerHooks hooks;
  hooks.list = [this, kind](std::string_view after,
                            KindFollowerHooks::PageDone done) {
    m_store->List(kind, after, false, std::move(done));
  };
  hooks.watch = [this, kind](uint64_t revision,
                             KindFollowerHooks::EventsDone done) {
    m_store->Watch(kind, revision, std::move(done));
  };
  hooks.after = [this](Millis delay, std::function<void()> task) {
    m_loop.After(delay, std::move(task));
  };
  hooks.reachable = [this, kind](bool reachable, StoreResult result) {
    OnStoreReachable(kind, reachable, result);
  };
  return hooks;
}

KindFollowerHooks Node::ConfigHooks() {
  KindFollowerHooks hooks = StoreHooks(StoreKind::kConfig);
  hooks.snapshot = [this](const std::vector<StoreObject>& objects) {
    std::ranges::for_each(objects, [this](const StoreObject& object) {
      ApplyConfigObject(object);
    });
  };
  hooks.changed = [this](const StoreObject& object) {
    ApplyConfigObject(object);
  };
  hooks.removed = [](std::string_view name) {
    // The last configuration stays in force.
    LogEvent("config_object_removed").Field("object", name);
  };
  return hooks;
}

KindFollowerHooks Node::ReplicaHooks() {
  KindFollowerHooks hooks = StoreHooks(StoreKind::kReplicas);
  hooks.snapshot = [this](const std::vector<StoreObject>& objects) {
    ApplyReplicaList(objects);
  };
  hooks.changed = [this](const StoreObject& object) {
    ApplyReplicaObject(object);
  };
  hooks.removed = [this](std::string_view name) {
    m_replicas.Remove(name, Poller::Now());
  };
  return hooks;
}

void Node::OnCallerRequest(ExchangeId exchange, HttpRequestMessage message) {
  auto decoded = DecodeCallerRequest(std::move(message));
  if (!decoded.ok()) {
    LogRejected("request_invalid", "", decoded.status());
    m_callers.Respond(exchange, EncodeRejection(decoded.status()));
    return;
  }
  auto request = std::make_shared<const CallerRequest>(*std::move(decoded));
  m_request_ids[exchange] = request->id;
  m_dispatcher.Submit(exchange, std::move(request), Poller::Now());
  UpdateAlarm();
}

void Node::OnAnswer(const FinalAnswer& answer) {
  const auto node = m_request_ids.extract(answer.key);
  if (!node.empty()) {
    m_callers.Respond(answer.key, EncodeAnswer(answer, node.mapped()));
  }
}

void Node::AnswerAddresses(ExchangeId exchange) {
  std::vector<std::string> addresses;
  const EntryAddresses serving =
      m_directory.Addresses(m_settings.data_centre, Poller::Now());
  for (const EntryAddress& entry : serving.addresses) {
    addresses.push_back(entry.caller_address);
  }
  if (addresses.empty()) {
    m_directory_listener.Respond(exchange, PlainStatus(503));
    return;
  }
  m_directory_listener.Respond(
      exchange, EncodeAddresses(addresses, m_settings.address_lifetime));
}

void Node::OnExchangeDone(uint64_t exchange, ExchangeResult result) {
  if ((exchange & kProbeBit) != 0) {
    OnProbeDone(exchange, result);
    return;
  }
  const Millis now = Poller::Now();
  if (result.error) {
    m_dispatcher.OnFailure(exchange, FailureOf(*result.error), now);
  } else {
    m_dispatcher.OnReply(exchange, DecodeReply(std::move(result.response)),
                         now);
  }
  UpdateAlarm();
}

void Node::OnProbeDone(uint64_t exchange, const ExchangeResult& result) {
  const auto node = m_probes.extract(exchange);
  ServingReplica& replica = *node.mapped();
  const bool healthy = !result.error && IsHealthy(replica, result.response);
  m_dispatcher.OnProbe(replica, healthy, Poller::Now());
}

void Node::ApplyConfigObject(const StoreObject& object) {
  if (!IsConfiguration(object)) {
    return;
  }
  const auto config = DecodeConfig(object.content);
  if (!config.ok()) {
    LogRejected("config_invalid", object.name, config.status());
    return;
  }
  if (!m_dispatcher.ApplyConfig(*config)) {
    return;
  }
  LogEvent("config_in_force")
      .Field("version", config->version)
      .Field("revision", object.revision)
      .Field("routes", config->routes.size())
      .Field("services", config->services.size());
  m_callers.SetOptions(CallerOptions(m_settings, config->limits));
  m_peers.SetDocumentRevision(config->version);
  UpdateState();
}

void Node::ApplyReplicaObject(const StoreObject& object) {
  const Millis now = Poller::Now();
  const auto entry = DecodeReplica(object.name, object.content);
  if (entry.ok()) {
    m_replicas.Apply(*entry, now);
    return;
  }
  LogRejected("replica_entry_invalid", object.name, entry.status());
  m_replicas.Remove(object.name, now);
}

void Node::ApplyReplicaList(const std::vector<StoreObject>& objects) {
  std::vector<ReplicaEntry> entries;
  for (const StoreObject& object : objects) {
    auto entry = DecodeReplica(object.name, object.content);
    if (entry.ok()) {
      entries.push_back(*std::move(entry));
    } else {
      LogRejected("replica_entry_invalid", object.name, entry.status());
    }
  }
  m_replicas.ApplyList(entries, Poller::Now());
  UpdateState();
}

void Node::OnStoreReachable(StoreKind kind,
                            bool reachable,
                            StoreResult result) {
  LogEvent(reachable ? "store_regained" : "store_lost")
      .Field("kind", ToString(kind))
      .Field("result", ToString(result));
  if (kind == StoreKind::kReplicas) {
    m_replicas.SetStoreReachable(reachable, Poller::Now());
  }
}

void Node::RegisterVm() {
  const std::string body = EncodeVm(m_settings.id, m_settings.gossip_address);
  m_store->Create(StoreKind::kVms, body, [this, body](WriteResult result) {
    if (m_stopping) {
      return;
    }
    switch (result) {
      case WriteResult::kDone:
        ListVms();
        return;
      case WriteResult::kConflict:
        // This VM's previous process left it; a no-op when the address stands.
        m_store->Replace(StoreKind::kVms, m_settings.id, body,
                         [this](WriteResult) { ListVms(); });
        return;
      case WriteResult::kNotFound:
      case WriteResult::kRefused:
      case WriteResult::kUnknown:
        LogEvent("vm_registration_failed").Field("retry", true);
        m_loop.After(kRegisterRetry, [this] { RegisterVm(); });
    }
  });
}

void Node::ListVms() {
  if (m_stopping) {
    return;
  }
  const bool may_be_stale = m_registered_vms > 0;
  m_store->List(StoreKind::kVms, "", may_be_stale,
                [this](StoreResult result, const StorePage& page) {
                  if (result != StoreResult::kOk) {
                    return;
                  }
                  std::vector<std::string> addresses;
                  for (const StoreObject& object : page.objects) {
                    auto address = DecodeVm(object.content);
                    if (!address.ok()) {
                      LogRejected("vm_entry_invalid", object.name,
                                  address.status());
                    } else if (object.name != m_settings.id) {
                      addresses.push_back(*std::move(address));
                    }
                  }
                  m_registered_vms = page.objects.size();
                  m_peers.SetSeeds(std::move(addresses));
                  m_gossip.Announce(Poller::Now());
                });
}

void Node::OnMembershipChange() {
  const Millis now = Poller::Now();
  size_t vms = 1;
  for (const PeerTable::Peer& peer : m_peers.Peers(now)) {
    vms += peer.liveness != Liveness::kDead ? 1 : 0;
  }
  if (now - m_started_at < kGossipWarmUp) {
    vms = std::max({vms, kAssumedVms, m_registered_vms});
  }
  m_replicas.SetFleet(vms, m_settings.retries);
}

bool Node::IsReady() const {
  return !m_stopping && m_dispatcher.plan() != nullptr && m_replica_follower &&
         m_replica_follower->has_snapshot();
}

void Node::UpdateState() {
  if (IsReady() && m_peers.self().state == PeerState::kStarting) {
    m_peers.SetState(PeerState::kServing);
    LogEvent("ready")
        .Field("config_version", m_dispatcher.plan()->version())
        .Field("replicas", m_replicas.size());
    m_gossip.Announce(Poller::Now());
  }
}

void Node::Sweep() {
  const Millis now = Poller::Now();
  m_callers.Sweep();
  m_readiness.Sweep();
  m_directory_listener.Sweep();
  m_metrics_listener.Sweep();
  m_connections.Sweep(now);
  m_replicas.Sweep(now);
  m_dispatcher.Sweep(now);
  UpdateAlarm();
}

void Node::UpdateAlarm() {
  if (const auto next = m_dispatcher.NextTimer()) {
    m_poller.SetAlarm(*next);
  }
}

void Node::Reload(const NodeSettings& settings) {
  m_settings.retries = settings.retries;
  m_settings.stop_grace = settings.stop_grace;
  m_settings.address_lifetime = settings.address_lifetime;
  OnMembershipChange();
  LogEvent("settings_reloaded").Field("id", m_settings.id);
}

void Node::Stop() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  const Millis now = Poller::Now();
  m_stop_deadline = now + m_settings.stop_grace - kStopMargin;
  LogEvent("stopping")
      .Field("running", m_dispatcher.running())
      .Field("grace_ms", m_settings.stop_grace.count());
  m_peers.SetState(PeerState::kLeaving);
  m_gossip.Announce(now);
  m_callers.CloseAfterResponses();
  m_store->Delete(StoreKind::kVms, m_settings.id, [](WriteResult) {});
  const Millis accept_until =
      m_settings.address_lifetime * kAddressLifetimes + kLeavingNews;
  m_loop.After(std::min(accept_until, m_settings.stop_grace * 0.6),
               [this] { StopAccepting(); });
}

void Node::StopAccepting() {
  LogEvent("accepting_ended").Field("running", m_dispatcher.running());
  m_callers.StopAccepting();
  m_loop.Every(kStopPoll, [this] { FinishStop(); });
}

void Node::FinishStop() {
  const Millis now = Poller::Now();
  if (now >= m_stop_deadline) {
    m_dispatcher.Stop(now);
  }
  if (m_callers.pending() == 0 || now >= m_stop_deadline) {
    m_loop.Quit();
  }
}

}  // namespace tanagervane
