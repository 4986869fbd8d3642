#ifndef TANAGERVANE_SUPPORT_FILE_H_
#define TANAGERVANE_SUPPORT_FILE_H_

#include <string>

#include "absl/status/statusor.h"

namespace tanagervane {

/// Reads a whole file. Fails with ErrorCode::kNotFound and `path` when the file
/// cannot be opened.
absl::StatusOr<std::string> ReadFile(const std::string& path);

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_FILE_H_
