// Parsing of --mix and of the lists of one number for each class.

#include "options.h"

#include <charconv>
#include <map>
#include <optional>

#include "fmt/format.h"
#include "tanagervane/program/flags.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

constexpr double kMaxRate = 100000;

std::optional<double> ParsePositive(std::string_view text) {
  double value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value <= 0) {
    return std::nullopt;
  }
  return value;
}

absl::StatusOr<StreamSpec> ParseStream(const std::string& text) {
  const auto fields = SplitList(text, ':');
  const bool is_order = fields.size() == 4 && fields[3] == "order";
  if (fields.size() != 3 && !is_order) {
    return MakeError(
        ErrorCode::kInvalidRequest,
        fmt::format("\"{}\" does not have the form class:tenant:rate[:order]",
                    text));
  }
  const auto rate = ParsePositive(fields[2]);
  if (!rate || *rate > kMaxRate) {
    return MakeError(
        ErrorCode::kInvalidRequest,
        fmt::format("the rate in \"{}\" must be above 0 and at most {}", text,
                    kMaxRate));
  }
  return StreamSpec{fields[0], fields[1], *rate, is_order, Millis()};
}

}  // namespace

absl::StatusOr<std::vector<StreamSpec>> ParseMix(std::string_view mix,
                                                 std::string_view deadlines,
                                                 Millis default_deadline) {
  const auto by_class = ParseByClass(deadlines);
  if (!by_class.ok()) {
    return by_class.status();
  }
  std::vector<StreamSpec> streams;
  for (const std::string& item : SplitList(mix, ',')) {
    auto stream = ParseStream(item);
    if (!stream.ok()) {
      return stream.status();
    }
    const auto deadline = by_class->find(stream->class_name);
    stream->deadline = deadline == by_class->end() ? default_deadline
                                                   : Millis(deadline->second);
    streams.push_back(*std::move(stream));
  }
  if (streams.empty()) {
    return MakeError(ErrorCode::kInvalidRequest,
                     "the mix in --mix names no class");
  }
  return streams;
}

absl::StatusOr<std::map<std::string, double>> ParseByClass(
    std::string_view text) {
  std::map<std::string, double> by_class;
  for (const std::string& item : SplitList(text, ',')) {
    const auto fields = SplitList(item, ':');
    const auto value =
        fields.size() == 2 ? ParsePositive(fields[1]) : std::nullopt;
    if (!value) {
      return MakeError(
          ErrorCode::kInvalidRequest,
          fmt::format("\"{}\" does not have the form class:number", item));
    }
    by_class[fields[0]] = *value;
  }
  return by_class;
}

std::string ReplaceAll(std::string_view pattern,
                       std::string_view placeholder,
                       std::string_view value) {
  std::string result;
  while (true) {
    const size_t found = pattern.find(placeholder);
    result += pattern.substr(0, found);
    if (found == std::string_view::npos) {
      return result;
    }
    result += value;
    pattern.remove_prefix(found + placeholder.size());
  }
}

}  // namespace tanagervane
