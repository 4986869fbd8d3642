// Tests that a caller's key and its statement of a tenant reach no replica.

#include <array>
#include <string>
#include <string_view>

#include "fmt/format.h"
#include "gtest/gtest.h"
#include "platform/caller_codec.h"
#include "platform/config_codec.h"
#include "platform/replica_codec.h"
#include "rapidcheck/gtest.h"
#include "tanagervane/http/reader.h"

namespace tanagervane {
namespace {

constexpr std::string_view kKey = "secret-key";

/// Parses a request as it is received; fails the test if it is invalid.
HttpRequestMessage Parse(std::string text) {
  HttpRequestReader reader({});
  EXPECT_EQ(reader.Parse(text), ReadState::kComplete);
  return reader.TakeMessage();
}

std::string RequestText(std::string_view fields) {
  return fmt::format(
      "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: id1\r\n{}"
      "Content-Length: 4\r\n\r\nbody",
      fields);
}

std::string ChunkedText(std::string_view fields, std::string_view trailer) {
  return fmt::format(
      "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: id1\r\n{}"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n{}\r\n",
      fields, trailer);
}

/// Returns what a replica is sent for a request.
std::string ForwardedBytes(const HttpRequestMessage& message,
                           const std::string& tenant = "") {
  auto request = DecodeCallerRequest(message);
  EXPECT_TRUE(request.ok());
  request->tenant = tenant;
  OutgoingAttempt attempt;
  attempt.request = std::make_shared<const CallerRequest>(*std::move(request));
  attempt.replica = std::make_shared<ServingReplica>();
  attempt.replica->registration.id = "i-1";
  attempt.time_left = Millis(100);
  return EncodeAttempt(attempt).bytes;
}

bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

// Guards against a replica, or whoever reads its logs, that learns a caller's
// key.
TEST(CallerIdentityTest, TheKeyIsNeverForwarded) {
  const std::string key_field = fmt::format("Api-Key: {}\r\n", kKey);
  const std::array<std::string, 12> requests = {
      RequestText(key_field),
      RequestText(fmt::format("API-KEY: {}\r\n", kKey)),
      RequestText(fmt::format("api-key:{}\r\n", kKey)),
      RequestText(fmt::format("aPi-kEy:\t {} \r\n", kKey)),
      RequestText(key_field + key_field),
      RequestText(key_field + "X-A: 1\r\n" + key_field),
      RequestText(key_field + "Connection: Api-Key\r\n"),
      RequestText("Connection: close, api-key\r\n" + key_field),
      ChunkedText(key_field, ""),
      ChunkedText("", key_field),
      ChunkedText(key_field, key_field),
      ChunkedText("Trailer: Api-Key\r\n", key_field)};
  for (const std::string& request : requests) {
    EXPECT_FALSE(Contains(ForwardedBytes(Parse(request)), kKey)) << request;
  }
}

// The same for every spelling of the field's name and any fields around it.
RC_GTEST_PROP(CallerIdentityProperty, TheKeyIsNeverForwarded, ()) {
  std::string name = "api-key";
  for (char& c : name) {
    if (c != '-' && *rc::gen::arbitrary<bool>()) {
      c = static_cast<char>(c - 'a' + 'A');
    }
  }
  HttpRequestMessage message;
  message.method = "GET";
  message.target = "/a/";
  message.fields.Add("Host", "h");
  const auto count = *rc::gen::inRange(1, 5);
  for (int i = 0; i < count; ++i) {
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        message.fields.Add("Connection", name);
        break;
      case 1:
        message.fields.Add("Transfer-Encoding", "chunked");
        message.fields.Add("Trailer", name);
        break;
      case 2:
        message.fields.Add("X-Other", "1");
        break;
      default:
        message.fields.Add(name, kKey);
    }
  }
  const std::string bytes = ForwardedBytes(message, "t");
  RC_ASSERT(!Contains(bytes, kKey));
  RC_ASSERT(!Contains(LowerCase(bytes), "api-key"));
}

TEST(CallerIdentityTest, KeyFieldsAreFound) {
  const auto key_of = [](std::string_view fields) {
    return FindPresentedKey(Parse(RequestText(fields)).fields);
  };
  EXPECT_EQ(key_of("api-KEY: k1\r\n").field_count, 1U);
  EXPECT_EQ(key_of("api-KEY:  k1 \r\n").value, "k1");
  EXPECT_EQ(key_of("").field_count, 0U);
  EXPECT_EQ(key_of("Api-Key:\r\n").value, "");
}

// Guards against a tenant that is chosen by the first or last of several keys.
TEST(CallerIdentityTest, SeveralKeysAreNone) {
  const PresentedKey key = FindPresentedKey(
      Parse(RequestText("Api-Key: k1\r\nX-A: 1\r\napi-key: k2\r\n")).fields);
  EXPECT_NE(key.field_count, 1U);
  EXPECT_EQ(key.value, "");
}

// Guards against a caller that poses as a tenant, with or without a key.
TEST(CallerIdentityTest, TheCallersTenantIsDropped) {
  const std::array<std::string, 5> requests = {
      RequestText("Tenant: evil\r\n"),
      RequestText("tenant: evil\r\nTENANT: evil\r\n"),
      RequestText("Connection: tenant\r\nTenant: evil\r\n"),
      ChunkedText("", "Tenant: evil\r\n"),
      ChunkedText("Trailer: Tenant\r\n", "Tenant: evil\r\n")};
  for (const std::string& request : requests) {
    const HttpRequestMessage message = Parse(request);
    EXPECT_FALSE(Contains(LowerCase(ForwardedBytes(message)), "tenant"));
    const std::string bytes = ForwardedBytes(message, "good");
    EXPECT_FALSE(Contains(bytes, "evil"));
    EXPECT_TRUE(Contains(bytes, "\r\nTenant: good\r\n"));
  }
}

// Announced trailer fields were merged with those of the header.
TEST(CallerIdentityTest, AnnouncedTrailersAreDropped) {
  const HttpRequestMessage message = Parse(ChunkedText(
      "Trailer: X-Check\r\nX-End: 1\r\n", "X-Check: 1\r\nApi-Key: k1\r\n"));
  const std::string bytes = ForwardedBytes(message);
  EXPECT_FALSE(Contains(bytes, "X-Check"));
  EXPECT_TRUE(Contains(bytes, "\r\nX-End: 1\r\n"));
  EXPECT_TRUE(Contains(bytes, "\r\n\r\nbody"));
  EXPECT_EQ(
      FindPresentedKey(
          Parse(ChunkedText("Trailer: Api-Key\r\n", "Api-Key: k1\r\n")).fields)
          .field_count,
      0U);
}

TEST(CallerIdentityTest, AnUnauthenticatedRequestGets401) {
  FinalAnswer answer;
  answer.kind = AnswerKind::kUnauthenticated;
  answer.reason = AnswerReason::kUnknownKey;
  const HttpResponseMessage response = EncodeAnswer(answer, "id1");
  EXPECT_EQ(response.status, 401U);
  EXPECT_EQ(response.fields.Find("Retry-After"), nullptr);
}

// A line break in a tenant's name would add fields to every request of it.
TEST(CallerIdentityTest, TenantNamesAreFieldValues) {
  const auto decode = [](std::string_view name) {
    nlohmann::json content = {
        {"version", 1},
        {"routes", nlohmann::json::array()},
        {"services", nlohmann::json::array()},
        {"tenants", {{{"name", name}, {"apiKeys", {"k1"}}}}}};
    return DecodeConfig({"main", 1, content}).ok();
  };
  EXPECT_TRUE(decode("billing team"));
  for (const char* name : {"", " a", "a ", "a\r\nX-Evil: 1", "a\n", "\x7f"}) {
    EXPECT_FALSE(decode(name)) << name;
  }
}

}  // namespace
}  // namespace tanagervane
