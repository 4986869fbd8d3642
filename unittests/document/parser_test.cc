// Tests of the strict parser, the formatter and the diff.

#include "tanagervane/document/parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

#include "nlohmann/json.hpp"
#include "tanagervane/document/diff.h"
#include "tanagervane/support/error.h"

namespace tanagervane {
namespace {

std::string ReadExample(std::string_view name) {
  std::ifstream file(std::string(TANAGERVANE_SOURCE_DIR "/examples/") +
                     std::string(name));
  return {std::istreambuf_iterator<char>(file), {}};
}

// Returns the example with the value at JSON pointer `pointer` replaced, or
// removed when `value` is empty.
std::string EditedExample(const std::string& pointer, std::string_view value) {
  auto json = nlohmann::json::parse(ReadExample("sicilia-sud.json"), nullptr,
                                    true, true);
  const nlohmann::json::json_pointer location(pointer);
  if (value.empty()) {
    json.at(location.parent_pointer()).erase(location.back());
  } else {
    json[location] = nlohmann::json::parse(value);
  }
  return json.dump();
}

void ExpectError(std::string_view text,
                 std::string_view path,
                 std::string_view reason) {
  const auto document = ParseDocument(text);
  ASSERT_FALSE(document.ok()) << path;
  EXPECT_EQ(GetErrorCode(document.status()), ErrorCode::kInvalidDocument);
  EXPECT_EQ(GetErrorPath(document.status()), path);
  EXPECT_NE(document.status().ToString().find(std::string(reason)),
            std::string::npos)
      << document.status().ToString();
}

// The example documents must parse to the expected values, and formatting a
// document and parsing the result must give an equal document.
TEST(ParserTest, ExamplesParseAndRoundTrip) {
  for (const char* name : {"sicilia-sud.json", "pomorze.json"}) {
    const auto document = ParseDocument(ReadExample(name));
    ASSERT_TRUE(document.ok()) << document.status();
    EXPECT_EQ(document->classes.size(), 5U);
    const auto reparsed = ParseDocument(FormatDocument(*document));
    ASSERT_TRUE(reparsed.ok()) << reparsed.status();
    EXPECT_EQ(*reparsed, *document);
  }
  const auto document = ParseDocument(ReadExample("sicilia-sud.json"));
  EXPECT_EQ(document->FindIndex("magazzino-fiori")->shards, 15U);
  EXPECT_EQ(document->FindClass("batch-match")->matches, 5U);
  EXPECT_FALSE(document->FindClass("place-order")->idempotent);
  EXPECT_TRUE(document->FindClass("standing-order")->idempotent);
  EXPECT_EQ(document->FindTenant("buyers")->share, 1U);
  EXPECT_EQ(document->FindClass("none"), nullptr);
}

struct InvalidValueCase {
  const char* pointer;
  const char* value;
  const char* path;
  const char* reason;
};

// Each kind of invalid value must be rejected with the path of that value and
// the reason.
TEST(ParserTest, ErrorsContainPathAndReason) {
  const InvalidValueCase cases[] = {
      {"/extra", "1", "extra", "unknown key"},
      {"/classes/2/timeout", "1", "classes[2].timeout", "unknown key"},
      {"/team", "", "team", "missing key"},
      {"/indexes/1/slots", "", "indexes[1].slots", "missing key"},
      {"/classes", "{}", "classes", "must be a list"},
      {"/tenants", "[]", "tenants", "must not be empty"},
      {"/classes/0", "7", "classes[0]", "must be an object"},
      {"/entries", "4.0", "entries", "must be an integer"},
      {"/entries", "0", "entries", "must be from 1"},
      {"/entries", "-1", "entries", "must be from 1"},
      {"/entries", "99999999999", "entries", "must be from 1"},
      {"/team", "\"a/b\"", "team", "must be 1 to 64"},
      {"/classes/2/deadline_ms", "\"1\"", "classes[2].deadline_ms", "number"},
      {"/classes/2/deadline_ms", "1e9", "classes[2].deadline_ms", "from 1"},
      {"/classes/2/min_coverage", "1.5", "classes[2].min_coverage", "from 0"},
      {"/classes/2/idempotent", "1", "classes[2].idempotent", "true or false"},
      {"/classes/1/shape", "\"all\"", "classes[1].shape", "every_shard"},
      {"/classes/1/name", "\"seal-ready\"", "classes[1].name", "duplicate"},
      {"/indexes/1/name", "\"contabilita\"", "indexes[3].name", "duplicate"},
      {"/classes/1/index", "\"nowhere\"", "classes[1].index", "unknown index"},
      {"/classes/0/shape", "\"one_server\"", "classes[0].shape", "one shard"},
      {"/classes/0/matches", "3", "classes[0].matches", "first_matches"},
      {"/classes/1/matches", "", "classes[1].matches", "missing key"},
      {"/classes/0/idempotent", "false", "classes[0].idempotent", "one_server"},
      {"/classes/0/deadline_ms", "6", "classes[0].deadline_ms", "connect_ms"},
      {"/indexes/0/connections", "7", "indexes[0].connections", "twice"},
  };
  for (const InvalidValueCase& test_case : cases) {
    SCOPED_TRACE(std::string(test_case.pointer) + " " + test_case.value);
    ExpectError(EditedExample(test_case.pointer, test_case.value),
                test_case.path, test_case.reason);
  }
}

// Duplicate keys, which the JSON library accepts silently, syntax errors and
// oversized input must give an error of type kInvalidDocument, not an
// exception.
TEST(ParserTest, TextErrorsAreTyped) {
  ExpectError(R"({"team":"a","team":"b"})", "team", "duplicate key");
  ExpectError(R"({"classes":[{},{"name":"a","name":"a"}]})", "classes[1].name",
              "duplicate key");
  ExpectError("", "$", "not valid JSON");
  ExpectError(R"({"team":)", "team", "not valid JSON");
  ExpectError(R"({"entries":1e999})", "entries", "not valid JSON");
  ExpectError("[]", "$", "must be an object");
  ExpectError("\xff\xfe", "$", "not valid JSON");
  EXPECT_FALSE(ParseDocument(std::string(400000, '[')).ok());
  ExpectError(ReadExample("pomorze.json") + std::string(512 * 1024, ' '), "$",
              "exceeds 524288 bytes");
}

// Randomly edited text must either parse or fail with kInvalidDocument and a
// path, without a crash or an exception.
RC_GTEST_PROP(ParserProperty, EditedTextParsesOrFailsWithPath, ()) {
  std::string text = ReadExample("sicilia-sud.json");
  const auto edit_count = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edit_count; ++i) {
    const auto offset = *rc::gen::inRange<size_t>(0, text.size());
    const auto length = *rc::gen::inRange<size_t>(0, 12);
    const auto inserted = *rc::gen::oneOf(
        rc::gen::container<std::string>(rc::gen::arbitrary<char>()),
        rc::gen::element<std::string>("0", "-1", "1e99", "null", "[", "}", "\"",
                                      ",", "//", "/*", "{\"a\":1}"));
    text.replace(offset, length, inserted);
  }
  const auto document = ParseDocument(text);
  if (document.ok()) {
    const auto reparsed = ParseDocument(FormatDocument(*document));
    RC_ASSERT(reparsed.ok());
    RC_ASSERT(*reparsed == *document);
    return;
  }
  RC_ASSERT(GetErrorCode(document.status()) == ErrorCode::kInvalidDocument);
  RC_ASSERT(!GetErrorPath(document.status()).empty());
}

// The same for a randomly replaced value in well-formed JSON, which passes the
// syntax check.
RC_GTEST_PROP(ParserProperty, ReplacedValueParsesOrFailsWithPath, ()) {
  auto json =
      nlohmann::json::parse(ReadExample("pomorze.json"), nullptr, true, true);
  const auto leaves = json.flatten();
  const auto leaf =
      std::next(leaves.begin(), *rc::gen::inRange<int>(0, leaves.size()));
  json[nlohmann::json::json_pointer(leaf.key())] =
      nlohmann::json::parse(*rc::gen::element<std::string>(
          "null", "0", "-5", "4.5", "1e300", "18446744073709551615", "\"\"",
          "\"urgent\"", "\"tally-desk\"", "true", "[]", "{}", "[1]"));
  const auto document = ParseDocument(json.dump());
  if (!document.ok()) {
    RC_ASSERT(GetErrorCode(document.status()) == ErrorCode::kInvalidDocument);
    RC_ASSERT(!GetErrorPath(document.status()).empty());
  }
}

// The diff shown to an operator before applying a document must list every
// changed, added and removed value, and ignore the order of list elements.
TEST(DiffTest, ListsChangedAddedAndRemovedElements) {
  const auto before = ParseDocument(ReadExample("sicilia-sud.json"));
  Document after = *before;
  std::swap(after.classes[0], after.classes[1]);
  EXPECT_TRUE(DiffDocuments(*before, after).empty());
  after.entries = 3;
  after.classes[1].timeout = Millis(180);
  after.tenants.erase(after.tenants.begin());
  after.tenants.push_back({"audit", 1});
  const std::vector<DocumentChange> expected = {
      {"entries", "4", "3"},
      {"classes[seal-ready].deadline_ms", "150.0", "180.0"},
      {"tenants[packing-lines]", R"({"name":"packing-lines","share":4})", ""},
      {"tenants[audit]", "", R"({"name":"audit","share":1})"}};
  EXPECT_EQ(DiffDocuments(*before, after), expected);
}

}  // namespace
}  // namespace tanagervane
