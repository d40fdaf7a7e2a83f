#include "Net/http_head.h"

#include <algorithm>
#include <string>

namespace cowslip {

namespace {

constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";
constexpr char kDelete = 0x7f;

// The longest name or value that Beast can hold in a field.
constexpr size_t kMaxFieldBytes = 0xfffd;

// How much of a wrong name an error message shows.
constexpr size_t kMaxShownBytes = 40;

bool IsAlphanumeric(char c) {
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
         (c >= 'a' && c <= 'z');
}

bool IsControl(char c) {
  return static_cast<unsigned char>(c) < ' ' || c == kDelete;
}

bool IsBlank(char c) {
  return c == ' ' || c == '\t';
}

// A name with text that a log line and an error message can show.
std::string Printable(std::string_view text) {
  std::string shown(text.substr(0, kMaxShownBytes));
  std::replace_if(shown.begin(), shown.end(), IsControl, '?');
  return shown;
}

}  // namespace

bool IsRequestTarget(std::string_view text) {
  return text.starts_with('/') &&
         std::none_of(text.begin(), text.end(),
                      [](char c) { return c == ' ' || IsControl(c); });
}

bool IsHeaderName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxFieldBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return IsAlphanumeric(c) ||
                  kTokenMarks.find(c) != std::string_view::npos;
         });
}

bool IsHeaderValue(std::string_view text) {
  if (text.size() > kMaxFieldBytes) {
    return false;
  }
  // Recipients drop blanks at the ends, so that the value would change.
  if (!text.empty() && (IsBlank(text.front()) || IsBlank(text.back()))) {
    return false;
  }
  return std::none_of(text.begin(), text.end(),
                      [](char c) { return c != '\t' && IsControl(c); });
}

Result<void> CheckHeader(const HttpHeader& header) {
  if (!IsHeaderName(header.name)) {
    return Error(ErrorKind::kInvalidArgument,
                 "The header name `" + Printable(header.name) +
                     "` is not a token. Use letters, digits and hyphens.");
  }
  if (!IsHeaderValue(header.value)) {
    return Error(ErrorKind::kInvalidArgument,
                 "The value of the header `" + header.name +
                     "` has a control character, a blank at an end or more "
                     "than " +
                     std::to_string(kMaxFieldBytes) + " bytes. Correct it.");
  }
  return Ok();
}

Result<void> CheckRequestHead(const HttpRequest& request) {
  if (!IsHeaderName(request.method)) {
    return Error(ErrorKind::kInvalidArgument,
                 "The method of the request is not a token. Correct it.");
  }
  if (!IsRequestTarget(request.target)) {
    return Error(ErrorKind::kInvalidArgument,
                 "The path of the request does not begin with a slash, or has "
                 "a blank or a control character. Percent-encode these.");
  }
  for (const HttpHeader& header : request.headers) {
    const Result<void> checked = CheckHeader(header);
    if (!checked.has_value()) {
      return checked;
    }
  }
  return Ok();
}

}  // namespace cowslip
