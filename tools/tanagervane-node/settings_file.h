// Loading and reloading of the settings file.

#ifndef TANAGERVANE_TOOLS_TANAGERVANE_NODE_SETTINGS_FILE_H_
#define TANAGERVANE_TOOLS_TANAGERVANE_NODE_SETTINGS_FILE_H_

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "tools/tanagervane-node/settings.h"

namespace tanagervane {

/// Reads the settings file at the start, on a signal and when its text has
/// changed. Invalid settings are logged, and the settings in force remain.
class SettingsFile {
 public:
  using ReloadHook = std::function<void(const NodeSettings&)>;

  explicit SettingsFile(std::string path) : m_path(std::move(path)) {}

  const std::string& path() const { return m_path; }

  /// Reads and parses the file. Fails as ParseNodeSettings() does, or with
  /// kNotFound.
  absl::StatusOr<NodeSettings> Load();

  /// Reads the file again and applies it, for example on a signal.
  void Reload(const ReloadHook& reload);

  /// Applies the file when its text differs from the last one. Call it about
  /// once a second.
  void Poll(const ReloadHook& reload);

 private:
  void Apply(std::string text, const ReloadHook& reload);

  std::string m_path;
  /// The text of the latest read that was applied or logged as invalid.
  std::string m_text;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_TANAGERVANE_NODE_SETTINGS_FILE_H_
