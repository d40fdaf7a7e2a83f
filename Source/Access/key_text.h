#ifndef SOURCE_ACCESS_KEY_TEXT_H_
#define SOURCE_ACCESS_KEY_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "Base/ids.h"
#include "Base/result.h"

namespace cowslip {

/// Every key begins with this, so that it can be found where it does not
/// belong.
inline constexpr std::string_view kKeyPrefix = "chk_";
/// Random base32 digits after the prefix: 160 bits.
inline constexpr size_t kKeyRandomDigits = 32;

/// Makes a new key from the system's random generator. It is shown once and
/// only its digest is kept. Errors: kInternal.
Result<std::string> GenerateKey();

/// The digest under which a key is kept.
Digest DigestOfKey(std::string_view key);

/// Compares two digests in constant time.
bool DigestsEqual(const Digest& a, const Digest& b);

/// Whether some part of `text` has the shape of a key.
bool ContainsKey(std::string_view text);

/// Replaces each part with the shape of a key by as many `x`.
std::string RedactKeys(std::string text);

}  // namespace cowslip

#endif  // SOURCE_ACCESS_KEY_TEXT_H_
