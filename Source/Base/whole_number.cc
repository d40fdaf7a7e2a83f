#include "Base/whole_number.h"

#include <charconv>

namespace cowslip {

std::optional<uint64_t> ParseWholeNumber(std::string_view text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace cowslip
