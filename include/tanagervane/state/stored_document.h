// The value of the platform objects document/<team> and history/<team>-<n>.

#ifndef TANAGERVANE_STATE_STORED_DOCUMENT_H_
#define TANAGERVANE_STATE_STORED_DOCUMENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "tanagervane/document/document.h"
#include "tanagervane/support/wall_millis.h"

namespace tanagervane {

/// One revision of a team's document as it is stored and sent between peers.
struct StoredDocument {
  uint64_t revision = 0;
  /// The text as the operator wrote it.
  std::string text;
  std::string author;
  WallMillis accepted_at;
  /// A random value made by the entry that wrote the revision.
  std::string write_id;

  bool operator==(const StoredDocument&) const = default;
};

/// Fails with kInvalidDocument unless `value` is the JSON object
/// {revision, document, author, accepted_at_ms, write_id}.
absl::StatusOr<StoredDocument> ParseStoredDocument(std::string_view value);
std::string FormatStoredDocument(const StoredDocument& stored);

/// Parses and validates the text of a document; ParseDocument() in production.
using DocumentParser =
    std::function<absl::StatusOr<Document>(std::string_view text)>;

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_STORED_DOCUMENT_H_
