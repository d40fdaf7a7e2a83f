#ifndef SOURCE_NET_PERCENT_ENCODING_H_
#define SOURCE_NET_PERCENT_ENCODING_H_

#include <string>
#include <string_view>

namespace cowslip {

/// Escapes every byte that is not unreserved in a URL. A slash stays as it is,
/// so that the result serves as a path and as a query value.
std::string PercentEncode(std::string_view text);

/// Undoes PercentEncode. A malformed escape stays as it was sent.
std::string PercentDecode(std::string_view text);

}  // namespace cowslip

#endif  // SOURCE_NET_PERCENT_ENCODING_H_
