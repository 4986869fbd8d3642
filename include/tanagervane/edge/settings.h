// The settings file of an entry server.

#ifndef TANAGERVANE_EDGE_SETTINGS_H_
#define TANAGERVANE_EDGE_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tanagervane/routing/types.h"

namespace tanagervane {

/// The settings of one entry process. All addresses are "ip:port".
struct EntrySettings {
  /// The VM's id, unique among live VMs.
  std::string id;
  std::string team;
  std::string data_centre;
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  std::string platform_address;
  /// Peer addresses of other entries to contact first when joining the gossip.
  std::vector<std::string> seeds;
  /// Path of the file with the operator key. When it is empty, all operator
  /// writes are refused.
  std::string operator_key_file;
  /// Replica policy and switches for experiments; the defaults are for
  /// production.
  PolicyOptions experiment;
};

/// Parses JSON with comments. Fails with ErrorCode::kInvalidRequest and the
/// path of the first invalid key.
absl::StatusOr<EntrySettings> ParseSettings(std::string_view text);

/// Reads and parses the file at `path`.
absl::StatusOr<EntrySettings> LoadSettings(const std::string& path);

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_SETTINGS_H_
