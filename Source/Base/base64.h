#ifndef SOURCE_BASE_BASE64_H_
#define SOURCE_BASE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace cowslip {

/// Decodes padded base64; nullopt for anything else.
std::optional<std::string> DecodeBase64(std::string_view text);

/// Encodes to padded base64.
std::string EncodeBase64(std::string_view bytes);

}  // namespace cowslip

#endif  // SOURCE_BASE_BASE64_H_
