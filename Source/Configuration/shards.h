#ifndef SOURCE_CONFIGURATION_SHARDS_H_
#define SOURCE_CONFIGURATION_SHARDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Configuration/declarations.h"

namespace cowslip {

/// Organisations and keys are each kept in this many content objects, so that
/// one change rewrites a small part.
inline constexpr size_t kShardCount = 64;

/// A stable 64-bit hash (FNV-1a); the same on every VM and in every release.
constexpr uint64_t StableHash(std::string_view text) {
  uint64_t hash = 0xcbf29ce484222325u;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3u;
  }
  return hash;
}

/// The shard of an organisation or of a key's digest.
template <class Id>
size_t ShardOf(const Id& id) {
  return StableHash(id.value()) % kShardCount;
}

/// The name of a shard in the head: two digits.
inline std::string ShardName(size_t shard) {
  std::string digits = std::to_string(shard);
  return digits.size() < 2 ? "0" + digits : digits;
}

using OrganisationShard =
    std::unordered_map<OrganisationId, OrganisationDeclaration>;
using KeyShard = std::unordered_map<Digest, KeyRecord>;

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_SHARDS_H_
