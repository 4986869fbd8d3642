// The settings file of a running process.

#ifndef TANAGERVANE_TOOLS_TANAGERVANE_NODE_SETTINGS_FILE_H_
#define TANAGERVANE_TOOLS_TANAGERVANE_NODE_SETTINGS_FILE_H_

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "tools/tanagervane-node/settings.h"

namespace tanagervane {

/// Reads the settings again on a signal and when the file's text has changed.
/// Settings that cannot be used are logged, and those in force stay.
class SettingsFile {
 public:
  using ReloadHook = std::function<void(const NodeSettings&)>;

  explicit SettingsFile(std::string path) : m_path(std::move(path)) {}

  const std::string& path() const { return m_path; }

  /// Reads and parses the file. Fails as ParseNodeSettings() does, or with
  /// kNotFound.
  absl::StatusOr<NodeSettings> Load();

  /// Reads the file again.
  void Reload(const ReloadHook& reload);

  /// Does so when its text is another one; call it about once a second.
  void Poll(const ReloadHook& reload);

 private:
  void Apply(std::string text, const ReloadHook& reload);

  std::string m_path;
  /// The text that was read last.
  std::string m_text;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_TANAGERVANE_NODE_SETTINGS_FILE_H_
