// Adding, removing and status polling of backend servers.

#include "tanagervane/edge/backend_pool.h"

#include <utility>

#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr Millis kStatusInterval(500);
constexpr Millis kStatusTimeout(400);
constexpr Millis kPollInterval(25);
constexpr uint32_t kFailuresUntilUnreachable = 3;

}  // namespace

BackendPool::BackendPool(EventLoop& loop,
                         GrpcRuntime& runtime,
                         QueryEngine& engine,
                         uint64_t seed)
    : m_loop(loop),
      m_engine(engine),
      m_client(
          loop,
          runtime,
          {
              .on_reply =
                  [this](AttemptId id, const BackendReply& reply) {
                    m_engine.OnReply(id, reply, m_loop.Now());
                    m_on_engine_event();
                  },
              .on_failure =
                  [this](AttemptId id, FailureKind kind) {
                    m_engine.OnFailure(id, kind, m_loop.Now());
                    if (kind == FailureKind::kConnectionLost) {
                      m_on_attempts_lost();
                    }
                    m_on_engine_event();
                  },
              .on_status =
                  [this](const ReplicaId& id, const ReplicaStatus& status) {
                    OnStatus(id, status);
                  },
              .on_status_failed =
                  [this](const ReplicaId& id) { OnStatusFailed(id); },
          }),
      m_random(seed) {
  m_poll_timer = m_loop.RunEvery(kPollInterval, [this] { PollStatus(); });
}

void BackendPool::Enable() {
  m_enabled = true;
  for (auto& [id, server] : m_servers) {
    Activate(server);
  }
}

void BackendPool::Disable() {
  m_enabled = false;
  for (auto& [id, server] : m_servers) {
    if (server.active) {
      m_engine.RemoveReplica(id, m_loop.Now());
      m_client.Disconnect(id);
      server.active = false;
      server.status_pending = false;
    }
  }
  m_on_engine_event();
}

void BackendPool::ApplyDocument(const Document& document) {
  m_document = document;
  for (auto& [id, server] : m_servers) {
    Activate(server);
  }
}

void BackendPool::Upsert(const VmRecord& vm) {
  Server& server = m_servers[vm.id];
  if (server.active && server.vm.address != vm.address) {
    // The VM was replaced under the same id: the process at the new address is
    // a different one, so nothing known about the old one applies.
    m_client.Disconnect(vm.id);
    m_engine.RemoveReplica(vm.id, m_loop.Now());
    server = Server{};
  }
  server.vm = vm;
  // A VM that is listed as live again runs a new process. The replica table
  // ignores the old incarnation, so the flag can be cleared here.
  server.leaving = server.leaving && vm.state == VmState::kLeaving;
  Activate(server);
  m_on_engine_event();
}

void BackendPool::Activate(Server& server) {
  const IndexSpec* index = m_document.FindIndex(server.vm.index);
  if (!m_enabled || !index) {
    return;
  }
  const ReplicaInfo info{.id = server.vm.id,
                         .address = server.vm.address,
                         .data_centre = server.vm.data_centre,
                         .index = server.vm.index,
                         .slots = index->slots};
  m_engine.UpsertReplica(info, m_loop.Now());
  if (server.leaving) {
    m_engine.SetReplicaLeaving(server.vm.id, m_loop.Now());
  }
  if (!server.active) {
    server.active = true;
    m_client.Connect(info);
    server.next_status_at = m_loop.Now();
  }
}

void BackendPool::SetLeaving(const std::string& id) {
  const auto it = m_servers.find(id);
  if (it == m_servers.end() || it->second.leaving) {
    return;
  }
  LogEvent("backend_server_leaving").Field("id", id);
  it->second.leaving = true;
  if (it->second.active) {
    m_engine.SetReplicaLeaving(id, m_loop.Now());
    m_on_engine_event();
  }
}

void BackendPool::Remove(const std::string& id) {
  if (m_servers.erase(id) == 0) {
    return;
  }
  LogEvent("backend_server_removed").Field("id", id);
  m_engine.RemoveReplica(id, m_loop.Now());
  m_client.Disconnect(id);
  m_on_engine_event();
}

size_t BackendPool::connected_servers() const {
  size_t count = 0;
  for (const auto& [id, server] : m_servers) {
    count += server.active && m_client.IsConnected(id) ? 1 : 0;
  }
  return count;
}

void BackendPool::PollStatus() {
  const Millis now = m_loop.Now();
  for (auto& [id, server] : m_servers) {
    if (!server.active || server.status_pending ||
        server.next_status_at > now) {
      continue;
    }
    server.status_pending = true;
    m_client.RequestStatus(id, kStatusTimeout);
  }
}

Millis BackendPool::NextStatusDelay() {
  return kStatusInterval * (0.8 + 0.4 * m_random.NextDouble());
}

void BackendPool::OnStatus(const ReplicaId& id, const ReplicaStatus& status) {
  const auto it = m_servers.find(id);
  if (it == m_servers.end()) {
    return;
  }
  Server& server = it->second;
  server.status_pending = false;
  server.consecutive_failures = 0;
  m_on_status_result(id, true);
  server.next_status_at = m_loop.Now() + NextStatusDelay();
  m_engine.OnReplicaStatus(id, status, m_loop.Now());
  m_on_engine_event();
}

void BackendPool::OnStatusFailed(const ReplicaId& id) {
  const auto it = m_servers.find(id);
  if (it == m_servers.end()) {
    return;
  }
  Server& server = it->second;
  server.status_pending = false;
  m_on_status_result(id, false);
  if (++server.consecutive_failures == kFailuresUntilUnreachable) {
    LogEvent("backend_server_unreachable").Field("id", id);
  }
  server.next_status_at = m_loop.Now() + NextStatusDelay();
  m_engine.OnReplicaStatusFailed(id, m_loop.Now());
  m_on_engine_event();
}

}  // namespace tanagervane
