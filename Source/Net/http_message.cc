#include "Net/http_message.h"

#include <algorithm>
#include <cctype>

namespace cowslip {

namespace {

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(c));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
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
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

}  // namespace

bool HeaderNameEquals(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (HeaderNameEquals(header.name, name)) {
      return header.value;
    }
  }
  return std::nullopt;
}

std::string HttpRequest::Path() const {
  return target.substr(0, target.find('?'));
}

std::optional<std::string> HttpRequest::Query(std::string_view name) const {
  const size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return std::nullopt;
  }
  std::string_view rest = std::string_view(target).substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const size_t equals = std::min(pair.find('='), pair.size());
    if (PercentDecode(pair.substr(0, equals)) == name) {
      return PercentDecode(pair.substr(std::min(equals + 1, pair.size())));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return std::nullopt;
}

}  // namespace cowslip
