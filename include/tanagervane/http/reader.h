// Incremental parsing of HTTP/1.1 messages from received bytes.

#ifndef TANAGERVANE_HTTP_READER_H_
#define TANAGERVANE_HTTP_READER_H_

#include <cstddef>
#include <memory>
#include <string>

#include "tanagervane/http/message.h"

namespace tanagervane {

enum class ReadState {
  kIncomplete,  ///< More bytes are needed.
  kComplete,    ///< Take() returns the message.
  kInvalid,     ///< The bytes are no message; the connection is of no use.
};

/// Bounds on what a sender may send. `header_bytes` also bounds a trailer and a
/// chunk's size line.
struct MessageLimits {
  size_t header_bytes = 16384;
  size_t body_bytes = 1 << 20;
};

/// Reads one request after the other.
class HttpRequestReader {
 public:
  explicit HttpRequestReader(MessageLimits limits);
  ~HttpRequestReader();
  HttpRequestReader(const HttpRequestReader&) = delete;
  HttpRequestReader& operator=(const HttpRequestReader&) = delete;

  /// Applies to the requests that begin after the call.
  void SetLimits(MessageLimits limits) { m_limits = limits; }

  /// Consumes bytes from the front of `buffer`, up to the end of one request.
  ReadState Feed(std::string& buffer);

  /// The complete request; the reader is then ready for the next one.
  HttpRequestMessage Take();

  /// After kComplete: whether the caller keeps the connection open.
  bool keep_alive() const;

  /// After kInvalid: the status that says why (400, 413 or 431).
  unsigned error_status() const { return m_error_status; }

  /// True once per request when its sender waits for a 100 response.
  bool TakeExpectsContinue();

  /// True while a request has begun and its header is not complete.
  bool in_header() const;

  /// True while a request has begun and is not complete.
  bool in_message() const { return m_begun; }

 private:
  struct Parser;
  ReadState Fail(unsigned status);

  MessageLimits m_limits;
  std::unique_ptr<Parser> m_parser;
  bool m_begun = false;
  bool m_continue_told = false;
  unsigned m_error_status = 0;
};

/// Reads the response to one request. Interim (1xx) responses are skipped.
class HttpResponseReader {
 public:
  /// `head` tells that the request was a HEAD, whose response has no body.
  HttpResponseReader(MessageLimits limits, bool head);
  ~HttpResponseReader();
  HttpResponseReader(const HttpResponseReader&) = delete;
  HttpResponseReader& operator=(const HttpResponseReader&) = delete;

  /// Consumes bytes from the front of `buffer`, up to the end of the response.
  ReadState Feed(std::string& buffer);

  /// The peer closed the connection in an orderly way.
  ReadState FeedEnd();

  HttpResponseMessage Take();

  /// After kComplete: whether the connection can carry another request.
  bool keep_alive() const;

 private:
  struct Parser;

  MessageLimits m_limits;
  bool m_head;
  int m_interim = 0;
  std::unique_ptr<Parser> m_parser;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_HTTP_READER_H_
