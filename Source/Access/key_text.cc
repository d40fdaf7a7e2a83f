#include "Access/key_text.h"

#include <algorithm>
#include <array>

#include <openssl/crypto.h>
#include <openssl/rand.h>

#include "Base/sha256.h"

namespace cowslip {

namespace {

constexpr size_t kKeyLength = kKeyPrefix.size() + kKeyRandomDigits;
constexpr std::string_view kBase32Digits = "abcdefghijklmnopqrstuvwxyz234567";

bool IsBase32Digit(char c) {
  return kBase32Digits.find(c) != std::string_view::npos;
}

// Returns where the next key begins, or npos.
size_t FindKeyText(std::string_view text, size_t from) {
  while (true) {
    const size_t begin = text.find(kKeyPrefix, from);
    if (begin == std::string_view::npos) {
      return begin;
    }
    const std::string_view digits =
        text.substr(begin + kKeyPrefix.size(), kKeyRandomDigits);
    if (digits.size() == kKeyRandomDigits &&
        std::all_of(digits.begin(), digits.end(), IsBase32Digit)) {
      return begin;
    }
    from = begin + 1;
  }
}

}  // namespace

Result<std::string> GenerateKey() {
  std::array<unsigned char, kKeyRandomDigits> random;
  if (RAND_bytes(random.data(), static_cast<int>(random.size())) != 1) {
    return Error(ErrorKind::kInternal,
                 "The system gave no random bytes. Run the command again.");
  }
  std::string key(kKeyPrefix);
  for (const unsigned char byte : random) {
    key += kBase32Digits[byte % kBase32Digits.size()];
  }
  return key;
}

Digest DigestOfKey(std::string_view key) {
  return Sha256(key);
}

bool DigestsEqual(const Digest& a, const Digest& b) {
  return a.value().size() == b.value().size() &&
         CRYPTO_memcmp(a.value().data(), b.value().data(), a.value().size()) ==
             0;
}

bool ContainsKey(std::string_view text) {
  return FindKeyText(text, 0) != std::string_view::npos;
}

std::string RedactKeys(std::string text) {
  size_t found = FindKeyText(text, 0);
  while (found != std::string::npos) {
    text.replace(found, kKeyLength, kKeyLength, 'x');
    found = FindKeyText(text, found);
  }
  return text;
}

}  // namespace cowslip
