// Incremental parsing of HTTP/1.1 messages from received bytes.

#ifndef TANAGERVANE_HTTP_READER_H_
#define TANAGERVANE_HTTP_READER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

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
  /// Each parsed field costs about 80 bytes beside its text. The default is
  /// what fits in a header of the default size.
  size_t header_fields = 4096;
};

/// The memory that the header of a message takes while it is parsed.
class HeaderCost {
 public:
  /// Counts parsed bytes, which may contain the ends of several fields.
  void Add(std::string_view parsed);

  size_t lines() const { return m_lines; }
  size_t bytes() const;

 private:
  size_t m_lines = 0;
  size_t m_text_bytes = 0;
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

  /// As Parse(), up to the end of the header. Returns kComplete when the header
  /// is complete, also when it was before; header() is then valid.
  ReadState ParseHeader(std::string& buffer);

  /// Method, target and fields of a request whose header is complete. Fields of
  /// a trailer are not added to them.
  const HttpRequestMessage& header() const { return m_message; }

  /// Returns the bytes that the reader holds for the request, apart from the
  /// caller's buffer.
  size_t held_bytes() const;

  /// After kComplete: returns the request and prepares for the next one.
  HttpRequestMessage TakeMessage();

  /// Drops the request that has begun.
  void Discard();

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
  ReadState FinishHeader();

  MessageLimits m_limits;
  std::unique_ptr<Parser> m_parser;
  HeaderCost m_header_cost;
  /// The request without its body, once its header is complete.
  HttpRequestMessage m_message;
  size_t m_message_bytes = 0;
  bool m_header_complete = false;
  bool m_in_message = false;
  bool m_expect_continue_consumed = false;
  unsigned m_error_status = 0;
};

/// Parses the response to one request. Interim (1xx) responses are skipped. A
/// status outside 100 to 599 and an interim response with a body are invalid.
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

  /// Returns status and fields of a final response whose header is complete and
  /// whose status is valid; nullopt before that and after TakeMessage().
  std::optional<HttpResponseMessage> Header() const;

  /// Returns the bytes that the reader holds for the response, apart from the
  /// caller's buffer.
  size_t held_bytes() const;

  /// After kComplete and before TakeMessage(): returns whether the connection
  /// can carry another request.
  bool keep_alive() const;

 private:
  struct Parser;

  MessageLimits m_limits;
  bool m_is_head_request;
  int m_interim_responses = 0;
  std::unique_ptr<Parser> m_parser;
  HeaderCost m_header_cost;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_HTTP_READER_H_
