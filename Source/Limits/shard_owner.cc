#include "Limits/shard_owner.h"

#include <algorithm>
#include <utility>

#include "Limits/limits_constants.h"

namespace cowslip {
namespace {

InitialTokens InitialTokensOf(const LimitsRecord& record) {
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
      m_ledger(InitialTokensOf(m_record), usable_from),
      m_last_written(written),
      m_next_write(written) {
  m_lease.Confirm(m_record.witnesses, written);
}

bool ShardOwner::MayAdmit(MonotonicTime now) const {
  return !m_final_tokens && now >= m_usable_from && now < m_lease.expiry();
}

void ShardOwner::AddPromise(const ProcessRef& witness, MonotonicTime sent) {
  m_lease.AddPromise(witness, sent);
}

void ShardOwner::StartHandover() {
  m_handing_over = true;
  m_ledger.StartRecall();
}

bool ShardOwner::IsWriteDue(const std::vector<ProcessRef>& witnesses,
                            MonotonicTime now) const {
  if (m_write_in_flight || m_read_needed || now < m_next_write) {
    return false;
  }
  if (m_handing_over && m_ledger.HoldsAllShares()) {
    return true;
  }
  return witnesses != m_record.witnesses ||
         now - m_last_written >= kRecordRefreshInterval;
}

std::optional<WriteRecord> ShardOwner::NextWrite(
    const std::vector<ProcessRef>& witnesses,
    uint64_t write_token,
    const LimitTable& limits,
    MonotonicTime now) {
  if (!IsWriteDue(witnesses, now)) {
    return std::nullopt;
  }
  m_pending_record = m_record;
  m_pending_record.witnesses = witnesses;
  m_pending_record.write_token = write_token;
  m_pending_record.tokens.clear();
  m_pending_record.idle_ms = 0;
  if (m_handing_over && m_ledger.HoldsAllShares()) {
    PrepareRelease(limits, now);
  }
  m_lease.AddUncertainWrite(witnesses);
  m_attempts.push_back({write_token, now, witnesses});
  m_write_in_flight = true;
  m_next_write = now + kStoreRetryInterval;
  return WriteRecord{m_shard, m_pending_record, m_version};
}

void ShardOwner::PrepareRelease(const LimitTable& limits, MonotonicTime now) {
  if (!m_final_tokens) {
    m_final_tokens = m_ledger.Close(limits, now);
  }
  m_pending_record.released = true;
  m_pending_record.tokens = m_final_tokens->tokens;
  m_pending_record.idle_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          m_final_tokens->idle)
          .count();
}

void ShardOwner::HandleWritten(uint64_t write_token, ObjectVersion version) {
  if (m_attempts.empty() || m_attempts.back().token != write_token) {
    // The late result of a write of an earlier claim.
    return;
  }
  m_write_in_flight = false;
  m_record = m_pending_record;
  m_version = version;
  m_last_written = m_attempts.back().started;
  m_attempts.clear();
  m_lease.Confirm(m_record.witnesses, m_last_written);
}

bool ShardOwner::TakeReadRequest() {
  return std::exchange(m_read_needed, false);
}

bool ShardOwner::HandleRead(const LimitsRecord& record,
                            ObjectVersion version,
                            MonotonicTime now) {
  if (version < m_version) {
    // The late result of a read that began before the latest write.
    return true;
  }
  m_write_in_flight = false;
  m_next_write = now + kStoreRetryInterval;
  if (record.generation != m_record.generation ||
      record.owner != m_record.owner) {
    return false;
  }
  if (version == m_version) {
    // Earlier attempts may still take effect, so their witness sets still
    // count.
    return true;
  }
  for (const WriteAttempt& attempt : m_attempts) {
    if (attempt.token == record.write_token) {
      m_last_written = attempt.started;
    }
  }
  m_record = record;
  m_version = version;
  m_attempts.clear();
  m_lease.Confirm(m_record.witnesses, m_last_written);
  return true;
}

void ShardOwner::HandleReadFailed(MonotonicTime now) {
  // The write is retried, conditional on the same version, so that only one can
  // take effect.
  m_write_in_flight = false;
  m_next_write = now + kStoreRetryInterval;
}

}  // namespace cowslip
