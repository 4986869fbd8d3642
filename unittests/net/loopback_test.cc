// Tests of the listener and the client connection over loopback.

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
#include "tanagervane/net/poller.h"
#include "tanagervane/net/receive_budget.h"
#include "tanagervane/net/socket.h"

namespace tanagervane {
namespace {

class LoopbackTest : public testing::Test {
 protected:
  void SetUp() override {
    // Ports of tests that run at the same time differ by process.
    m_address = fmt::format("127.0.0.1:{}", 20000 + getpid() % 20000);
    m_listener = std::make_unique<HttpListener>(
        m_poller,
        HttpListenerOptions{.limits = {.header_bytes = 1024, .body_bytes = 64},
                            .header_timeout = Millis(100),
                            .idle_timeout = Millis(400)},
        HttpListenerHooks{
            .request =
                [this](ExchangeId exchange, HttpRequestMessage message) {
                  m_exchanges.push_back(exchange);
                  m_requests.push_back(std::move(message));
                  if (m_answer_at_once) {
                    Answer(exchange);
                  }
                },
            .caller_gone = [this](ExchangeId) { ++m_gone; }});
    ASSERT_TRUE(m_listener->Listen(m_address).ok());
  }

  void Answer(ExchangeId exchange) {
    HttpResponseMessage response;
    response.status = 200;
    response.body = fmt::format("answer {}", m_requests.size());
    m_listener->Respond(exchange, response);
  }

  void RunFor(Millis time) {
    m_loop.After(time, [this] { m_loop.Quit(); });
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
    std::string all;
    char bytes[4096];
    while (true) {
      const ssize_t count =
          recv(descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (count <= 0) {
        return all;
      }
      all.append(bytes, static_cast<size_t>(count));
    }
  }

  EventLoop m_loop;
  Poller m_poller;
  std::string m_address;
  std::unique_ptr<HttpListener> m_listener;
  std::vector<ExchangeId> m_exchanges;
  std::vector<HttpRequestMessage> m_requests;
  bool m_answer_at_once = true;
  int m_gone = 0;
  int m_idle_closed = 0;
};

constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

bool Any(const HttpResponseMessage&) {
  return true;
}

// Guards against kept connections that answer in another order, or to nobody.
TEST_F(LoopbackTest, RequestsOfOneConnectionAreAnsweredInOrder) {
  const int descriptor =
      RawConnect(std::string(kGet) + std::string(kGet) + std::string(kGet));
  RunFor(Millis(50));
  const std::string all = ReadAll(descriptor);
  EXPECT_LT(all.find("answer 1"), all.find("answer 2"));
  EXPECT_LT(all.find("answer 2"), all.find("answer 3"));
  EXPECT_NE(all.find("answer 3"), std::string::npos);
  close(descriptor);
}

// Guards against work for a caller that has left.
TEST_F(LoopbackTest, CallerThatLeavesIsNoticed) {
  m_answer_at_once = false;
  const int descriptor = RawConnect(kGet);
  RunFor(Millis(30));
  ASSERT_EQ(m_exchanges.size(), 1u);
  close(descriptor);
  RunFor(Millis(30));
  EXPECT_EQ(m_gone, 1);
  Answer(m_exchanges[0]);
}

// Guards against half-open requests that hold a connection for ever.
TEST_F(LoopbackTest, SlowHeadersAndIdleConnectionsEnd) {
  const int slow = RawConnect("GET /x HTTP/1.1\r\nHos");
  const int idle = RawConnect(kGet);
  const EventLoop::TimerId sweep =
      m_loop.Every(Millis(20), [this] { m_listener->Sweep(); });
  RunFor(Millis(250));
  EXPECT_NE(ReadAll(slow).find("408"), std::string::npos);
  EXPECT_NE(ReadAll(idle).find("200"), std::string::npos);
  RunFor(Millis(400));
  char byte = 0;
  EXPECT_EQ(recv(idle, &byte, 1, MSG_DONTWAIT), 0);
  // The loop's timers outlive a test.
  m_loop.CancelTimer(sweep);
  close(slow);
  close(idle);
}

// Guards against a stop that cuts requests, or that leaves connections open.
TEST_F(LoopbackTest, StopAnswersWhatRunsAndClosesTheRest) {
  const int idle = RawConnect(kGet);
  RunFor(Millis(30));
  m_answer_at_once = false;
  const int running = RawConnect(kGet);
  RunFor(Millis(30));
  m_listener->StopAccepting();
  EXPECT_EQ(m_listener->pending(), 1u);
  Answer(m_exchanges.back());
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
    connection->Send(std::string(kGet), false, Any, [&](ExchangeResult result) {
      ASSERT_FALSE(result.error);
      bodies.push_back(result.response.body);
    });
    RunFor(Millis(30));
    EXPECT_TRUE(connection->reusable());
  }
  EXPECT_EQ(bodies.size(), 3u);
  EXPECT_EQ(m_listener->stats().accepted, 1u);
}

// Guards against the late response to an earlier request being taken for the
// response to this one.
TEST_F(LoopbackTest, ForeignResponseIsSkipped) {
  m_answer_at_once = false;
  const auto connection = Connect();
  ExchangeResult got;
  connection->Send(
      std::string(kGet), false,
      [](const HttpResponseMessage& response) {
        return response.body == "answer 2";
      },
      [&](ExchangeResult result) { got = std::move(result); });
  RunFor(Millis(30));
  Answer(m_exchanges[0]);
  RunFor(Millis(30));
  EXPECT_EQ(got.response.status, 0u);
  EXPECT_FALSE(connection->reusable());
}

// Guards against a connection that never stood being reported as a lost one.
TEST_F(LoopbackTest, RefusedConnectionWasNeverSent) {
  m_listener.reset();
  const auto connection = Connect();
  std::optional<ExchangeError> error;
  connection->Send(std::string(kGet), false, Any,
                   [&](const ExchangeResult& result) { error = result.error; });
  RunFor(Millis(50));
  EXPECT_EQ(error, ExchangeError::kNotConnected);
}

// Guards against a peer at its connection limit, which ends new connections,
// being taken for one that failed under a request, and the other way round.
TEST_F(LoopbackTest, LossOfANewConnectionIsToldApart) {
  const auto connection = Connect();
  std::vector<std::optional<ExchangeError>> errors;
  const auto send = [&] {
    connection->Send(
        std::string(kGet), false, Any,
        [&](const ExchangeResult& result) { errors.push_back(result.error); });
  };
  m_answer_at_once = true;
  send();
  RunFor(Millis(30));
  m_answer_at_once = false;
  send();
  RunFor(Millis(30));
  const auto fresh = Connect();
  fresh->Send(std::string(kGet), false, Any, [&](const ExchangeResult& result) {
    errors.push_back(result.error);
  });
  RunFor(Millis(30));
  m_listener.reset();
  RunFor(Millis(30));
  ASSERT_EQ(errors.size(), 3u);
  EXPECT_EQ(errors[0], std::nullopt);
  EXPECT_EQ(std::ranges::count(errors, ExchangeError::kBroken), 1);
  EXPECT_EQ(std::ranges::count(errors, ExchangeError::kNewBroken), 1);
}

TEST_F(LoopbackTest, IdleConnectionThatThePeerClosesIsReported) {
  const auto connection = Connect();
  connection->Send(std::string(kGet), false, Any, [](const ExchangeResult&) {});
  RunFor(Millis(30));
  m_listener->StopAccepting();
  RunFor(Millis(30));
  EXPECT_EQ(m_idle_closed, 1);
  EXPECT_TRUE(connection->failed());
}

/// A peer that accepts connections, and writes as much as it can of a stream
/// without end.
class EndlessPeer {
 public:
  EndlessPeer(EventLoop& loop, std::string start, std::string piece)
      : m_loop(loop), m_start(std::move(start)), m_piece(std::move(piece)) {
    m_address = *ParseSocketAddress(
        fmt::format("127.0.0.2:{}", 20000 + getpid() % 20000));
    m_listening = *ListenTcp(m_address);
    m_timer = m_loop.Every(Millis(2), [this] { Work(); });
  }
  ~EndlessPeer() {
    m_loop.CancelTimer(m_timer);
    close(m_listening);
    if (m_descriptor >= 0) {
      close(m_descriptor);
    }
  }

