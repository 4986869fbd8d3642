// Tests of message parsing.

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

// Guards against requests that depend on how their bytes are cut.
RC_GTEST_PROP(RequestReaderProperty, AnyCutGivesTheSameRequests, ()) {
  const std::string bytes =
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "GET /next HTTP/1.1\r\nHost: h\r\nX-Y: z\r\n\r\n"
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nhi\r\n0\r\n\r\n";
  HttpRequestReader reader(kLimits);
  std::vector<HttpRequestMessage> requests;
  std::string buffer;
  size_t at = 0;
  while (at < bytes.size()) {
    const size_t step = *rc::gen::inRange<size_t>(1, 40);
    buffer += bytes.substr(at, step);
    at += step;
    while (reader.Feed(buffer) == ReadState::kComplete) {
      requests.push_back(reader.Take());
    }
  }
  RC_ASSERT(requests.size() == 3u);
  RC_ASSERT(requests[0].target == "/a/b?c=d");
  RC_ASSERT(requests[0].body == "abc");
  RC_ASSERT(*requests[1].fields.Find("x-y") == "z");
  RC_ASSERT(requests[2].body == "hi");
}

unsigned Rejection(const std::string& text) {
  HttpRequestReader reader(kLimits);
  std::string buffer = text;
  return reader.Feed(buffer) == ReadState::kInvalid ? reader.error_status() : 0;
}

