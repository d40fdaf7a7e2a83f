#ifndef SOURCE_LIMITS_OWNERSHIP_LEASE_H_
#define SOURCE_LIMITS_OWNERSHIP_LEASE_H_

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

/// \class OwnershipLease
/// \brief Computes until when the owner of a shard may admit, by its own clock.
///
/// The lease needs promises from a majority of the record's witnesses. While
/// the outcome of a write that changes the witnesses is unknown, it needs a
/// majority of each set that may be in the store, since a claimant asks the set
/// that it reads.
class OwnershipLease {
 public:
  /// The record is in the store; its write began at `started`.
  void Confirm(std::vector<ProcessRef> witnesses, MonotonicTime started);
  /// A write with these witnesses may take effect from now on.
  void AddUncertainWrite(const std::vector<ProcessRef>& witnesses);
  /// That witness has given a promise in reply to a message sent at `sent`.
  void AddPromise(const ProcessRef& witness, MonotonicTime sent);

  MonotonicTime expiry() const;

 private:
  MonotonicTime MajorityExpiry(const std::vector<ProcessRef>& witnesses) const;

  /// The confirmed set first.
  std::vector<std::vector<ProcessRef>> m_witness_sets;
  MonotonicTime m_record_written;
  std::map<VmId, std::pair<Incarnation, MonotonicTime>> m_promises;
};

/// The size of a majority of that many witnesses.
constexpr size_t MajorityOf(size_t witnesses) {
  return witnesses / 2 + 1;
}

}  // namespace cowslip

#endif  // SOURCE_LIMITS_OWNERSHIP_LEASE_H_
