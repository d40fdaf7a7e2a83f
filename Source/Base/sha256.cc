#include "Base/sha256.h"

#include <array>
#include <string>

#include <openssl/sha.h>

namespace cowslip {

namespace {

constexpr char kHexDigits[] = "0123456789abcdef";

}  // namespace

Digest Sha256(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> raw;
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         raw.data());
  std::string text;
  text.reserve(2 * raw.size());
  for (const unsigned char byte : raw) {
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 15];
  }
  return Digest(std::move(text));
}

}  // namespace cowslip
