#include "Base/json.h"

#include <algorithm>
#include <vector>

namespace cowslip {

namespace {

using nlohmann::json;

// Stops the parser at the depth limit before a value is built, because the
// recursive destruction of a deeply nested value could overflow the stack.
class DepthChecker : public nlohmann::json_sax<json> {
 public:
  explicit DepthChecker(size_t max_depth) : m_max_depth(max_depth) {}

  bool too_deep() const { return m_too_deep; }
  const std::string& error() const { return m_error; }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception& error) override {
    m_error = error.what();
    return false;
  }

 private:
  bool Enter() {
    ++m_depth;
    m_too_deep = m_depth > m_max_depth;
    return !m_too_deep;
  }
  bool Leave() {
    --m_depth;
    return true;
  }

  const size_t m_max_depth;
  size_t m_depth = 0;
  bool m_too_deep = false;
  std::string m_error;
};

Result<json> Parse(std::string_view bytes,
                   const JsonLimits& limits,
                   json::input_format_t format,
                   ErrorKind malformed) {
  if (bytes.size() > limits.max_bytes) {
    return Error(ErrorKind::kTooLarge,
                 "The document has " + std::to_string(bytes.size()) +
                     " bytes. Send at most " +
                     std::to_string(limits.max_bytes) + ".");
  }
  DepthChecker checker(limits.max_depth);
  if (!json::sax_parse(bytes, &checker, format)) {
    if (checker.too_deep()) {
      return Error(malformed, "The document nests too deeply. Use at most " +
                                  std::to_string(limits.max_depth) +
                                  " levels of arrays and objects.");
    }
    return Error(malformed, "Correct the document: " + checker.error() + ".");
  }
  json parsed = format == json::input_format_t::cbor
                    ? json::from_cbor(bytes, true, false)
                    : json::parse(bytes, nullptr, false);
  if (parsed.is_discarded()) {
    return Error(malformed, "Correct the document: it cannot be decoded.");
  }
  return parsed;
}

}  // namespace

Result<json> ParseJson(std::string_view text, const JsonLimits& limits) {
  return Parse(text, limits, json::input_format_t::json,
               ErrorKind::kInvalidArgument);
}

Result<json> ParseCbor(std::string_view bytes, const JsonLimits& limits) {
  return Parse(bytes, limits, json::input_format_t::cbor,
               ErrorKind::kMalformedMessage);
}

std::string ToCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

std::string DumpJson(const json& value, int indent) {
  return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

}  // namespace cowslip
