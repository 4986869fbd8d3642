// One connection of an HttpListener.

#ifndef TANAGERVANE_LIB_NET_LISTENER_CONNECTION_H_
#define TANAGERVANE_LIB_NET_LISTENER_CONNECTION_H_

#include <sys/epoll.h>

#include <cstdint>
#include <string>

#include "tanagervane/http/reader.h"
#include "tanagervane/net/http_listener.h"
#include "tanagervane/net/memory_account.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Reads requests one after another and writes their responses.
class HttpListener::Connection {
 public:
  /// An exchange id consists of a connection id and, in its low bits, the
  /// number of the request on that connection. A connection runs one request at
  /// a time, so the number only has to differ from those of recent requests.
  static constexpr unsigned kRequestNumberBits = 20;

  Connection(HttpListener& listener,
             uint64_t id,
             int descriptor,
             uint32_t peer);
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close();

  /// Whether a request has been read and not yet answered.
  bool awaiting_response() const { return m_awaiting_response; }
  /// Whether no request has begun and no response is left to write.
  bool idle() const {
    return !m_awaiting_response && m_output.empty() && !m_reader.in_message() &&
           m_input.empty();
  }
  /// Whether a request is running or its response is being written.
  bool busy() const { return m_awaiting_response || !m_output.empty(); }
  /// Whether the connection may be closed to make room for another.
  bool evictable() const;
  uint32_t peer() const { return m_peer; }
  /// When the connection last got a response, or was opened.
  Millis unused_since() const { return m_unused_since; }
  ExchangeId exchange() const;

  void Respond(const HttpResponseMessage& response);
  void CheckTimeouts(Millis now);

 private:
  /// A call of the connection. When the outermost one ends, the charge is
  /// updated, and the buffers of a closed connection are freed.
  class Scope {
   public:
    explicit Scope(Connection& connection);
    ~Scope();
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    Connection& m_connection;
  };

  Millis RequestTimeout() const;
  void OnEvents(uint32_t events);
  void Read();
  /// Parses requests until one awaits its response.
  void ParseRequests();
  void ParseRequest();
  /// Parses up to the end of the header and calls the header hook once. Returns
  /// false if the request ended there or more bytes are needed.
  bool ParseHeader();
  /// Sends the response of the header hook. The connection stays open only if
  /// the whole request has arrived.
  void AnswerAtHeader(const HttpResponseMessage& response);
  void HandleRequest();
  void RefuseRequest(unsigned status);
  /// Answers a request whose end is unknown, so all further input is discarded
  /// until the caller closes.
  void RefuseRequest(const HttpResponseMessage& response);
  void Write();
  void StartDiscarding();
  /// Closes the connection after its last response. With unread input, only the
  /// sending side is shut down first: close() would reset the connection, and
  /// the caller could lose the response.
  void CloseAfterOutput();
  void OnDisconnected();
  void SetEvents(uint32_t events);

  /// Notes whether the caller has taken bytes of the output since the last
  /// call.
  void NoteAcknowledgedOutput(Millis now);
  /// Whether the caller has taken bytes of the output a short time ago.
  bool IsOutputProgressing() const;
  /// Refuses the request that is being read, or closes the connection.
  void ReclaimMemory();
  /// Frees buffers that are not in use and states what the others hold.
  void UpdateCharge();
  void FreeBuffers();

  HttpListener& m_listener;
  uint64_t m_id;
  int m_descriptor;
  uint32_t m_peer;
  uint32_t m_events = EPOLLIN | EPOLLRDHUP;
  HttpRequestReader m_reader;
  std::string m_input;
  std::string m_output;
  MemoryCharge m_charge;
  /// What the request that awaits its response holds.
  size_t m_request_bytes = 0;
  /// Calls of the connection that are on the stack.
  int m_scopes = 0;
  bool m_parsing = false;
  bool m_header_handled = false;
  bool m_awaiting_response = false;
  bool m_is_head_request = false;
  bool m_close_after = false;
  bool m_discarding = false;
  uint64_t m_request_count = 0;
  /// When input was last parsed or a response was last queued.
  Millis m_last_activity;
  /// When the caller last took bytes of the output, or output was queued.
  Millis m_last_output_progress = m_last_activity;
  /// Bytes in the socket that the caller had not taken at the last check.
  int m_unacknowledged = 0;
  /// When the last response was queued, or the connection was opened.
  Millis m_unused_since = m_last_activity;
  Millis m_request_started;
  Millis m_discard_started;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_LIB_NET_LISTENER_CONNECTION_H_
