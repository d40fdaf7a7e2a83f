#include "Net/http_message.h"

#include <algorithm>
#include <cctype>

#include "Net/percent_encoding.h"

namespace cowslip {

namespace {

// Decodes a name or value of a query, in which a plus sign encodes a space.
std::string DecodeQueryPart(std::string_view text) {
  std::string with_spaces(text);
  std::replace(with_spaces.begin(), with_spaces.end(), '+', ' ');
  return PercentDecode(with_spaces);
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
  const size_t question_mark = target.find('?');
  if (question_mark == std::string::npos) {
    return std::nullopt;
  }
  std::string_view rest = std::string_view(target).substr(question_mark + 1);
  while (!rest.empty()) {
    const size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const size_t equals = std::min(pair.find('='), pair.size());
    if (DecodeQueryPart(pair.substr(0, equals)) == name) {
      return DecodeQueryPart(pair.substr(std::min(equals + 1, pair.size())));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return std::nullopt;
}

}  // namespace cowslip