// Guards against a request hidden in another one's body.
TEST(RequestReaderTest, AmbiguousFramingIsRejected) {
  EXPECT_EQ(Rejection("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"),
            400u);
  EXPECT_EQ(Rejection("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                      "Content-Length: 4\r\n\r\n"),
            400u);
  EXPECT_EQ(Rejection("POST / HTTP/1.1\r\nHost: h\r\n"
                      "Transfer-Encoding: gzip\r\n\r\n"),
            400u);
  EXPECT_EQ(Rejection("nonsense\r\n\r\n"), 400u);
}

// Guards against callers that take memory without bound.
TEST(RequestReaderTest, LimitsHold) {
  EXPECT_EQ(Rejection("GET / HTTP/1.1\r\nHost: h\r\nX: " +
                      std::string(600, 'x') + "\r\n\r\n"),
            431u);
  EXPECT_EQ(Rejection("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n"
                      "\r\n"),
            413u);
}

ReadState FeedResponse(HttpResponseReader& reader, std::string& buffer) {
  return reader.Feed(buffer);
}

// Guards against a response that was cut and looks whole.
TEST(ResponseReaderTest, CutResponsesAreIncomplete) {
  HttpResponseReader reader(kLimits, false);
  std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
  EXPECT_EQ(FeedResponse(reader, buffer), ReadState::kIncomplete);
  EXPECT_EQ(reader.FeedEnd(), ReadState::kInvalid);
}

TEST(ResponseReaderTest, ResponseWithoutLengthEndsWithItsConnection) {
  HttpResponseReader reader(kLimits, false);
  std::string buffer = "HTTP/1.1 200 OK\r\n\r\nabc";
  EXPECT_EQ(FeedResponse(reader, buffer), ReadState::kIncomplete);
  EXPECT_EQ(reader.FeedEnd(), ReadState::kComplete);
  EXPECT_FALSE(reader.keep_alive());
  EXPECT_EQ(reader.Take().body, "abc");
}

TEST(ResponseReaderTest, InterimResponsesAreSkipped) {
  HttpResponseReader reader(kLimits, false);
  std::string buffer =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
      "\r\nokHTTP/1.1";
  EXPECT_EQ(FeedResponse(reader, buffer), ReadState::kComplete);
  EXPECT_EQ(reader.Take().body, "ok");
  EXPECT_EQ(buffer, "HTTP/1.1");
}

// Guards against a HEAD response that is waited for or read as a body.
TEST(ResponseReaderTest, HeadResponsesHaveNoBody) {
  HttpResponseReader reader(kLimits, true);
  std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
  EXPECT_EQ(FeedResponse(reader, buffer), ReadState::kComplete);
}

/// What a reader makes of a response that arrives in pieces of `step` bytes and
/// ends with its connection.
struct Reading {
  ReadState state = ReadState::kIncomplete;
  unsigned status = 0;
  std::string body;
  size_t consumed = 0;

  bool operator==(const Reading&) const = default;
};

Reading ReadResponse(const std::string& bytes, size_t step) {
  HttpResponseReader reader(kLimits, /*head=*/false);
  Reading reading;
  std::string buffer;
  for (size_t at = 0;
       at < bytes.size() && reading.state == ReadState::kIncomplete;
       at += step) {
    buffer += bytes.substr(at, step);
    reading.consumed = std::min(at + step, bytes.size());
    reading.state = reader.Feed(buffer);
    reading.consumed -= buffer.size();
  }
  if (reading.state == ReadState::kIncomplete) {
    reading.state = reader.FeedEnd();
  }
  if (reading.state != ReadState::kComplete) {
    return {reading.state, 0, "", 0};
  }
  HttpResponseMessage message = reader.Take();
  reading.status = message.status;
  reading.body = std::move(message.body);
  return reading;
}

// Guards against damaged or cut responses whose reading depends on how their
// bytes arrive, and against a cut one that looks complete.
RC_GTEST_PROP(ResponseReaderProperty, DamageReadsTheSameInAnyPieces, ()) {
  const std::string whole = *rc::gen::element<std::string>(
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\n"
      "Content-Length: 2\r\n\r\nno");
  const auto kept = *rc::gen::inRange<size_t>(1, whole.size());
  RC_ASSERT(ReadResponse(whole.substr(0, kept), 7).state !=
            ReadState::kComplete);
  std::string damaged = whole;
  damaged[*rc::gen::inRange<size_t>(0, whole.size())] =
      *rc::gen::arbitrary<char>();
  const Reading at_once = ReadResponse(damaged, damaged.size());
  RC_ASSERT(ReadResponse(damaged, *rc::gen::inRange<size_t>(1, 9)) == at_once);
}

TEST(MessageTest, FieldsOfOneConnectionAreKnown) {
  EXPECT_TRUE(IsHopByHop("transfer-encoding", ""));
  EXPECT_TRUE(IsHopByHop("X-Mine", "close, x-mine"));
  EXPECT_FALSE(IsHopByHop("X-Other", "close, x-mine"));
}

/// Bytes that a peer may make a reader hold: what it buffers of an unfinished
/// element, and one more piece.
constexpr size_t kPieceBytes = 100;
constexpr size_t kMostHeld = 512 + 2 * kPieceBytes;
constexpr size_t kEndless = 100'000;

/// Feeds `start` and then `piece` without end. Returns whether the reader gave
/// up before kEndless bytes, holding no more than kMostHeld at any time.
template <typename Reader>
bool GivesUp(Reader& reader, std::string start, std::string_view piece) {
  std::string buffer = std::move(start);
  std::string repeated;
  while (repeated.size() + piece.size() <= kPieceBytes) {
    repeated += piece;
  }
  for (size_t fed = 0; fed < kEndless; fed += repeated.size()) {
    if (reader.Feed(buffer) != ReadState::kIncomplete) {
      return true;
    }
    if (buffer.size() > kMostHeld) {
      return false;
    }
    buffer += repeated;
  }
  return false;
}

struct EndlessBytes {
  const char* what;
  const char* start;
  const char* piece;
};

// Guards against peers that send without end: bytes that never complete an
// element of a message are buffered, and must not fill the memory.
TEST(ResponseReaderTest, BytesWithoutEndAreGivenUp) {
  constexpr EndlessBytes kCases[] = {
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
  for (const EndlessBytes& bytes : kCases) {
    HttpResponseReader reader(kLimits, false);
    EXPECT_TRUE(GivesUp(reader, bytes.start, bytes.piece)) << bytes.what;
  }
}

// The same for callers.
TEST(RequestReaderTest, BytesWithoutEndAreGivenUp) {
  constexpr EndlessBytes kCases[] = {
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
  for (const EndlessBytes& bytes : kCases) {
    HttpRequestReader reader(kLimits);
    EXPECT_TRUE(GivesUp(reader, bytes.start, bytes.piece)) << bytes.what;
    EXPECT_NE(reader.error_status(), 0u) << bytes.what;
  }
}

}  // namespace
}  // namespace tanagervane
