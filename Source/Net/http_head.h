#ifndef SOURCE_NET_HTTP_HEAD_H_
#define SOURCE_NET_HTTP_HEAD_H_

#include <string_view>

#include "Base/result.h"
#include "Net/http_message.h"

namespace cowslip {

// What the head of a message may contain (RFC 9110 and RFC 9112). A head with
// other text could be read as several messages, or in several ways.

/// Whether the text is a path with a query that a request line can carry.
bool IsRequestTarget(std::string_view text);

/// Whether the text is the name of a header field.
bool IsHeaderName(std::string_view text);

/// Whether a header field can carry the text as its value.
bool IsHeaderValue(std::string_view text);

/// Errors: kInvalidArgument, naming the field that no head can carry.
Result<void> CheckHeader(const HttpHeader& header);

/// Checks method, target and headers. Errors: kInvalidArgument.
Result<void> CheckRequestHead(const HttpRequest& request);

}  // namespace cowslip

#endif  // SOURCE_NET_HTTP_HEAD_H_
