#ifndef SOURCE_LIMITS_OWNER_RIGHT_H_
#define SOURCE_LIMITS_OWNER_RIGHT_H_

#include <cstdint>
#include <map>
#include <vector>

#include "Base/time.h"
#include "Limits/limits_record.h"

namespace cowslip {

/// \class WriteAttempt
/// \brief A write of the record whose outcome is not known yet.
struct WriteAttempt {
  uint64_t token = 0;
  MonotonicTime started;
  std::vector<ProcessRef> witnesses;
};

/// \class OwnerRight
/// \brief Until when the owner of a shard may admit, by its own clock.
///
/// It needs promises from a majority of the record's witnesses. While a write
/// that changes the witnesses is in doubt, it needs a majority of each set that
/// may be in the store, since a claimant asks the one that it reads.
class OwnerRight {
 public:
  /// The record is in the store, by a write that began at `started`.
  void Confirm(std::vector<ProcessRef> witnesses, MonotonicTime started);
  /// A write with these witnesses may take effect from now on.
  void AddDoubt(const std::vector<ProcessRef>& witnesses);
  /// That witness promised, in answer to a message sent at `sent`.
  void AddPromise(const ProcessRef& witness, MonotonicTime sent);

  MonotonicTime until() const;

 private:
  MonotonicTime MajorityUntil(const std::vector<ProcessRef>& witnesses) const;

  /// The confirmed set first.
  std::vector<std::vector<ProcessRef>> m_witness_sets;
  MonotonicTime m_record_written;
  std::map<VmId, std::pair<Incarnation, MonotonicTime>> m_promises;
};

/// How many of that many witnesses make a majority.
constexpr size_t MajorityOf(size_t witnesses) {
  return witnesses / 2 + 1;
}

}  // namespace cowslip

#endif  // SOURCE_LIMITS_OWNER_RIGHT_H_
