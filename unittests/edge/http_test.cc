// Tests of the callers' HTTP listener and the platform client over loopback.

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "nlohmann/json.hpp"
#include "tanagervane/edge/caller_api.h"
#include "tanagervane/edge/entry_core.h"
#include "tanagervane/edge/platform_client.h"

namespace tanagervane {
namespace {

/// A TCP client that sends and receives raw bytes. The listener runs on the
/// same thread, so Send() and ReceiveUntil() also run its event loop.
class RawClient {
 public:
  explicit RawClient(int port) : m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = Loopback(port);
    EXPECT_EQ(
        connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
        0);
  }
  ~RawClient() { close(m_fd); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  static sockaddr_in Loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  /// Sends `bytes`, and runs the listener so that it empties its buffers.
  void Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count =
          send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0 && errno != EAGAIN) {
        return;  // The listener closed the connection.
      }
      bytes.remove_prefix(count < 0 ? 0 : static_cast<size_t>(count));
      g_main_context_iteration(nullptr, FALSE);
    }
  }

  /// Lets the destructor reset the connection.
  void ResetOnClose() {
    const linger no_linger{1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
  }

  /// Runs the listener until `text` has arrived or the connection was closed.
  /// `hang_limit` only ends a test that would hang.
  std::string ReceiveUntil(const std::string& text) {
    std::string received;
    const gint64 hang_limit = g_get_monotonic_time() + 20 * G_USEC_PER_SEC;
    while (received.find(text) == std::string::npos &&
           g_get_monotonic_time() < hang_limit) {
      g_main_context_iteration(nullptr, FALSE);
      char buffer[4096];
      const ssize_t count = recv(m_fd, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (count == 0) {
        break;
      }
      if (count > 0) {
        received.append(buffer, static_cast<size_t>(count));
      } else {
        g_usleep(200);
      }
    }
    return received;
  }

 private:
  int m_fd;
};

int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = RawClient::Loopback(0);
  socklen_t size = sizeof(address);
  bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

/// Runs the callers' listener of an entry whose core was not started.
class CallerListenerTest : public testing::Test {
 protected:
  CallerListenerTest()
      : m_core(m_loop, MakeSettings(), 1),
        m_api(m_core),
        m_server(
            [this](const HttpRequest& request, const HttpResponder& respond) {
              m_api.Handle(request, respond);
            }) {
    EXPECT_TRUE(m_server.Listen(fmt::format("127.0.0.1:{}", m_port)).ok());
  }

  static EntrySettings MakeSettings() {
    EntrySettings settings;
    settings.id = "e";
    settings.team = "t";
    settings.platform_address = "127.0.0.1:1";
    return settings;
  }

  static std::string MakePostRequest(const std::string& body) {
    return fmt::format(
        "POST /v1/query HTTP/1.1\r\nHost: e\r\nContent-Length: {}\r\n\r\n{}",
        body.size(), body);
  }

  /// Checks that the server still answers on a new connection.
  void ExpectAlive() {
    RawClient client(m_port);
    client.Send(MakePostRequest(R"({"class": "c", "tenant": "t"})"));
    const std::string response = client.ReceiveUntil("not_run");
    EXPECT_NE(response.find("HTTP/1.1 503"), std::string::npos) << response;
    EXPECT_NE(response.find(R"("error":"not_ready")"), std::string::npos);
  }

  EventLoop m_loop;
  EntryCore m_core;
  CallerApi m_api;
  HttpServer m_server;
  int m_port = FreePort();
};

/// Returns the resident memory of this process.
size_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

// Guards against buffering an oversized body in the entry's memory.
TEST_F(CallerListenerTest, OversizedBodyIsRefusedWithoutBuffering) {
  constexpr size_t kChunkBytes = 1 << 16;
  constexpr size_t kChunkCount = 1024;
  const size_t before = ResidentBytes();
  RawClient client(m_port);
  client.Send(fmt::format(
      "POST /v1/query HTTP/1.1\r\nHost: e\r\nContent-Length: {}\r\n\r\n",
      kChunkBytes * kChunkCount));
  const std::string chunk(kChunkBytes, 'x');
  for (size_t i = 0; i < kChunkCount; ++i) {
    client.Send(chunk);
  }
  const size_t after = ResidentBytes();
  const std::string response = client.ReceiveUntil("not_run");
  EXPECT_NE(response.find("HTTP/1.1 413"), std::string::npos) << response;
  EXPECT_NE(response.find("body_too_large"), std::string::npos) << response;
#ifndef __SANITIZE_ADDRESS__  // AddressSanitizer delays freeing memory.
  EXPECT_LT(after, before + kChunkBytes * kChunkCount / 4);
#else
  static_cast<void>(before + after);
#endif
  ExpectAlive();
}

// A body of unknown size would bypass the size check.
TEST_F(CallerListenerTest, ChunkedBodyIsRefused) {
  RawClient client(m_port);
  client.Send(
      "POST /v1/query HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n"
      "\r\n4\r\nabcd\r\n0\r\n\r\n");
  const std::string response = client.ReceiveUntil("not_run");
  EXPECT_NE(response.find("HTTP/1.1 411"), std::string::npos) << response;
  EXPECT_NE(response.find("invalid_request"), std::string::npos) << response;
  ExpectAlive();
}

// A client that stops in the middle of a request must not block other clients.
TEST_F(CallerListenerTest, IncompleteRequestsDoNotBlockOthers) {
  RawClient incomplete_headers(m_port);
  incomplete_headers.Send("POST /v1/query HT");
  RawClient incomplete_body(m_port);
  incomplete_body.Send(MakePostRequest(R"({"class": "c"})").substr(0, 70));
  {
    RawClient closed(m_port);
    closed.Send(MakePostRequest(R"({"class": "c"})").substr(0, 60));
  }
  ExpectAlive();
  EXPECT_EQ(m_server.open_requests(), 0u);
}

// Bytes after a request must neither crash the server nor be read as part of
// that request.
TEST_F(CallerListenerTest, GarbageAfterRequestDoesNotBreakListener) {
  RawClient client(m_port);
  client.Send(MakePostRequest(R"({"class": "c", "tenant": "t"})") +
              std::string("\0\xff garbage\r\n\r\n{{{{\r\n\r\n", 22));
  const std::string response = client.ReceiveUntil("not_run");
  EXPECT_NE(response.find(R"("error":"not_ready")"), std::string::npos)
      << response;
  RawClient only_garbage(m_port);
  only_garbage.Send(std::string(3000, '\xfe') + "\r\n\r\n");
  only_garbage.ReceiveUntil("HTTP/1.1 400");
  ExpectAlive();
}

// Guards against an untyped error for an unknown path or a malformed body.
TEST_F(CallerListenerTest, UnknownPathAndMalformedBodyGetTypedErrors) {
  RawClient path_client(m_port);
  path_client.Send("GET /v2/none HTTP/1.1\r\nHost: e\r\n\r\n");
  const std::string not_found = path_client.ReceiveUntil("not_run");
  EXPECT_NE(not_found.find("HTTP/1.1 404"), std::string::npos) << not_found;
  EXPECT_NE(not_found.find(R"("error":"not_found")"), std::string::npos);
  RawClient body_client(m_port);
  body_client.Send(MakePostRequest(R"({"class": 7})"));
  const std::string invalid = body_client.ReceiveUntil(R"("path")");
  EXPECT_NE(invalid.find("HTTP/1.1 400"), std::string::npos) << invalid;
  EXPECT_NE(invalid.find(R"("path":"class")"), std::string::npos) << invalid;
  ExpectAlive();
}

// Guards against work that continues after its caller has reset the connection:
// a look at the socket takes the error off it.
TEST(HttpServerTest, ResetIsADisconnect) {
  std::vector<HttpResponder> waiting;
  int disconnected = 0;
  HttpServer server(
      [&](const HttpRequest& request, const HttpResponder& respond) {
        *request.on_disconnect = [&] { ++disconnected; };
        waiting.push_back(respond);
      });
  const int port = FreePort();
  ASSERT_TRUE(server.Listen(fmt::format("127.0.0.1:{}", port)).ok());
  const auto run_until = [](const auto& condition) {
    const gint64 hang_limit = g_get_monotonic_time() + 2 * G_USEC_PER_SEC;
    while (!condition() && g_get_monotonic_time() < hang_limit) {
      g_main_context_iteration(nullptr, FALSE);
    }
  };
  {
    RawClient client(port);
    client.Send("GET /x HTTP/1.1\r\nHost: e\r\n\r\n");
    run_until([&] { return !waiting.empty(); });
    client.ResetOnClose();
  }
  run_until([&] { return disconnected > 0; });
  EXPECT_EQ(disconnected, 1);
  for (const HttpResponder& respond : waiting) {
    respond(HttpResponse());
  }
}

/// Returns the result of one list_vms call to a platform that sends `body`.
std::pair<PlatformResult, VmSnapshot> ListVms(const std::string& body) {
  HttpServer server([&](const HttpRequest&, const HttpResponder& respond) {
    HttpResponse response;
    response.body = body;
    respond(response);
  });
  const std::string address = fmt::format("127.0.0.1:{}", FreePort());
  EXPECT_TRUE(server.Listen(address).ok());
  PlatformClient client(address);
  std::pair<PlatformResult, VmSnapshot> result;
  bool done = false;
  client.api().list_vms(0, Millis(1000),
                        [&](PlatformResult code, const VmSnapshot& snapshot) {
                          result = {code, snapshot};
                          done = true;
                        });
  while (!done) {
    g_main_context_iteration(nullptr, TRUE);
  }
  return result;
}

// Guards against accepting a malformed VM list without its unreadable VMs,
// which would close the connections to them.
TEST(PlatformClientTest, MalformedVmListIsUnavailable) {
  const nlohmann::json valid = {{"version", 7},
                                {"vms",
                                 {{{"id", "p1"},
                                   {"role", "backend_server"},
                                   {"state", "leaving"},
                                   {"address", "127.0.0.1:9"},
                                   {"data_centre", "a"},
                                   {"index", "i"}},
                                  {{"id", "e1"},
                                   {"role", "entry"},
                                   {"state", "live"},
                                   {"address", "127.0.0.1:8"}}}}};
  const auto [result, snapshot] = ListVms(valid.dump());
  ASSERT_EQ(result, PlatformResult::kOk);
  EXPECT_EQ(snapshot.version, 7u);
  ASSERT_EQ(snapshot.vms.size(), 2u);
  EXPECT_EQ(snapshot.vms[0],
            (VmRecord{"p1", VmRole::kBackendServer, VmState::kLeaving,
                      "127.0.0.1:9", "a", "i"}));
  std::vector<std::string> malformed = {
      "",
      "[]",
      "null",
      "{",
      R"({"version": 7})",
      R"({"vms": []})",
      valid.dump().substr(0, valid.dump().size() / 2),
      R"({"version": -1, "vms": []})",
      R"({"version": 1, "vms": [3]})"};
  for (const char* key : {"id", "role", "state", "address"}) {
    nlohmann::json incomplete = valid;
    incomplete["vms"][1].erase(key);
    malformed.push_back(incomplete.dump());
    incomplete["vms"][1][key] = 3;
    malformed.push_back(incomplete.dump());
  }
  nlohmann::json unknown = valid;
  unknown["vms"][0]["state"] = "resting";
  malformed.push_back(unknown.dump());
  for (const std::string& body : malformed) {
    const auto [code, vms] = ListVms(body);
    EXPECT_EQ(code, PlatformResult::kUnavailable) << body;
  }
}

}  // namespace
}  // namespace tanagervane
