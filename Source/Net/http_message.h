#ifndef SOURCE_NET_HTTP_MESSAGE_H_
#define SOURCE_NET_HTTP_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslip {

/// \class HttpHeader
/// \brief One header field; its name is case-insensitive.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// Header fields in the order received, repeated ones included.
using HttpHeaders = std::vector<HttpHeader>;

/// Compares header names without regard to case.
bool HeaderNameEquals(std::string_view a, std::string_view b);

/// Returns the value of the first field of that name.
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);

/// \class HttpRequest
/// \brief A complete request.
struct HttpRequest {
  std::string method = "GET";
  /// Path and query, still percent-encoded.
  std::string target = "/";
  HttpHeaders headers;
  std::string body;

  /// The target without its query.
  std::string Path() const;
  /// The decoded value of the first query parameter of that name.
  std::optional<std::string> Query(std::string_view name) const;
};

/// \class HttpResponse
/// \brief A complete response.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

}  // namespace cowslip

#endif  // SOURCE_NET_HTTP_MESSAGE_H_
