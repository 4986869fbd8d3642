// A scanner of JSON text that uses no recursion.

#include "tanagervane/support/json_text.h"

#include <algorithm>

#include "fmt/format.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

constexpr std::string_view kSpace = " \t\r\n";

absl::Status InvalidText(std::string_view reason) {
  return MakeError(ErrorCode::kInvalidRequest, reason);
}

/// Walks over a text by strings, brackets and single characters.
class Scanner {
 public:
  explicit Scanner(std::string_view text,
                   JsonComments comments = JsonComments::kInvalid)
      : m_text(text), m_comments(comments) {}

  bool at_end() const { return m_position >= m_text.size(); }
  char next() const { return at_end() ? '\0' : m_text[m_position]; }

  void SkipSpace() {
    m_position =
        std::min(m_text.find_first_not_of(kSpace, m_position), m_text.size());
  }

  /// Skips a character, after white space. Returns false if another one
  /// follows.
  bool Skip(char expected) {
    SkipSpace();
    if (at_end() || next() != expected) {
      return false;
    }
    ++m_position;
    return true;
  }

  /// Skips a string with its quotes and returns the text between them; nullopt
  /// if there is no complete string.
  std::optional<std::string_view> SkipString() {
    if (!Skip('"')) {
      return std::nullopt;
    }
    const size_t start = m_position;
    while (!at_end() && next() != '"') {
      m_position += next() == '\\' ? 2 : 1;
    }
    if (at_end()) {
      m_position = m_text.size();
      return std::nullopt;
    }
    return m_text.substr(start, m_position++ - start);
  }

  /// Skips a value up to the comma or bracket that follows it and returns its
  /// text; nullopt if its brackets or quotes are not balanced.
  std::optional<std::string_view> SkipValue() {
    SkipSpace();
    const size_t start = m_position;
    size_t depth = 0;
    while (!at_end()) {
      const char c = next();
      if (depth == 0 && (c == ',' || c == ']' || c == '}')) {
        break;
      }
      if (!SkipElement(depth)) {
        return std::nullopt;
      }
    }
    if (depth > 0 || m_position == start) {
      return std::nullopt;
    }
    // The value does not begin with white space, so a last character exists.
    const size_t last = m_text.find_last_not_of(kSpace, m_position - 1);
    return m_text.substr(start, last + 1 - start);
  }

  /// Returns the deepest nesting of the rest of the text. Stops at a string
  /// that does not end.
  size_t SkipToMaxDepth() {
    size_t depth = 0;
    size_t max_depth = 0;
    while (!at_end() && SkipElement(depth)) {
      max_depth = std::max(max_depth, depth);
    }
    return max_depth;
  }

 private:
  /// Skips a string, a comment, or a character, and counts brackets. Returns
  /// false at a string that does not end.
  bool SkipElement(size_t& depth) {
    const char c = next();
    if (c == '"') {
      return SkipString().has_value();
    }
    if (c == '/' && m_comments == JsonComments::kIgnored) {
      SkipComment();
      return true;
    }
    if (c == '[' || c == '{') {
      ++depth;
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
    ++m_position;
    return true;
  }

  void SkipComment() {
    constexpr size_t kDelimiterBytes = 2;
    const bool is_block = m_text.substr(m_position).starts_with("/*");
    const size_t start = m_position + kDelimiterBytes;
    const size_t end = is_block ? m_text.find("*/", start)
                                : m_text.find_first_of("\r\n", start);
    m_position = end == std::string_view::npos ? m_text.size()
                 : is_block                    ? end + kDelimiterBytes
                                               : end;
  }

  std::string_view m_text;
  JsonComments m_comments;
  size_t m_position = 0;
};

/// Calls `read_item` for each item of an object or array; `read_item` skips the
/// item and returns whether it is complete.
template <typename ReadItem>
absl::Status SplitItems(Scanner& scanner,
                        char open,
                        char close,
                        ReadItem read_item) {
  if (!scanner.Skip(open)) {
    return InvalidText(fmt::format("must begin with '{}'", open));
  }
  if (scanner.Skip(close)) {
    return absl::OkStatus();
  }
  do {
    if (!read_item()) {
      return InvalidText("quotes or brackets are not balanced");
    }
  } while (scanner.Skip(','));
  return scanner.Skip(close)
             ? absl::OkStatus()
             : InvalidText(fmt::format("must end with '{}'", close));
}

}  // namespace

absl::StatusOr<nlohmann::json> ParseJson(std::string_view text,
                                         JsonComments comments) {
  if (Scanner(text, comments).SkipToMaxDepth() > kMaxJsonDepth) {
    return InvalidText(
        fmt::format("is nested deeper than {} levels", kMaxJsonDepth));
  }
  auto json =
      nlohmann::json::parse(text, /*cb=*/nullptr, /*allow_exceptions=*/false,
                            comments == JsonComments::kIgnored);
  if (json.is_discarded()) {
    return InvalidText("is not valid JSON");
  }
  return json;
}

absl::StatusOr<std::vector<JsonMember>> SplitJsonObject(std::string_view text) {
  Scanner scanner(text);
  std::vector<JsonMember> members;
  const absl::Status status = SplitItems(scanner, '{', '}', [&] {
    const auto key = scanner.SkipString();
    if (!key || !scanner.Skip(':')) {
      return false;
    }
    const auto value = scanner.SkipValue();
    if (!value) {
      return false;
    }
    members.push_back({*key, *value});
    return true;
  });
  if (!status.ok()) {
    return status;
  }
  return members;
}

absl::StatusOr<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text) {
  Scanner scanner(text);
  std::vector<std::string_view> elements;
  const absl::Status status = SplitItems(scanner, '[', ']', [&] {
    const auto value = scanner.SkipValue();
    if (!value) {
      return false;
    }
    elements.push_back(*value);
    return true;
  });
  if (!status.ok()) {
    return status;
  }
  return elements;
}

std::optional<std::string_view> FindJsonMember(
    const std::vector<JsonMember>& members,
    std::string_view key) {
  const auto found = std::ranges::find(members, key, &JsonMember::key);
  return found == members.end() ? std::nullopt : std::optional(found->value);
}

}  // namespace tanagervane
