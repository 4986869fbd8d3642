// Tests of typed errors and reply checksums.

#include "tanagervane/support/error.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tanagervane/support/hash.h"

namespace tanagervane {
namespace {

// Guards against losing the code or the path of an error in the conversion to
// absl::Status.
TEST(ErrorTest, StatusCarriesCodeAndPath) {
  const absl::Status status =
      MakeError(ErrorCode::kInvalidDocument, "must be positive", "entries");
  EXPECT_EQ(GetErrorCode(status), ErrorCode::kInvalidDocument);
  EXPECT_EQ(GetErrorPath(status), "entries");
}

TEST(ErrorTest, ForeignStatusHasNoCode) {
  EXPECT_EQ(GetErrorCode(absl::InternalError("x")), std::nullopt);
  EXPECT_EQ(GetErrorPath(absl::InternalError("x")), "");
}

// A truncated reply, or one whose bytes are split into rows differently, must
// have another checksum.
TEST(HashTest, ChecksumDependsOnRowBoundaries) {
  using Rows = std::vector<std::string>;
  EXPECT_NE(RowsChecksum(Rows{"ab", "c"}), RowsChecksum(Rows{"a", "bc"}));
  EXPECT_NE(RowsChecksum(Rows{"ab"}), RowsChecksum(Rows{"ab", ""}));
}

}  // namespace
}  // namespace tanagervane
