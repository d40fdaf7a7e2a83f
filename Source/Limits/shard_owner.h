#ifndef SOURCE_LIMITS_SHARD_OWNER_H_
#define SOURCE_LIMITS_SHARD_OWNER_H_

#include <optional>
#include <vector>

#include "Limits/limits_events.h"
#include "Limits/ownership_lease.h"
#include "Limits/share_ledger.h"

namespace cowslip {

/// \class ShardOwner
/// \brief The owner's side of one shard: its ownership lease, its record in the
/// store, its ledger, and the handover (recall all shares, stop, release).
class ShardOwner {
 public:
  /// The record is in the store with that version; its write began at
  /// `written`. Holders may use shares of the previous generation until
  /// `usable_from`.
  ShardOwner(LimitsShard shard,
             LimitsRecord record,
             ObjectVersion version,
             MonotonicTime written,
             MonotonicTime usable_from);

  OwnedShard id() const { return {m_shard, m_record.generation}; }
  const LimitsRecord& record() const { return m_record; }
  ShareLedger& ledger() { return m_ledger; }
  /// Depends only on the owner's own clock: a process that was paused past its
  /// lease stops admitting by itself.
  bool MayAdmit(MonotonicTime now) const;
  void AddPromise(const ProcessRef& witness, MonotonicTime sent);

  /// Starts to hand the shard over: recalls all shares, then releases the
  /// record.
  void StartHandover();
  bool handing_over() const { return m_handing_over; }

  /// The next write that is due, if any.
  std::optional<WriteRecord> NextWrite(const std::vector<ProcessRef>& witnesses,
                                       uint64_t write_token,
                                       const LimitTable& limits,
                                       MonotonicTime now);
  void HandleWritten(uint64_t write_token, ObjectVersion version);
  /// After a conflict or a write whose outcome is unknown: the record must be
  /// read.
  void HandleUncertainWrite() { m_read_needed = true; }
  /// Whether the record must be read. Clears the request: the caller starts the
  /// read.
  bool TakeReadRequest();
  /// Handles the record that the store holds now. False when the shard is lost
  /// to another owner.
  bool HandleRead(const LimitsRecord& record,
                  ObjectVersion version,
                  MonotonicTime now);
  void HandleReadFailed(MonotonicTime now);
  bool released() const { return m_record.released; }

 private:
  bool IsWriteDue(const std::vector<ProcessRef>& witnesses,
                  MonotonicTime now) const;
  void PrepareRelease(const LimitTable& limits, MonotonicTime now);

  const LimitsShard m_shard;
  LimitsRecord m_record;
  ObjectVersion m_version;
  const MonotonicTime m_usable_from;
  OwnershipLease m_lease;
  ShareLedger m_ledger;
  MonotonicTime m_last_written;
  MonotonicTime m_next_write;
  bool m_handing_over = false;
  /// Set when the release is first written; from then on this owner admits
  /// nothing.
  std::optional<InitialTokens> m_final_tokens;
  bool m_write_in_flight = false;
  bool m_read_needed = false;
  LimitsRecord m_pending_record;
  /// Writes conditional on m_version that may still take effect.
  std::vector<WriteAttempt> m_attempts;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_SHARD_OWNER_H_
