// Attempts and health probes of Node.

#include <utility>

#include "platform/replica_codec.h"
#include "tanagervane/support/log.h"
#include "tools/tanagervane-node/node.h"

namespace tanagervane {

namespace {

/// Marks the exchange ids of health probes, which share the id space of
/// ReplicaConnections with attempts.
constexpr uint64_t kProbeBit = uint64_t{1} << 63;

FailureKind ToFailureKind(ExchangeError error) {
  switch (error) {
    case ExchangeError::kNotConnected:
      return FailureKind::kConnectFailed;
    case ExchangeError::kInvalidResponse:
      return FailureKind::kCorruptReply;
    case ExchangeError::kNewConnectionLost:
      return FailureKind::kNewConnectionLost;
    case ExchangeError::kConnectionLost:
      break;
  }
  return FailureKind::kConnectionLost;
}

}  // namespace

DispatcherHooks Node::MakeDispatcherHooks() {
  DispatcherHooks hooks;
  hooks.send = [this](const OutgoingAttempt& attempt) {
    m_connections.Start(attempt.attempt_id, attempt.replica,
                        EncodeAttempt(attempt), false);
  };
  hooks.cancel_attempt = [this](uint64_t attempt, ServingReplica&) {
    m_connections.CancelExchange(attempt);
  };
  hooks.answer = [this](const FinalAnswer& answer) { OnAnswer(answer); };
  hooks.on_finished = [this](const RequestReport& report) {
    m_request_log.OnFinished(report);
  };
  hooks.probe = [this](const std::shared_ptr<ServingReplica>& replica) {
    const uint64_t exchange = kProbeBit | ++m_next_probe;
    m_probes[exchange] = replica;
    m_connections.Start(exchange, replica, EncodeHealthRequest(*replica), true);
  };
  hooks.cancel_probe = [this](ServingReplica& replica) {
    LogEvent("probe_timeout")
        .Field("replica", replica.registration.id)
        .Field("service", replica.registration.service);
    CancelProbes(replica);
  };
  hooks.on_health_changed = [this](ServingReplica& replica,
                                   std::string_view reason) {
    LogEvent("replica_belief")
        .Field("replica", replica.registration.id)
        .Field("service", replica.registration.service)
        .Field("state", replica.unresponsive ? "unresponsive" : "answering")
        .Field("reason", reason)
        .Field("last_answer_age_ms",
               (Poller::Now() - replica.last_answer_at).count());
    if (replica.unresponsive) {
      // Its idle connections may be broken as well.
      m_connections.CloseIdle(replica);
    }
  };
  hooks.config_certainty = [this](Millis) { return CertaintyOfConfig(); };
  AddQuotaHooks(hooks);
  return hooks;
}

void Node::OnExchangeDone(uint64_t exchange, ExchangeResult result) {
  if ((exchange & kProbeBit) != 0) {
    OnProbeDone(exchange, result);
    return;
  }
  const Millis now = Poller::Now();
  if (result.error) {
    m_dispatcher.OnPartialReply(exchange, DecodePartialReply(result.response),
                                now);
    m_dispatcher.OnFailure(exchange, ToFailureKind(*result.error), now);
  } else {
    ReplicaReply reply = DecodeReply(std::move(result.response));
    reply.memory_charge = ChargeReply(m_memory, reply);
    m_dispatcher.OnReply(exchange, std::move(reply), now);
  }
  UpdateTimer();
}

void Node::OnProbeDone(uint64_t exchange, const ExchangeResult& result) {
  const auto node = m_probes.extract(exchange);
  ServingReplica& replica = *node.mapped();
  const ProbeReply reply =
      result.error ? ProbeReply() : DecodeProbeReply(replica, result.response);
  m_dispatcher.OnProbeReply(replica, reply, Poller::Now());
}

void Node::CancelProbes(ServingReplica& replica) {
  replica.probe_in_flight = false;
  std::erase_if(m_probes, [&](const auto& probe) {
    const auto& [exchange, probed] = probe;
    if (probed.get() != &replica) {
      return false;
    }
    m_connections.CancelExchange(exchange);
    return true;
  });
}

}  // namespace tanagervane
