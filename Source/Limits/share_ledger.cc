#include "Limits/share_ledger.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "Limits/limits_constants.h"

namespace cowslip {

ShareLedger::ShareLedger(InitialTokens initial, MonotonicTime usable_from)
    : m_initial(std::move(initial)), m_usable_from(usable_from) {}

Share& ShareLedger::OwnShare(const OrganisationLimit& limit) {
  const auto found = m_own.find(limit.organisation);
  if (found != m_own.end()) {
    return found->second;
  }
  // An organisation that was not seen yet has been idle in this generation.
  const auto left = m_initial.tokens.find(limit.organisation.value());
  const double idle_seconds =
      std::chrono::duration<double>(m_initial.idle).count();
  const double tokens =
      left != m_initial.tokens.end() ? left->second : limit.rate * idle_seconds;
  return m_own
      .emplace(limit.organisation, Share(kWholeShare, tokens, m_usable_from))
      .first->second;
}

std::optional<Duration> ShareLedger::TryTake(const OrganisationLimit& limit,
                                             double cost,
                                             Asker asker,
                                             MonotonicTime now) {
  if (asker != Asker::kHolder) {
    m_own_demand.Add(limit.organisation, cost);
  }
  Share& share = OwnShare(limit);
  // The answer to another entry may be on its way for a while.
  const Duration delay =
      asker == Asker::kSelf ? Duration::zero() : kMaxAnswerAge;
  if (share.TryTake(cost, delay, limit, now)) {
    return std::nullopt;
  }
  return share.TimeUntil(cost, limit);
}

std::optional<ShareLease> ShareLedger::Handle(const VmId& holder,
                                              const ShareReport& report,
                                              const LimitTable& limits,
                                              MonotonicTime now) {
  Session* session = FindSession(holder, report, limits, now);
  if (session == nullptr) {
    return std::nullopt;
  }
  if (report.session == session->id) {
    ApplyReport(*session, report, limits, now);
  }
  session->last_answer = now;
  ShareLease lease{.holder_incarnation = report.incarnation,
                   .sequence = report.sequence,
                   .shard = report.shard,
                   .session = session->id};
  PlanMoves(*session, lease, limits, now);
  lease.applied_return = session->applied_return;
  lease.grant = session->grant;
  return lease;
}

ShareLedger::Session* ShareLedger::FindSession(const VmId& holder,
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
        session.last_answer + WithClockMargin(kShareLease);
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
    MergeOwn(amount, limits, now);
  }
}

void ShareLedger::MergeOwn(const ShareAmount& amount,
                           const LimitTable& limits,
                           MonotonicTime now) {
  // Without a limit no tokens count; the fraction stays in the books.
  const OrganisationLimit* limit = limits.Find(amount.organisation);
  const OrganisationLimit none{amount.organisation, 0, 0};
  const OrganisationLimit& in_force = limit != nullptr ? *limit : none;
  OwnShare(in_force).Merge(amount, in_force, now);
}

void ShareLedger::ExpireSessions(const LimitTable& limits, MonotonicTime now) {
  std::erase_if(m_sessions, [&](const auto& entry) {
    const Session& session = entry.second;
    const bool ended =
        now >= session.last_answer + WithClockMargin(kShareLease);
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
    MergeOwn({organisation, fraction, 0}, limits, now);
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

int64_t ShareLedger::Target(const Session& session,
                            const OrganisationId& organisation) const {
  const auto demand = session.demand.find(organisation);
  // A share is given at kDivideRate and taken back at half of it, so that it
  // does not go back and forth.
  const bool has_share = session.outstanding.count(organisation) != 0;
  const double least = has_share ? kDivideRate / 2 : kDivideRate;
  if (m_recalling || demand == session.demand.end() || demand->second < least) {
    return 0;
  }
  const double part = demand->second / TotalDemand(organisation);
  return static_cast<int64_t>(part * (kWholeShare - kOwnerReserve));
}

void ShareLedger::PlanMoves(Session& session,
                            ShareLease& lease,
                            const LimitTable& limits,
                            MonotonicTime now) {
  const bool may_grant = session.grant.number == 0;
  const auto held = session.outstanding;
  for (const auto& [organisation, fraction] : held) {
    const int64_t surplus = fraction - Target(session, organisation);
    if (surplus == fraction || surplus >= kMinShareMove) {
      lease.recall.push_back({organisation, surplus, 0});
    }
  }
  for (const auto& [organisation, rate] : session.demand) {
    const OrganisationLimit* limit = limits.Find(organisation);
    if (!may_grant || limit == nullptr) {
      continue;
    }
    const auto has = held.find(organisation);
    const int64_t missing =
        Target(session, organisation) - (has == held.end() ? 0 : has->second);
    Share& own = OwnShare(*limit);
    const int64_t given = std::min(missing, own.fraction() - kOwnerReserve);
    if (given >= kMinShareMove) {
      session.grant.shares.push_back(own.Split(given, *limit, now));
      session.outstanding[organisation] += given;
    }
  }
  if (may_grant && !session.grant.shares.empty()) {
    session.grant.number = ++session.last_grant;
  }
}

bool ShareLedger::HoldsEverything() const {
  return std::all_of(
      m_sessions.begin(), m_sessions.end(),
      [](const auto& entry) { return entry.second.outstanding.empty(); });
}

InitialTokens ShareLedger::Close(const LimitTable& limits, MonotonicTime now) {
  InitialTokens left;
  left.idle = m_initial.idle + std::max(now - m_usable_from, Duration::zero());
  for (auto& [organisation, share] : m_own) {
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
