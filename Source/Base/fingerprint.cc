#include "Base/fingerprint.h"

#include <string>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "Base/hex.h"

namespace cowslip {

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
  return Fingerprint(ToHex(canonical.digest));
}

}  // namespace cowslip
