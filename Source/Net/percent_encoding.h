#ifndef SOURCE_NET_PERCENT_ENCODING_H_
#define SOURCE_NET_PERCENT_ENCODING_H_

#include <string>
#include <string_view>

namespace cowslip {

/// Percent-encodes every byte except the unreserved characters of a URL and the
/// slash, so that the result can be used as a path and as a query value.
std::string PercentEncode(std::string_view text);

/// As above, with the slash encoded too, so that the result is one segment of a
/// path.
std::string PercentEncodeSegment(std::string_view text);

/// Decodes percent-encoded text. Malformed escapes are copied unchanged.
std::string PercentDecode(std::string_view text);

}  // namespace cowslip

#endif  // SOURCE_NET_PERCENT_ENCODING_H_
