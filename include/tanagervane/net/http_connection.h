// One client connection that carries one request at a time.

#ifndef TANAGERVANE_NET_HTTP_CONNECTION_H_
#define TANAGERVANE_NET_HTTP_CONNECTION_H_

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "tanagervane/http/message.h"
#include "tanagervane/http/reader.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/net/receive_budget.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// How an exchange on a connection failed.
enum class ExchangeError {
  kNotConnected,  ///< The connection never stood: nothing was sent.
  kBroken,        ///< It broke after the request may have been sent.
  kNewBroken,     ///< The same, before any byte came on the connection.
  kInvalid,       ///< The peer sent bytes that are no response.
};

/// What became of a request.
struct ExchangeResult {
  std::optional<ExchangeError> error;
  /// Filled when there is no error.
  HttpResponseMessage response;
};

class HttpConnection {
 public:
  using Done = std::function<void(ExchangeResult)>;
  using ClosedHook = std::function<void()>;
  /// Whether a response belongs to the request. One that does not is skipped.
  using BelongsHook = std::function<bool(const HttpResponseMessage&)>;

  /// Starts to connect. `on_idle_closed` runs when the peer closes or writes
  /// to the connection while no request is open on it. `silence_limit` bounds
  /// how long sent bytes may stay unacknowledged.
  HttpConnection(Poller& poller,
                 const sockaddr_in& address,
                 MessageLimits limits,
                 Millis silence_limit,
                 ClosedHook on_idle_closed);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends a complete request; one at a time, and not on a connection that
  /// failed(). `done` runs once, later. The connection may be deleted in `done`
  /// and in the closed hook.
  void Send(std::string bytes, bool head, BelongsHook belongs, Done done);

  /// Has the kernel probe the peer every second, so that a peer that went
  /// silent is noticed within a few seconds while a response is awaited.
  void EnableKeepAliveProbes();

  /// Counts the bytes of unfinished responses against a budget that other
  /// connections share; a response that it does not allow is invalid. The
  /// budget must outlive the connection.
  void SetBudget(ReceiveBudget* budget) { m_budget = budget; }

  /// After a response: whether another request may be sent.
  bool reusable() const { return m_reusable; }

  /// True when no socket could be opened, or the peer closed an idle one.
  bool failed() const { return m_descriptor < 0; }

  /// True when the TCP handshake has ended well.
  bool connected() const { return m_connected; }

 private:
  void OnEvents(uint32_t events);
  void Read();
  void ReadEnd();
  void Parse();
  void Write();
  ExchangeError LossError() const;
  /// Counts received bytes; false when the response may not grow further.
  bool TakeBudget(size_t bytes);
  void ReleaseBudget();
  void Fail(ExchangeError error);
  void CloseIdle();
  void Finish(ExchangeResult result);
  void SetEvents(uint32_t events);

  Poller& m_poller;
  MessageLimits m_limits;
  ClosedHook m_on_idle_closed;
  int m_descriptor = -1;
  uint32_t m_events = 0;
  bool m_connected = false;
  bool m_reusable = true;
  bool m_received = false;
  std::string m_output;
  std::string m_input;
  std::unique_ptr<HttpResponseReader> m_reader;
  bool m_head = false;
  BelongsHook m_belongs;
  Done m_done;
  ReceiveBudget* m_budget = nullptr;
  /// Bytes received since the request, as counted in the budget.
  size_t m_held = 0;
  /// Responses to other requests since the request.
  int m_foreign = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_HTTP_CONNECTION_H_
