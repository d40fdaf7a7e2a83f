#include "Base/json.h"

#include <algorithm>
#include <vector>

namespace cowslip {

namespace {

using nlohmann::json;

// What decoded parts take, with the overhead of their allocations: a value
// stands in a vector that may have room for twice as many, and a member in a
// node of a map.
constexpr size_t kValueBytes = 2 * sizeof(json);
constexpr size_t kStringBytes = 48;
constexpr size_t kMemberBytes = 80;
constexpr size_t kContainerBytes = 64;

// Stops the parser at a limit before a value is built: the recursive
// destruction of a deeply nested value could overflow the stack, and a text of
// many short values takes far more memory than its bytes.
class LimitChecker : public nlohmann::json_sax<json> {
 public:
  explicit LimitChecker(const JsonLimits& limits)
      : m_max_depth(limits.max_depth), m_max_memory(limits.max_memory) {}

  bool too_deep() const { return m_too_deep; }
  bool too_large() const { return m_memory > m_max_memory; }
  const std::string& error() const { return m_error; }

  bool null() override { return Take(0); }
  bool boolean(bool) override { return Take(0); }
  bool number_integer(number_integer_t) override { return Take(0); }
  bool number_unsigned(number_unsigned_t) override { return Take(0); }
  bool number_float(number_float_t, const string_t&) override {
    return Take(0);
  }
  bool string(string_t& value) override {
    return Take(kStringBytes + value.size());
  }
  bool binary(binary_t& value) override {
    return Take(kStringBytes + value.size());
  }
  bool key(string_t& name) override { return Take(kMemberBytes + name.size()); }
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
    return !m_too_deep && Take(kContainerBytes);
  }
  // Takes the memory of a value and of what it refers to.
  bool Take(size_t more) {
    m_memory += kValueBytes + more;
    return !too_large();
  }
  bool Leave() {
    --m_depth;
    return true;
  }

  const size_t m_max_depth;
  const size_t m_max_memory;
  size_t m_depth = 0;
  size_t m_memory = 0;
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
  LimitChecker checker(limits);
  if (!json::sax_parse(bytes, &checker, format)) {
    if (checker.too_deep()) {
      return Error(malformed, "The document nests too deeply. Use at most " +
                                  std::to_string(limits.max_depth) +
                                  " levels of arrays and objects.");
    }
    if (checker.too_large()) {
      return Error(ErrorKind::kTooLarge,
                   "The document takes more than " +
                       std::to_string(limits.max_memory) +
                       " bytes of memory when it is decoded. Send fewer values "
                       "at once.");
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
