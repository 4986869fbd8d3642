#include "tanagervane/program/flags.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <optional>

#include "absl/flags/commandlineflag.h"
#include "absl/flags/reflection.h"
#include "fmt/format.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

absl::string_view ToAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

void PrintHelp(const ProgramInfo& program) {
  fmt::print("{}\n\n{}\n\nFlags:\n", program.name, program.usage);
  std::map<std::string, absl::CommandLineFlag*> flags;
  for (const auto& [name, flag] : absl::GetAllFlags()) {
    // Abseil's own flags take effect only in Abseil's parser, which is not
    // used.
    if (flag->Filename().find("absl/") == std::string::npos) {
      flags.emplace(std::string(name), flag);
    }
  }
  for (const auto& [name, flag] : flags) {
    fmt::print("  --{} ({}); default: \"{}\"\n", name, flag->Help(),
               flag->DefaultValue());
  }
  fmt::print("  --help, --version\n");
}

struct Argument {
  std::string name;
  std::optional<std::string> value;
};

Argument SplitArgument(std::string_view text) {
  text.remove_prefix(text.starts_with("--") ? 2 : 1);
  const size_t equals = text.find('=');
  if (equals == std::string_view::npos) {
    return {std::string(text), std::nullopt};
  }
  return {std::string(text.substr(0, equals)),
          std::string(text.substr(equals + 1))};
}

// Finds the flag of `argument`. Rewrites "--noNAME" of a boolean flag to
// "--NAME=false".
absl::CommandLineFlag* FindFlag(Argument& argument) {
  absl::CommandLineFlag* flag =
      absl::FindCommandLineFlag(ToAbsl(argument.name));
  if (!flag && argument.name.starts_with("no") && !argument.value) {
    flag = absl::FindCommandLineFlag(ToAbsl(argument.name).substr(2));
    if (flag && !flag->IsOfType<bool>()) {
      return nullptr;
    }
    argument.value = "false";
  }
  if (flag && flag->Filename().find("absl/") != std::string::npos) {
    return nullptr;
  }
  return flag;
}

}  // namespace

std::vector<std::string> ParseProgramFlags(int argc,
                                           char** argv,
                                           const ProgramInfo& program) {
  std::vector<std::string> positional;
  bool flags_ended = false;
  for (int i = 1; i < argc; ++i) {
    const std::string_view text = argv[i];
    if (flags_ended || text.size() < 2 || text[0] != '-') {
      positional.emplace_back(text);
      continue;
    }
    if (text == "--") {
      flags_ended = true;
      continue;
    }
    Argument argument = SplitArgument(text);
    if (argument.name == "help") {
      PrintHelp(program);
      std::exit(kExitSuccess);
    }
    if (argument.name == "version") {
      fmt::print("{} {}\n", program.name, program.version);
      std::exit(kExitSuccess);
    }
    absl::CommandLineFlag* flag = FindFlag(argument);
    if (!flag) {
      ExitWithUsageError(
          fmt::format("unknown flag --{}; see --help", argument.name));
    }
    if (!argument.value && flag->IsOfType<bool>()) {
      argument.value = "true";
    } else if (!argument.value) {
      if (i + 1 == argc) {
        ExitWithUsageError(
            fmt::format("flag --{} needs a value", argument.name));
      }
      argument.value = argv[++i];
    }
    if (std::string error; !flag->ParseFrom(ToAbsl(*argument.value), &error)) {
      ExitWithUsageError(
          fmt::format("invalid value for flag --{}: {}", argument.name,
                      error.empty() ? "wrong type for this flag" : error));
    }
  }
  return positional;
}

void ParseFlagsWithoutArguments(int argc,
                                char** argv,
                                const ProgramInfo& program) {
  const std::vector<std::string> positional =
      ParseProgramFlags(argc, argv, program);
  if (!positional.empty()) {
    ExitWithUsageError(
        fmt::format("unexpected positional argument: {}", positional.front()));
  }
}

void ExitWithUsageError(std::string_view message) {
  LogEvent("bad_usage").Field("detail", message);
  std::exit(kExitUsageError);
}

int ReportError(std::string_view event, const absl::Status& status) {
  LogEvent(event)
      .Field("path", GetErrorPath(status))
      .Field("reason", GetErrorMessage(status));
  return kExitFailure;
}

std::vector<std::string> SplitList(std::string_view text, char separator) {
  std::vector<std::string> elements;
  while (!text.empty()) {
    const size_t end = std::min(text.find(separator), text.size());
    if (end > 0) {
      elements.emplace_back(text.substr(0, end));
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return elements;
}

}  // namespace tanagervane
