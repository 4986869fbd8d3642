// Tests of HttpListener with callers that hold its memory, over loopback.

#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "gtest/gtest.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/net/http_listener.h"
#include "tanagervane/net/memory_account.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/net/socket.h"

namespace tanagervane {
namespace {

constexpr size_t kBodyBytes = 262'144;

class ListenerLimitsTest : public testing::Test {
 protected:
  void SetUp() override {
    m_address = fmt::format("127.0.0.3:{}", 20000 + getpid() % 20000);
    m_options.limits = {.header_bytes = 16384, .body_bytes = kBodyBytes};
    m_options.header_timeout = Millis(150);
    m_options.idle_timeout = Millis(300);
    m_options.output_timeout = Millis(200);
    m_options.memory = &m_account;
    m_listener = std::make_unique<HttpListener>(
        m_poller, m_options,
        HttpListenerHooks{
            .on_request =
                [this](ExchangeId exchange, const HttpRequestMessage&) {
                  m_exchanges.push_back(exchange);
                  if (m_responds) {
                    Respond(exchange);
                  }
                },
            .on_caller_disconnected = [](ExchangeId) {},
            .on_header =
                [this](const HttpRequestMessage& header) {
                  return OnHeader(header);
                }});
    ASSERT_TRUE(m_listener->Listen(m_address).ok());
  }

  void TearDown() override {
    for (const int descriptor : m_descriptors) {
      close(descriptor);
    }
  }

  std::optional<HttpResponseMessage> OnHeader(
      const HttpRequestMessage& header) {
    m_headers.push_back(header.target);
    if (!header.target.starts_with("/refused")) {
      return std::nullopt;
    }
    HttpResponseMessage response;
    response.status = 404;
    return response;
  }

  void Respond(ExchangeId exchange) {
    HttpResponseMessage response;
    response.status = 200;
    response.body = m_body;
    m_listener->Respond(exchange, response);
  }

  void RunFor(Millis time) {
    m_loop.RunAfter(time, [this] { m_loop.Quit(); });
    m_loop.Run();
  }

