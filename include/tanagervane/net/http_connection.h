// The client side of an HTTP/1.1 connection.

#ifndef TANAGERVANE_NET_HTTP_CONNECTION_H_
#define TANAGERVANE_NET_HTTP_CONNECTION_H_

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "tanagervane/http/message.h"
#include "tanagervane/http/reader.h"
#include "tanagervane/net/memory_account.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// How an exchange on a connection failed.
enum class ExchangeError {
  /// The connection was never established, so nothing was sent.
  kNotConnected,
  /// The connection was lost after the request may have been sent.
  kConnectionLost,
  /// As kConnectionLost, on a connection on which no byte had been received
  /// yet.
  kNewConnectionLost,
  /// The peer sent bytes that are not a valid response.
  kInvalidResponse,
};

/// The outcome of a request: a response or an error.
struct ExchangeResult {
  std::optional<ExchangeError> error;
  /// With an error, only status and fields of a response that broke off after
  /// its header; status 0 if there is none.
  HttpResponseMessage response;
};

/// A client connection that carries one request at a time.
class HttpConnection {
 public:
  using Done = std::function<void(ExchangeResult)>;
  using ClosedHook = std::function<void()>;
  /// Returns whether a response answers the request. A response for which it
  /// returns false is skipped.
  using ResponseMatcher = std::function<bool(const HttpResponseMessage&)>;

  /// Starts to connect. `on_idle_closed` runs when the peer closes the
  /// connection or writes to it while no request is in flight. The connection
  /// fails when sent bytes stay unacknowledged for `ack_timeout`.
  HttpConnection(Poller& poller,
                 const sockaddr_in& address,
                 MessageLimits limits,
                 Millis ack_timeout,
                 ClosedHook on_idle_closed);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends the serialised request `bytes`; `is_head_request` says that
  /// its method is HEAD. Call it only when no request is in flight and failed()
  /// is false. `done` runs once, after Send() has returned. `done` and the
  /// closed hook may delete the connection. `body` is sent after `bytes`; it
  /// may be shared with other connections, or nullptr.
  void Send(std::string bytes,
            bool is_head_request,
            ResponseMatcher matches_request,
            Done done,
            std::shared_ptr<const std::string> body = nullptr);

  /// Turns on TCP keep-alive probes every second, so that an unresponsive peer
  /// is detected within a few seconds while a response is outstanding.
  void EnableKeepAliveProbes();

  /// Charges what the connection holds to an account shared with other
  /// connections. A response that the account doesn't allow fails with
  /// kInvalidResponse. The account must outlive the connection.
  void SetMemoryAccount(MemoryAccount* account);

  /// After a response: returns whether another request may be sent.
  bool reusable() const { return m_reusable; }

  /// Returns true if no socket could be opened or the peer closed the idle
  /// connection.
  bool failed() const { return m_descriptor < 0; }

  /// Returns true once the TCP handshake has succeeded.
  bool connected() const { return m_connected; }

 private:
  void OnEvents(uint32_t events);
  void Read();
  void OnEndOfStream();
  /// Whether the connection was reset before the peer ended its response.
  bool IsReset() const;
  void ParseResponses();
  void Write();
  /// Returns the error for a connection lost while a request is in flight.
  ExchangeError ConnectionLostError() const;
  /// Returns the next bytes of the request that are not sent yet.
  std::string_view UnsentBytes() const;
  void UpdateCharge();
  void Fail(ExchangeError error);
  void CloseIdleConnection();
  void Finish(ExchangeResult result);
  void SetEvents(uint32_t events);

  Poller& m_poller;
  MessageLimits m_limits;
  ClosedHook m_on_idle_closed;
  int m_descriptor = -1;
  uint32_t m_events = 0;
  bool m_connected = false;
  bool m_reusable = true;
  bool m_has_received = false;
  /// Why send() failed; 0 if it did not. It takes the error off the socket, so
  /// that recv() reports the end of the stream after it.
  int m_send_error = 0;
  std::string m_output;
  std::shared_ptr<const std::string> m_body;
  size_t m_body_sent = 0;
  std::string m_input;
  std::unique_ptr<HttpResponseReader> m_reader;
  bool m_is_head_request = false;
  ResponseMatcher m_matches_request;
  Done m_done;
  MemoryAccount* m_memory = nullptr;
  std::unique_ptr<MemoryCharge> m_charge;
  /// Responses skipped because they answer an earlier request.
  int m_skipped_responses = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_HTTP_CONNECTION_H_
