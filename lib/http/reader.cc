// HttpRequestReader and HttpResponseReader on the parsers of Boost.Beast.

#include "tanagervane/http/reader.h"

// Boost 1.74's Asio uses std::exchange without including it.
#include <utility>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cassert>
#include <iterator>
#include <optional>

namespace tanagervane {

namespace {

namespace http = boost::beast::http;

/// Interim (1xx) responses that may precede the final one; more are invalid.
constexpr int kMaxInterimResponses = 8;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kSwitchingProtocols = 101;

/// What the allocator adds to an allocation.
constexpr size_t kAllocationOverhead = 16;

/// What Boost.Beast allocates for a field beside its text, with the overhead of
/// the allocator.
constexpr size_t kParsedFieldBytes = 80;

/// The parser object itself.
constexpr size_t kParserBytes = 512;

std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

template <typename Message>
HttpFields CopyFields(const Message& message) {
  HttpFields fields;
  fields.Reserve(
      static_cast<size_t>(std::distance(message.begin(), message.end())));
  for (const auto& field : message) {
    fields.Add(ToView(field.name_string()), ToView(field.value()));
  }
  return fields;
}

/// Passes `buffer` to the parser until the header ends if `until_header_end`,
/// else until the message ends, or until an error occurs or more bytes are
/// needed. Removes the parsed bytes. The parser must not be eager: an eager one
/// goes on after a header whose Content-Length exceeds the body limit, and
/// allocates that many bytes.
template <typename BeastParser>
boost::beast::error_code ParseAvailable(BeastParser& parser,
                                        std::string& buffer,
                                        HeaderCost& header_cost,
                                        bool until_header_end) {
  boost::beast::error_code error;
  size_t consumed = 0;
  while (consumed < buffer.size() && !parser.is_done()) {
    const bool in_header = !parser.is_header_done();
    if (until_header_end && !in_header) {
      break;
    }
    const size_t parsed = parser.put(
        boost::asio::buffer(buffer.data() + consumed, buffer.size() - consumed),
        error);
    if (in_header) {
      header_cost.Add(std::string_view(buffer).substr(consumed, parsed));
    }
    consumed += parsed;
    if (error || parsed == 0) {
      break;
    }
  }
  buffer.erase(0, consumed);
  return error == http::error::need_more ? boost::beast::error_code() : error;
}

/// Returns the memory that `text` takes outside of its object.
size_t HeapBytes(const std::string& text) {
  return text.capacity() > std::string().capacity()
             ? text.capacity() + kAllocationOverhead
             : 0;
}

size_t HeapBytes(const HttpFields& fields) {
  size_t bytes = 0;
  for (const HttpField& field : fields.all()) {
    bytes += sizeof(field) + HeapBytes(field.name) + HeapBytes(field.value);
  }
  return bytes;
}

/// Returns whether a response has a status of the protocol.
bool IsStatus(unsigned status) {
  return status >= kMinStatus && status <= kMaxStatus;
}

/// Returns whether the header announces a body. An interim response has none,
/// and the parser would take the body for the next response.
template <typename Message>
bool AnnouncesBody(const Message& message) {
  const auto length = message.find(http::field::content_length);
  return message.find(http::field::transfer_encoding) != message.end() ||
         (length != message.end() && length->value() != "0");
}

}  // namespace

void HeaderCost::Add(std::string_view parsed) {
  m_lines += static_cast<size_t>(std::ranges::count(parsed, '\n'));
  m_text_bytes += parsed.size();
}

size_t HeaderCost::bytes() const {
  return m_lines * kParsedFieldBytes + m_text_bytes;
}

struct HttpRequestReader::Parser {
  http::request_parser<http::string_body> beast;
};

HttpRequestReader::HttpRequestReader(MessageLimits limits) : m_limits(limits) {}

HttpRequestReader::~HttpRequestReader() = default;

ReadState HttpRequestReader::Fail(unsigned status) {
  m_error_status = status;
  return ReadState::kInvalid;
}

ReadState HttpRequestReader::ParseHeader(std::string& buffer) {
  if (m_header_complete) {
    return ReadState::kComplete;
  }
  if (buffer.empty()) {
    return ReadState::kIncomplete;
  }
  if (!m_parser) {
    m_parser = std::make_unique<Parser>();
    m_parser->beast.header_limit(static_cast<uint32_t>(m_limits.header_bytes));
    m_parser->beast.body_limit(m_limits.body_bytes);
  }
  m_in_message = true;
  const boost::beast::error_code error =
      ParseAvailable(m_parser->beast, buffer, m_header_cost, true);
  if (error == http::error::header_limit ||
      m_header_cost.lines() > m_limits.header_fields) {
    return Fail(431);
  }
  if (error == http::error::body_limit) {
    return Fail(413);
  }
  if (error) {
    return Fail(400);
  }
  if (m_parser->beast.is_header_done()) {
    return FinishHeader();
  }
  // The parser leaves an incomplete element in the buffer. Its size must be
  // bounded here.
  return buffer.size() > m_limits.header_bytes ? Fail(431)
                                               : ReadState::kIncomplete;
}

ReadState HttpRequestReader::FinishHeader() {
  auto& message = m_parser->beast.get();
  // With any other transfer coding, the end of the request would be unknown.
  const auto coding = message.find(http::field::transfer_encoding);
  if (coding != message.end() &&
      !EqualIgnoringCase(ToView(coding->value()), "chunked")) {
    return Fail(400);
  }
  m_message.method = std::string(ToView(message.method_string()));
  m_message.target = std::string(ToView(message.target()));
  m_message.fields = CopyFields(message);
  // Beast adds the fields of a trailer to those of the header. The copy is
  // complete, so that a sender cannot add fields after they were checked.
  message.clear();
  m_message_bytes = HeapBytes(m_message.target) + HeapBytes(m_message.fields);
  m_header_cost = {};
  m_header_complete = true;
  return ReadState::kComplete;
}

ReadState HttpRequestReader::Parse(std::string& buffer) {
  if (const ReadState header = ParseHeader(buffer);
      header != ReadState::kComplete) {
    return header;
  }
  auto& beast = m_parser->beast;
  HeaderCost trailer_cost;
  const boost::beast::error_code error =
      ParseAvailable(beast, buffer, trailer_cost, false);
  if (error) {
    return Fail(error == http::error::body_limit ? 413 : 400);
  }
  if (beast.is_done()) {
    return ReadState::kComplete;
  }
  // An incomplete element is a chunk's size with its extension, or a trailer.
  return buffer.size() > m_limits.header_bytes ? Fail(400)
                                               : ReadState::kIncomplete;
}

HttpRequestMessage HttpRequestReader::TakeMessage() {
  assert(m_parser && m_parser->beast.is_done());
  HttpRequestMessage request = std::exchange(m_message, {});
  request.body = std::move(m_parser->beast.get().body());
  Discard();
  return request;
}

void HttpRequestReader::Discard() {
  m_parser.reset();
  m_message = {};
  m_message_bytes = 0;
  m_header_cost = {};
  m_in_message = false;
  m_header_complete = false;
  m_expect_continue_consumed = false;
}

size_t HttpRequestReader::held_bytes() const {
  if (!m_parser) {
    return 0;
  }
  return kParserBytes + m_header_cost.bytes() + m_message_bytes +
         m_parser->beast.get().body().size();
}

bool HttpRequestReader::keep_alive() const {
  return m_parser && m_parser->beast.keep_alive();
}

bool HttpRequestReader::ConsumeExpectContinue() {
  if (m_expect_continue_consumed || !m_header_complete ||
      m_parser->beast.is_done()) {
    return false;
  }
  const std::string* expect = m_message.fields.Find("Expect");
  if (expect == nullptr || !EqualIgnoringCase(*expect, "100-continue")) {
    return false;
  }
  m_expect_continue_consumed = true;
  return true;
}

bool HttpRequestReader::in_header() const {
  return m_in_message && !m_header_complete;
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
    if (ParseAvailable(beast, buffer, m_header_cost, false) ||
        m_header_cost.lines() > m_limits.header_fields) {
      return ReadState::kInvalid;
    }
    if (beast.is_header_done() && !IsStatus(beast.get().result_int())) {
      return ReadState::kInvalid;
    }
    if (!beast.is_done()) {
      // The parser leaves an incomplete element in the buffer.
      return buffer.size() > m_limits.header_bytes ? ReadState::kInvalid
                                                   : ReadState::kIncomplete;
    }
    const unsigned status = beast.get().result_int();
    if (status >= kMinFinalStatus) {
      return ReadState::kComplete;
    }
    if (status == kSwitchingProtocols || AnnouncesBody(beast.get()) ||
        ++m_interim_responses > kMaxInterimResponses) {
      return ReadState::kInvalid;
    }
    m_parser.reset();
    m_header_cost = {};
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
  m_header_cost = {};
  return response;
}

size_t HttpResponseReader::held_bytes() const {
  return m_parser ? kParserBytes + m_header_cost.bytes() +
                        m_parser->beast.get().body().size()
                  : 0;
}

std::optional<HttpResponseMessage> HttpResponseReader::Header() const {
  if (!m_parser || !m_parser->beast.is_header_done()) {
    return std::nullopt;
  }
  const auto& message = m_parser->beast.get();
  const unsigned status = message.result_int();
  if (status < kMinFinalStatus || status > kMaxStatus) {
    return std::nullopt;
  }
  HttpResponseMessage header;
  header.status = status;
  header.fields = CopyFields(message);
  return header;
}

bool HttpResponseReader::keep_alive() const {
  return m_parser && m_parser->beast.get().keep_alive() &&
         !m_parser->beast.need_eof();
}

}  // namespace tanagervane
