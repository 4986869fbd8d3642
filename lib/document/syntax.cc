#include "syntax.h"

#include <cstddef>
#include <set>
#include <vector>

#include "fmt/format.h"
#include "nlohmann/json.hpp"
#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

// Bounds the number of open containers for hostile input. A valid document is
// nested three levels deep.
constexpr size_t kMaxDepth = 16;
constexpr size_t kMaxKeyBytesInPath = 80;

// An object or array that is being parsed.
struct Container {
  bool is_object;
  size_t index = 0;
  std::string key;
  std::set<std::string, std::less<>> keys;
};

// SAX handler that keeps track of the path of the current value and stops at
// the first error. The library prescribes the names of the public functions.
// NOLINTBEGIN(readability-identifier-naming)
class SyntaxChecker : public nlohmann::json_sax<nlohmann::json> {
 public:
  absl::Status status() const { return m_status; }

  bool null() override { return EndValue(); }
  bool boolean(bool) override { return EndValue(); }
  bool number_integer(number_integer_t) override { return EndValue(); }
  bool number_unsigned(number_unsigned_t) override { return EndValue(); }
  bool number_float(number_float_t, const string_t&) override {
    return EndValue();
  }
  bool string(string_t&) override { return EndValue(); }
  bool binary(binary_t&) override { return EndValue(); }
  bool start_object(size_t) override { return Open(true); }
  bool start_array(size_t) override { return Open(false); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(string_t& name) override {
    Container& container = m_containers.back();
    container.key = TruncateKey(name);
    if (!container.keys.insert(name).second) {
      return Fail("duplicate key");
    }
    return true;
  }

  bool parse_error(size_t position,
                   const std::string&,
                   const nlohmann::json::exception&) override {
    return Fail(fmt::format("not valid JSON at byte {}", position));
  }

 private:
  bool Open(bool is_object) {
    if (m_containers.size() >= kMaxDepth) {
      return Fail(fmt::format("nested more than {} levels deep", kMaxDepth));
    }
    m_containers.push_back({is_object, 0, {}, {}});
    return true;
  }

  bool Close() {
    m_containers.pop_back();
    return EndValue();
  }

  bool EndValue() {
    if (!m_containers.empty()) {
      ++m_containers.back().index;
    }
    return true;
  }

  bool Fail(std::string_view reason) {
    if (m_status.ok()) {
      m_status = MakeError(ErrorCode::kInvalidDocument, reason, Path());
    }
    return false;
  }

  std::string Path() const {
    std::string path;
    for (const Container& container : m_containers) {
      if (!container.is_object) {
        path += fmt::format("[{}]", container.index);
      } else if (!container.key.empty()) {
        path += (path.empty() ? "" : ".") + container.key;
      }
    }
    return path.empty() ? "$" : path;
  }

  std::vector<Container> m_containers;
  absl::Status m_status;
};
// NOLINTEND(readability-identifier-naming)

}  // namespace

std::string TruncateKey(std::string_view key) {
  return std::string(key.substr(0, kMaxKeyBytesInPath));
}

absl::Status CheckSyntax(std::string_view text) {
  SyntaxChecker checker;
  const bool parsed = nlohmann::json::sax_parse(
      text.begin(), text.end(), &checker, nlohmann::json::input_format_t::json,
      /*strict=*/true, /*ignore_comments=*/true);
  if (!parsed && checker.status().ok()) {
    return MakeError(ErrorCode::kInvalidDocument, "not valid JSON", "$");
  }
  return checker.status();
}

}  // namespace tanagervane
