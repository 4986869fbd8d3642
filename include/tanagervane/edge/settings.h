// The settings file of an entry server.

#ifndef TANAGERVANE_EDGE_SETTINGS_H_
#define TANAGERVANE_EDGE_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tanagervane/routing/types.h"

namespace tanagervane {

/// What one entry process is told about itself. All addresses are "ip:port".
struct EntrySettings {
  /// The VM's id, unique among live VMs.
  std::string id;
  std::string team;
  std::string data_centre;
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  std::string platform_address;
  /// Peer addresses of other entries to try first.
  std::vector<std::string> seeds;
  /// File that holds the operators' key; empty refuses all operator writes.
  std::string operator_key_file;
  PolicyOptions experiment;
};

/// Parses JSON with comments. Fails with ErrorCode::kInvalidRequest and the
/// path of the first offending key.
absl::StatusOr<EntrySettings> ParseSettings(std::string_view text);

/// Reads and parses the file at `path`.
absl::StatusOr<EntrySettings> LoadSettings(const std::string& path);

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_SETTINGS_H_
