#ifndef SOURCE_BASE_WHOLE_NUMBER_H_
#define SOURCE_BASE_WHOLE_NUMBER_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace cowslip {

/// Parses an unsigned decimal number that makes up the whole text. Returns
/// nullopt for any other text and for numbers that do not fit into 64 bits.
std::optional<uint64_t> ParseWholeNumber(std::string_view text);

}  // namespace cowslip

#endif  // SOURCE_BASE_WHOLE_NUMBER_H_
