// Responses that end with a reset or in order, at each moment of the request.

#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "fmt/format.h"
#include "gtest/gtest.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/net/http_connection.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/net/socket.h"

namespace tanagervane {
namespace {

enum class Framing { kNone, kChunked, kLength };
enum class Ending { kReset, kResetAfterEnd, kInOrder };
/// When the response begins: before the request is sent in full or after.
enum class Moment { kAmidRequest, kAfterRequest };

constexpr std::string_view kPart = "0123456789";
/// More than the buffers of the sockets hold.
constexpr size_t kLongBody = 8 << 20;

std::string Head(Framing framing) {
  switch (framing) {
    case Framing::kNone:
      return "HTTP/1.1 200 OK\r\n\r\n";
    case Framing::kChunked:
      return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    case Framing::kLength:
      break;
  }
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                     2 * kPart.size());
}

std::string Chunk(Framing framing) {
  return framing == Framing::kChunked
             ? fmt::format("{:x}\r\n{}\r\n", kPart.size(), kPart)
             : std::string(kPart);
}

/// A peer whose moves the test makes.
class Peer {
 public:
  Peer() : m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = *ParseSocketAddress("127.0.0.1:1");
    address.sin_port = 0;
    EXPECT_EQ(bind(m_listener, reinterpret_cast<sockaddr*>(&address),
                   sizeof(address)),
              0);
    EXPECT_EQ(listen(m_listener, 1), 0);
  }
  ~Peer() {
    Close();
    close(m_listener);
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  sockaddr_in address() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    return address;
  }
  void Accept() { m_connection = accept(m_listener, nullptr, nullptr); }
  void Read() {
    char bytes[4096];
    while (recv(m_connection, bytes, sizeof(bytes), MSG_DONTWAIT) > 0) {
    }
  }
  void Write(std::string_view bytes) {
    EXPECT_EQ(send(m_connection, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  void EndStream() { shutdown(m_connection, SHUT_WR); }
  void Reset() {
    const linger no_linger{1, 0};
    setsockopt(m_connection, SOL_SOCKET, SO_LINGER, &no_linger,
               sizeof(no_linger));
    Close();
  }
  void Close() {
    if (m_connection >= 0) {
      close(m_connection);
      m_connection = -1;
    }
  }

 private:
  int m_listener = -1;
  int m_connection = -1;
};

class BrokenResponsesTest
    : public testing::TestWithParam<std::tuple<Framing, Ending, Moment, bool>> {
 protected:
  void RunFor(Millis time) {
    m_loop.RunAfter(time, [this] { m_loop.Quit(); });
    m_loop.Run();
  }

  void Send(size_t body_bytes) {
    m_result.reset();
    const auto body = std::make_shared<const std::string>(body_bytes, 'x');
    m_connection->Send(
        fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
                    body_bytes),
        false, [](const HttpResponseMessage&) { return true; },
        [this](ExchangeResult result) { m_result = std::move(result); }, body);
  }

  EventLoop m_loop;
  Poller m_poller;
  Peer m_peer;
  std::unique_ptr<HttpConnection> m_connection;
  std::optional<ExchangeResult> m_result;
};

// Guards against a response that was reset midway and counts as whole, because
// a send() had taken the error off the socket, and against a whole response
// that is dropped when a reset follows it.
TEST_P(BrokenResponsesTest, OnlyAnOrderlyEndIsWhole) {
  const auto [framing, ending, moment, is_kept] = GetParam();
  m_connection = std::make_unique<HttpConnection>(
      m_poller, m_peer.address(), MessageLimits{}, Millis(1000), [] {});
  if (is_kept) {
    Send(1);
    RunFor(Millis(10));
    m_peer.Accept();
    m_peer.Read();
    m_peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    RunFor(Millis(10));
    ASSERT_TRUE(m_result && !m_result->error && m_connection->reusable());
  }
  Send(moment == Moment::kAmidRequest ? kLongBody : 1);
  RunFor(Millis(10));
  if (!is_kept) {
    m_peer.Accept();
  }
  if (moment == Moment::kAfterRequest) {
    m_peer.Read();
  }
  m_peer.Write(Head(framing) + Chunk(framing));
  RunFor(Millis(10));
  ASSERT_FALSE(m_result);
  if (ending == Ending::kReset) {
    m_peer.Reset();
  } else {
    m_peer.Write(Chunk(framing));
    if (framing == Framing::kChunked) {
      m_peer.Write("0\r\n\r\n");
    }
    m_peer.EndStream();
    if (ending == Ending::kResetAfterEnd) {
      m_peer.Reset();
    }
  }
  RunFor(Millis(20));
  ASSERT_TRUE(m_result);
  if (ending == Ending::kReset) {
    EXPECT_TRUE(m_result->error);
    return;
  }
  ASSERT_FALSE(m_result->error);
  EXPECT_EQ(m_result->response.status, 200);
  EXPECT_EQ(m_result->response.body, fmt::format("{}{}", kPart, kPart));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BrokenResponsesTest,
    testing::Combine(
        testing::Values(Framing::kNone, Framing::kChunked, Framing::kLength),
        testing::Values(Ending::kReset,
                        Ending::kResetAfterEnd,
                        Ending::kInOrder),
        testing::Values(Moment::kAmidRequest, Moment::kAfterRequest),
        testing::Bool()));

}  // namespace
}  // namespace tanagervane
