// HTTP/1.1 messages as plain data.

#ifndef TANAGERVANE_HTTP_MESSAGE_H_
#define TANAGERVANE_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tanagervane {

struct HttpField {
  std::string name;
  std::string value;
};

/// Header fields in order of arrival.
class HttpFields {
 public:
  void Add(std::string_view name, std::string_view value);
  void Reserve(size_t count) { m_fields.reserve(count); }

  /// Returns the first value of `name`, compared ignoring case, or nullptr.
  const std::string* Find(std::string_view name) const;

  const std::vector<HttpField>& all() const { return m_fields; }

 private:
  std::vector<HttpField> m_fields;
};

/// A request whose body has been read in full.
struct HttpRequestMessage {
  std::string method;
  std::string target;
  HttpFields fields;
  std::string body;
};

/// A response whose body has been read in full.
struct HttpResponseMessage {
  unsigned status = 0;
  HttpFields fields;
  std::string body;
};

/// Compares header names or tokens ignoring ASCII case.
bool EqualIgnoringCase(std::string_view a, std::string_view b);

/// Returns `text` with its ASCII letters in lower case.
std::string LowerCase(std::string_view text);

/// Returns whether a comma-separated list contains `token`, ignoring case.
bool ListHasToken(std::string_view list, std::string_view token);

/// Returns whether a field must not be forwarded because it concerns a single
/// connection or the framing of the body. `connection` is the value of the
/// Connection field, which names further such fields; empty if it is absent.
bool IsHopByHop(std::string_view name, std::string_view connection);

/// Returns the reason phrase of a status code, or "Status" if it is unknown.
std::string_view ReasonPhrase(unsigned status);

/// Returns whether a text can be the value of a field: it is not empty or
/// padded, and no character in it ends a line.
bool IsFieldValue(std::string_view text);

/// Appends the line of a field to `out`. The only way to write one: characters
/// that could end the line are replaced by '?', wherever the value comes from.
void AppendField(std::string& out,
                 std::string_view name,
                 std::string_view value);

/// Appends a request line to `out`. Characters that could end the target are
/// escaped as %XX.
void AppendRequestLine(std::string& out,
                       std::string_view method,
                       std::string_view target);

/// Appends a serialised response to `out`, with a Content-Length field.
/// `head_only` omits the body and its length, as for a HEAD request.
void AppendResponse(std::string& out,
                    const HttpResponseMessage& response,
                    bool close_connection,
                    bool head_only);

}  // namespace tanagervane

#endif  // TANAGERVANE_HTTP_MESSAGE_H_
