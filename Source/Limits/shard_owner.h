#ifndef SOURCE_LIMITS_SHARD_OWNER_H_
#define SOURCE_LIMITS_SHARD_OWNER_H_

#include <optional>
#include <vector>

#include "Limits/limits_events.h"
#include "Limits/owner_right.h"
#include "Limits/share_ledger.h"

namespace cowslip {

/// \class ShardOwner
/// \brief The owner's side of one shard: its right to admit, its record in the
/// store, its ledger, and the way out (recall everything, stop, release).
class ShardOwner {
 public:
  /// The record is in the store with that version, by a write that began at
  /// `written`. Shares of the generation before may be used until
  /// `usable_from`.
  ShardOwner(LimitsShard shard,
             LimitsRecord record,
             ObjectVersion version,
             MonotonicTime written,
             MonotonicTime usable_from);

  OwnedShard id() const { return {m_shard, m_record.generation}; }
  const LimitsRecord& record() const { return m_record; }
  ShareLedger& ledger() { return m_ledger; }
  /// Reads only the owner's own clock: a process that was paused past its
  /// right stops by itself.
  bool MayAdmit(MonotonicTime now) const;
  void AddPromise(const ProcessRef& witness, MonotonicTime sent);

  /// Begins to hand the shard over.
  void StartHandover();
  bool handing_over() const { return m_handing_over; }

  /// The next write that is due, if any.
  std::optional<WriteRecord> NextWrite(const std::vector<ProcessRef>& witnesses,
                                       uint64_t write_token,
                                       const LimitTable& limits,
                                       MonotonicTime now);
  void HandleWritten(uint64_t write_token, ObjectVersion version);
  /// After a conflict or an outcome in doubt: the record must be read.
  void HandleInDoubt() { m_must_read = true; }
  /// A read for it is on its way from now on.
  bool TakeMustRead();
  /// What the store holds now. False when the shard is lost to another.
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
  OwnerRight m_right;
  ShareLedger m_ledger;
  MonotonicTime m_written;
  MonotonicTime m_next_write;
  bool m_handing_over = false;
  /// Stopped for good; set when the release is written.
  std::optional<InitialTokens> m_closed;
  bool m_write_in_flight = false;
  bool m_must_read = false;
  LimitsRecord m_pending;
  /// Writes over m_version that may still take effect.
  std::vector<WriteAttempt> m_attempts;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_SHARD_OWNER_H_
