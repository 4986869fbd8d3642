// A request queue with a bounded number of connections to each host.

#ifndef TANAGERVANE_TOOLS_LOAD_SEND_QUEUE_H_
#define TANAGERVANE_TOOLS_LOAD_SEND_QUEUE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tanagervane/edge/http.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Queues requests for each host and sends them with several HTTP clients.
/// libsoup scans all queued messages of a session at each event: a session with
/// 400 messages blocked the event loop for 4.5 s. Therefore this class never
/// hands a session more messages than it has connections.
class SendQueue {
 public:
  struct Limits {
    size_t connections_per_host = 0;
    /// Requests that wait for a free connection.
    size_t max_queued_per_host = 0;
  };

  /// A POST request.
  struct PendingRequest {
    std::string address;
    std::string path;
    /// Called at the time of sending; returns the body.
    std::function<std::string()> body;
    /// The request fails when its response has not arrived by then.
    Millis response_deadline;
    /// Receives kOverloaded when the request was not sent because no connection
    /// became free; otherwise the result of HttpClient::Send().
    HttpClient::Callback done;
  };

  SendQueue(EventLoop& loop, Limits limits);

  /// Sends `request` when a connection is free, at once or after queueing.
  void Send(PendingRequest request);

  /// Opens all connections to `addresses`. `done` runs when each connection is
  /// open or has failed.
  void OpenConnections(const std::vector<std::string>& addresses,
                       const std::function<void()>& done);

 private:
  /// An HTTP client and its number of requests in flight.
  struct ClientSession {
    explicit ClientSession(size_t connections)
        : client(static_cast<int>(connections)), max_in_flight(connections) {}

    HttpClient client;
    size_t max_in_flight;
    size_t in_flight = 0;

    size_t free_connections() const { return max_in_flight - in_flight; }
  };

  struct Host {
    std::vector<std::unique_ptr<ClientSession>> sessions;
    std::deque<PendingRequest> queued;
  };

  Host& FindOrCreateHost(const std::string& address);
  /// Returns the session with the most free connections; nullptr when none has
  /// a free connection.
  static ClientSession* FindFreeSession(Host& host);
  void Dispatch(Host& host, ClientSession& session, PendingRequest request);
  void SendQueued(Host& host);

  EventLoop& m_loop;
  Limits m_limits;
  std::map<std::string, Host> m_hosts;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_LOAD_SEND_QUEUE_H_
