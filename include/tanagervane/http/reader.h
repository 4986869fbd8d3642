// Incremental parsing of HTTP/1.1 messages from received bytes.

#ifndef TANAGERVANE_HTTP_READER_H_
#define TANAGERVANE_HTTP_READER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "tanagervane/http/message.h"

namespace tanagervane {

enum class ReadState {
  kIncomplete,  ///< More bytes are needed.
  kComplete,    ///< TakeMessage() returns the message.
  kInvalid,     ///< The bytes are no valid message; close the connection.
};

/// Size limits of a received message. `header_bytes` also bounds a trailer and
/// the size line of a chunk.
struct MessageLimits {
  size_t header_bytes = 16384;
  size_t body_bytes = 1 << 20;
};

/// Parses the requests of one connection, one after another.
class HttpRequestReader {
 public:
  explicit HttpRequestReader(MessageLimits limits);
  ~HttpRequestReader();
  HttpRequestReader(const HttpRequestReader&) = delete;
  HttpRequestReader& operator=(const HttpRequestReader&) = delete;

  /// Applies to the requests that begin after the call.
  void SetLimits(MessageLimits limits) { m_limits = limits; }

  /// Parses and removes bytes from the front of `buffer`, up to the end of one
  /// request.
  ReadState Parse(std::string& buffer);

  /// After kComplete: returns the request and prepares for the next one.
  HttpRequestMessage TakeMessage();

  /// After kComplete: returns whether the caller keeps the connection open.
  bool keep_alive() const;

  /// After kInvalid: returns the status code to respond with (400, 413 or 431).
  unsigned error_status() const { return m_error_status; }

  /// Returns true once per request if its sender waits for a 100 (Continue)
  /// response before it sends the body.
  bool ConsumeExpectContinue();

  /// Returns whether a request has begun whose header is incomplete.
  bool in_header() const;

  /// Returns whether a request has begun that TakeMessage() has not returned.
  bool in_message() const { return m_in_message; }

 private:
  struct Parser;
  ReadState Fail(unsigned status);

  MessageLimits m_limits;
  std::unique_ptr<Parser> m_parser;
  bool m_in_message = false;
  bool m_expect_continue_consumed = false;
  unsigned m_error_status = 0;
};

/// Parses the response to one request. Interim (1xx) responses are skipped.
class HttpResponseReader {
 public:
  /// `is_head_request` says that the request was a HEAD, whose response has no
  /// body.
  HttpResponseReader(MessageLimits limits, bool is_head_request);
  ~HttpResponseReader();
  HttpResponseReader(const HttpResponseReader&) = delete;
  HttpResponseReader& operator=(const HttpResponseReader&) = delete;

  /// Parses and removes bytes from the front of `buffer`, up to the end of the
  /// response.
  ReadState Parse(std::string& buffer);

  /// Call it when the peer has closed the connection without an error. Returns
  /// kComplete if the close ends a body without a length, otherwise kInvalid.
  ReadState ParseEndOfStream();

  /// After kComplete: returns the response.
  HttpResponseMessage TakeMessage();

  /// Returns status and fields of a final response whose header is complete;
  /// nullopt before that and after TakeMessage().
  std::optional<HttpResponseMessage> Header() const;

  /// After kComplete and before TakeMessage(): returns whether the connection
  /// can carry another request.
  bool keep_alive() const;

 private:
  struct Parser;

  MessageLimits m_limits;
  bool m_is_head_request;
  int m_interim_responses = 0;
  std::unique_ptr<Parser> m_parser;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_HTTP_READER_H_
