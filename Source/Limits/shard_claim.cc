#include "Limits/shard_claim.h"

#include <algorithm>
#include <utility>

#include "Limits/limits_constants.h"

namespace cowslip {

std::optional<ClaimStep> ShardClaim::NextStep(
    const std::vector<ProcessRef>& witnesses,
    uint64_t write_token,
    MonotonicTime now) {
  const bool may_write = m_record_ready && MayWrite(now);
  if (m_store_call_in_flight || (now < m_next_step && !may_write)) {
    return std::nullopt;
  }
  m_next_step = now + kStoreRetryInterval;
  if (may_write) {
    m_pending_record = LimitsRecord{
        .owner = m_self, .witnesses = witnesses, .write_token = write_token};
    m_pending_record.generation = m_abandoned_generation + LimitsGeneration(1);
    std::optional<ObjectVersion> expected_version;
    if (m_record) {
      m_pending_record.generation =
          std::max(m_record->generation, m_abandoned_generation) +
          LimitsGeneration(1);
      expected_version = m_version;
      if (m_record->released) {
        m_pending_record.tokens = m_record->tokens;
        m_pending_record.idle_ms = m_record->idle_ms;
      }
    }
    m_attempts.push_back({write_token, now, witnesses});
    m_store_call_in_flight = true;
    m_record_ready = false;
    return WriteRecord{m_shard, m_pending_record, expected_version};
  }
  if (m_record_ready && m_record) {
    m_record_ready = false;
    std::vector<VmId> asked;
    for (const ProcessRef& witness : m_record->witnesses) {
      if (m_approvals.count(witness.vm) == 0) {
        asked.push_back(witness.vm);
      }
    }
    m_next_step = now + kReportInterval;
    return RequestApprovals{
        {m_shard, m_record->generation}, m_version, std::move(asked)};
  }
  m_store_call_in_flight = true;
  return ReadRecord{m_shard};
}

bool ShardClaim::MayWrite(MonotonicTime now) const {
  if (!m_record || IsOwnerGone() || IsApproved()) {
    return true;
  }
  return now - m_version_seen_at >= WithClockDriftMargin(kRecordLease);
}

bool ShardClaim::IsOwnerGone() const {
  // Two processes of one VM never run at the same time: only one can bind the
  // port.
  const bool was_this_vm = m_record->owner.vm == m_self.vm;
  return m_record->released || was_this_vm;
}

bool ShardClaim::IsApproved() const {
  size_t approvals = 0;
  for (const ProcessRef& witness : m_record->witnesses) {
    approvals += m_approvals.count(witness.vm);
  }
  return approvals >= MajorityOf(m_record->witnesses.size());
}

void ShardClaim::HandleApproval(const VmId& witness,
                                LimitsGeneration generation,
                                ObjectVersion version) {
  if (m_record && m_record->generation == generation && m_version == version) {
    m_approvals.insert(witness);
    m_record_ready = m_record_ready || IsApproved();
  }
}

std::optional<WonClaim> ShardClaim::HandleRead(
    const std::optional<LimitsRecord>& record,
    ObjectVersion version,
    MonotonicTime now) {
  m_store_call_in_flight = false;
  m_record_ready = true;
  m_next_step = now;
  if (!m_record || !record || m_version != version) {
    // An approval is valid only for the version that it was requested for.
    m_approvals.clear();
    m_version_seen_at = now;
  }
  m_record = record;
  m_version = version;
  const auto won = RecoverOwnWrite(now);
  if (record) {
    m_wait_for_holders = !record->released;
  }
  return won;
}

std::optional<WonClaim> ShardClaim::RecoverOwnWrite(MonotonicTime now) const {
  const bool is_own = m_record && m_record->owner == m_self &&
                      m_record->generation > m_abandoned_generation &&
                      !m_record->released;
  if (!is_own) {
    return std::nullopt;
  }
  MonotonicTime written;
  bool found = false;
  for (const WriteAttempt& attempt : m_attempts) {
    if (attempt.token == m_record->write_token) {
      written = attempt.started;
      found = true;
    }
  }
  if (!found) {
    return std::nullopt;
  }
  return WonClaim{*m_record, m_version, written,
                  now + WithClockDriftMargin(kShareLease)};
}

std::optional<WonClaim> ShardClaim::HandleWritten(uint64_t write_token,
                                                  ObjectVersion version,
                                                  MonotonicTime now) {
  if (m_attempts.empty() || m_attempts.back().token != write_token) {
    // The late result of a write of an earlier claim.
    return std::nullopt;
  }
  m_store_call_in_flight = false;
  return WonClaim{m_pending_record, version, m_attempts.back().started,
                  UsableFrom(now)};
}

MonotonicTime ShardClaim::UsableFrom(MonotonicTime now) const {
  return m_wait_for_holders ? now + WithClockDriftMargin(kShareLease) : now;
}

void ShardClaim::HandleStoreFailure(MonotonicTime now) {
  m_store_call_in_flight = false;
  m_record_ready = false;
  m_next_step = now + kStoreRetryInterval;
}

}  // namespace cowslip
