// Strict parsing and formatting of a team's document.

#ifndef TANAGERVANE_DOCUMENT_PARSER_H_
#define TANAGERVANE_DOCUMENT_PARSER_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "tanagervane/document/document.h"

namespace tanagervane {

/// Parses JSON with comments. Fails with ErrorCode::kInvalidDocument and the
/// path of the first invalid value: an unknown key, a wrong type, a value out
/// of range, or values that contradict each other.
absl::StatusOr<Document> ParseDocument(std::string_view text);

/// Formats the document as JSON. Members with default values are written too.
std::string FormatDocument(const Document& document);

}  // namespace tanagervane

#endif  // TANAGERVANE_DOCUMENT_PARSER_H_
