// Sends requests over a bounded number of connections to each host.

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

/// A queue for each host in front of several HTTP clients. libsoup scans all
/// queued messages of a session at each event, so that a session with 400 of
/// them blocked the loop for 4.5 s. Here no session ever holds more messages
/// than it has connections.
class SendQueue {
 public:
  struct Limits {
    size_t connections_per_host = 0;
    size_t queued_per_host = 0;
  };

  struct Post {
    std::string address;
    std::string path;
    /// Makes the body at the time of sending.
    std::function<std::string()> body;
    /// When the response is no longer waited for.
    Millis give_up_at;
    /// Gets kOverloaded when the request was not sent for want of a free
    /// connection; otherwise as for HttpClient::Send().
    HttpClient::Callback done;
  };

  SendQueue(EventLoop& loop, Limits limits);

  /// Sends a request now or as soon as a connection is free.
  void Send(Post post);

  /// Opens all connections to the addresses. `done` runs once they are open
  /// or have failed.
  void WarmUp(const std::vector<std::string>& addresses,
              const std::function<void()>& done);

 private:
  /// One HTTP client and its requests in flight.
  struct Lane {
    explicit Lane(size_t max_in_flight)
        : client(static_cast<int>(max_in_flight)), capacity(max_in_flight) {}

    HttpClient client;
    size_t capacity;
    size_t in_flight = 0;

    size_t room() const { return capacity - in_flight; }
  };

  struct Host {
    std::vector<std::unique_ptr<Lane>> lanes;
    std::deque<Post> waiting;
  };

  Host& HostOf(const std::string& address);
  static Lane* FreeLane(Host& host);
  void Dispatch(Host& host, Lane& lane, Post post);
  void SendWaiting(Host& host);

  EventLoop& m_loop;
  Limits m_limits;
  std::map<std::string, Host> m_hosts;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_LOAD_SEND_QUEUE_H_
