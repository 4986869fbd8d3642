// Reading of files.

#ifndef TANAGERVANE_SUPPORT_FILE_H_
#define TANAGERVANE_SUPPORT_FILE_H_

#include <string>

#include "absl/status/statusor.h"

namespace tanagervane {

/// Reads a whole file; fails with ErrorCode::kNotFound.
absl::StatusOr<std::string> ReadFile(const std::string& path);

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_FILE_H_
