// Start and graceful stop of an entry process.

#include "tanagervane/edge/entry_server.h"

#include <utility>

#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr Millis kStopPollInterval(20);
// All requests have ended at EntryDirectory::ServeUntil(), which covers their
// deadlines. The grace period is for writing the last responses and orders.
constexpr Millis kStopGracePeriod(2000);
constexpr Millis kSlotReleaseTimeout(1000);

}  // namespace

EntryServer::EntryServer(EventLoop& loop,
                         const EntrySettings& settings,
                         const std::string& operator_key,
                         uint64_t incarnation)
    : m_loop(loop),
      m_core(loop, settings, incarnation),
      m_caller_api(m_core),
      m_operator_api(loop, m_core, operator_key),
      m_caller_listener(
          [this](const HttpRequest& request, const HttpResponder& respond) {
            m_caller_api.Handle(request, respond);
          }),
      m_operator_listener(
          [this](const HttpRequest& request, const HttpResponder& respond) {
            m_operator_api.Handle(request, respond);
          }) {}

absl::Status EntryServer::Start() {
  absl::Status status = m_core.Start();
  status.Update(m_caller_listener.Listen(m_core.settings().caller_address));
  status.Update(m_operator_listener.Listen(m_core.settings().operator_address));
  return status;
}

void EntryServer::Stop() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  m_core.BeginLeaving();
  m_loop.RunEvery(kStopPollInterval, [this] { ShutDownWhenIdle(); });
}

void EntryServer::ShutDownWhenIdle() {
  const Millis now = m_loop.Now();
  if (m_shutdown_started || now < m_core.serve_until()) {
    return;
  }
  const bool overdue = now > m_core.serve_until() + kStopGracePeriod;
  const bool busy =
      m_caller_listener.open_requests() > 0 || m_core.HasPendingOrderWrites();
  if (busy && !overdue) {
    return;
  }
  m_shutdown_started = true;
  m_caller_listener.StopAccepting();
  LogEvent("stopping")
      .Field("id", m_core.settings().id)
      .Field("cut_requests", m_caller_listener.open_requests());
  m_core.Shutdown(kSlotReleaseTimeout, [this] { m_loop.Quit(); });
}

}  // namespace tanagervane
