// `tanagervane-ctl apply`, and readers of operator replies shared with the
// other commands.

#ifndef TANAGERVANE_TOOLS_CTL_APPLY_H_
#define TANAGERVANE_TOOLS_CTL_APPLY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "operator_client.h"

namespace tanagervane {

/// The document in force, as returned by GET /v1/document.
struct DocumentInForce {
  /// Zero when no document has been accepted yet.
  uint64_t revision = 0;
  nlohmann::json document;
  std::string author;
  uint64_t accepted_at_ms = 0;
};

struct ApplyOptions {
  std::string text;
  /// Key that authorizes the write.
  std::string key;
  std::string author;
  /// Revision that the change is based on; the one in force when absent.
  std::optional<uint64_t> base;
  /// Whether to wait until the accepted revision is in force on every live
  /// entry.
  bool wait = false;
  Millis wait_timeout;
};

/// Parses JSON with comments. The result is `discarded` when `text` is invalid.
nlohmann::json ParseJsonWithComments(const std::string& text);

/// Returns the member `document` of a reply body, which is a JSON value or a
/// string that contains JSON; null when it is absent.
nlohmann::json ExtractDocument(const nlohmann::json& body);

/// Returns an unsigned member of `object`, or `fallback`.
uint64_t UnsignedOr(const nlohmann::json& object,
                    const char* key,
                    uint64_t fallback);

/// Reads the document in force.
absl::StatusOr<DocumentInForce> ReadDocument(OperatorClient& client);

/// Prints the error in `reply` and returns the exit status for it.
int ReportRefusal(const OperatorReply& reply);
/// Prints why no entry answered and returns the exit status for it.
int ReportUnreachable(const absl::Status& status);

/// Runs `tanagervane-ctl apply`; returns the exit status.
int Apply(OperatorClient& client, const ApplyOptions& options);

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_CTL_APPLY_H_
