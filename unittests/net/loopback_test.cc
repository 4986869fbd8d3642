// Tests of HttpListener and HttpConnection over loopback.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "gtest/gtest.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/net/http_connection.h"
#include "tanagervane/net/http_listener.h"
#include "tanagervane/net/memory_account.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/net/socket.h"

namespace tanagervane {
namespace {

class LoopbackTest : public testing::Test {
 protected:
  void SetUp() override {
    // The port depends on the process, so that tests can run in parallel.
    m_address = fmt::format("127.0.0.1:{}", 20000 + getpid() % 20000);
    m_listener = std::make_unique<HttpListener>(
        m_poller,
        HttpListenerOptions{.limits = {.header_bytes = 1024, .body_bytes = 64},
                            .header_timeout = Millis(100),
                            .idle_timeout = Millis(400)},
        HttpListenerHooks{
            .on_request =
                [this](ExchangeId exchange, HttpRequestMessage message) {
                  m_exchanges.push_back(exchange);
                  m_requests.push_back(std::move(message));
                  if (m_respond_immediately) {
                    SendResponse(exchange);
                  }
                },
            .on_caller_disconnected =
                [this](ExchangeId) { ++m_disconnected; }});
    ASSERT_TRUE(m_listener->Listen(m_address).ok());
  }

  void SendResponse(ExchangeId exchange) {
    HttpResponseMessage response;
    response.status = 200;
    response.body = fmt::format("answer {}", m_requests.size());
    m_listener->Respond(exchange, response);
  }

  void RunFor(Millis time) {
    m_loop.RunAfter(time, [this] { m_loop.Quit(); });
    m_loop.Run();
  }

  std::unique_ptr<HttpConnection> Connect() {
    return std::make_unique<HttpConnection>(
        m_poller, *ParseSocketAddress(m_address), MessageLimits{}, Millis(1000),
        [this] { ++m_idle_closed; });
  }

