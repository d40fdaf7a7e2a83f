#ifndef SOURCE_BASE_WHOLE_NUMBER_H_
#define SOURCE_BASE_WHOLE_NUMBER_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace cowslip {

/// Parses a text that is one decimal number without a sign; nullopt for any
/// other text and for numbers beyond 64 bits.
std::optional<uint64_t> ParseWholeNumber(std::string_view text);

}  // namespace cowslip

#endif  // SOURCE_BASE_WHOLE_NUMBER_H_
