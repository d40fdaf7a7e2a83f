#ifndef SOURCE_BASE_RENDEZVOUS_H_
#define SOURCE_BASE_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "Base/ids.h"

namespace cowslip {

/// The score of a node for a key in rendezvous hashing: the node with the
/// highest score takes the key. The same on every VM.
uint64_t RendezvousScore(std::string_view key, std::string_view node);

/// Returns up to `count` of `nodes`, highest score for `key` first. When one
/// node goes away, only the keys that it held move.
std::vector<VmId> RendezvousPick(std::string_view key,
                                 const std::vector<VmId>& nodes,
                                 size_t count);

}  // namespace cowslip

#endif  // SOURCE_BASE_RENDEZVOUS_H_
