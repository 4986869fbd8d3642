// Checks of a document's text that precede the JSON parser.

#ifndef TANAGERVANE_LIB_DOCUMENT_SYNTAX_H_
#define TANAGERVANE_LIB_DOCUMENT_SYNTAX_H_

#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace tanagervane {

/// Fails with kInvalidDocument for text that is not JSON with comments, is
/// nested too deeply, or repeats a key in an object. For a repeated key, the
/// JSON parser would silently keep the last value.
absl::Status CheckSyntax(std::string_view text);

/// Truncates a key from the document for use in an error path.
std::string TruncateKey(std::string_view key);

}  // namespace tanagervane

#endif  // TANAGERVANE_LIB_DOCUMENT_SYNTAX_H_
