#ifndef SOURCE_LIMITS_WITNESS_H_
#define SOURCE_LIMITS_WITNESS_H_

#include <map>

#include "Base/time.h"
#include "Limits/limits_messages.h"

namespace cowslip {

/// \class Witness
/// \brief Records the promises that this process has given to owners and the
/// approvals that it has given to claimants.
///
/// An approval of the end of a generation is final; it is given only when no
/// promise for that shard is outstanding, including promises of this VM's
/// earlier process.
class Witness {
 public:
  explicit Witness(MonotonicTime started) : m_started(started) {}

  /// Gives a promise until kPromiseDuration has passed. False when the end of
  /// that generation has been approved.
  bool Promise(const OwnedShard& shard, MonotonicTime now);
  /// Approves the end of the generation. False while a promise may be
  /// outstanding.
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
