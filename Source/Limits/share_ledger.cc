#include "Limits/share_ledger.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "Limits/limits_constants.h"

namespace cowslip {

ShareLedger::ShareLedger(InitialTokens initial, MonotonicTime usable_from)
    : m_initial(std::move(initial)), m_usable_from(usable_from) {}

Share& ShareLedger::OwnShare(const OrganisationLimit& limit) {
  const auto found = m_own_shares.find(limit.organisation);
  if (found != m_own_shares.end()) {
    return found->second;
  }
  // An organisation without a share here has been idle in this generation.
  const auto left = m_initial.tokens.find(limit.organisation.value());
  const double idle_seconds =
      std::chrono::duration<double>(m_initial.idle).count();
  const double tokens =
      left != m_initial.tokens.end() ? left->second : limit.rate * idle_seconds;
  return m_own_shares
      .emplace(limit.organisation, Share(kWholeShare, tokens, m_usable_from))
      .first->second;
}

std::optional<Duration> ShareLedger::TryTake(const OrganisationLimit& limit,
                                             double cost,
                                             Requester requester,
                                             MonotonicTime now) {
  if (requester != Requester::kHolder) {
    m_own_demand.Add(limit.organisation, cost);
  }
  Share& share = OwnShare(limit);
  // The reply to another entry may be in flight for a while.
  const Duration delay =
      requester == Requester::kSelf ? Duration::zero() : kMaxLimitCheckReplyAge;
  if (share.TryTake(cost, delay, limit, now)) {
    return std::nullopt;
  }
  return share.TimeUntil(cost, limit);
}

std::optional<ShareLease> ShareLedger::HandleReport(const VmId& holder,
                                                    const ShareReport& report,
                                                    const LimitTable& limits,
                                                    MonotonicTime now) {
  Session* session = FindOrOpenSession(holder, report, limits, now);
  if (session == nullptr) {
    return std::nullopt;
  }
  if (report.session == session->id) {
    ApplyReport(*session, report, limits, now);
  }
  session->last_lease_sent = now;
  ShareLease lease{.holder_incarnation = report.incarnation,
                   .sequence = report.sequence,
                   .shard = report.shard,
                   .session = session->id};
  PlanTransfers(*session, lease, limits, now);
  lease.applied_return = session->applied_return;
  lease.grant = session->grant;
  return lease;
}

ShareLedger::Session* ShareLedger::FindOrOpenSession(const VmId& holder,
                                                     const ShareReport& report,
                                                     const LimitTable& limits,
                                                     MonotonicTime now) {
  const auto found = m_sessions.find(holder);
  if (found != m_sessions.end()) {
    Session& session = found->second;
    if (session.id == report.session &&
        session.incarnation == report.incarnation) {
      return &session;
    }
    // The holder may still admit under the older session.
    const MonotonicTime end =
        session.last_lease_sent + WithClockDriftMargin(kShareLease);
    if (now < end && !session.outstanding.empty()) {
      return nullptr;
    }
    Reclaim(session, limits, now);
    m_sessions.erase(found);
  }
  if (m_recalling) {
    return nullptr;
  }
  Session& session = m_sessions[holder];
  session.id = ++m_last_session;
  session.incarnation = report.incarnation;
  return &session;
}

void ShareLedger::ApplyReport(Session& session,
                              const ShareReport& report,
                              const LimitTable& limits,
                              MonotonicTime now) {
  if (report.applied_grant == session.grant.number) {
    session.grant = Transfer();
  }
  if (report.returned.number == session.applied_return + 1) {
    ApplyReturn(session, report.returned, limits, now);
    session.applied_return = report.returned.number;
  }
  session.demand.clear();
  for (const OrganisationDemand& demand : report.demand) {
    session.demand[demand.organisation] = demand.rate;
  }
}

void ShareLedger::ApplyReturn(Session& session,
                              const Transfer& returned,
                              const LimitTable& limits,
                              MonotonicTime now) {
  for (const ShareAmount& amount : returned.shares) {
    const auto outstanding = session.outstanding.find(amount.organisation);
    if (outstanding == session.outstanding.end() || amount.fraction < 0 ||
        amount.fraction > outstanding->second) {
      continue;
    }
    outstanding->second -= amount.fraction;
    if (outstanding->second == 0) {
      session.outstanding.erase(outstanding);
    }
    MergeIntoOwnShare(amount, limits, now);
  }
}

void ShareLedger::MergeIntoOwnShare(const ShareAmount& amount,
                                    const LimitTable& limits,
                                    MonotonicTime now) {
  // Without a limit the tokens are dropped; the fraction is still recorded.
  const OrganisationLimit* limit = limits.Find(amount.organisation);
  const OrganisationLimit none{amount.organisation, 0, 0};
  const OrganisationLimit& in_force = limit != nullptr ? *limit : none;
  OwnShare(in_force).Merge(amount, in_force, now);
}

void ShareLedger::ExpireSessions(const LimitTable& limits, MonotonicTime now) {
  std::erase_if(m_sessions, [&](const auto& entry) {
    const Session& session = entry.second;
    const bool ended =
        now >= session.last_lease_sent + WithClockDriftMargin(kShareLease);
    if (ended) {
      Reclaim(session, limits, now);
    }
    return ended;
  });
}

void ShareLedger::Reclaim(const Session& session,
                          const LimitTable& limits,
                          MonotonicTime now) {
  for (const auto& [organisation, fraction] : session.outstanding) {
    MergeIntoOwnShare({organisation, fraction, 0}, limits, now);
  }
}

double ShareLedger::TotalDemand(const OrganisationId& organisation) const {
  double total = m_own_demand.Rate(organisation);
  for (const auto& [holder, session] : m_sessions) {
    const auto demand = session.demand.find(organisation);
    total += demand == session.demand.end() ? 0 : demand->second;
  }
  return total;
}

int64_t ShareLedger::TargetFraction(const Session& session,
                                    const OrganisationId& organisation) const {
  const auto demand = session.demand.find(organisation);
  // A share is granted at kMinRateForShare and recalled below half of that
  // rate, so that it does not move back and forth.
  const bool has_share = session.outstanding.count(organisation) != 0;
  const double min_rate = has_share ? kMinRateForShare / 2 : kMinRateForShare;
  if (m_recalling || demand == session.demand.end() ||
      demand->second < min_rate) {
    return 0;
  }
  const double part = demand->second / TotalDemand(organisation);
  return static_cast<int64_t>(part * (kWholeShare - kOwnerReserve));
}

void ShareLedger::PlanTransfers(Session& session,
                                ShareLease& lease,
                                const LimitTable& limits,
                                MonotonicTime now) {
  const bool may_grant = session.grant.number == 0;
  const auto held = session.outstanding;
  for (const auto& [organisation, fraction] : held) {
    const int64_t surplus = fraction - TargetFraction(session, organisation);
    if (surplus == fraction || surplus >= kMinTransferFraction) {
      lease.recall.push_back({organisation, surplus, 0});
    }
  }
  for (const auto& [organisation, rate] : session.demand) {
    const OrganisationLimit* limit = limits.Find(organisation);
    if (!may_grant || limit == nullptr) {
      continue;
    }
    const auto has = held.find(organisation);
    const int64_t missing = TargetFraction(session, organisation) -
                            (has == held.end() ? 0 : has->second);
    Share& own = OwnShare(*limit);
    const int64_t granted = std::min(missing, own.fraction() - kOwnerReserve);
    if (granted >= kMinTransferFraction) {
      session.grant.shares.push_back(own.Split(granted, *limit, now));
      session.outstanding[organisation] += granted;
    }
  }
  if (may_grant && !session.grant.shares.empty()) {
    session.grant.number = ++session.last_grant;
  }
}

bool ShareLedger::HoldsAllShares() const {
  return std::all_of(
      m_sessions.begin(), m_sessions.end(),
      [](const auto& entry) { return entry.second.outstanding.empty(); });
}

InitialTokens ShareLedger::Close(const LimitTable& limits, MonotonicTime now) {
  InitialTokens left;
  left.idle = m_initial.idle + std::max(now - m_usable_from, Duration::zero());
  for (auto& [organisation, share] : m_own_shares) {
    const OrganisationLimit* limit = limits.Find(organisation);
    if (limit != nullptr) {
      share.Refill(*limit, now);
      left.tokens[organisation.value()] = share.tokens();
    } else {
      left.tokens[organisation.value()] = 0;
    }
  }
  return left;
}

}  // namespace cowslip
