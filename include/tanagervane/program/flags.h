// Command lines of the programs, on Abseil flags.

#ifndef TANAGERVANE_PROGRAM_FLAGS_H_
#define TANAGERVANE_PROGRAM_FLAGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace tanagervane {

inline constexpr int kExitDone = 0;
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitUnreachable = 3;

struct ProgramInfo {
  std::string_view name;
  std::string_view version;
  /// The lines shown first by --help.
  std::string_view usage;
};

/// Sets the Abseil flags from the command line and returns the positional
/// arguments. Ends the process with status 0 after --help and --version, and
/// with status 2 and a message after an unknown flag or a bad value. (Abseil's
/// own parser ends with 1 in both cases, which means a refusal here.)
std::vector<std::string> ParseProgramFlags(int argc,
                                           char** argv,
                                           const ProgramInfo& program);

/// The same for a program that takes flags only: a positional argument ends
/// the process with status 2.
void ParseOnlyFlags(int argc, char** argv, const ProgramInfo& program);

/// Ends the process with status 2 after writing `message` to standard error.
[[noreturn]] void FailUsage(std::string_view message);

/// Logs `event` with the path and the reason of a failure; the exit status for
/// it.
int ReportError(std::string_view event, const absl::Status& status);

/// The parts of `text` between separators; empty parts are left out.
std::vector<std::string> SplitList(std::string_view text, char separator);

}  // namespace tanagervane

#endif  // TANAGERVANE_PROGRAM_FLAGS_H_
