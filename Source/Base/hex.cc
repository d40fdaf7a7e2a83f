#include "Base/hex.h"

namespace cowslip {

namespace {

constexpr char kHexDigits[] = "0123456789abcdef";

}  // namespace

std::string ToHex(std::span<const unsigned char> bytes) {
  std::string text;
  text.reserve(2 * bytes.size());
  for (const unsigned char byte : bytes) {
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 15];
  }
  return text;
}

}  // namespace cowslip
