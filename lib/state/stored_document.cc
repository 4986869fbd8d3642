#include "tanagervane/state/stored_document.h"

#include "nlohmann/json.hpp"
#include "tanagervane/support/error.h"
#include "tanagervane/support/json_text.h"

namespace tanagervane {

absl::StatusOr<StoredDocument> ParseStoredDocument(std::string_view value) {
  const auto parsed = ParseJson(value);
  const auto fail = [](std::string_view path) {
    return MakeError(ErrorCode::kInvalidDocument,
                     "stored document is malformed", path);
  };
  if (!parsed.ok() || !parsed->is_object()) {
    return fail("");
  }
  const nlohmann::json& json = *parsed;
  StoredDocument stored;
  const auto read_string = [&json](const char* name, std::string& out) {
    const auto it = json.find(name);
    if (it == json.end() || !it->is_string()) {
      return false;
    }
    out = it->get_ref<const std::string&>();
    return true;
  };
  const auto revision = json.find("revision");
  if (revision == json.end() || !revision->is_number_unsigned() ||
      *revision == 0U) {
    return fail("revision");
  }
  stored.revision = revision->get<uint64_t>();
  const auto accepted_at = json.find("accepted_at_ms");
  if (accepted_at == json.end() || !accepted_at->is_number_integer()) {
    return fail("accepted_at_ms");
  }
  stored.accepted_at.count = accepted_at->get<int64_t>();
  if (!read_string("document", stored.text)) {
    return fail("document");
  }
  if (!read_string("author", stored.author)) {
    return fail("author");
  }
  if (!read_string("write_id", stored.write_id)) {
    return fail("write_id");
  }
  return stored;
}

std::string FormatStoredDocument(const StoredDocument& stored) {
  const nlohmann::json json = {{"revision", stored.revision},
                               {"document", stored.text},
                               {"author", stored.author},
                               {"accepted_at_ms", stored.accepted_at.count},
                               {"write_id", stored.write_id}};
  // The author comes from a header and may hold invalid UTF-8, on which the
  // default handler throws.
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace tanagervane
