// Tests of the JSON forms: settings, callers' requests and answers.

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

const char kSettings[] = R"({
  "id": "e1", "team": "t", "data_centre": "a",
  "caller_address": "127.0.0.1:1", "operator_address": "127.0.0.1:2",
  "peer_address": "127.0.0.1:3", "platform_address": "127.0.0.1:4",
  "seeds": ["127.0.0.1:5"], "operator_key_file": "/k",
  "experiment": {"replica_policy": "random", "hedging": false}})";
const char kOrder[] = R"({"request_id": "r", "class": "c", "tenant": "t",
  "payload": "p", "deadline_ms": 20, "idempotency_key": "k",
  "issued_at_ms": 1700000000000})";

absl::Status ParseSettingsStatus(const std::string& text) {
  return ParseSettings(text).status();
}
absl::Status ParseOrderStatus(const std::string& text) {
  return ParseCallerRequest(text, /*is_order=*/true).status();
}

/// `text` with a few bytes replaced, removed or repeated.
std::string Mutate(std::string text) {
  const int edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits && !text.empty(); ++i) {
    const size_t at = *rc::gen::inRange<size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text[at] = *rc::gen::elementOf(std::string("{}[]\",:0-.e\\\0/*", 16));
        break;
      case 2:
        text.erase(at, *rc::gen::inRange(1, 12));
        break;
      default:
        text.insert(at, text.substr(*rc::gen::inRange<size_t>(0, text.size()),
                                    *rc::gen::inRange(1, 40)));
    }
  }
  return text;
}

/// Success, or an error of the right type that names the path unless the text
/// is no JSON object at all.
void CheckTyped(const absl::Status& status, const std::string& text) {
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
  // The error must be sendable whatever bytes the input held.
  const HttpResponse response = FormatError(status, Outcome::kNotRun);
  RC_ASSERT(response.status == 400u);
  const json body = json::parse(response.body);
  RC_ASSERT(body["error"] == "invalid_request");
  RC_ASSERT(body["outcome"] == "not_run");
}

// Guards against a crash, an exception or an untyped error on damaged input.
RC_GTEST_PROP(CodecTest, DamagedTextGivesATypedError, ()) {
  const std::string settings = Mutate(kSettings);
  CheckTyped(ParseSettingsStatus(settings), settings);
  const std::string order = Mutate(kOrder);
  CheckTyped(ParseOrderStatus(order), order);
  CheckTyped(ParseCallerRequest(order, /*is_order=*/false).status(), order);
  CheckTyped(ParseCancelRequest(order).status(), order);
}

using Parser = absl::Status (*)(const std::string&);

/// Every member with a value of each wrong type, and without it.
void CheckMembers(const char* text, Parser parse) {
  const json valid = json::parse(text);
  ASSERT_TRUE(parse(valid.dump()).ok());
  for (const auto& [key, value] : valid.items()) {
    for (const json& wrong :
         {json(nullptr), json(true), json(1.5), json(-1), json("text"),
          json::array({1}), json::object({{"x", 1}})}) {
      if (wrong.type() == value.type()) {
        continue;
      }
      json damaged = valid;
      damaged[key] = wrong;
      const absl::Status status = parse(damaged.dump());
      EXPECT_EQ(GetErrorCode(status), ErrorCode::kInvalidRequest)
          << damaged.dump();
      EXPECT_EQ(GetErrorPath(status).substr(0, key.size()), key)
          << damaged.dump();
    }
    json without = valid;
    without.erase(key);
    const absl::Status status = parse(without.dump());
    EXPECT_TRUE(status.ok() || GetErrorPath(status) == key) << without.dump();
  }
  json extra = valid;
  extra["surplus"] = 1;
  EXPECT_EQ(GetErrorPath(parse(extra.dump())), "surplus");
}

// Guards against a member of the wrong type that is taken for its default, and
// against an error that names another member.
TEST(CodecTest, WrongMemberIsNamed) {
  CheckMembers(kSettings, ParseSettingsStatus);
  CheckMembers(kOrder, ParseOrderStatus);
  EXPECT_EQ(
      GetErrorPath(ParseSettingsStatus(json::parse(kSettings)
                                           .patch(json::parse(R"([{"op": "add",
                      "path": "/experiment/hedging", "value": 3}])"))
                                           .dump())),
      "experiment.hedging");
}

// Guards against limits that are not enforced and numbers that wrap around.
TEST(CodecTest, NumbersAndLengthsHaveLimits) {
  for (const char* number : {"0", "-1", "86400001", "9223372036854775808",
                             "18446744073709551615", "1e3", "1e400"}) {
    json order = json::parse(kOrder);
    order["deadline_ms"] = "@";
    std::string text = order.dump();
    text.replace(text.find("\"@\""), 3, number);
    EXPECT_FALSE(ParseOrderStatus(text).ok()) << number;
  }
  json order = json::parse(kOrder);
  order["request_id"] = std::string(129, 'x');
  EXPECT_EQ(GetErrorPath(ParseOrderStatus(order.dump())), "request_id");
}

// Guards against a stack overflow on a deeply nested body.
TEST(CodecTest, DeepNestingIsRefused) {
  const std::string open(500000, '[');
  EXPECT_FALSE(ParseOrderStatus(open).ok());
  const std::string close(500000, ']');
  EXPECT_FALSE(ParseOrderStatus("{\"payload\":" + open + close + "}").ok());
}

// Guards against an answer that loses a shard, or is no valid JSON because a
// row holds bytes that are not UTF-8.
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

// Guards against a refusal that hides its outcome or its type.
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