  /// Connects with a small receive buffer and sends all of `bytes` that the
  /// listener takes within a short time.
  int Connect(std::string_view bytes) {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    m_descriptors.push_back(descriptor);
    const int buffer = 4096;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    const sockaddr_in address = *ParseSocketAddress(m_address);
    EXPECT_EQ(connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
    for (int i = 0; i < 100 && !bytes.empty(); ++i) {
      const ssize_t count = send(descriptor, bytes.data(), bytes.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
      bytes.remove_prefix(count > 0 ? static_cast<size_t>(count) : 0);
      RunFor(Millis(1));
    }
    return descriptor;
  }

  std::string Receive(int descriptor) {
    std::string received;
    std::string block(65536, '\0');
    while (true) {
      const ssize_t count =
          recv(descriptor, block.data(), block.size(), MSG_DONTWAIT);
      if (count <= 0) {
        return received;
      }
      received.append(block.data(), static_cast<size_t>(count));
      RunFor(Millis(1));
    }
  }

  static std::string Post(std::string_view path, size_t body_bytes) {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: h\r\nContent-Length: {}"
        "\r\n\r\n{}",
        path, kBodyBytes, std::string(body_bytes, 'x'));
  }

  EventLoop m_loop;
  Poller m_poller;
  MemoryAccount m_account{1 << 20};
  HttpListenerOptions m_options;
  std::string m_address;
  std::unique_ptr<HttpListener> m_listener;
  std::vector<ExchangeId> m_exchanges;
  std::vector<std::string> m_headers;
  std::vector<int> m_descriptors;
  std::string m_body = "answer";
  bool m_responds = true;
};

constexpr std::string_view kGetRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

// Guards against incomplete bodies that together exceed the memory, and against
// an ordinary request that is not served meanwhile.
TEST_F(ListenerLimitsTest, IncompleteBodiesAreRefusedAsNotRun) {
  std::vector<int> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(Connect(Post("/x", kBodyBytes - 1)));
    EXPECT_LE(m_account.held(), m_account.limit());
  }
  int refused = 0;
  for (const int caller : callers) {
    const std::string response = Receive(caller);
    if (!response.empty()) {
      EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
      EXPECT_NE(response.find("Retry-After: "), std::string::npos);
      ++refused;
    }
  }
  EXPECT_EQ(refused, 5);
  EXPECT_EQ(m_listener->stats().refused_for_memory, 5u);
  EXPECT_TRUE(m_exchanges.empty());
  const int ordinary = Connect(kGetRequest);
  EXPECT_TRUE(Receive(ordinary).starts_with("HTTP/1.1 200"));
}

// Guards against running requests that fill the memory or are dropped.
TEST_F(ListenerLimitsTest, RequestsAreRefusedWhileOthersFillTheMemory) {
  m_responds = false;
  std::vector<int> callers;
  for (int i = 0; i < 5; ++i) {
    callers.push_back(Connect(Post("/x", kBodyBytes)));
  }
  EXPECT_EQ(m_exchanges.size(), 2u);
  for (const ExchangeId exchange : m_exchanges) {
    Respond(exchange);
  }
  RunFor(Millis(10));
  for (size_t i = 0; i < callers.size(); ++i) {
    EXPECT_TRUE(Receive(callers[i])
                    .starts_with(i < 2 ? "HTTP/1.1 200" : "HTTP/1.1 503"))
        << i;
  }
  EXPECT_LT(m_account.held(), 10'000u);
}

// Guards against an abort while running requests fill the memory, when idle
// connections and incomplete headers hold too little to help, and against idle
// connections that are closed or get an answer to no request.
TEST_F(ListenerLimitsTest, IdleConnectionsGiveUpTheirBuffersOnly) {
  std::vector<int> idle;
  const std::string long_path(700, 'p');
  for (int i = 0; i < 12; ++i) {
    idle.push_back(
        Connect(fmt::format("GET /{} HTTP/1.1\r\nHost: h\r\n\r\n", long_path)));
    EXPECT_TRUE(Receive(idle.back()).starts_with("HTTP/1.1 200"));
  }
  std::vector<int> incomplete;
  for (int i = 0; i < 4; ++i) {
    incomplete.push_back(Connect("GET /" + long_path));
  }
  m_responds = false;
  m_account.SetLimit(3 * kBodyBytes);
  Connect(Post("/x", kBodyBytes));
  Connect(Post("/x", kBodyBytes));
  ASSERT_EQ(m_exchanges.size(), idle.size() + 2);
  // What runs now is more than the limit.
  m_account.SetLimit(kBodyBytes);
  Connect(Post("/x", kBodyBytes - 1));
  RunFor(Millis(10));
  // Less than 512 bytes each are left.
  EXPECT_LT(m_account.held(MemoryUse::kInput), 4'000u);
  // The running requests are less than half of this.
  m_account.SetLimit(8 * kBodyBytes);
  m_responds = true;
  for (const int caller : idle) {
    EXPECT_EQ(Receive(caller), "");
    EXPECT_GT(send(caller, kGetRequest.data(), kGetRequest.size(), 0), 0);
    RunFor(Millis(2));
    EXPECT_TRUE(Receive(caller).starts_with("HTTP/1.1 200"));
  }
}

// Guards against headers of very many short fields, whose parsed form takes far
// more memory than their text.
TEST_F(ListenerLimitsTest, ParsedFieldsAreCounted) {
  std::string header = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n";
  while (header.size() < 16'000) {
    header += "a:\r\n";
  }
  Connect(header);
  EXPECT_GT(m_account.held(), 200'000u);
  for (int i = 0; i < 8; ++i) {
    Connect(header);
    Connect(header + "\r\nbody");
    EXPECT_LE(m_account.held(), m_account.limit());
  }
  EXPECT_TRUE(
      Receive(Connect(header + "\r\nwholebody")).starts_with("HTTP/1.1 200"));
}

// Guards against a header whose fields cost more than any caller needs.
TEST_F(ListenerLimitsTest, NumberOfFieldsIsBounded) {
  m_options.limits.header_fields = 20;
  m_listener->SetOptions(m_options);
  std::string header = "GET /x HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 30; ++i) {
    header += "a: b\r\n";
  }
  EXPECT_TRUE(Receive(Connect(header)).starts_with("HTTP/1.1 431"));
}

// Guards against callers that pipeline requests and read no response: what they
// leave unread must not grow, and the connection must close.
TEST_F(ListenerLimitsTest, UnreadResponsesEndTheConnection) {
  m_body = std::string(500'000, 'x');
  std::string requests;
  for (int i = 0; i < 1000; ++i) {
    requests += kGetRequest;
  }
  Connect(requests);
  EXPECT_LT(m_exchanges.size(), 10u);
  EXPECT_LT(m_account.held(), 600'000u);
  for (int i = 0; i < 4; ++i) {
    RunFor(Millis(100));
    m_listener->EnforceTimeouts();
  }
  EXPECT_EQ(m_listener->stats().connections, 0u);
  EXPECT_EQ(m_listener->stats().output_timeouts, 1u);
  EXPECT_EQ(m_account.held(), 0u);
}

// Guards against a caller that reads slowly and loses its response, although it
// makes progress.
TEST_F(ListenerLimitsTest, SlowReadersKeepTheirConnection) {
  m_options.idle_timeout = Millis(5000);
  m_listener->SetOptions(m_options);
  m_account.SetLimit(10'000'000);
  m_body = std::string(4'000'000, 'x');
  const int caller = Connect(kGetRequest);
  size_t received = 0;
  std::string block(200'000, '\0');
  for (int i = 0; i < 8; ++i) {
    RunFor(Millis(70));
    m_listener->EnforceTimeouts();
    const ssize_t count =
        recv(caller, block.data(), block.size(), MSG_DONTWAIT);
    received += count > 0 ? static_cast<size_t>(count) : 0;
  }
  EXPECT_GT(received, 0u);
  EXPECT_EQ(m_listener->stats().output_timeouts, 0u);
  EXPECT_EQ(m_listener->stats().connections, 1u);
}

// Guards against responses that are not read and fill the memory before the
// timeout.
TEST_F(ListenerLimitsTest, UnreadResponsesGiveUpTheirMemory) {
  m_account.SetLimit(10'000'000);
  m_body = std::string(4'000'000, 'x');
  for (int i = 0; i < 6; ++i) {
    Connect(kGetRequest);
    RunFor(Millis(10));
    EXPECT_LE(m_account.held(), m_account.limit());
  }
  EXPECT_GT(m_listener->stats().closed_for_memory, 0u);
}

// Guards against pipelined input that is buffered without a bound after a
// half-close.
TEST_F(ListenerLimitsTest, HalfCloseDoesNotBufferPipelinedInput) {
  m_responds = false;
  std::string requests;
  for (int i = 0; i < 2000; ++i) {
    requests += kGetRequest;
  }
  const int caller = Connect(requests);
  shutdown(caller, SHUT_WR);
  RunFor(Millis(50));
  EXPECT_LT(m_account.held(), 100'000u);
  EXPECT_EQ(m_listener->stats().connections, 0u);
}

// Guards against a stack that grows with the number of pipelined requests that
// are answered at once.
TEST_F(ListenerLimitsTest, PipelinedRequestsAreAnsweredOneByOne) {
  std::string requests;
  for (int i = 0; i < 2000; ++i) {
    requests += kGetRequest;
  }
  const int caller = Connect(requests);
  Receive(caller);
  RunFor(Millis(20));
  Receive(caller);
  EXPECT_EQ(m_exchanges.size(), 2000u);
}

// Guards against bodies that are read although the header decides the answer.
TEST_F(ListenerLimitsTest, HeaderHookAnswersBeforeTheBody) {
  const int caller = Connect(Post("/refused", 10));
  EXPECT_TRUE(Receive(caller).starts_with("HTTP/1.1 404"));
  EXPECT_TRUE(m_exchanges.empty());
  EXPECT_LT(m_account.held(), 5'000u);
  // What follows belongs to the body and is no request.
  send(caller, kGetRequest.data(), kGetRequest.size(), MSG_NOSIGNAL);
  RunFor(Millis(20));
  EXPECT_TRUE(m_exchanges.empty());
  const std::string expecting =
      "POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n"
      "Expect: 100-continue\r\n\r\n";
  EXPECT_TRUE(Receive(Connect(expecting)).starts_with("HTTP/1.1 404"));
}

// Guards against a hook that is called twice for a request, or not for each
// request of a connection.
TEST_F(ListenerLimitsTest, HeaderHookRunsOnceForEachRequest) {
  const int caller = Connect("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ");
  for (const std::string_view piece : {"4\r\n\r", "\nab", "cd"}) {
    send(caller, piece.data(), piece.size(), MSG_NOSIGNAL);
    RunFor(Millis(5));
  }
  EXPECT_TRUE(Receive(caller).starts_with("HTTP/1.1 200"));
  const std::string whole =
      "POST /refused/b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
  const std::string both = whole + std::string(kGetRequest);
  send(caller, both.data(), both.size(), MSG_NOSIGNAL);
  RunFor(Millis(20));
  const std::string received = Receive(caller);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 404")) << received;
  EXPECT_NE(received.find("HTTP/1.1 200"), std::string::npos);
  EXPECT_EQ(m_headers, (std::vector<std::string>{"/a", "/refused/b", "/x"}));
  EXPECT_EQ(m_exchanges.size(), 2u);
}

// Guards against bodies and headers that arrive byte by byte and hold a
// connection beyond the timeouts.
TEST_F(ListenerLimitsTest, SlowSendersTimeOut) {
  const int slow_header = Connect("GET /x HTTP/1.1\r\n");
  const int slow_body = Connect(Post("/x", 1));
  for (int i = 0; i < 12; ++i) {
    send(slow_header, "a", 1, MSG_NOSIGNAL);
    send(slow_body, "a", 1, MSG_NOSIGNAL);
    RunFor(Millis(50));
    m_listener->EnforceTimeouts();
  }
  EXPECT_TRUE(Receive(slow_header).starts_with("HTTP/1.1 408"));
  EXPECT_TRUE(Receive(slow_body).starts_with("HTTP/1.1 408"));
  EXPECT_EQ(m_listener->stats().input_timeouts, 2u);
}

}  // namespace
}  // namespace tanagervane
