#include "Limits/shard_owner.h"

#include <algorithm>
#include <utility>

#include "Limits/limits_constants.h"

namespace cowslip {
namespace {

InitialTokens TokensOf(const LimitsRecord& record) {
  return {record.tokens, std::chrono::milliseconds(record.idle_ms)};
}

}  // namespace

ShardOwner::ShardOwner(LimitsShard shard,
                       LimitsRecord record,
                       ObjectVersion version,
                       MonotonicTime written,
                       MonotonicTime usable_from)
    : m_shard(shard),
      m_record(std::move(record)),
      m_version(version),
      m_usable_from(usable_from),
      m_ledger(TokensOf(m_record), usable_from),
      m_written(written),
      m_next_write(written) {
  m_right.Confirm(m_record.witnesses, written);
}

bool ShardOwner::MayAdmit(MonotonicTime now) const {
  return !m_closed && now >= m_usable_from && now < m_right.until();
}

void ShardOwner::AddPromise(const ProcessRef& witness, MonotonicTime sent) {
  m_right.AddPromise(witness, sent);
}

void ShardOwner::StartHandover() {
  m_handing_over = true;
  m_ledger.StartRecall();
}

bool ShardOwner::IsWriteDue(const std::vector<ProcessRef>& witnesses,
                            MonotonicTime now) const {
  if (m_write_in_flight || m_must_read || now < m_next_write) {
    return false;
  }
  if (m_handing_over && m_ledger.HoldsEverything()) {
    return true;
  }
  return witnesses != m_record.witnesses ||
         now - m_written >= kRecordRefreshInterval;
}

std::optional<WriteRecord> ShardOwner::NextWrite(
    const std::vector<ProcessRef>& witnesses,
    uint64_t write_token,
    const LimitTable& limits,
    MonotonicTime now) {
  if (!IsWriteDue(witnesses, now)) {
    return std::nullopt;
  }
  m_pending = m_record;
  m_pending.witnesses = witnesses;
  m_pending.write_token = write_token;
  m_pending.tokens.clear();
  m_pending.idle_ms = 0;
  if (m_handing_over && m_ledger.HoldsEverything()) {
    PrepareRelease(limits, now);
  }
  m_right.AddDoubt(witnesses);
  m_attempts.push_back({write_token, now, witnesses});
  m_write_in_flight = true;
  m_next_write = now + kStoreRetryInterval;
  return WriteRecord{m_shard, m_pending, m_version};
}

void ShardOwner::PrepareRelease(const LimitTable& limits, MonotonicTime now) {
  if (!m_closed) {
    m_closed = m_ledger.Close(limits, now);
  }
  m_pending.released = true;
  m_pending.tokens = m_closed->tokens;
  m_pending.idle_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_closed->idle)
          .count();
}

void ShardOwner::HandleWritten(uint64_t write_token, ObjectVersion version) {
  if (m_attempts.empty() || m_attempts.back().token != write_token) {
    // The answer to a write of an earlier claim.
    return;
  }
  m_write_in_flight = false;
  m_record = m_pending;
  m_version = version;
  m_written = m_attempts.back().started;
  m_attempts.clear();
  m_right.Confirm(m_record.witnesses, m_written);
}

bool ShardOwner::TakeMustRead() {
  return std::exchange(m_must_read, false);
}

bool ShardOwner::HandleRead(const LimitsRecord& record,
                            ObjectVersion version,
                            MonotonicTime now) {
  if (version < m_version) {
    // The answer to a read that began before the latest write.
    return true;
  }
  m_write_in_flight = false;
  m_next_write = now + kStoreRetryInterval;
  if (record.generation != m_record.generation ||
      record.owner != m_record.owner) {
    return false;
  }
  if (version == m_version) {
    // Earlier attempts may still take effect; their doubt stays.
    return true;
  }
  for (const WriteAttempt& attempt : m_attempts) {
    if (attempt.token == record.write_token) {
      m_written = attempt.started;
    }
  }
  m_record = record;
  m_version = version;
  m_attempts.clear();
  m_right.Confirm(m_record.witnesses, m_written);
  return true;
}

void ShardOwner::HandleReadFailed(MonotonicTime now) {
  // The write is tried again over the same version; only one can take effect.
  m_write_in_flight = false;
  m_next_write = now + kStoreRetryInterval;
}

}  // namespace cowslip
