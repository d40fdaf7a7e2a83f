#include "Net/percent_encoding.h"

#include <cctype>

namespace cowslip {

namespace {

constexpr char kHexDigits[] = "0123456789ABCDEF";

bool IsUnescaped(unsigned char c) {
  const bool alphanumeric = c < 0x80 && std::isalnum(c) != 0;
  return alphanumeric || std::string_view("-._~/").find(static_cast<char>(c)) !=
                             std::string_view::npos;
}

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(c));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (IsUnescaped(byte)) {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kHexDigits[byte / 16];
      encoded += kHexDigits[byte % 16];
    }
  }
  return encoded;
}

std::string PercentEncodeSegment(std::string_view text) {
  std::string encoded;
  for (const char c : PercentEncode(text)) {
    if (c == '/') {
      encoded += "%2F";
    } else {
      encoded += c;
    }
  }
  return encoded;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool escaped = text[i] == '%' && i + 2 < text.size() &&
                         HexValue(text[i + 1]) >= 0 &&
                         HexValue(text[i + 2]) >= 0;
    if (escaped) {
      decoded +=
          static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

}  // namespace cowslip
