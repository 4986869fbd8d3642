#include "tanagervane/support/json_object.h"

#include <utility>

#include "fmt/format.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/json_text.h"

namespace tanagervane {

JsonObject::JsonObject(std::string_view text, bool allow_comments)
    : m_object(nlohmann::json::object()) {
  absl::StatusOr<nlohmann::json> json = ParseJson(
      text, allow_comments ? JsonComments::kIgnored : JsonComments::kInvalid);
  if (!json.ok()) {
    m_status = json.status();
  } else if (!json->is_object()) {
    m_status = MakeError(ErrorCode::kInvalidRequest,
                         "top-level value must be a JSON object");
  } else {
    m_object = *std::move(json);
  }
}

JsonObject::JsonObject(nlohmann::json value, std::string path)
    : m_object(std::move(value)), m_path(std::move(path)) {
  if (!m_object.is_object()) {
    m_status =
        MakeError(ErrorCode::kInvalidRequest, "must be a JSON object", m_path);
    m_object = nlohmann::json::object();
  }
}

std::string JsonObject::PathOf(const std::string& key) const {
  return m_path.empty() ? key : m_path + "." + key;
}

void JsonObject::Fail(const std::string& key, std::string_view reason) {
  MergeError(MakeError(ErrorCode::kInvalidRequest, reason, PathOf(key)));
}

void JsonObject::MergeError(const absl::Status& status) {
  m_status.Update(status);
}

const nlohmann::json* JsonObject::FindMember(const std::string& key,
                                             bool required) {
  m_read_keys.insert(key);
  const auto it = m_object.find(key);
  if (it != m_object.end()) {
    return &*it;
  }
  if (required) {
    Fail(key, "required key is missing");
  }
  return nullptr;
}

std::string JsonObject::String(const std::string& key) {
  const nlohmann::json* member = FindMember(key, /*required=*/true);
  if (!member) {
    return "";
  }
  if (!member->is_string()) {
    Fail(key, "must be a string");
    return "";
  }
  auto text = member->get<std::string>();
  if (text.empty()) {
    Fail(key, "must not be empty");
  }
  return text;
}

std::string JsonObject::StringOr(const std::string& key,
                                 std::string_view fallback) {
  const nlohmann::json* member = FindMember(key, /*required=*/false);
  if (!member) {
    return std::string(fallback);
  }
  if (!member->is_string()) {
    Fail(key, "must be a string");
    return "";
  }
  return member->get<std::string>();
}

int64_t JsonObject::Integer(const std::string& key,
                            int64_t min_value,
                            int64_t max_value) {
  const nlohmann::json* member = FindMember(key, /*required=*/true);
  if (!member) {
    return min_value;
  }
  const bool is_int64 =
      member->is_number_integer() &&
      (!member->is_number_unsigned() ||
       member->get<uint64_t>() <=
           static_cast<uint64_t>(std::numeric_limits<int64_t>::max()));
  if (!is_int64) {
    Fail(key, "must be an integer");
    return min_value;
  }
  const auto value = member->get<int64_t>();
  if (value < min_value || value > max_value) {
    Fail(key, fmt::format("must be between {} and {}", min_value, max_value));
    return min_value;
  }
  return value;
}

int64_t JsonObject::IntegerOr(const std::string& key,
                              int64_t fallback,
                              int64_t min_value,
                              int64_t max_value) {
  if (!Has(key)) {
    m_read_keys.insert(key);
    return fallback;
  }
  return Integer(key, min_value, max_value);
}

double JsonObject::NumberOr(const std::string& key,
                            double fallback,
                            double min_value) {
  const nlohmann::json* member = FindMember(key, /*required=*/false);
  if (!member) {
    return fallback;
  }
  if (!member->is_number() || member->get<double>() < min_value) {
    Fail(key, fmt::format("must be a number that is at least {}", min_value));
    return fallback;
  }
  return member->get<double>();
}

bool JsonObject::BooleanOr(const std::string& key, bool fallback) {
  const nlohmann::json* member = FindMember(key, /*required=*/false);
  if (!member) {
    return fallback;
  }
  if (!member->is_boolean()) {
    Fail(key, "must be true or false");
    return fallback;
  }
  return member->get<bool>();
}

std::vector<std::string> JsonObject::StringListOrEmpty(const std::string& key) {
  std::vector<std::string> list;
  const nlohmann::json* member = FindMember(key, /*required=*/false);
  if (!member) {
    return list;
  }
  if (!member->is_array()) {
    Fail(key, "must be a list of strings");
    return list;
  }
  for (const nlohmann::json& item : *member) {
    if (!item.is_string()) {
      Fail(key, "must be a list of strings");
      return list;
    }
    list.push_back(item.get<std::string>());
  }
  return list;
}

JsonObject JsonObject::ObjectOrEmpty(const std::string& key) {
  const nlohmann::json* member = FindMember(key, /*required=*/false);
  return {member ? *member : nlohmann::json::object(), PathOf(key)};
}

absl::Status JsonObject::Finish() {
  for (const auto& [key, value] : m_object.items()) {
    if (!m_read_keys.contains(key)) {
      Fail(key, "unknown key");
    }
  }
  return m_status;
}

std::string DumpJson(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace tanagervane
