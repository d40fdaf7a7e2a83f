#include "Base/fingerprint.h"

#include <string>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cowslip {

namespace {

constexpr char kHex[] = "0123456789abcdef";

}  // namespace

Fingerprint FingerprintOf(const OrganisationId& organisation,
                          std::string_view target,
                          std::string_view body) {
  std::string text = organisation.value();
  text += '\0';
  text += target;
  text += '\0';
  text += body;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  std::string hex;
  for (const unsigned char byte : canonical.digest) {
    hex += kHex[byte >> 4];
    hex += kHex[byte & 15];
  }
  return Fingerprint(hex);
}

}  // namespace cowslip
