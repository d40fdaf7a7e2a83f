#ifndef SOURCE_BASE_JSON_H_
#define SOURCE_BASE_JSON_H_

#include <cstddef>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Base/result.h"

namespace cowslip {

/// \class JsonLimits
/// \brief Limits on a document from an external source.
struct JsonLimits {
  size_t max_bytes = 1 << 20;
  /// Maximum nesting depth of arrays and objects.
  size_t max_depth = 32;
  /// Maximum memory of the decoded document, which may be 30 times as large as
  /// its text. A fifth of the memory of an entry VM with 120 MB.
  size_t max_memory = 24 << 20;
};

/// Parses JSON text from an external source. Errors: kTooLarge,
/// kInvalidArgument.
Result<nlohmann::json> ParseJson(std::string_view text,
                                 const JsonLimits& limits = {});

/// Decodes a CBOR frame from an external source. Errors: kTooLarge,
/// kMalformedMessage.
Result<nlohmann::json> ParseCbor(std::string_view bytes,
                                 const JsonLimits& limits = {});

/// Encodes to CBOR bytes.
std::string ToCbor(const nlohmann::json& json);

/// Serializes to JSON text, replacing invalid UTF-8 instead of throwing.
std::string DumpJson(const nlohmann::json& json, int indent = -1);

}  // namespace cowslip

#endif  // SOURCE_BASE_JSON_H_
