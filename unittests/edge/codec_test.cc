// Tests of parsing and formatting of settings, callers' requests and answers.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "nlohmann/json.hpp"
#include "tanagervane/edge/caller_codec.h"
#include "tanagervane/edge/settings.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/json_object.h"

namespace tanagervane {
namespace {

using nlohmann::json;

const char kValidSettings[] = R"({
  "id": "e1", "team": "t", "data_centre": "a",
  "caller_address": "127.0.0.1:1", "operator_address": "127.0.0.1:2",
  "peer_address": "127.0.0.1:3", "platform_address": "127.0.0.1:4",
  "seeds": ["127.0.0.1:5"], "operator_key_file": "/k",
  "experiment": {"replica_policy": "random", "hedging": false}})";
const char kValidOrder[] = R"({"request_id": "r", "class": "c", "tenant": "t",
  "payload": "p", "deadline_ms": 20, "idempotency_key": "k",
  "issued_at_ms": 1700000000000})";

absl::Status ParseSettingsStatus(const std::string& text) {
  return ParseSettings(text).status();
}
absl::Status ParseOrderStatus(const std::string& text) {
  return ParseCallerRequest(text, /*is_order=*/true).status();
}

/// Returns `text` with a few bytes replaced, removed or repeated.
std::string Mutate(std::string text) {
  const int edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits && !text.empty(); ++i) {
    const size_t position = *rc::gen::inRange<size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[position] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text[position] =
            *rc::gen::elementOf(std::string("{}[]\",:0-.e\\\0/*", 16));
        break;
      case 2:
        text.erase(position, *rc::gen::inRange(1, 12));
        break;
      default:
        text.insert(position,
                    text.substr(*rc::gen::inRange<size_t>(0, text.size()),
                                *rc::gen::inRange(1, 40)));
    }
  }
  return text;
}

/// Checks that `status` is OK or kInvalidRequest, and that the error names the
/// path of the invalid member if `text` is a JSON object.
void CheckTypedError(const absl::Status& status, const std::string& text) {
  if (status.ok()) {
    return;
  }
  RC_ASSERT(GetErrorCode(status) == ErrorCode::kInvalidRequest);
  RC_ASSERT(!status.message().empty());
  if (json::parse(text, nullptr, false, true).is_object() &&
      json::parse(text, nullptr, false, false).is_object() &&
      !json::parse(text).contains("")) {
    RC_ASSERT(!GetErrorPath(status).empty());
  }
  // The error must be valid JSON even if the input had bytes that are not
  // UTF-8.
  const HttpResponse response = FormatError(status, Outcome::kNotRun);
  RC_ASSERT(response.status == 400u);
  const json body = json::parse(response.body);
  RC_ASSERT(body["error"] == "invalid_request");
  RC_ASSERT(body["outcome"] == "not_run");
}

// Guards against a crash, an exception or an untyped error on malformed input.
RC_GTEST_PROP(CodecTest, MalformedInputGivesTypedError, ()) {
  const std::string settings = Mutate(kValidSettings);
  CheckTypedError(ParseSettingsStatus(settings), settings);
  const std::string order = Mutate(kValidOrder);
  CheckTypedError(ParseOrderStatus(order), order);
  CheckTypedError(ParseCallerRequest(order, /*is_order=*/false).status(),
                  order);
  CheckTypedError(ParseCancelRequest(order).status(), order);
}

using Parser = absl::Status (*)(const std::string&);

/// Replaces each member by a value of every wrong type, and removes it, and
/// checks the error.
void CheckInvalidMembers(const char* text, Parser parse) {
  const json valid = json::parse(text);
  ASSERT_TRUE(parse(valid.dump()).ok());
  for (const auto& [key, value] : valid.items()) {
    for (const json& wrong_value :
         {json(nullptr), json(true), json(1.5), json(-1), json("text"),
          json::array({1}), json::object({{"x", 1}})}) {
      if (wrong_value.type() == value.type()) {
        continue;
      }
      json malformed = valid;
      malformed[key] = wrong_value;
      const absl::Status status = parse(malformed.dump());
      EXPECT_EQ(GetErrorCode(status), ErrorCode::kInvalidRequest)
          << malformed.dump();
      EXPECT_EQ(GetErrorPath(status).substr(0, key.size()), key)
          << malformed.dump();
    }
    json incomplete = valid;
    incomplete.erase(key);
    const absl::Status status = parse(incomplete.dump());
    EXPECT_TRUE(status.ok() || GetErrorPath(status) == key)
        << incomplete.dump();
  }
  json with_unknown_member = valid;
  with_unknown_member["surplus"] = 1;
  EXPECT_EQ(GetErrorPath(parse(with_unknown_member.dump())), "surplus");
}

