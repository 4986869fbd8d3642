#include "platform/store_era.h"

#include <gtest/gtest.h>

#include <string_view>

namespace tanagervane {
namespace {

HttpFields Fields(std::string_view era) {
  HttpFields fields;
  fields.Add("Store-Era", era);
  return fields;
}

using Verdict = StoreEra::Verdict;

// Guards against a late response of an earlier era that is applied.
TEST(StoreEraTest, EraOnlyIncreases) {
  StoreEra era;
  EXPECT_EQ(era.Check(Fields("4")), Verdict::kFirst);
  EXPECT_EQ(era.Check(Fields("4")), Verdict::kSame);
  EXPECT_EQ(era.Check(Fields("5")), Verdict::kChanged);
  EXPECT_EQ(era.Check(Fields("4")), Verdict::kRejected);
  EXPECT_EQ(era.Check({}), Verdict::kRejected) << "no field stands for era 0";
  EXPECT_EQ(era.current(), 5u);
}

// Guards against a store without eras that counts as one with a change.
TEST(StoreEraTest, MissingFieldIsEraZero) {
  StoreEra era;
  EXPECT_EQ(era.current(), 0u);
  EXPECT_EQ(era.Check({}), Verdict::kFirst);
  EXPECT_EQ(era.Check(Fields("0")), Verdict::kSame);
  EXPECT_EQ(era.Check(Fields("1")), Verdict::kChanged);
}

TEST(StoreEraTest, MalformedFieldsAreRejected) {
  StoreEra era;
  for (const std::string_view text :
       {"", "x", "-1", "1.5", " 1", "1,2", "99999999999999999999999"}) {
    EXPECT_EQ(era.Check(Fields(text)), Verdict::kRejected) << text;
  }
  EXPECT_EQ(era.Check(Fields("1")), Verdict::kFirst);
}

}  // namespace
}  // namespace tanagervane
