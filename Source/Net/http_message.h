#ifndef SOURCE_NET_HTTP_MESSAGE_H_
#define SOURCE_NET_HTTP_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslip {

/// \class HttpHeader
/// \brief One header field; names compare without case.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// Fields in the order they came, repeated ones included.
using HttpHeaders = std::vector<HttpHeader>;

/// Compares header names.
bool HeaderNameEquals(std::string_view a, std::string_view b);

/// Returns the first field of that name.
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);

/// \class HttpRequest
/// \brief A whole request.
struct HttpRequest {
  std::string method = "GET";
  /// Path and query, as sent.
  std::string target = "/";
  HttpHeaders headers;
  std::string body;

  /// The target without its query.
  std::string Path() const;
  /// The value of one query parameter, percent-decoded.
  std::optional<std::string> Query(std::string_view name) const;
};

/// \class HttpResponse
/// \brief A whole response.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

}  // namespace cowslip

#endif  // SOURCE_NET_HTTP_MESSAGE_H_
