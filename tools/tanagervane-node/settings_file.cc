#include "tools/tanagervane-node/settings_file.h"

#include <utility>

#include "tanagervane/program/flags.h"
#include "tanagervane/support/file.h"

namespace tanagervane {

absl::StatusOr<NodeSettings> SettingsFile::Load() {
  absl::StatusOr<std::string> text = ReadFile(m_path);
  if (!text.ok()) {
    return text.status();
  }
  m_text = *std::move(text);
  return ParseNodeSettings(m_text);
}

void SettingsFile::Reload(const ReloadHook& reload) {
  absl::StatusOr<std::string> text = ReadFile(m_path);
  if (!text.ok()) {
    ReportError("settings_reload_refused", text.status());
    return;
  }
  Apply(*std::move(text), reload);
}

void SettingsFile::Poll(const ReloadHook& reload) {
  absl::StatusOr<std::string> text = ReadFile(m_path);
  // A file that is being replaced may be missing briefly.
  if (text.ok() && *text != m_text) {
    Apply(*std::move(text), reload);
  }
}

void SettingsFile::Apply(std::string text, const ReloadHook& reload) {
  m_text = std::move(text);
  const auto settings = ParseNodeSettings(m_text);
  if (!settings.ok()) {
    ReportError("settings_reload_refused", settings.status());
    return;
  }
  reload(*settings);
}

}  // namespace tanagervane
