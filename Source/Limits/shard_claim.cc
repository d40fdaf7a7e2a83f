#include "Limits/shard_claim.h"

#include <algorithm>
#include <utility>

#include "Limits/limits_constants.h"

namespace cowslip {

std::optional<ClaimStep> ShardClaim::NextStep(
    const std::vector<ProcessRef>& witnesses,
    uint64_t write_token,
    MonotonicTime now) {
  const bool may_write = m_have_read && MayWrite(now);
  if (m_in_flight || (now < m_next_step && !may_write)) {
    return std::nullopt;
  }
  m_next_step = now + kStoreRetryInterval;
  if (may_write) {
    m_pending = LimitsRecord{
        .owner = m_self, .witnesses = witnesses, .write_token = write_token};
    m_pending.generation = m_abandoned + LimitsGeneration(1);
    std::optional<ObjectVersion> over;
    if (m_record) {
      m_pending.generation =
          std::max(m_record->generation, m_abandoned) + LimitsGeneration(1);
      over = m_version;
      if (m_record->released) {
        m_pending.tokens = m_record->tokens;
        m_pending.idle_ms = m_record->idle_ms;
      }
    }
    m_attempts.push_back({write_token, now, witnesses});
    m_in_flight = true;
    m_have_read = false;
    return WriteRecord{m_shard, m_pending, over};
  }
  if (m_have_read && m_record) {
    m_have_read = false;
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
  m_in_flight = true;
  return ReadRecord{m_shard};
}

bool ShardClaim::MayWrite(MonotonicTime now) const {
  if (!m_record || OwnerIsGone() || IsApproved()) {
    return true;
  }
  return now - m_version_seen >= WithClockMargin(kRecordLease);
}

bool ShardClaim::OwnerIsGone() const {
  // Two processes of one VM never run at once: the later one has the port.
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
    m_have_read = m_have_read || IsApproved();
  }
}

std::optional<WonClaim> ShardClaim::HandleRead(
    const std::optional<LimitsRecord>& record,
    ObjectVersion version,
    MonotonicTime now) {
  m_in_flight = false;
  m_have_read = true;
  m_next_step = now;
  if (!m_record || !record || m_version != version) {
    // An approval counts only for the version that it was asked for.
    m_approvals.clear();
    m_version_seen = now;
  }
  m_record = record;
  m_version = version;
  const auto won = TakeOwn(now);
  if (record) {
    m_wait_for_holders = !record->released;
  }
  return won;
}

std::optional<WonClaim> ShardClaim::TakeOwn(MonotonicTime now) const {
  const bool is_own = m_record && m_record->owner == m_self &&
                      m_record->generation > m_abandoned && !m_record->released;
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
                  now + WithClockMargin(kShareLease)};
}

std::optional<WonClaim> ShardClaim::HandleWritten(uint64_t write_token,
                                                  ObjectVersion version,
                                                  MonotonicTime now) {
  if (m_attempts.empty() || m_attempts.back().token != write_token) {
    // The answer to a write of an earlier claim.
    return std::nullopt;
  }
  m_in_flight = false;
  return WonClaim{m_pending, version, m_attempts.back().started,
                  UsableFrom(now)};
}

MonotonicTime ShardClaim::UsableFrom(MonotonicTime now) const {
  return m_wait_for_holders ? now + WithClockMargin(kShareLease) : now;
}

void ShardClaim::HandleFailed(MonotonicTime now) {
  m_in_flight = false;
  m_have_read = false;
  m_next_step = now + kStoreRetryInterval;
}

}  // namespace cowslip
