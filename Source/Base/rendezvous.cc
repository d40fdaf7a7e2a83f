#include "Base/rendezvous.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cowslip {

uint64_t RendezvousScore(std::string_view key, std::string_view node) {
  const uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

std::vector<VmId> RendezvousPick(std::string_view key,
                                 const std::vector<VmId>& nodes,
                                 size_t count) {
  std::vector<std::pair<uint64_t, VmId>> scored;
  scored.reserve(nodes.size());
  for (const VmId& node : nodes) {
    scored.emplace_back(RendezvousScore(key, node.value()), node);
  }
  const size_t taken = std::min(count, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + taken, scored.end(),
                    [](const auto& a, const auto& b) { return b < a; });
  std::vector<VmId> picked;
  picked.reserve(taken);
  for (size_t i = 0; i < taken; ++i) {
    picked.push_back(std::move(scored[i].second));
  }
  return picked;
}

}  // namespace cowslip
