// The server of one entry process: HTTP listeners, core and graceful stop.

#ifndef TANAGERVANE_EDGE_ENTRY_SERVER_H_
#define TANAGERVANE_EDGE_ENTRY_SERVER_H_

#include <memory>
#include <string>

#include "tanagervane/edge/caller_api.h"
#include "tanagervane/edge/entry_core.h"
#include "tanagervane/edge/operator_api.h"

namespace tanagervane {

/// Owns EntryCore and the HTTP listeners for callers and operators.
class EntryServer {
 public:
  /// `incarnation` grows with each start of the process.
  EntryServer(EventLoop& loop,
              const EntrySettings& settings,
              const std::string& operator_key,
              uint64_t incarnation);
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  absl::Status Start();

  /// Starts a graceful stop: serves until no caller can still hold this
  /// entry's address, then quits the event loop. Further calls have no effect.
  void Stop();

 private:
  void ShutDownWhenIdle();

  EventLoop& m_loop;
  EntryCore m_core;
  CallerApi m_caller_api;
  OperatorApi m_operator_api;
  HttpServer m_caller_listener;
  HttpServer m_operator_listener;
  bool m_stopping = false;
  bool m_shutdown_started = false;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_ENTRY_SERVER_H_
