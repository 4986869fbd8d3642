// Header field lookup and serialisation of responses.

#include "tanagervane/http/message.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <utility>

#include "fmt/format.h"

namespace tanagervane {

namespace {

/// Returns whether a character may end a line or a target.
bool IsControl(char c) {
  constexpr char kDelete = 0x7f;
  return static_cast<unsigned char>(c) < ' ' || c == kDelete;
}

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trim(std::string_view text) {
  const size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return "";
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

}  // namespace

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), ToLower);
  return lower;
}

void HttpFields::Add(std::string_view name, std::string_view value) {
  m_fields.push_back({std::string(name), std::string(value)});
}

const std::string* HttpFields::Find(std::string_view name) const {
  for (const HttpField& field : m_fields) {
    if (EqualIgnoringCase(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(
      a, b, [](char x, char y) { return ToLower(x) == ToLower(y); });
}

bool ListHasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    const std::string_view item = list.substr(0, comma);
    if (EqualIgnoringCase(Trim(item), token)) {
      return true;
    }
    list = comma == std::string_view::npos ? "" : list.substr(comma + 1);
  }
  return false;
}

bool IsHopByHop(std::string_view name, std::string_view connection) {
  static constexpr std::array<std::string_view, 10> kHopByHopFields = {
      "connection",
      "keep-alive",
      "proxy-authenticate",
      "proxy-authorization",
      "proxy-connection",
      "te",
      "trailer",
      "transfer-encoding",
      "upgrade",
      "content-length"};
  const bool is_listed = std::ranges::any_of(
      kHopByHopFields,
      [&](std::string_view other) { return EqualIgnoringCase(name, other); });
  return is_listed || ListHasToken(connection, name);
}

std::string_view ReasonPhrase(unsigned status) {
  static constexpr std::array kReasonPhrases = {
      std::pair<unsigned, std::string_view>{200, "OK"},
      std::pair<unsigned, std::string_view>{400, "Bad Request"},
      std::pair<unsigned, std::string_view>{401, "Unauthorized"},
      std::pair<unsigned, std::string_view>{404, "Not Found"},
      std::pair<unsigned, std::string_view>{405, "Method Not Allowed"},
      std::pair<unsigned, std::string_view>{408, "Request Timeout"},
      std::pair<unsigned, std::string_view>{413, "Content Too Large"},
      std::pair<unsigned, std::string_view>{429, "Too Many Requests"},
      std::pair<unsigned, std::string_view>{431,
                                            "Request Header Fields Too Large"},
      std::pair<unsigned, std::string_view>{500, "Internal Server Error"},
      std::pair<unsigned, std::string_view>{502, "Bad Gateway"},
      std::pair<unsigned, std::string_view>{503, "Service Unavailable"},
      std::pair<unsigned, std::string_view>{504, "Gateway Timeout"},
  };
  for (const auto& [code, text] : kReasonPhrases) {
    if (code == status) {
      return text;
    }
  }
  return "Status";
}

bool IsFieldValue(std::string_view text) {
  return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
         std::ranges::none_of(text, [](char c) { return IsControl(c); });
}

void AppendField(std::string& out,
                 std::string_view name,
                 std::string_view value) {
  out += name;
  out += ": ";
  const auto begin = static_cast<ptrdiff_t>(out.size());
  out += value;
  std::replace_if(
      out.begin() + begin, out.end(),
      [](char c) { return IsControl(c) && c != '\t'; }, '?');
  out += "\r\n";
}

void AppendRequestLine(std::string& out,
                       std::string_view method,
                       std::string_view target) {
  out += method;
  out += ' ';
  for (const char c : target) {
    if (IsControl(c) || c == ' ') {
      fmt::format_to(std::back_inserter(out), "%{:02X}",
                     static_cast<unsigned char>(c));
    } else {
      out += c;
    }
  }
  out += " HTTP/1.1\r\n";
}

void AppendResponse(std::string& out,
                    const HttpResponseMessage& response,
                    bool close_connection,
                    bool head_only) {
  fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n", response.status,
                 ReasonPhrase(response.status));
  for (const HttpField& field : response.fields.all()) {
    AppendField(out, field.name, field.value);
  }
  const bool has_body = response.status != 204 && response.status != 304;
  if (has_body && !head_only) {
    fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n",
                   response.body.size());
  }
  if (close_connection) {
    out += "Connection: close\r\n";
  }
  out += "\r\n";
  if (has_body && !head_only) {
    out += response.body;
  }
}

}  // namespace tanagervane
