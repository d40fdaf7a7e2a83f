#ifndef SOURCE_ACCESS_KEY_STRIPPING_H_
#define SOURCE_ACCESS_KEY_STRIPPING_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Exchange/exchange_messages.h"
#include "Net/http_message.h"

namespace cowslip {

/// \class ForwardableRequest
/// \brief What of a request's head may go to a backend server.
struct ForwardableRequest {
  std::vector<ForwardedHeader> headers;
  /// Path and query without keys.
  std::string target;
};

/// Returns the key that a request presents: `Authorization: Bearer KEY`,
/// `X-Api-Key: KEY`, or a query parameter `api_key`, `key` or `access_token`.
/// A request with several different keys presents an empty one, which no
/// organisation has.
std::optional<std::string> ExtractKey(const HttpHeaders& headers,
                                      std::string_view target);

/// Keeps only headers that are known to carry no key, and drops query
/// parameters that name or contain one. A key in the path is made unreadable.
ForwardableRequest StripKeys(const HttpHeaders& headers,
                             std::string_view target);

}  // namespace cowslip

#endif  // SOURCE_ACCESS_KEY_STRIPPING_H_
