#ifndef SOURCE_LIMITS_SHARD_CLAIM_H_
#define SOURCE_LIMITS_SHARD_CLAIM_H_

#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "Limits/limits_events.h"
#include "Limits/ownership_lease.h"

namespace cowslip {

/// Request these witnesses' approval of the end of that generation.
struct RequestApprovals {
  OwnedShard shard;
  ObjectVersion version;
  std::vector<VmId> witnesses;
};
using ClaimStep = std::variant<ReadRecord, RequestApprovals, WriteRecord>;

/// \class WonClaim
/// \brief The record that a won claim has stored, and when its shares may be
/// used.
struct WonClaim {
  LimitsRecord record;
  ObjectVersion version;
  MonotonicTime written;
  MonotonicTime usable_from;
};

/// \class ShardClaim
/// \brief Tries to become the owner of one shard that no live owner announces.
///
/// It reads the record, asks the witnesses that the record names, and writes
/// the next generation, conditional on the version that it read.
class ShardClaim {
 public:
  /// `abandoned` is the last generation that this process has owned and given
  /// up, or 0.
  ShardClaim(LimitsShard shard, ProcessRef self, LimitsGeneration abandoned)
      : m_shard(shard),
        m_self(std::move(self)),
        m_abandoned_generation(abandoned) {}

  /// The next step that is due, if any.
  std::optional<ClaimStep> NextStep(const std::vector<ProcessRef>& witnesses,
                                    uint64_t write_token,
                                    MonotonicTime now);
  void HandleApproval(const VmId& witness,
                      LimitsGeneration generation,
                      ObjectVersion version);
  /// Results of store calls. Only HandleRead and HandleWritten can win the
  /// claim.
  std::optional<WonClaim> HandleRead(const std::optional<LimitsRecord>& record,
                                     ObjectVersion version,
                                     MonotonicTime now);
  std::optional<WonClaim> HandleWritten(uint64_t write_token,
                                        ObjectVersion version,
                                        MonotonicTime now);
  void HandleStoreFailure(MonotonicTime now);

 private:
  bool MayWrite(MonotonicTime now) const;
  /// Whether the old owner has certainly ended or has released the shard.
  bool IsOwnerGone() const;
  bool IsApproved() const;
  std::optional<WonClaim> RecoverOwnWrite(MonotonicTime now) const;
  /// The time until which holders may use shares of the previous generation.
  MonotonicTime UsableFrom(MonotonicTime now) const;

  const LimitsShard m_shard;
  const ProcessRef m_self;
  const LimitsGeneration m_abandoned_generation;
  bool m_store_call_in_flight = false;
  bool m_record_ready = false;
  MonotonicTime m_next_step;
  /// The record as last read.
  std::optional<LimitsRecord> m_record;
  ObjectVersion m_version;
  MonotonicTime m_version_seen_at;
  std::set<VmId> m_approvals;
  LimitsRecord m_pending_record;
  std::vector<WriteAttempt> m_attempts;
  bool m_wait_for_holders = false;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_SHARD_CLAIM_H_
