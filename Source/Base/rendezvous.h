#ifndef SOURCE_BASE_RENDEZVOUS_H_
#define SOURCE_BASE_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "Base/ids.h"

namespace cowslip {

/// Returns the score of a node for a key in rendezvous hashing: the node with
/// the highest score owns the key. All VMs compute the same score.
uint64_t RendezvousScore(std::string_view key, std::string_view node);

/// Returns up to `count` of `nodes`, highest score for `key` first. When a
/// node is removed, only the keys that it owned move.
std::vector<VmId> RendezvousPick(std::string_view key,
                                 const std::vector<VmId>& nodes,
                                 size_t count);

}  // namespace cowslip

#endif  // SOURCE_BASE_RENDEZVOUS_H_
