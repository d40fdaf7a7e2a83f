#include "Limits/shard_holder.h"

#include <algorithm>
#include <utility>

#include "Limits/limits_constants.h"

namespace cowslip {
namespace {

/// How many of the latest reports still accept replies.
constexpr size_t kMaxTrackedReports = 16;

}  // namespace

bool ShardHolder::TryTake(const OrganisationLimit& limit,
                          double cost,
                          MonotonicTime now) {
  const auto share = m_shares.find(limit.organisation);
  return now < m_lease_deadline && share != m_shares.end() &&
         share->second.TryTake(cost, Duration::zero(), limit, now);
}

void ShardHolder::RefillShare(const OrganisationLimit& limit,
                              MonotonicTime now) {
  const auto share = m_shares.find(limit.organisation);
  if (share != m_shares.end()) {
    share->second.Refill(limit, now);
  }
}

bool ShardHolder::HasShares() const {
  return !m_shares.empty() || m_returned.number != 0;
}

ShareReport ShardHolder::MakeReport(Incarnation self,
                                    uint64_t sequence,
                                    std::vector<OrganisationDemand> demand,
                                    MonotonicTime now) {
  m_report_send_times[sequence] = now;
  if (m_report_send_times.size() > kMaxTrackedReports) {
    m_report_send_times.erase(m_report_send_times.begin());
  }
  return ShareReport{.incarnation = self,
                     .sequence = sequence,
                     .shard = m_shard,
                     .session = m_session,
                     .applied_grant = m_applied_grant,
                     .returned = m_returned,
                     .demand = std::move(demand)};
}

void ShardHolder::HandleLease(const ShareLease& lease,
                              const LimitTable& limits,
                              MonotonicTime now) {
  const auto report = m_report_send_times.find(lease.sequence);
  if (lease.shard.generation != m_shard.generation ||
      lease.session < m_session || report == m_report_send_times.end()) {
    return;
  }
  if (lease.session > m_session) {
    BeginSession(lease.session);
  }
  m_lease_deadline = std::max(m_lease_deadline, report->second + kShareLease);
  if (m_returned.number != 0 && lease.applied_return >= m_returned.number) {
    m_returned = Transfer();
  }
  if (lease.grant.number == m_applied_grant + 1) {
    m_applied_grant = lease.grant.number;
    for (const ShareAmount& amount : lease.grant.shares) {
      const OrganisationLimit* limit = limits.Find(amount.organisation);
      const OrganisationLimit none{amount.organisation, 0, 0};
      m_shares.try_emplace(amount.organisation, 0, 0.0, now)
          .first->second.Merge(amount, limit != nullptr ? *limit : none, now);
    }
  }
  Return(lease.recall, limits, now);
}

void ShardHolder::BeginSession(uint64_t session) {
  // The owner has reclaimed all shares of the previous session.
  m_session = session;
  m_applied_grant = 0;
  m_last_return = 0;
  m_returned = Transfer();
  m_shares.clear();
  m_lease_deadline = MonotonicTime::min();
}

void ShardHolder::Return(const std::vector<ShareAmount>& wanted,
                         const LimitTable& limits,
                         MonotonicTime now) {
  if (m_returned.number != 0) {
    return;
  }
  for (const ShareAmount& want : wanted) {
    const auto share = m_shares.find(want.organisation);
    if (share == m_shares.end()) {
      continue;
    }
    const OrganisationLimit* limit = limits.Find(want.organisation);
    const OrganisationLimit none{want.organisation, 0, 0};
    m_returned.shares.push_back(share->second.Split(
        want.fraction, limit != nullptr ? *limit : none, now));
    if (share->second.fraction() == 0) {
      m_shares.erase(share);
    }
  }
  if (!m_returned.shares.empty()) {
    m_returned.number = ++m_last_return;
  }
}

void ShardHolder::ReturnAll(const LimitTable& limits, MonotonicTime now) {
  std::vector<ShareAmount> all;
  for (const auto& [organisation, share] : m_shares) {
    all.push_back({organisation, share.fraction(), 0});
  }
  Return(all, limits, now);
}

}  // namespace cowslip
