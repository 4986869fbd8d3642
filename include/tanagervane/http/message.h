// HTTP/1.1 messages as plain data.

#ifndef TANAGERVANE_HTTP_MESSAGE_H_
#define TANAGERVANE_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tanagervane {

struct HttpField {
  std::string name;
  std::string value;
};

/// Header fields in the order in which they came.
class HttpFields {
 public:
  void Add(std::string_view name, std::string_view value);

  /// The first value of `name`, compared without case, or nullptr.
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

/// Compares header names or tokens without case.
bool EqualIgnoringCase(std::string_view a, std::string_view b);

/// `text` with its ASCII letters in lower case.
std::string LowerCase(std::string_view text);

/// True when a comma-separated list holds `token`, compared without case.
bool ListHasToken(std::string_view list, std::string_view token);

/// True for fields that concern only one connection and are not forwarded,
/// or that frame the body. `connection` is the value of the Connection field,
/// empty when there is none.
bool IsHopByHop(std::string_view name, std::string_view connection);

std::string_view StatusText(unsigned status);

/// Appends a response. Content-Length is added; `head_only` leaves out both
/// the body and its length, as the answer to a HEAD request.
void AppendResponse(std::string& out,
                    const HttpResponseMessage& response,
                    bool close_connection,
                    bool head_only);

}  // namespace tanagervane

#endif  // TANAGERVANE_HTTP_MESSAGE_H_
