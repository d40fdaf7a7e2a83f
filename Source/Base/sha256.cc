#include "Base/sha256.h"

#include <array>

#include <openssl/sha.h>

#include "Base/hex.h"

namespace cowslip {

Digest Sha256(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> raw;
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         raw.data());
  return Digest(ToHex(raw));
}

}  // namespace cowslip
