#include "tanagervane/support/file.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "tanagervane/support/error.h"

namespace tanagervane {

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  if (!file) {
    return MakeError(ErrorCode::kNotFound, "file cannot be read", path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

}  // namespace tanagervane
