// Tests of the bounded parsing and the splitting of JSON text.

#include "tanagervane/support/json_text.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace tanagervane {
namespace {

using nlohmann::json;

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Guards against a stack overflow in copies of a deeply nested value.
TEST(JsonTextTest, DeepValuesAreRejected) {
  EXPECT_TRUE(ParseJson(Nested(kMaxJsonDepth)).ok());
  EXPECT_FALSE(ParseJson(Nested(kMaxJsonDepth + 1)).ok());
  EXPECT_FALSE(ParseJson(Nested(1'000'000)).ok());
  std::string objects;
  for (int i = 0; i < 100'000; ++i) {
    objects += R"({"a":)";
  }
  EXPECT_FALSE(ParseJson(objects + "1" + std::string(100'000, '}')).ok());
}

// Guards against brackets that are counted where they are text.
TEST(JsonTextTest, BracketsInStringsAndCommentsAreNotNesting) {
  const std::string brackets(kMaxJsonDepth + 1, '[');
  EXPECT_TRUE(ParseJson("\"" + brackets + "\\\"" + brackets + "\"").ok());
  for (const std::string& text :
       {"1 // " + brackets + "\n", "1 /*/" + brackets + "*/",
        std::string("// \"\n[1]"), std::string("/* \" */ [1]")}) {
    EXPECT_TRUE(ParseJson(text, JsonComments::kIgnored).ok()) << text;
    EXPECT_FALSE(ParseJson(text).ok()) << text;
  }
  EXPECT_FALSE(
      ParseJson("// \r" + Nested(100'000), JsonComments::kIgnored).ok());
}

TEST(JsonTextTest, InvalidTextIsRejected) {
  for (const char* text : {"", "[", "]", "{\"a\":}", "1e999", "\"\xff\"",
                           R"("\ud800")", "\"\\", "[1,]"}) {
    EXPECT_FALSE(ParseJson(text).ok()) << text;
  }
}

// Guards against one invalid value that affects the values beside it.
TEST(JsonTextTest, MembersAreSplitWithoutParsingTheirValues) {
  const auto members = SplitJsonObject(
      R"( { "a" : 1e999 , "b":"\"}" , "c":[{"d":[1,2]}], "e" : "x" } )");
  ASSERT_TRUE(members.ok());
  ASSERT_EQ(members->size(), 4u);
  EXPECT_FALSE(ParseJson(*FindJsonMember(*members, "a")).ok());
  EXPECT_EQ(*FindJsonMember(*members, "b"), R"("\"}")");
  EXPECT_EQ(*FindJsonMember(*members, "c"), R"([{"d":[1,2]}])");
  EXPECT_EQ(*ParseJson(*FindJsonMember(*members, "e")), "x");
  EXPECT_FALSE(FindJsonMember(*members, "f"));
}

TEST(JsonTextTest, UnbalancedTextIsNotSplit) {
  for (const char* text :
       {"", "{", "[1]", "{]", R"({"a"})", R"({"a":})", R"({"a":[})",
        R"({"a":1)", R"({"a":"})", R"({"a":1,})"}) {
    EXPECT_FALSE(SplitJsonObject(text).ok()) << text;
  }
  for (const char* text : {"", "[", "[,]", "[1,]", "[\"]", "{}", "[1", "[[]"}) {
    EXPECT_FALSE(SplitJsonArray(text).ok()) << text;
  }
}

// Guards against parts that are cut at the wrong place.
RC_GTEST_PROP(JsonTextProperty, PartsParseToTheValuesOfTheWhole, ()) {
  const auto texts = *rc::gen::arbitrary<std::vector<std::string>>();
  json list = json::array();
  json object = json::object();
  for (const std::string& text : texts) {
    const std::string safe =
        json(text).dump(-1, ' ', true, json::error_handler_t::replace);
    list.push_back(json::array({json::parse(safe), texts.size(), nullptr}));
    object[std::to_string(list.size())] = {{"x", json::parse(safe)}};
  }
  const auto indent = *rc::gen::inRange(-1, 3);
  const std::string list_text = list.dump(indent);
  const auto elements = SplitJsonArray(list_text);
  RC_ASSERT(elements.ok());
  RC_ASSERT(elements->size() == list.size());
  for (size_t i = 0; i < list.size(); ++i) {
    RC_ASSERT(*ParseJson((*elements)[i]) == list[i]);
  }
  const std::string object_text = object.dump(indent);
  const auto members = SplitJsonObject(object_text);
  RC_ASSERT(members.ok());
  RC_ASSERT(members->size() == object.size());
  for (const JsonMember& member : *members) {
    RC_ASSERT(*ParseJson(member.value) == object[std::string(member.key)]);
  }
}

// Guards against reads beyond the end of text that is no JSON.
RC_GTEST_PROP(JsonTextProperty, AnyBytesAreParsedOrRejected, ()) {
  const auto text = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("{}[]\",:\\/*x1 \n\xff")));
  const auto members = SplitJsonObject(text);
  const auto elements = SplitJsonArray(text);
  RC_ASSERT(!members.ok() || !elements.ok());
  const auto parsed = ParseJson(text, JsonComments::kIgnored);
  RC_ASSERT(parsed.ok() == json::accept(text, true));
}

}  // namespace
}  // namespace tanagervane
