// HttpRequestReader and HttpResponseReader on the parsers of Boost.Beast.

#include "tanagervane/http/reader.h"

// Boost 1.74's Asio uses std::exchange without including it.
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cassert>
#include <optional>

namespace tanagervane {

namespace {

namespace http = boost::beast::http;

/// Interim (1xx) responses that may precede the final one; more are invalid.
constexpr int kMaxInterimResponses = 8;

std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

template <typename Message>
HttpFields CopyFields(const Message& message) {
  HttpFields fields;
  for (const auto& field : message) {
    fields.Add(ToView(field.name_string()), ToView(field.value()));
  }
  return fields;
}

/// Passes `buffer` to the parser until the message ends, an error occurs or
/// more bytes are needed. Removes the parsed bytes. The parser must not be
/// eager: an eager one goes on after a header whose Content-Length exceeds the
/// body limit, and allocates that many bytes.
template <typename BeastParser>
boost::beast::error_code ParseAvailable(BeastParser& parser,
                                        std::string& buffer) {
  boost::beast::error_code error;
  size_t consumed = 0;
  while (consumed < buffer.size() && !parser.is_done()) {
    const size_t parsed = parser.put(
        boost::asio::buffer(buffer.data() + consumed, buffer.size() - consumed),
        error);
    consumed += parsed;
    if (error || parsed == 0) {
      break;
    }
  }
  buffer.erase(0, consumed);
  return error == http::error::need_more ? boost::beast::error_code() : error;
}

}  // namespace

struct HttpRequestReader::Parser {
  http::request_parser<http::string_body> beast;
};

HttpRequestReader::HttpRequestReader(MessageLimits limits) : m_limits(limits) {}

HttpRequestReader::~HttpRequestReader() = default;

ReadState HttpRequestReader::Fail(unsigned status) {
  m_error_status = status;
  return ReadState::kInvalid;
}

ReadState HttpRequestReader::Parse(std::string& buffer) {
  if (buffer.empty()) {
    return ReadState::kIncomplete;
  }
  if (!m_parser) {
    m_parser = std::make_unique<Parser>();
    m_parser->beast.header_limit(static_cast<uint32_t>(m_limits.header_bytes));
    m_parser->beast.body_limit(m_limits.body_bytes);
  }
  m_in_message = true;
  auto& beast = m_parser->beast;
  const boost::beast::error_code error = ParseAvailable(beast, buffer);
  if (error == http::error::header_limit) {
    return Fail(431);
  }
  if (error == http::error::body_limit) {
    return Fail(413);
  }
  if (error) {
    return Fail(400);
  }
  // The parser leaves an incomplete element in the buffer: a header, a chunk's
  // size with its extension, or a trailer. Its size must be bounded here.
  if (!beast.is_done() && buffer.size() > m_limits.header_bytes) {
    return Fail(beast.is_header_done() ? 400 : 431);
  }
  if (!beast.is_header_done()) {
    return ReadState::kIncomplete;
  }
  // With any other transfer coding, the end of the request would be unknown.
  const auto coding = beast.get().find(http::field::transfer_encoding);
  if (coding != beast.get().end() &&
      !EqualIgnoringCase(ToView(coding->value()), "chunked")) {
    return Fail(400);
  }
  return beast.is_done() ? ReadState::kComplete : ReadState::kIncomplete;
}

HttpRequestMessage HttpRequestReader::TakeMessage() {
  assert(m_parser && m_parser->beast.is_done());
  auto message = m_parser->beast.release();
  HttpRequestMessage request;
  request.method = std::string(ToView(message.method_string()));
  request.target = std::string(ToView(message.target()));
  request.fields = CopyFields(message);
  request.body = std::move(message.body());
  m_parser.reset();
  m_in_message = false;
  m_expect_continue_consumed = false;
  return request;
}

bool HttpRequestReader::keep_alive() const {
  return m_parser && m_parser->beast.get().keep_alive();
}

bool HttpRequestReader::ConsumeExpectContinue() {
  if (m_expect_continue_consumed || !m_parser ||
      !m_parser->beast.is_header_done() || m_parser->beast.is_done()) {
    return false;
  }
  const auto& message = m_parser->beast.get();
  const auto expect = message.find(http::field::expect);
  if (expect == message.end() ||
      !EqualIgnoringCase(ToView(expect->value()), "100-continue")) {
    return false;
  }
  m_expect_continue_consumed = true;
  return true;
}

bool HttpRequestReader::in_header() const {
  return m_in_message && (!m_parser || !m_parser->beast.is_header_done());
}

struct HttpResponseReader::Parser {
  http::response_parser<http::string_body> beast;
};

HttpResponseReader::HttpResponseReader(MessageLimits limits,
                                       bool is_head_request)
    : m_limits(limits), m_is_head_request(is_head_request) {}

HttpResponseReader::~HttpResponseReader() = default;

ReadState HttpResponseReader::Parse(std::string& buffer) {
  while (!buffer.empty()) {
    if (!m_parser) {
      m_parser = std::make_unique<Parser>();
      auto& beast = m_parser->beast;
      beast.header_limit(static_cast<uint32_t>(m_limits.header_bytes));
      beast.body_limit(m_limits.body_bytes);
      beast.skip(m_is_head_request);
    }
    auto& beast = m_parser->beast;
    if (ParseAvailable(beast, buffer)) {
      return ReadState::kInvalid;
    }
    if (!beast.is_done()) {
      // The parser leaves an incomplete element in the buffer.
      return buffer.size() > m_limits.header_bytes ? ReadState::kInvalid
                                                   : ReadState::kIncomplete;
    }
    const unsigned status = beast.get().result_int();
    if (status == 101 ||
        (status < 200 && ++m_interim_responses > kMaxInterimResponses)) {
      return ReadState::kInvalid;
    }
    if (status >= 200) {
      return ReadState::kComplete;
    }
    m_parser.reset();
  }
  return ReadState::kIncomplete;
}

ReadState HttpResponseReader::ParseEndOfStream() {
  if (!m_parser) {
    return ReadState::kInvalid;
  }
  auto& beast = m_parser->beast;
  if (!beast.is_header_done() || !beast.need_eof()) {
    return ReadState::kInvalid;
  }
  boost::beast::error_code error;
  beast.put_eof(error);
  return !error && beast.is_done() ? ReadState::kComplete : ReadState::kInvalid;
}

HttpResponseMessage HttpResponseReader::TakeMessage() {
  assert(m_parser && m_parser->beast.is_done());
  auto message = m_parser->beast.release();
  HttpResponseMessage response;
  response.status = message.result_int();
  response.fields = CopyFields(message);
  response.body = std::move(message.body());
  m_parser.reset();
  return response;
}

std::optional<HttpResponseMessage> HttpResponseReader::Header() const {
  if (!m_parser || !m_parser->beast.is_header_done()) {
    return std::nullopt;
  }
  const auto& message = m_parser->beast.get();
  HttpResponseMessage header;
  header.status = message.result_int();
  header.fields = CopyFields(message);
  return header;
}

bool HttpResponseReader::keep_alive() const {
  return m_parser && m_parser->beast.get().keep_alive() &&
         !m_parser->beast.need_eof();
}

}  // namespace tanagervane
