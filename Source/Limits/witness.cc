#include "Limits/witness.h"

#include <algorithm>

#include "Limits/limits_constants.h"

namespace cowslip {

bool Witness::Promise(const OwnedShard& shard, MonotonicTime now) {
  State& state = m_shards[shard.shard];
  if (shard.generation <= state.approved) {
    return false;
  }
  const MonotonicTime until = now + WithClockDriftMargin(kPromiseDuration);
  state.promised_until = std::max(state.promised_until, until);
  return true;
}

bool Witness::Approve(const OwnedShard& shard, MonotonicTime now) {
  // This VM's previous process may have given a promise just before it ended.
  if (now < m_started + WithClockDriftMargin(kPromiseDuration)) {
    return false;
  }
  State& state = m_shards[shard.shard];
  if (now < state.promised_until) {
    return false;
  }
  state.approved = std::max(state.approved, shard.generation);
  return true;
}

}  // namespace cowslip
