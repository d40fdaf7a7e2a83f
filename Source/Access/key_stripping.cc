#include "Access/key_stripping.h"

#include <algorithm>
#include <set>

#include "Access/key_text.h"
#include "Net/percent_encoding.h"

namespace cowslip {

namespace {

constexpr std::string_view kForwardedNames[] = {
    "Accept",      "Accept-Language", "Content-Type",
    "User-Agent",  "X-Request-Id",    "Idempotency-Key",
    "Traceparent", "Tracestate",      "Content-Language"};
constexpr std::string_view kKeyParameters[] = {"api_key", "key",
                                               "access_token"};
constexpr std::string_view kBearer = "bearer ";
/// How often an escaped text is unescaped in search of a key.
constexpr int kMaxEscapePasses = 4;

// Finds keys that were escaped more than once, too.
std::string RepeatedlyDecode(std::string_view text) {
  std::string decoded(text);
  for (int pass = 0; pass < kMaxEscapePasses; ++pass) {
    decoded = PercentDecode(decoded);
  }
  return decoded;
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c | 0x20) : c;
  }
  return lower;
}

std::string_view Trim(std::string_view text) {
  const size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::vector<std::string_view> Split(std::string_view text,
                                    std::string_view separators) {
  std::vector<std::string_view> pieces;
  while (true) {
    const size_t end = text.find_first_of(separators);
    pieces.push_back(text.substr(0, end));
    if (end == std::string_view::npos) {
      return pieces;
    }
    text.remove_prefix(end + 1);
  }
}

struct Target {
  std::string_view path;
  std::string_view query;
};

Target SplitTarget(std::string_view target) {
  target = target.substr(0, target.find('#'));
  const size_t mark = target.find('?');
  if (mark == std::string_view::npos) {
    return {.path = target};
  }
  return {.path = target.substr(0, mark), .query = target.substr(mark + 1)};
}

bool IsKeyParameter(std::string_view parameter) {
  const std::string name =
      ToLower(RepeatedlyDecode(parameter.substr(0, parameter.find('='))));
  return std::find(std::begin(kKeyParameters), std::end(kKeyParameters),
                   Trim(name)) != std::end(kKeyParameters);
}

bool IsForwarded(const HttpHeader& header) {
  const auto same = [&](std::string_view name) {
    return HeaderNameEquals(name, header.name);
  };
  return std::any_of(std::begin(kForwardedNames), std::end(kForwardedNames),
                     same);
}

std::optional<std::string> KeyOfHeader(const HttpHeader& header) {
  const std::string_view value = Trim(header.value);
  if (HeaderNameEquals(header.name, "X-Api-Key")) {
    return std::string(value);
  }
  if (HeaderNameEquals(header.name, "Authorization") &&
      ToLower(value.substr(0, kBearer.size())) == kBearer) {
    return std::string(Trim(value.substr(kBearer.size())));
  }
  return std::nullopt;
}

std::string StripQuery(std::string_view query) {
  std::string kept;
  for (const std::string_view parameter : Split(query, "&;")) {
    if (parameter.empty() || IsKeyParameter(parameter) ||
        ContainsKey(RepeatedlyDecode(parameter))) {
      continue;
    }
    kept += kept.empty() ? "" : "&";
    kept += parameter;
  }
  return kept;
}

// A header that may pass is still dropped when a caller put a key there.
bool HoldsKey(std::string_view value) {
  return ContainsKey(value) || ContainsKey(RepeatedlyDecode(value));
}

}  // namespace

std::optional<std::string> ExtractKey(const HttpHeaders& headers,
                                      std::string_view target) {
  std::set<std::string> keys;
  for (const HttpHeader& header : headers) {
    if (std::optional<std::string> key = KeyOfHeader(header)) {
      keys.insert(std::move(*key));
    }
  }
  for (const std::string_view parameter :
       Split(SplitTarget(target).query, "&;")) {
    const size_t equals = parameter.find('=');
    if (IsKeyParameter(parameter) && equals != std::string_view::npos) {
      keys.insert(PercentDecode(parameter.substr(equals + 1)));
    }
  }
  if (keys.empty()) {
    return std::nullopt;
  }
  return keys.size() == 1 ? *keys.begin() : std::string();
}

ForwardableRequest StripKeys(const HttpHeaders& headers,
                             std::string_view target) {
  ForwardableRequest kept;
  for (const HttpHeader& header : headers) {
    if (IsForwarded(header) && !HoldsKey(header.value)) {
      kept.headers.push_back({.name = header.name, .value = header.value});
    }
  }
  const Target parts = SplitTarget(target);
  kept.target = RedactKeys(std::string(parts.path));
  if (ContainsKey(RepeatedlyDecode(kept.target))) {
    kept.target = RedactKeys(RepeatedlyDecode(kept.target));
  }
  const std::string query = StripQuery(parts.query);
  if (!query.empty()) {
    kept.target += "?" + query;
  }
  return kept;
}

}  // namespace cowslip
