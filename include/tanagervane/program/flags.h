// Command-line parsing, usage errors and exit statuses shared by all programs.

#ifndef TANAGERVANE_PROGRAM_FLAGS_H_
#define TANAGERVANE_PROGRAM_FLAGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace tanagervane {

// Exit statuses of the programs.
inline constexpr int kExitSuccess = 0;
/// The request was refused, or the program failed.
inline constexpr int kExitFailure = 1;
/// The command line is invalid.
inline constexpr int kExitUsageError = 2;
/// No server could be reached, or the outcome is unknown.
inline constexpr int kExitUnreachable = 3;

struct ProgramInfo {
  std::string_view name;
  std::string_view version;
  /// The text that --help prints above the flags.
  std::string_view usage;
};

/// Sets the Abseil flags from the command line and returns the positional
/// arguments. Exits with status 0 after --help and --version, and with status 2
/// and a log line after an unknown flag or an invalid value. Abseil's own
/// parser is not used because it exits with 1 in both cases, which is
/// kExitFailure here.
std::vector<std::string> ParseProgramFlags(int argc,
                                           char** argv,
                                           const ProgramInfo& program);

/// Like ParseProgramFlags(), for programs without positional arguments: exits
/// with status 2 when there is one.
void ParseFlagsWithoutArguments(int argc,
                                char** argv,
                                const ProgramInfo& program);

/// Logs a `bad_usage` event with `message` and exits with status 2.
[[noreturn]] void ExitWithUsageError(std::string_view message);

/// Logs `event` with the path and the message of `status`. Returns the exit
/// status for the failure, kExitFailure.
int ReportError(std::string_view event, const absl::Status& status);

/// Splits `text` at `separator` and omits empty elements.
std::vector<std::string> SplitList(std::string_view text, char separator);

}  // namespace tanagervane

#endif  // TANAGERVANE_PROGRAM_FLAGS_H_
