#ifndef SOURCE_LIMITS_SHARD_CLAIM_H_
#define SOURCE_LIMITS_SHARD_CLAIM_H_

#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "Limits/limits_events.h"
#include "Limits/owner_right.h"

namespace cowslip {

/// Ask these witnesses to approve the end of that generation.
struct RequestApprovals {
  OwnedShard shard;
  ObjectVersion version;
  std::vector<VmId> witnesses;
};
using ClaimStep = std::variant<ReadRecord, RequestApprovals, WriteRecord>;

/// \class WonClaim
/// \brief What a won claim leads to.
struct WonClaim {
  LimitsRecord record;
  ObjectVersion version;
  MonotonicTime written;
  MonotonicTime usable_from;
};

/// \class ShardClaim
/// \brief This process's way to own one shard that no live owner announces.
///
/// It reads the record, asks the witnesses that the record names, and writes
/// the next generation over the version that it read.
class ShardClaim {
 public:
  /// `abandoned` is the last generation that this process has owned and given
  /// up, or 0.
  ShardClaim(LimitsShard shard, ProcessRef self, LimitsGeneration abandoned)
      : m_shard(shard), m_self(std::move(self)), m_abandoned(abandoned) {}

  /// The next step that is due, if any.
  std::optional<ClaimStep> NextStep(const std::vector<ProcessRef>& witnesses,
                                    uint64_t write_token,
                                    MonotonicTime now);
  void HandleApproval(const VmId& witness,
                      LimitsGeneration generation,
                      ObjectVersion version);
  /// The store's answers. Only HandleRead and HandleWritten can win.
  std::optional<WonClaim> HandleRead(const std::optional<LimitsRecord>& record,
                                     ObjectVersion version,
                                     MonotonicTime now);
  std::optional<WonClaim> HandleWritten(uint64_t write_token,
                                        ObjectVersion version,
                                        MonotonicTime now);
  void HandleFailed(MonotonicTime now);

 private:
  bool MayWrite(MonotonicTime now) const;
  /// The old owner has surely ended, or has given up.
  bool OwnerIsGone() const;
  bool IsApproved() const;
  std::optional<WonClaim> TakeOwn(MonotonicTime now) const;
  /// Shares handed out in the generation before may be used until then.
  MonotonicTime UsableFrom(MonotonicTime now) const;

  const LimitsShard m_shard;
  const ProcessRef m_self;
  const LimitsGeneration m_abandoned;
  bool m_in_flight = false;
  bool m_have_read = false;
  MonotonicTime m_next_step;
  /// As last read.
  std::optional<LimitsRecord> m_record;
  ObjectVersion m_version;
  MonotonicTime m_version_seen;
  std::set<VmId> m_approvals;
  LimitsRecord m_pending;
  std::vector<WriteAttempt> m_attempts;
  bool m_wait_for_holders = false;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_SHARD_CLAIM_H_
