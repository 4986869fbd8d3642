// Tests that SendQueue bounds connections and queued requests.

#include "send_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tanagervane/support/error.h"

namespace tanagervane {
namespace {

// Listens on the first free port of a range, because tests of several work
// trees run on the same machine.
std::string ListenOnFreePort(HttpServer& server) {
  for (int port = 18400; port < 18500; ++port) {
    std::string address = "127.0.0.1:" + std::to_string(port);
    if (server.Listen(address).ok()) {
      return address;
    }
  }
  ADD_FAILURE() << "no free port";
  return "";
}

struct SendResults {
  size_t answered = 0;
  size_t not_sent = 0;
  size_t max_open_requests = 0;
};

// Sends `count` requests at once to a server that answers each 5 ms later, and
// waits until all have ended.
SendResults SendAll(size_t count, SendQueue::Limits limits) {
  EventLoop loop;
  SendResults results;
  HttpServer server([&](const HttpRequest&, const HttpResponder& respond) {
    loop.RunAfter(Millis(5), [respond] { respond(HttpResponse{}); });
  });
  const std::string address = ListenOnFreePort(server);
  SendQueue queue(loop, limits);
  const auto poll_timer = loop.RunEvery(Millis(1), [&] {
    results.max_open_requests =
        std::max(results.max_open_requests, server.open_requests());
  });
  size_t pending = count;
  for (size_t i = 0; i < count; ++i) {
    queue.Send({.address = address,
                .path = "/v1/query",
                .body = [] { return std::string("{}"); },
                .response_deadline = loop.Now() + Millis(30000),
                .done =
                    [&](const absl::StatusOr<HttpResponse>& response) {
                      results.answered += response.ok() ? 1 : 0;
                      results.not_sent += GetErrorCode(response.status()) ==
                                                  ErrorCode::kOverloaded
                                              ? 1
                                              : 0;
                      if (--pending == 0) {
                        loop.Post([&loop] { loop.Quit(); });
                      }
                    }});
  }
  loop.Run();
  loop.CancelTimer(poll_timer);
  return results;
}

// Guards against handing libsoup more messages than it has connections: its
// cost per event then grows with the number of messages, and the load generator
// falls behind its schedule.
TEST(SendQueueTest, LimitsRequestsInFlightToConnections) {
  const SendResults results =
      SendAll(200, {.connections_per_host = 20, .max_queued_per_host = 200});
  EXPECT_EQ(results.answered, 200U);
  EXPECT_EQ(results.not_sent, 0U);
  EXPECT_GT(results.max_open_requests, 0U);
  EXPECT_LE(results.max_open_requests, 20U);
}

// Guards against an unbounded queue, and against counting requests that the
// load generator never sent as server failures.
TEST(SendQueueTest, ReportsRequestsAboveQueueLimitAsNotSent) {
  const SendResults results =
      SendAll(50, {.connections_per_host = 3, .max_queued_per_host = 7});
  EXPECT_EQ(results.answered, 10U);
  EXPECT_EQ(results.not_sent, 40U);
}

}  // namespace
}  // namespace tanagervane