  int RawConnect(std::string_view bytes) {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = *ParseSocketAddress(m_address);
    EXPECT_EQ(connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
    EXPECT_EQ(send(descriptor, bytes.data(), bytes.size(), 0),
              static_cast<ssize_t>(bytes.size()));
    return descriptor;
  }

  static std::string ReadAll(int descriptor) {
    std::string received;
    char bytes[4096];
    while (true) {
      const ssize_t count =
          recv(descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (count <= 0) {
        return received;
      }
      received.append(bytes, static_cast<size_t>(count));
    }
  }

  EventLoop m_loop;
  Poller m_poller;
  std::string m_address;
  std::unique_ptr<HttpListener> m_listener;
  std::vector<ExchangeId> m_exchanges;
  std::vector<HttpRequestMessage> m_requests;
  bool m_respond_immediately = true;
  int m_disconnected = 0;
  int m_idle_closed = 0;
};

constexpr std::string_view kGetRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

bool MatchAny(const HttpResponseMessage&) {
  return true;
}

// Guards against pipelined requests that are answered out of order or not at
// all.
TEST_F(LoopbackTest, RequestsOfOneConnectionAreAnsweredInOrder) {
  const int descriptor =
      RawConnect(std::string(kGetRequest) + std::string(kGetRequest) +
                 std::string(kGetRequest));
  RunFor(Millis(50));
  const std::string received = ReadAll(descriptor);
  EXPECT_LT(received.find("answer 1"), received.find("answer 2"));
  EXPECT_LT(received.find("answer 2"), received.find("answer 3"));
  EXPECT_NE(received.find("answer 3"), std::string::npos);
  close(descriptor);
}

// Guards against work for a caller that has disconnected.
TEST_F(LoopbackTest, CallerDisconnectIsReported) {
  m_respond_immediately = false;
  const int descriptor = RawConnect(kGetRequest);
  RunFor(Millis(30));
  ASSERT_EQ(m_exchanges.size(), 1u);
  close(descriptor);
  RunFor(Millis(30));
  EXPECT_EQ(m_disconnected, 1);
  SendResponse(m_exchanges[0]);
}

// Guards against incomplete requests and idle callers that hold a connection
// forever.
TEST_F(LoopbackTest, SlowHeadersAndIdleConnectionsTimeOut) {
  const int slow = RawConnect("GET /x HTTP/1.1\r\nHos");
  const int idle = RawConnect(kGetRequest);
  const EventLoop::TimerId timeout_timer =
      m_loop.RunEvery(Millis(20), [this] { m_listener->EnforceTimeouts(); });
  RunFor(Millis(250));
  EXPECT_NE(ReadAll(slow).find("408"), std::string::npos);
  EXPECT_NE(ReadAll(idle).find("200"), std::string::npos);
  RunFor(Millis(400));
  char byte = 0;
  EXPECT_EQ(recv(idle, &byte, 1, MSG_DONTWAIT), 0);
  // GLib timers belong to the process, so they would run in later tests.
  m_loop.CancelTimer(timeout_timer);
  close(slow);
  close(idle);
}

// Guards against StopAccepting() aborting running requests or leaving idle
// connections open.
TEST_F(LoopbackTest, StopFinishesRunningRequestsAndClosesIdleConnections) {
  const int idle = RawConnect(kGetRequest);
  RunFor(Millis(30));
  m_respond_immediately = false;
  const int running = RawConnect(kGetRequest);
  RunFor(Millis(30));
  m_listener->StopAccepting();
  EXPECT_EQ(m_listener->pending(), 1u);
  SendResponse(m_exchanges.back());
  RunFor(Millis(30));
  EXPECT_EQ(m_listener->pending(), 0u);
  EXPECT_NE(ReadAll(running).find("Connection: close"), std::string::npos);
  EXPECT_NE(ReadAll(idle).find("200"), std::string::npos);
  close(idle);
  close(running);
}

TEST_F(LoopbackTest, ClientReusesItsConnection) {
  const auto connection = Connect();
  std::vector<std::string> bodies;
  for (int i = 0; i < 3; ++i) {
    connection->Send(std::string(kGetRequest), false, MatchAny,
                     [&](ExchangeResult result) {
                       ASSERT_FALSE(result.error);
                       bodies.push_back(result.response.body);
                     });
    RunFor(Millis(30));
    EXPECT_TRUE(connection->reusable());
  }
  EXPECT_EQ(bodies.size(), 3u);
  EXPECT_EQ(m_listener->stats().accepted, 1u);
}

// Guards against a late response to an earlier request being returned for the
// current one.
TEST_F(LoopbackTest, ResponseToAnotherRequestIsSkipped) {
  m_respond_immediately = false;
  const auto connection = Connect();
  ExchangeResult got;
  connection->Send(
      std::string(kGetRequest), false,
      [](const HttpResponseMessage& response) {
        return response.body == "answer 2";
      },
      [&](ExchangeResult result) { got = std::move(result); });
  RunFor(Millis(30));
  SendResponse(m_exchanges[0]);
  RunFor(Millis(30));
  EXPECT_EQ(got.response.status, 0u);
  EXPECT_FALSE(connection->reusable());
}

// Guards against a failed connect being reported as a lost connection, after
// which the request might have run.
TEST_F(LoopbackTest, FailedConnectIsNotConnected) {
  m_listener.reset();
  const auto connection = Connect();
  std::optional<ExchangeError> error;
  connection->Send(std::string(kGetRequest), false, MatchAny,
                   [&](const ExchangeResult& result) { error = result.error; });
  RunFor(Millis(50));
  EXPECT_EQ(error, ExchangeError::kNotConnected);
}

// Guards against confusing two failures: a peer at its connection limit closes
// a new connection, or a peer fails while it runs a request on a used one.
TEST_F(LoopbackTest, LossOfNewAndUsedConnectionsDiffer) {
  const auto connection = Connect();
  std::vector<std::optional<ExchangeError>> errors;
  const auto send = [&] {
    connection->Send(
        std::string(kGetRequest), false, MatchAny,
        [&](const ExchangeResult& result) { errors.push_back(result.error); });
  };
  m_respond_immediately = true;
  send();
  RunFor(Millis(30));
  m_respond_immediately = false;
  send();
  RunFor(Millis(30));
  const auto new_connection = Connect();
  new_connection->Send(
      std::string(kGetRequest), false, MatchAny,
      [&](const ExchangeResult& result) { errors.push_back(result.error); });
  RunFor(Millis(30));
  m_listener.reset();
  RunFor(Millis(30));
  ASSERT_EQ(errors.size(), 3u);
  EXPECT_EQ(errors[0], std::nullopt);
  EXPECT_EQ(std::ranges::count(errors, ExchangeError::kConnectionLost), 1);
  EXPECT_EQ(std::ranges::count(errors, ExchangeError::kNewConnectionLost), 1);
}

TEST_F(LoopbackTest, PeerClosingAnIdleConnectionIsReported) {
  const auto connection = Connect();
  connection->Send(std::string(kGetRequest), false, MatchAny,
                   [](const ExchangeResult&) {});
  RunFor(Millis(30));
  m_listener->StopAccepting();
  RunFor(Millis(30));
  EXPECT_EQ(m_idle_closed, 1);
  EXPECT_TRUE(connection->failed());
}

/// A server that accepts one connection and sends `prefix`, then `block` again
/// and again for as long as the socket takes it.
class EndlessPeer {
 public:
  EndlessPeer(EventLoop& loop, std::string prefix, std::string block)
      : m_loop(loop), m_prefix(std::move(prefix)), m_block(std::move(block)) {
    m_address = *ParseSocketAddress(
        fmt::format("127.0.0.2:{}", 20000 + getpid() % 20000));
    m_listening = *ListenTcp(m_address);
    m_timer = m_loop.RunEvery(Millis(2), [this] { AcceptOrWrite(); });
  }
  ~EndlessPeer() {
    m_loop.CancelTimer(m_timer);
    close(m_listening);
    if (m_descriptor >= 0) {
      close(m_descriptor);
    }
  }

  const sockaddr_in& address() const { return m_address; }
  bool closed_by_client() const { return m_closed; }
  size_t written() const { return m_written; }

 private:
  void AcceptOrWrite() {
    if (m_descriptor < 0) {
      m_descriptor = accept(m_listening, nullptr, nullptr);
      if (m_descriptor >= 0) {
        Write(m_prefix);
      }
      return;
    }
    for (int i = 0; i < 100 && Write(m_block); ++i) {
    }
  }

  bool Write(std::string_view bytes) {
    const ssize_t count = send(m_descriptor, bytes.data(), bytes.size(),
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    m_closed = m_closed || (count < 0 && errno != EAGAIN);
    m_written += count > 0 ? static_cast<size_t>(count) : 0;
    return count > 0;
  }

  EventLoop& m_loop;
  std::string m_prefix;
  std::string m_block;
  sockaddr_in m_address;
  int m_listening = -1;
  int m_descriptor = -1;
  EventLoop::TimerId m_timer = 0;
  bool m_closed = false;
  size_t m_written = 0;
};

// Guards against the loss of what a peer states in the header of a response
// that breaks off, and against the header of another response.
TEST_F(LoopbackTest, HeaderOfATruncatedResponseIsReported) {
  for (const bool matches : {true, false}) {
    auto peer = std::make_unique<EndlessPeer>(
        m_loop, "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 9\r\n\r\nbody", "");
    HttpConnection connection(m_poller, peer->address(), {}, Millis(1000),
                              [] {});
    ExchangeResult got;
    connection.Send(
        std::string(kGetRequest), false,
        [matches](const HttpResponseMessage&) { return matches; },
        [&](ExchangeResult result) { got = std::move(result); });
    RunFor(Millis(30));
    peer.reset();
    RunFor(Millis(30));
    EXPECT_TRUE(got.error);
    EXPECT_EQ(got.response.status, matches ? 200u : 0u);
    EXPECT_EQ(got.response.fields.Find("A") != nullptr, matches);
    EXPECT_EQ(got.response.body, "");
  }
}

// Guards against memory use and hanging requests when a faulty server sends
// without end, in any element of a response. The connection must be closed.
TEST_F(LoopbackTest, EndlessResponsesFail) {
  const std::string block(4096, 'x');
  const std::pair<std::string, std::string> streams[] = {
      {"", block},
      {"HTTP/1.1 200 OK\r\nA: ", block},
      {"HTTP/1.1 200 OK\r\n\r\n", block},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", block},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
  };
  for (const auto& [prefix, repeated] : streams) {
    EndlessPeer peer(m_loop, prefix, repeated);
    auto connection = std::make_unique<HttpConnection>(
        m_poller, peer.address(),
        MessageLimits{.header_bytes = 8192, .body_bytes = 65536}, Millis(1000),
        [] {});
    std::optional<ExchangeError> error;
    connection->Send(
        std::string(kGetRequest), false,
        [](const HttpResponseMessage&) { return false; },
        [&](const ExchangeResult& result) {
          error = result.error;
          connection.reset();
        });
    RunFor(Millis(100));
    EXPECT_EQ(error, ExchangeError::kInvalidResponse) << prefix;
    RunFor(Millis(50));
    EXPECT_TRUE(peer.closed_by_client()) << prefix;
    EXPECT_EQ(m_idle_closed, 0);
  }
}

// Guards against memory use by many incomplete responses at a time: together
// they may hold no more than their part of the account, and small responses
// must still pass.
TEST_F(LoopbackTest, IncompleteResponsesShareAnAccount) {
  MemoryAccount account(600'000);
  const std::string block(4096, 'x');
  EndlessPeer peer(m_loop, "HTTP/1.1 200 OK\r\n\r\n", block);
  std::optional<ExchangeError> error;
  auto endless = std::make_unique<HttpConnection>(
      m_poller, peer.address(), MessageLimits{.body_bytes = 100 << 20},
      Millis(1000), [] {});
  endless->SetMemoryAccount(&account);
  endless->Send(std::string(kGetRequest), false, MatchAny,
                [&](const ExchangeResult& result) { error = result.error; });
  RunFor(Millis(200));
  EXPECT_EQ(error, ExchangeError::kInvalidResponse);
  endless.reset();
  EXPECT_EQ(account.held(), 0u);
  MemoryCharge other(&account, 0, {});
  other.Set(MemoryUse::kReplicas, 600'000);
  const auto small = Connect();
  small->SetMemoryAccount(&account);
  std::string body;
  small->Send(
      std::string(kGetRequest), false, MatchAny,
      [&](const ExchangeResult& result) { body = result.response.body; });
  RunFor(Millis(30));
  EXPECT_EQ(body, "answer 1");
  EXPECT_EQ(account.held(), 600'000u);
}

// Guards against one peer that uses up the connection limit with idle
// connections and incomplete headers, so that other callers are refused.
TEST_F(LoopbackTest, FullListenerEvictsConnections) {
  HttpListenerOptions options;
  options.header_timeout = Millis(10'000);
  options.idle_timeout = Millis(10'000);
  options.max_connections = 20;
  m_listener->SetOptions(options);
  std::vector<int> idle_callers;
  for (int i = 0; i < 30; ++i) {
    idle_callers.push_back(RawConnect(i % 2 == 0 ? "GET /x HTT" : ""));
    RunFor(Millis(2));
  }
  EXPECT_EQ(m_listener->stats().connections, 20u);
  for (int i = 0; i < 25; ++i) {
    const int caller = RawConnect(kGetRequest);
    RunFor(Millis(5));
    EXPECT_NE(ReadAll(caller).find("200"), std::string::npos) << i;
    close(caller);
  }
  EXPECT_GE(m_listener->stats().evicted, 10u);
  std::ranges::for_each(idle_callers, close);
}

// Guards against evicting connections whose callers wait for a response.
TEST_F(LoopbackTest, RunningRequestsAreNotEvicted) {
  HttpListenerOptions options;
  options.max_connections = 3;
  m_listener->SetOptions(options);
  m_respond_immediately = false;
  std::vector<int> waiting;
  for (int i = 0; i < 3; ++i) {
    waiting.push_back(RawConnect(kGetRequest));
  }
  RunFor(Millis(20));
  const int late = RawConnect(kGetRequest);
  RunFor(Millis(20));
  EXPECT_EQ(m_disconnected, 0);
  char byte = 0;
  EXPECT_LE(recv(late, &byte, 1, MSG_DONTWAIT), 0);
  for (const ExchangeId exchange : std::vector(m_exchanges)) {
    SendResponse(exchange);
  }
  RunFor(Millis(20));
  for (const int descriptor : waiting) {
    EXPECT_NE(ReadAll(descriptor).find("200"), std::string::npos);
    close(descriptor);
  }
  close(late);
}

// Guards against connections held by a body that arrives a byte at a time, and
// by a caller that goes on sending after an error response.
TEST_F(LoopbackTest, SlowBodiesAndRefusedCallersAreClosed) {
  const EventLoop::TimerId timeout_timer =
      m_loop.RunEvery(Millis(20), [this] { m_listener->EnforceTimeouts(); });
  const int slow =
      RawConnect("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 60\r\n\r\n");
  const int refused = RawConnect("no request\r\n\r\n");
  bool slow_ended = false;
  bool refused_ended = false;
  const EventLoop::TimerId trickle_timer = m_loop.RunEvery(Millis(50), [&] {
    slow_ended |= send(slow, "x", 1, MSG_NOSIGNAL) < 0;
    refused_ended |= send(refused, "x", 1, MSG_NOSIGNAL) < 0;
  });
  RunFor(Millis(1000));
  EXPECT_NE(ReadAll(slow).find("408"), std::string::npos);
  RunFor(Millis(1500));
  EXPECT_TRUE(slow_ended);
  EXPECT_TRUE(refused_ended);
  EXPECT_TRUE(m_requests.empty());
  m_loop.CancelTimer(timeout_timer);
  m_loop.CancelTimer(trickle_timer);
  close(slow);
  close(refused);
}

TEST(SocketAddressTest, InvalidAddressesAreRejected) {
  for (const char* text : {"", "1.2.3.4", "1.2.3:80", "1.2.3.4:", "1.2.3.4:0",
                           "1.2.3.4:99999", "host:80", "1.2.3.4:8x"}) {
    EXPECT_FALSE(ParseSocketAddress(text).ok()) << text;
  }
  EXPECT_TRUE(ParseSocketAddress("10.0.0.1:8080").ok());
}

}  // namespace
}  // namespace tanagervane
