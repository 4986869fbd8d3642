#include "tanagervane/state/order_records.h"

#include <algorithm>
#include <string_view>

#include "fmt/format.h"
#include "nlohmann/json.hpp"
#include "tanagervane/support/json_text.h"

namespace tanagervane {

namespace {

/// Bytes reserved for the result of each claim, so that results can still be
/// recorded in a full object.
constexpr size_t kReservedResultBytes = 256;
/// JSON syntax, digest, nonce and state of one record.
constexpr size_t kRecordOverheadBytes = 120;

/// Writes bytes that JSON escapes, or rejects as invalid UTF-8, as %XX.
std::string PercentEncode(std::string_view bytes) {
  std::string text;
  for (const char c : bytes) {
    if (c < ' ' || c > '~' || c == '%' || c == '"' || c == '\\') {
      text += fmt::format("%{:02x}", static_cast<unsigned char>(c));
    } else {
      text += c;
    }
  }
  return text;
}

std::string PercentDecode(std::string_view text) {
  const auto digit = [](char c) { return c <= '9' ? c - '0' : c - 'a' + 10; };
  std::string bytes;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      bytes += static_cast<char>(digit(text[i + 1]) * 16 + digit(text[i + 2]));
      i += 2;
    } else {
      bytes += text[i];
    }
  }
  return bytes;
}

}  // namespace

std::string OrderRecordName(const OrderKey& key) {
  return fmt::format("{}@{}", PercentEncode(key.key), key.issued_at.count);
}

size_t OrderRecordBytes(const std::string& key, const OrderRecord& record) {
  const size_t reserve =
      record.state == OrderRecordState::kClaimed ? kReservedResultBytes : 0;
  return kRecordOverheadBytes + key.size() +
         PercentEncode(record.holder).size() + record.nonce.size() +
         std::max(reserve, PercentEncode(record.result).size());
}

std::string FormatOrderRecords(const OrderRecords& records) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [key, record] : records) {
    json[key] = nlohmann::json::array(
        {record.digest, PercentEncode(record.holder), record.nonce,
         static_cast<int>(record.state), PercentEncode(record.result)});
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool ParseOrderRecords(const std::string& value, OrderRecords& records) {
  const auto json = ParseJson(value);
  if (!json.ok() || !json->is_object()) {
    return false;
  }
  for (const auto& [key, item] : json->items()) {
    if (!item.is_array() || item.size() != 5 || !item[0].is_number_unsigned() ||
        !item[1].is_string() || !item[2].is_string() ||
        !item[3].is_number_unsigned() || item[3] > 2 || !item[4].is_string()) {
      return false;
    }
    records[key] = {item[0].get<uint64_t>(),
                    PercentDecode(item[1].get<std::string>()),
                    item[2].get<std::string>(),
                    static_cast<OrderRecordState>(item[3].get<int>()),
                    PercentDecode(item[4].get<std::string>())};
  }
  return true;
}

void MergeKnownRecords(const OrderRecords& known, OrderRecords& records) {
  for (const auto& [key, record] : known) {
    const auto [it, added] = records.try_emplace(key, record);
    if (!added && record.state == OrderRecordState::kDone) {
      it->second = record;
    }
  }
}

}  // namespace tanagervane
