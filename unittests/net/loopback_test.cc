// Tests of the listener and the client connection over loopback.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "fmt/format.h"
#include "gtest/gtest.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/net/http_connection.h"
#include "tanagervane/net/http_listener.h"
#include "tanagervane/net/poller.h"
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

TEST(SocketAddressTest, BadAddressesAreRejected) {
  for (const char* text : {"", "1.2.3.4", "1.2.3:80", "1.2.3.4:", "1.2.3.4:0",
                           "1.2.3.4:99999", "host:80", "1.2.3.4:8x"}) {
    EXPECT_FALSE(ParseSocketAddress(text).ok()) << text;
  }
  EXPECT_TRUE(ParseSocketAddress("10.0.0.1:8080").ok());
}

}  // namespace
}  // namespace tanagervane
