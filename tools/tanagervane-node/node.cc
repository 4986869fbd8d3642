// Set-up, callers and replicas of Node.

#include "tools/tanagervane-node/node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "platform/caller_codec.h"
#include "platform/replica_codec.h"
#include "tanagervane/net/socket.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/log.h"
#include "tools/tanagervane-node/listener_options.h"

namespace tanagervane {

namespace {

constexpr Millis kTimeoutCheckInterval{100};

/// Time between reads of the list of VMs.
constexpr Millis kVmListInterval{15'000};

/// A VM decides only this long after its start whether it must watch the latest
/// state of the store. Earlier it does not know the other VMs, and when many
/// start at once each of them would watch and check that the store answers. A
/// VM that was registered before its start knows the others sooner.
constexpr Millis kWatchRoleDelay{4000};

/// A store that does not list evacuations delays the start by this much at
/// most.
constexpr Millis kEvacuationListTimeout{2000};

/// A replica change that another VM has seen counts as missed when it does not
/// arrive within this time after the time for which changes are batched.
constexpr Millis kChangeDelayMargin{400};

/// A request is refused after it has crashed this many replicas.
constexpr size_t kCrashesToRefuse = 3;

/// Maximum addresses in one response. Those in the data centre of this VM come
/// first.
constexpr size_t kMaxAddresses = 64;

PeerRecord MakeSelfRecord(const NodeSettings& settings, uint64_t incarnation) {
  PeerRecord self;
  self.id = settings.id;
  self.incarnation = incarnation;
  self.caller_address = settings.caller_address;
  self.peer_address = settings.gossip_address;
  self.data_centre = settings.data_centre;
  return self;
}

HttpResponseMessage EmptyResponse(unsigned status) {
  HttpResponseMessage response;
  response.status = status;
  return response;
}

void LogRateLimit(const ServingReplica& replica, std::string_view source) {
  const std::optional<double>& limit = replica.limits->rate_limiter.limit();
  LogEvent("replica_rate_limit")
      .Field("replica", replica.registration.id)
      .Field("service", replica.registration.service)
      .Field("per_second", limit ? fmt::format("{}", *limit) : "none")
      .Field("source", source);
}

void LogBackoff(const ServingReplica& replica, Millis duration) {
  LogEvent("replica_backoff")
      .Field("replica", replica.registration.id)
      .Field("service", replica.registration.service)
      .Field("for_ms", duration.count());
}

}  // namespace

Node::Node(EventLoop& loop, NodeSettings settings, uint64_t incarnation)
    : m_loop(loop),
      m_settings(std::move(settings)),
      m_memory(ConnectionMemory(m_settings.memory_mb)),
      m_quarantine(true, kCrashesToRefuse),
      m_replicas({.on_retired =
                      [this](ServingReplica& replica, std::string_view reason) {
                        LogEvent("replica_retired")
                            .Field("replica", replica.registration.id)
                            .Field("service", replica.registration.service)
                            .Field("reason", reason);
                        m_connections.CloseIdle(replica);
                        CancelProbes(replica);
                      },
                  .on_added =
                      [](ServingReplica& replica) {
                        LogEvent("replica_added")
                            .Field("replica", replica.registration.id)
                            .Field("service", replica.registration.service)
                            .Field("address", replica.registration.address);
                      },
                  .on_rate_limit_changed = LogRateLimit,
                  .on_backoff = LogBackoff},
                 incarnation),
      m_dispatcher({.policy = m_settings.policy,
                    .data_centre = m_settings.data_centre,
                    .seed = incarnation,
                    .answer_margin = m_settings.answer_margin},
                   m_replicas,
                   m_quarantine,
                   MakeDispatcherHooks()),
      m_connections(m_poller,
                    m_memory,
                    {.done =
                         [this](uint64_t exchange, ExchangeResult result) {
                           OnExchangeDone(exchange, std::move(result));
                         }}),
      m_caller_listener(m_poller,
                        CallerOptions(m_settings, {}, m_memory),
                        CallerHooks()),
      m_readiness_listener(m_poller,
                           ServiceOptions(m_settings, m_memory),
                           ReadinessHooks()),
      m_directory_listener(m_poller,
                           ServiceOptions(m_settings, m_memory),
                           DirectoryHooks()),
      m_metrics_listener(m_poller,
                         ServiceOptions(m_settings, m_memory),
                         MetricsHooks()),
      m_peers(MakeSelfRecord(m_settings, incarnation), incarnation),
      m_directory(m_peers, incarnation),
      m_gossip(m_poller, m_peers, m_quarantine, GossipHooks()),
      m_registry(m_settings.id, m_settings.gossip_address, RegistryHooks()),
      m_registration_writes(incarnation),
      m_quota(MakeQuota(incarnation)),
      m_proof(MakeProofOptions(m_settings.revocation_bound,
                               m_settings.config_apply_bound)),
      m_proof_questions(std::random_device()()),
      m_proof_random(incarnation),
      m_started_at(Poller::Now()),
      m_watch_role(m_started_at, kWatchRoleDelay) {
  m_settings.retries.full_slack_from = m_started_at + m_settings.retries.window;
  m_poller.SetAlarmHook([this] {
    m_dispatcher.OnTick(Poller::Now());
    TickQuota();
    UpdateTimer();
  });
}

Node::~Node() = default;

absl::Status Node::Start() {
  const auto store = ParseSocketAddress(m_settings.store_address);
  if (!store.ok()) {
    return store.status();
  }
  absl::Status status = m_caller_listener.Listen(m_settings.caller_address);
  status.Update(m_readiness_listener.Listen(m_settings.readiness_address));
  status.Update(m_directory_listener.Listen(m_settings.directory_address));
  status.Update(m_metrics_listener.Listen(m_settings.metrics_address));
  status.Update(m_gossip.Start(m_settings.gossip_address));
  if (!status.ok()) {
    return status;
  }
  m_replicas.SetDrainTimeout(m_settings.drain_bound);
  m_store = std::make_unique<StoreClient>(
      m_poller, m_loop, *store,
      [this](uint64_t era, bool first) { OnStoreEra(era, first); });
  const uint64_t seed = m_peers.self().incarnation;
  const bool stale = m_settings.stale_reads;
  m_config_watcher = std::make_unique<KindWatcher>(
      KindWatcherOptions{.stale_reads = stale, .latest_first_list = true},
      ConfigHooks(), seed);
  const Millis batch_delay = m_settings.drain_bound * kBatchDelayFraction;
  m_replica_watcher = std::make_unique<KindWatcher>(
      KindWatcherOptions{.lag_timeout = batch_delay + kChangeDelayMargin,
                         .batch_delay = batch_delay,
                         .stale_reads = stale},
      ReplicaHooks(), seed);
  OnMembershipChange();
  if (m_settings.evacuation_bound) {
    // Requests are served once a configuration is known, so the configuration
    // is read only when it is known which replicas may be used.
    m_evacuation_watch = std::make_unique<EvacuationWatch>(
        StoreHooks(StoreKind::kEvacuations), stale, seed, m_replicas,
        [this] { m_config_watcher->Start(); });
    m_evacuation_watch->Start();
    m_loop.RunAfter(kEvacuationListTimeout, [this] {
      if (!m_evacuation_watch->known()) {
        LogEvent("evacuations_unknown").Field("serving", true);
        m_config_watcher->Start();
      }
    });
  } else {
    m_config_watcher->Start();
  }
  m_replica_watcher->Start();
  m_registry.Start(Poller::Now());
  m_loop.RunEvery(kTimeoutCheckInterval, [this] { EnforceTimeouts(); });
  m_loop.RunEvery(kGossipInterval, [this] {
    m_gossip.RunRound(Poller::Now());
    OnMembershipChange();
  });
  m_loop.RunEvery(kVmListInterval,
                  [this] { m_registry.Refresh(Poller::Now()); });
  return absl::OkStatus();
}

HttpListenerHooks Node::CallerHooks() {
  return {.on_request =
              [this](ExchangeId exchange, HttpRequestMessage message) {
                OnCallerRequest(exchange, std::move(message));
              },
          .on_caller_disconnected =
              [this](ExchangeId exchange) {
                m_request_ids.erase(exchange);
                m_dispatcher.Cancel(exchange, Poller::Now());
                UpdateTimer();
              },
          .on_header =
              [this](const HttpRequestMessage& header) {
                return AnswerFromHeader(header);
              }};
}

HttpListenerHooks Node::ReadinessHooks() {
  return {.on_request =
              [this](ExchangeId exchange, const HttpRequestMessage& message) {
                const unsigned ready = IsReady() ? 200 : 503;
                m_readiness_listener.Respond(
                    exchange,
                    EmptyResponse(IsReadinessRequest(message) ? ready : 404));
              },
          .on_caller_disconnected = [](ExchangeId) {},
          .on_header =
              [](const HttpRequestMessage& header) {
                return CheckServiceHeader(header, IsReadinessRequest(header));
              }};
}

HttpListenerHooks Node::DirectoryHooks() {
  return {.on_request =
              [this](ExchangeId exchange, const HttpRequestMessage& message) {
                if (!IsAddressRequest(message)) {
                  m_directory_listener.Respond(exchange, EmptyResponse(404));
                  return;
                }
                AnswerAddresses(exchange);
              },
          .on_caller_disconnected = [](ExchangeId) {},
          .on_header =
              [](const HttpRequestMessage& header) {
                return CheckServiceHeader(header, IsAddressRequest(header));
              }};
}

HttpListenerHooks Node::MetricsHooks() {
  return {.on_request =
              [this](ExchangeId exchange, const HttpRequestMessage&) {
                HttpResponseMessage response = EmptyResponse(200);
                response.fields.Add("Content-Type",
                                    "text/plain; version=0.0.4");
                UpdateMetrics();
                response.body = m_request_log.metrics().Render();
                m_metrics_listener.Respond(exchange, response);
              },
          .on_caller_disconnected = [](ExchangeId) {},
          .on_header =
              [](const HttpRequestMessage& header) {
                return CheckServiceHeader(header, true);
              }};
}

void Node::OnCallerRequest(ExchangeId exchange, HttpRequestMessage message) {
  const PresentedKey key = FindPresentedKey(message.fields);
  auto decoded = DecodeCallerRequest(std::move(message));
  if (!decoded.ok()) {
    LogEvent("request_invalid")
        .Field("path", GetErrorPath(decoded.status()))
        .Field("reason", GetErrorMessage(decoded.status()));
    m_caller_listener.Respond(exchange, EncodeRejection(decoded.status()));
    return;
  }
  auto request = std::make_shared<CallerRequest>(*std::move(decoded));
  m_request_ids[exchange] = request->id;
  m_dispatcher.Submit(exchange, std::move(request), Poller::Now(), key);
  UpdateTimer();
}

void Node::ApplyLimits(const CallerLimits& limits) {
  m_caller_listener.SetOptions(CallerOptions(m_settings, limits, m_memory));
}

void Node::OnAnswer(const FinalAnswer& answer) {
  const auto node = m_request_ids.extract(answer.key);
  if (!node.empty()) {
    m_caller_listener.Respond(answer.key, EncodeAnswer(answer, node.mapped()));
  }
}

void Node::AnswerAddresses(ExchangeId exchange) {
  std::vector<std::string> addresses;
  const EntryAddresses serving =
      m_directory.Addresses(m_settings.data_centre, Poller::Now());
  for (const EntryAddress& entry : serving.addresses) {
    addresses.push_back(entry.caller_address);
  }
  if (addresses.size() > kMaxAddresses) {
    addresses.resize(kMaxAddresses);
  }
  if (addresses.empty()) {
    m_directory_listener.Respond(exchange, EmptyResponse(503));
    return;
  }
  m_directory_listener.Respond(
      exchange, EncodeAddresses(addresses, m_settings.address_lifetime));
}

bool Node::IsReady() const {
  return !m_stopping && m_dispatcher.plan() != nullptr && m_replica_watcher &&
         m_replica_watcher->has_snapshot();
}

void Node::UpdateState() {
  if (IsReady() && !m_left_out &&
      m_peers.self().state == PeerState::kStarting) {
    m_peers.SetState(PeerState::kServing);
    LogEvent("ready")
        .Field("config_version", m_dispatcher.plan()->version())
        .Field("replicas", m_replicas.size());
    m_gossip.Announce(Poller::Now());
  }
}

void Node::EnforceTimeouts() {
  const Millis now = Poller::Now();
  m_caller_listener.EnforceTimeouts();
  m_readiness_listener.EnforceTimeouts();
  m_directory_listener.EnforceTimeouts();
  m_metrics_listener.EnforceTimeouts();
  m_connections.EnforceTimeouts(now);
  m_memory_watch.Check(m_memory, now);
  if (m_replicas.ShouldVerifyLapse(now)) {
    LogEvent("lapse_verified").Field("replicas", m_replicas.size());
    m_replica_watcher->ReadNow();
  }
  m_replicas.RetireLapsed(now);
  m_dispatcher.CheckReplicaHealth(now);
  UpdateTimer();
}

void Node::UpdateTimer() {
  std::optional<Millis> next = m_dispatcher.NextTimer();
  if (const auto quota = NextQuotaTimer()) {
    next = next ? std::min(*next, *quota) : quota;
  }
  if (next) {
    m_poller.SetAlarm(*next);
  }
}

}  // namespace tanagervane
