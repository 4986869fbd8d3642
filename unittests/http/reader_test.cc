// Tests of HttpRequestReader, HttpResponseReader and the field helpers.

#include "tanagervane/http/reader.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"

namespace tanagervane {
namespace {

constexpr MessageLimits kLimits = {.header_bytes = 512, .body_bytes = 64};

// Guards against parse results that depend on how the bytes are split into
// reads.
RC_GTEST_PROP(RequestReaderProperty, AnySplitGivesTheSameRequests, ()) {
  const std::string bytes =
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "GET /next HTTP/1.1\r\nHost: h\r\nX-Y: z\r\n\r\n"
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nhi\r\n0\r\n\r\n";
  HttpRequestReader reader(kLimits);
  std::vector<HttpRequestMessage> requests;
  std::string buffer;
  size_t offset = 0;
  while (offset < bytes.size()) {
    const size_t step = *rc::gen::inRange<size_t>(1, 40);
    buffer += bytes.substr(offset, step);
    offset += step;
    while (reader.Parse(buffer) == ReadState::kComplete) {
      requests.push_back(reader.TakeMessage());
    }
  }
  RC_ASSERT(requests.size() == 3u);
  RC_ASSERT(requests[0].target == "/a/b?c=d");
  RC_ASSERT(requests[0].body == "abc");
  RC_ASSERT(*requests[1].fields.Find("x-y") == "z");
  RC_ASSERT(requests[2].body == "hi");
}

unsigned ErrorStatus(const std::string& text) {
  HttpRequestReader reader(kLimits);
  std::string buffer = text;
  return reader.Parse(buffer) == ReadState::kInvalid ? reader.error_status()
                                                     : 0;
}

ReadState ParseResponse(std::string bytes) {
  HttpResponseReader reader(kLimits, false);
  return reader.Parse(bytes);
}

// Guards against a response of a replica in trouble that is skipped as interim
// or passed on although its status is none of the protocol.
TEST(ResponseReaderTest, StatusOutsideTheProtocolIsInvalid) {
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    const std::string start = std::string("HTTP/1.1 ") + status + " X\r\n";
    for (const char* rest :
         {"Content-Length: 2\r\n\r\nno", "\r\n", "Content-Length: 0\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n"}) {
      EXPECT_EQ(ParseResponse(start + rest +
                              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
                ReadState::kInvalid)
          << status << " " << rest;
    }
    HttpResponseReader reader(kLimits, false);
    std::string open = start + "A: b\r\nContent-Length: 9\r\n\r\n";
    EXPECT_EQ(reader.Parse(open), ReadState::kInvalid) << status;
    EXPECT_FALSE(reader.Header()) << status;
    EXPECT_EQ(reader.ParseEndOfStream(), ReadState::kInvalid) << status;
  }
  EXPECT_EQ(ParseResponse("HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n"),
            ReadState::kComplete);
}

// Guards against the body of an interim response that is taken for the final
// response.
TEST(ResponseReaderTest, InterimResponsesWithABodyAreInvalid) {
  const std::string final_response =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (const char* status : {"100", "102", "103", "199"}) {
    const std::string start = std::string("HTTP/1.1 ") + status + " X\r\n";
    EXPECT_EQ(ParseResponse(start + "Content-Length: " +
                            std::to_string(final_response.size()) + "\r\n\r\n" +
                            final_response + final_response),
              ReadState::kInvalid);
    EXPECT_EQ(ParseResponse(start + "Transfer-Encoding: chunked\r\n\r\n" +
                            final_response),
              ReadState::kInvalid);
    EXPECT_EQ(ParseResponse(start + "\r\n" + final_response),
              ReadState::kComplete);
    HttpResponseReader reader(kLimits, false);
    std::string interim = start + "A: b\r\n\r\n";
    EXPECT_EQ(reader.Parse(interim), ReadState::kIncomplete);
    EXPECT_FALSE(reader.Header());
  }
}

// Guards against a caller that adds fields after those of the header were
// checked.
TEST(RequestReaderTest, TrailerFieldsAreDropped) {
  HttpRequestReader reader(kLimits);
  std::string bytes =
      "POST / HTTP/1.1\r\nHost: h\r\nA: b\r\n"
      "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"
      "A: c\r\nTenant: t\r\nHost: other\r\n\r\n";
  ASSERT_EQ(reader.Parse(bytes), ReadState::kComplete);
  const HttpRequestMessage request = reader.TakeMessage();
  EXPECT_EQ(request.body, "hi");
  EXPECT_EQ(request.fields.all().size(), 3u);
  EXPECT_EQ(request.fields.Find("Tenant"), nullptr);
  EXPECT_EQ(*request.fields.Find("Host"), "h");
  EXPECT_EQ(*request.fields.Find("A"), "b");
}

// Guards against a length that is allocated before it is checked: the process
// would end for lack of memory.
TEST(ReaderTest, HugeLengthsAreRejected) {
  for (const char* length :
       {"65", "4000000000", "9223372036854775807", "18446744073709551615"}) {
    const std::string field =
        std::string("Content-Length: ") + length + "\r\n\r\nbody";
    HttpResponseReader response(kLimits, false);
    std::string bytes = "HTTP/1.1 200 OK\r\n" + field;
    EXPECT_EQ(response.Parse(bytes), ReadState::kInvalid) << length;
    HttpRequestReader request(kLimits);
    bytes = "POST / HTTP/1.1\r\nHost: h\r\n" + field;
    EXPECT_EQ(request.Parse(bytes), ReadState::kInvalid) << length;
    EXPECT_EQ(request.error_status(), 413u) << length;
  }
  for (const char* size : {"41", "ffffffff", "7fffffffffffffff",
                           "ffffffffffffffff", "fffffffffffffffffff"}) {
    const std::string chunk =
        std::string("Transfer-Encoding: chunked\r\n\r\n") + size + "\r\nbody";
    HttpResponseReader response(kLimits, false);
    std::string bytes = "HTTP/1.1 200 OK\r\n" + chunk;
    EXPECT_EQ(response.Parse(bytes), ReadState::kInvalid) << size;
    HttpRequestReader request(kLimits);
    bytes = "POST / HTTP/1.1\r\nHost: h\r\n" + chunk;
    EXPECT_EQ(request.Parse(bytes), ReadState::kInvalid) << size;
  }
}

// Guards against request smuggling: a request hidden in the body of another.
TEST(RequestReaderTest, AmbiguousFramingIsRejected) {
  EXPECT_EQ(ErrorStatus("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n"),
            400u);
  EXPECT_EQ(ErrorStatus("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                        "Content-Length: 4\r\n\r\n"),
            400u);
  EXPECT_EQ(ErrorStatus("POST / HTTP/1.1\r\nHost: h\r\n"
                        "Transfer-Encoding: gzip\r\n\r\n"),
            400u);
  EXPECT_EQ(ErrorStatus("nonsense\r\n\r\n"), 400u);
}

// Guards against callers that make the reader buffer without bound.
TEST(RequestReaderTest, SizeLimitsAreEnforced) {
  EXPECT_EQ(ErrorStatus("GET / HTTP/1.1\r\nHost: h\r\nX: " +
                        std::string(600, 'x') + "\r\n\r\n"),
            431u);
  EXPECT_EQ(ErrorStatus("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n"
                        "\r\n"),
            413u);
}

ReadState ParseBuffer(HttpResponseReader& reader, std::string& buffer) {
  return reader.Parse(buffer);
}

// Guards against a truncated response being returned as complete.
TEST(ResponseReaderTest, TruncatedResponsesAreInvalid) {
  HttpResponseReader reader(kLimits, false);
  std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
  EXPECT_EQ(ParseBuffer(reader, buffer), ReadState::kIncomplete);
  EXPECT_EQ(reader.ParseEndOfStream(), ReadState::kInvalid);
}

TEST(ResponseReaderTest, ResponseWithoutLengthEndsWithItsConnection) {
  HttpResponseReader reader(kLimits, false);
  std::string buffer = "HTTP/1.1 200 OK\r\n\r\nabc";
  EXPECT_EQ(ParseBuffer(reader, buffer), ReadState::kIncomplete);
  EXPECT_EQ(reader.ParseEndOfStream(), ReadState::kComplete);
  EXPECT_FALSE(reader.keep_alive());
  EXPECT_EQ(reader.TakeMessage().body, "abc");
}

TEST(ResponseReaderTest, InterimResponsesAreSkipped) {
  HttpResponseReader reader(kLimits, false);
  std::string buffer =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
      "\r\nokHTTP/1.1";
  EXPECT_EQ(ParseBuffer(reader, buffer), ReadState::kComplete);
  EXPECT_EQ(reader.TakeMessage().body, "ok");
  EXPECT_EQ(buffer, "HTTP/1.1");
}

// Guards against waiting for the body of a HEAD response, or reading the next
// response as that body.
TEST(ResponseReaderTest, HeadResponsesHaveNoBody) {
  HttpResponseReader reader(kLimits, true);
  std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
  EXPECT_EQ(ParseBuffer(reader, buffer), ReadState::kComplete);
}

/// The result of parsing a response.
struct ParseResult {
  ReadState state = ReadState::kIncomplete;
  unsigned status = 0;
  std::string body;
  size_t consumed = 0;

  bool operator==(const ParseResult&) const = default;
};

/// Parses a response that arrives `step` bytes at a time and is followed by the
/// end of the stream.
ParseResult ParseResponse(const std::string& bytes, size_t step) {
  HttpResponseReader reader(kLimits, /*head=*/false);
  ParseResult result;
  std::string buffer;
  for (size_t offset = 0;
       offset < bytes.size() && result.state == ReadState::kIncomplete;
       offset += step) {
    buffer += bytes.substr(offset, step);
    result.consumed = std::min(offset + step, bytes.size());
    result.state = reader.Parse(buffer);
    result.consumed -= buffer.size();
  }
  if (result.state == ReadState::kIncomplete) {
    result.state = reader.ParseEndOfStream();
  }
  if (result.state != ReadState::kComplete) {
    return {result.state, 0, "", 0};
  }
  HttpResponseMessage message = reader.TakeMessage();
  result.status = message.status;
  result.body = std::move(message.body);
  return result;
}

// Guards against corrupt responses that parse differently depending on how
// their bytes are split into reads, and against a truncated one parsed as
// complete.
RC_GTEST_PROP(ResponseReaderProperty,
              CorruptResponsesParseAlikeInAnySplit,
              ()) {
  const std::string complete = *rc::gen::element<std::string>(
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\n"
      "Content-Length: 2\r\n\r\nno");
  const auto truncated_size = *rc::gen::inRange<size_t>(1, complete.size());
  RC_ASSERT(ParseResponse(complete.substr(0, truncated_size), 7).state !=
            ReadState::kComplete);
  std::string corrupt = complete;
  corrupt[*rc::gen::inRange<size_t>(0, complete.size())] =
      *rc::gen::arbitrary<char>();
  const ParseResult in_one_read = ParseResponse(corrupt, corrupt.size());
  RC_ASSERT(ParseResponse(corrupt, *rc::gen::inRange<size_t>(1, 9)) ==
            in_one_read);
}

TEST(MessageTest, HopByHopFieldsAreRecognised) {
  EXPECT_TRUE(IsHopByHop("transfer-encoding", ""));
  EXPECT_TRUE(IsHopByHop("X-Mine", "close, x-mine"));
  EXPECT_FALSE(IsHopByHop("X-Other", "close, x-mine"));
}

/// Bound on the bytes that a peer can make a reader buffer: an incomplete
/// element of kLimits.header_bytes and up to two blocks.
constexpr size_t kBlockBytes = 100;
constexpr size_t kMaxBufferedBytes = 512 + 2 * kBlockBytes;
constexpr size_t kMaxInputBytes = 100'000;

/// Parses `prefix` and then `repeated` again and again. Returns whether the
/// reader stopped before kMaxInputBytes and never buffered more than
/// kMaxBufferedBytes.
template <typename Reader>
bool StopsReading(Reader& reader,
                  std::string prefix,
                  std::string_view repeated) {
  std::string buffer = std::move(prefix);
  std::string block;
  while (block.size() + repeated.size() <= kBlockBytes) {
    block += repeated;
  }
  for (size_t parsed_bytes = 0; parsed_bytes < kMaxInputBytes;
       parsed_bytes += block.size()) {
    if (reader.Parse(buffer) != ReadState::kIncomplete) {
      return true;
    }
    if (buffer.size() > kMaxBufferedBytes) {
      return false;
    }
    buffer += block;
  }
  return false;
}

struct EndlessMessage {
  const char* endless_element;
  const char* prefix;
  const char* repeated;
};

// Guards against peers that exhaust memory: bytes that never complete an
// element of a message are buffered, so their number must be bounded.
TEST(ResponseReaderTest, EndlessMessagesAreInvalid) {
  constexpr EndlessMessage kCases[] = {
      {"no protocol", "", "x"},
      {"line ends", "", "\r\n"},
      {"reason phrase", "HTTP/1.1 200 ", "x"},
      {"field name", "HTTP/1.1 200 OK\r\n", "x"},
      {"field value", "HTTP/1.1 200 OK\r\nA: ", "x"},
      {"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"body until close", "HTTP/1.1 200 OK\r\n\r\n", "x"},
      {"body beyond its length",
       "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", "x"},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "1\r\nx\r\n"},
      {"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "0"},
      {"chunk extension",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
      {"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "A: b\r\n"},
  };
  for (const EndlessMessage& message : kCases) {
    HttpResponseReader reader(kLimits, false);
    EXPECT_TRUE(StopsReading(reader, message.prefix, message.repeated))
        << message.endless_element;
  }
}

// As for responses, with callers that exhaust memory.
TEST(RequestReaderTest, EndlessMessagesAreInvalid) {
  constexpr EndlessMessage kCases[] = {
      {"method", "", "x"},
      {"target", "GET /", "x"},
      {"fields", "GET / HTTP/1.1\r\n", "A: b\r\n"},
      {"body", "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n", "x"},
      {"chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
       "1\r\nx\r\n"},
      {"chunk extension",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
      {"trailer", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "A: b\r\n"},
  };
  for (const EndlessMessage& message : kCases) {
    HttpRequestReader reader(kLimits);
    EXPECT_TRUE(StopsReading(reader, message.prefix, message.repeated))
        << message.endless_element;
    EXPECT_NE(reader.error_status(), 0u) << message.endless_element;
  }
}

}  // namespace
}  // namespace tanagervane
