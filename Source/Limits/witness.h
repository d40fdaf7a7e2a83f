#ifndef SOURCE_LIMITS_WITNESS_H_
#define SOURCE_LIMITS_WITNESS_H_

#include <map>

#include "Base/time.h"
#include "Limits/limits_messages.h"

namespace cowslip {

/// \class Witness
/// \brief What this process has promised to owners and approved for claimants.
///
/// An approval of the end of a generation is final; it is given only when no
/// promise to that shard is outstanding, those of this VM's earlier process
/// included.
class Witness {
 public:
  explicit Witness(MonotonicTime started) : m_started(started) {}

  /// Promises until kPromiseTime has passed. False when the end of that
  /// generation has been approved.
  bool Promise(const OwnedShard& shard, MonotonicTime now);
  /// Agrees that the generation ends, or does not yet.
  bool Approve(const OwnedShard& shard, MonotonicTime now);

 private:
  struct State {
    LimitsGeneration approved;
    MonotonicTime promised_until;
  };
  const MonotonicTime m_started;
  std::map<LimitsShard, State> m_shards;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_WITNESS_H_