  const sockaddr_in& address() const { return m_address; }
  bool closed_by_other() const { return m_closed; }
  size_t written() const { return m_written; }

 private:
  void Work() {
    if (m_descriptor < 0) {
      m_descriptor = accept(m_listening, nullptr, nullptr);
      if (m_descriptor >= 0) {
        Write(m_start);
      }
      return;
    }
    for (int i = 0; i < 100 && Write(m_piece); ++i) {
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
  std::string m_start;
  std::string m_piece;
  sockaddr_in m_address;
  int m_listening = -1;
  int m_descriptor = -1;
  EventLoop::TimerId m_timer = 0;
  bool m_closed = false;
  size_t m_written = 0;
};

// Guards against a server in trouble that sends without end: its connection is
// given up and closed, whatever element never ends.
TEST_F(LoopbackTest, ServerThatSendsWithoutEndIsGivenUp) {
  const std::string block(4096, 'x');
  const std::pair<std::string, std::string> streams[] = {
      {"", block},
      {"HTTP/1.1 200 OK\r\nA: ", block},
      {"HTTP/1.1 200 OK\r\n\r\n", block},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", block},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
  };
  for (const auto& [start, piece] : streams) {
    EndlessPeer peer(m_loop, start, piece);
    auto connection = std::make_unique<HttpConnection>(
        m_poller, peer.address(),
        MessageLimits{.header_bytes = 8192, .body_bytes = 65536}, Millis(1000),
        [] {});
    std::optional<ExchangeError> error;
    connection->Send(
        std::string(kGet), false,
        [](const HttpResponseMessage&) { return false; },
        [&](const ExchangeResult& result) {
          error = result.error;
          connection.reset();
        });
    RunFor(Millis(100));
    EXPECT_EQ(error, ExchangeError::kInvalid) << start;
    RunFor(Millis(50));
    EXPECT_TRUE(peer.closed_by_other()) << start;
    EXPECT_EQ(m_idle_closed, 0);
  }
}

// Guards against many answers without end at a time: together they may hold no
// more than the budget, and small answers are not the ones that suffer.
TEST_F(LoopbackTest, UnfinishedAnswersShareABudget) {
  ReceiveBudget budget(300'000);
  const std::string block(4096, 'x');
  EndlessPeer peer(m_loop, "HTTP/1.1 200 OK\r\n\r\n", block);
  std::optional<ExchangeError> error;
  auto greedy = std::make_unique<HttpConnection>(
      m_poller, peer.address(), MessageLimits{.body_bytes = 100 << 20},
      Millis(1000), [] {});
  greedy->SetBudget(&budget);
  greedy->Send(std::string(kGet), false, Any,
               [&](const ExchangeResult& result) { error = result.error; });
  RunFor(Millis(200));
  EXPECT_EQ(error, ExchangeError::kInvalid);
  greedy.reset();
  EXPECT_EQ(budget.held(), 0u);
  budget.Take(300'000);
  const auto small = Connect();
  small->SetBudget(&budget);
  std::string body;
  small->Send(std::string(kGet), false, Any, [&](const ExchangeResult& result) {
    body = result.response.body;
  });
  RunFor(Millis(30));
  EXPECT_EQ(body, "answer 1");
  EXPECT_EQ(budget.held(), 300'000u);
}

// Guards against a peer that holds all connections of a full listener with
// idle ones or half-sent headers while another caller gets none.
TEST_F(LoopbackTest, FullListenerMakesRoom) {
  HttpListenerOptions options;
  options.header_timeout = Millis(10'000);
  options.idle_timeout = Millis(10'000);
  options.max_connections = 20;
  m_listener->SetOptions(options);
  std::vector<int> held;
  for (int i = 0; i < 30; ++i) {
    held.push_back(RawConnect(i % 2 == 0 ? "GET /x HTT" : ""));
    RunFor(Millis(2));
  }
  EXPECT_EQ(m_listener->stats().connections, 20u);
  for (int i = 0; i < 25; ++i) {
    const int caller = RawConnect(kGet);
    RunFor(Millis(5));
    EXPECT_NE(ReadAll(caller).find("200"), std::string::npos) << i;
    close(caller);
  }
  EXPECT_GE(m_listener->stats().evicted, 10u);
  std::ranges::for_each(held, close);
}

// Guards against callers that wait for their answers being closed to make room.
TEST_F(LoopbackTest, RunningRequestsAreNotEvicted) {
  HttpListenerOptions options;
  options.max_connections = 3;
  m_listener->SetOptions(options);
  m_answer_at_once = false;
  std::vector<int> waiting;
  for (int i = 0; i < 3; ++i) {
    waiting.push_back(RawConnect(kGet));
  }
  RunFor(Millis(20));
  const int late = RawConnect(kGet);
  RunFor(Millis(20));
  EXPECT_EQ(m_gone, 0);
  char byte = 0;
  EXPECT_LE(recv(late, &byte, 1, MSG_DONTWAIT), 0);
  for (const ExchangeId exchange : std::vector(m_exchanges)) {
    Answer(exchange);
  }
  RunFor(Millis(20));
  for (const int descriptor : waiting) {
    EXPECT_NE(ReadAll(descriptor).find("200"), std::string::npos);
    close(descriptor);
  }
  close(late);
}

// Guards against bodies that come a byte at a time, and against a rejected
// caller that goes on sending.
TEST_F(LoopbackTest, SlowBodiesAndRejectedCallersEnd) {
  const EventLoop::TimerId sweep =
      m_loop.Every(Millis(20), [this] { m_listener->Sweep(); });
  const int slow =
      RawConnect("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 60\r\n\r\n");
  const int rejected = RawConnect("no request\r\n\r\n");
  bool slow_ended = false;
  bool rejected_ended = false;
  const EventLoop::TimerId trickle = m_loop.Every(Millis(50), [&] {
    slow_ended |= send(slow, "x", 1, MSG_NOSIGNAL) < 0;
    rejected_ended |= send(rejected, "x", 1, MSG_NOSIGNAL) < 0;
  });
  RunFor(Millis(1000));
  EXPECT_NE(ReadAll(slow).find("408"), std::string::npos);
  RunFor(Millis(1500));
  EXPECT_TRUE(slow_ended);
  EXPECT_TRUE(rejected_ended);
  EXPECT_TRUE(m_requests.empty());
  m_loop.CancelTimer(sweep);
  m_loop.CancelTimer(trickle);
  close(slow);
  close(rejected);
}

TEST(SocketAddressTest, BadAddressesAreRejected) {
  for (const char* text : {"", "1.2.3.4", "1.2.3:80", "1.2.3.4:", "1.2.3.4:0",
                           "1.2.3.4:99999", "host:80", "1.2.3.4:8x"}) {
    EXPECT_FALSE(ParseSocketAddress(text).ok()) << text;
  }
  EXPECT_TRUE(ParseSocketAddress("10.0.0.1:8080").ok());
}

}  // namespace
}  // namespace tanagervane
