#include "standins/common/control.h"

#include <cassert>
#include <charconv>

#include "fmt/format.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/json_object.h"

namespace tanagervane::standins {

namespace {

bool ParseNumber(std::string_view text, size_t& value) {
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
  return error == std::errc() && parsed_end == end;
}

}  // namespace

HttpResponse JsonResponse(const nlohmann::json& body) {
  HttpResponse response;
  response.body = DumpJson(body);
  return response;
}

HttpResponse ErrorResponse(unsigned http_status, const absl::Status& status) {
  const auto code = GetErrorCode(status).value_or(ErrorCode::kInternal);
  HttpResponse response = JsonResponse({{"error", ToString(code)},
                                        {"path", GetErrorPath(status)},
                                        {"detail", GetErrorMessage(status)}});
  response.status = http_status;
  return response;
}

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> segments;
  while (!path.empty()) {
    path.remove_prefix(1);
    const size_t slash = path.find('/');
    segments.emplace_back(path.substr(0, slash));
    path = slash == std::string_view::npos ? "" : path.substr(slash);
  }
  return segments;
}

absl::StatusOr<std::vector<size_t>> ParseSelection(std::string_view text,
                                                   size_t count) {
  std::vector<size_t> selected;
  if (text == "all") {
    for (size_t i = 0; i < count; ++i) {
      selected.push_back(i);
    }
    return selected;
  }
  std::string_view rest = text;
  while (true) {
    const size_t comma = rest.find(',');
    const std::string_view item = rest.substr(0, comma);
    const size_t dash = item.find('-');
    size_t first = 0;
    size_t last = 0;
    bool ok = ParseNumber(item.substr(0, dash), first);
    last = first;
    if (ok && dash != std::string_view::npos) {
      ok = ParseNumber(item.substr(dash + 1), last);
    }
    if (!ok || first > last || last >= count) {
      return MakeError(
          ErrorCode::kInvalidRequest,
          fmt::format("selection must be \"all\" or a list of numbers and "
                      "ranges below {}",
                      count),
          text);
    }
    for (size_t i = first; i <= last; ++i) {
      selected.push_back(i);
    }
    if (comma == std::string_view::npos) {
      return selected;
    }
    rest.remove_prefix(comma + 1);
  }
}

SettingsPatch::SettingsPatch(std::string_view body)
    : m_json(body.empty() ? nlohmann::json::object()
                          : nlohmann::json::parse(body,
                                                  nullptr,
                                                  /*allow_exceptions=*/false)) {
  if (!m_json.is_object()) {
    m_status =
        MakeError(ErrorCode::kInvalidRequest, "body must be a JSON object");
    m_json = nlohmann::json::object();
  }
}

const nlohmann::json* SettingsPatch::Find(std::string_view key) {
  m_known_keys.emplace(key);
  const auto it = m_json.find(key);
  return it == m_json.end() ? nullptr : &*it;
}

void SettingsPatch::Fail(std::string_view key, std::string_view reason) {
  if (m_status.ok()) {
    m_status = MakeError(ErrorCode::kInvalidRequest, reason, key);
  }
}

void SettingsPatch::Read(std::string_view key, bool& value) {
  if (const nlohmann::json* json = Find(key)) {
    if (json->is_boolean()) {
      value = json->get<bool>();
    } else {
      Fail(key, "must be true or false");
    }
  }
}

void SettingsPatch::Read(std::string_view key, std::string& value) {
  if (const nlohmann::json* json = Find(key)) {
    if (json->is_string()) {
      value = json->get<std::string>();
    } else {
      Fail(key, "must be a string");
    }
  }
}

void SettingsPatch::Read(std::string_view key,
                         double min,
                         double max,
                         double& value) {
  if (const nlohmann::json* json = Find(key)) {
    const bool ok = json->is_number() && json->get<double>() >= min &&
                    json->get<double>() <= max;
    if (ok) {
      value = json->get<double>();
    } else {
      Fail(key, fmt::format("must be a number from {} to {}", min, max));
    }
  }
}

void SettingsPatch::Read(std::string_view key, uint64_t max, uint64_t& value) {
  if (const nlohmann::json* json = Find(key)) {
    if (json->is_number_unsigned() && json->get<uint64_t>() <= max) {
      value = json->get<uint64_t>();
    } else {
      Fail(key, fmt::format("must be an integer from 0 to {}", max));
    }
  }
}

absl::Status SettingsPatch::Finish() {
  for (const auto& [key, value] : m_json.items()) {
    if (!m_known_keys.contains(key)) {
      Fail(key, "unknown key");
    }
  }
  return m_status;
}

}  // namespace tanagervane::standins