// Guards against replacing a member of the wrong type by its default, and
// against an error that names a different member.
TEST(CodecTest, ErrorNamesInvalidMember) {
  CheckInvalidMembers(kValidSettings, ParseSettingsStatus);
  CheckInvalidMembers(kValidOrder, ParseOrderStatus);
  EXPECT_EQ(
      GetErrorPath(ParseSettingsStatus(json::parse(kValidSettings)
                                           .patch(json::parse(R"([{"op": "add",
                      "path": "/experiment/hedging", "value": 3}])"))
                                           .dump())),
      "experiment.hedging");
}

// Guards against unchecked bounds and integer overflow.
TEST(CodecTest, NumbersAndLengthsAreBounded) {
  for (const char* number : {"0", "-1", "86400001", "9223372036854775808",
                             "18446744073709551615", "1e3", "1e400"}) {
    json order = json::parse(kValidOrder);
    order["deadline_ms"] = "@";
    std::string text = order.dump();
    text.replace(text.find("\"@\""), 3, number);
    EXPECT_FALSE(ParseOrderStatus(text).ok()) << number;
  }
  json order = json::parse(kValidOrder);
  order["request_id"] = std::string(129, 'x');
  EXPECT_EQ(GetErrorPath(ParseOrderStatus(order.dump())), "request_id");
}

// Guards against a stack overflow on a deeply nested body.
TEST(CodecTest, DeepNestingIsRefused) {
  const std::string open_brackets(500000, '[');
  EXPECT_FALSE(ParseOrderStatus(open_brackets).ok());
  const std::string close_brackets(500000, ']');
  EXPECT_FALSE(
      ParseOrderStatus("{\"payload\":" + open_brackets + close_brackets + "}")
          .ok());
}

// Guards against an answer that omits a shard, and against invalid JSON when a
// row contains bytes that are not UTF-8.
RC_GTEST_PROP(CodecTest, AnswerListsEveryShard, ()) {
  Answer answer;
  answer.request_id = *rc::gen::arbitrary<std::string>();
  answer.index_version = *rc::gen::arbitrary<uint64_t>();
  answer.shard_count = *rc::gen::inRange(1, 20);
  for (uint32_t shard = 0; shard < answer.shard_count; ++shard) {
    if (*rc::gen::arbitrary<bool>()) {
      answer.results.push_back(
          {shard, *rc::gen::arbitrary<std::vector<std::string>>()});
    } else {
      answer.missing.push_back({shard, MissingReason::kTimedOut});
    }
  }
  const json body = json::parse(FormatAnswer(answer).body);
  RC_ASSERT(body["index_version"] == answer.index_version);
  RC_ASSERT(body["covered"].size() + body["missing"].size() ==
            answer.shard_count);
  RC_ASSERT(body["complete"] == answer.missing.empty());
  for (size_t i = 0; i < answer.results.size(); ++i) {
    RC_ASSERT(body["covered"][i] == answer.results[i].shard);
    RC_ASSERT(body["results"][i]["rows"].size() ==
              answer.results[i].rows.size());
  }
}

// Guards against a refusal without its error code or its outcome.
RC_GTEST_PROP(CodecTest, RefusalStatesErrorAndOutcome, ()) {
  Answer answer;
  answer.refusal =
      Refusal{.error = static_cast<ErrorCode>(*rc::gen::inRange(
                  0, static_cast<int>(ErrorCode::kInternal) + 1)),
              .detail = *rc::gen::arbitrary<std::string>(),
              .outcome = static_cast<Outcome>(*rc::gen::inRange(0, 3)),
              .retry_after = Millis(*rc::gen::inRange(0, 50))};
  const HttpResponse response = FormatAnswer(answer);
  const json body = json::parse(response.body);
  RC_ASSERT(response.status >= 400u);
  RC_ASSERT(body["error"] == std::string(ToString(answer.refusal->error)));
  RC_ASSERT(body["outcome"] == std::string(ToString(answer.refusal->outcome)));
  RC_ASSERT(body.contains("retry_after_ms") ==
            (answer.refusal->retry_after > Millis()));
}

}  // namespace
}  // namespace tanagervane
