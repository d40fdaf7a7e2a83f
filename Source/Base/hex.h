#ifndef SOURCE_BASE_HEX_H_
#define SOURCE_BASE_HEX_H_

#include <span>
#include <string>

namespace cowslip {

/// Encodes bytes in lower-case hexadecimal.
std::string ToHex(std::span<const unsigned char> bytes);

}  // namespace cowslip

#endif  // SOURCE_BASE_HEX_H_
