#include "Limits/limits_core.h"

#include <algorithm>
#include <utility>

namespace cowslip {

LimitsCore::LimitsCore(LimitsCoreOptions options, MonotonicTime started)
    : m_options(std::move(options)),
      m_random(m_options.seed),
      m_now(started),
      m_entries({m_options.self.vm}),
      m_entries_changed_at(started),
      m_witness(started),
      m_next_maintenance(started),
      m_next_announcement(started),
      m_next_report(started) {
  UpdatePreferredOwners();
}

std::vector<LimitsAction> LimitsCore::Handle(const LimitsEvent& event,
                                             MonotonicTime now) {
  m_now = now;
  m_actions.clear();
  std::visit([this](const auto& alternative) { Apply(alternative); }, event);
  return std::exchange(m_actions, {});
}

bool LimitsCore::IsDrained() const {
  return m_owned_shards.empty() &&
         std::none_of(
             m_holders.begin(), m_holders.end(),
             [](const auto& entry) { return entry.second.HasShares(); });
}

void LimitsCore::Apply(const AdmitRequested& event) {
  const OrganisationLimit* limit = m_limits.Find(event.organisation);
  if (limit == nullptr) {
    Refuse(event.id, kUnknownOrganisationRetryAfter,
           RefusalReason::kUnknownOrganisation);
    return;
  }
  const LimitsShard shard = ShardOf(event.organisation, m_options.shard_count);
  PendingLimitCheck check{.admission = event.id,
                          .organisation = event.organisation,
                          .cost = event.cost,
                          .shard = shard,
                          .deadline = m_now + kMaxLimitCheckWait};
  if (DecideAsOwner(check, *limit)) {
    return;
  }
  m_demand.Add(event.organisation, event.cost);
  const auto holder = m_holders.find(shard);
  if (holder != m_holders.end() &&
      holder->second.TryTake(*limit, event.cost, m_now)) {
    Admit(event.id);
    return;
  }
  const auto backoff = m_refusal_backoffs.find(event.organisation);
  if (backoff != m_refusal_backoffs.end() && m_now < backoff->second.until) {
    Refuse(event.id, backoff->second.retry_at - m_now,
           RefusalReason::kOverLimit);
    return;
  }
  if (m_limit_checks.size() >= kMaxPendingLimitChecks) {
    Refuse(event.id, kNoOwnerRetryAfter, RefusalReason::kNoOwner);
    return;
  }
  m_limit_checks.Add(std::move(check));
}

bool LimitsCore::DecideAsOwner(const PendingLimitCheck& check,
                               const OrganisationLimit& limit) {
  const auto owned = m_owned_shards.find(check.shard);
  if (owned == m_owned_shards.end() || !owned->second.MayAdmit(m_now)) {
    return false;
  }
  const auto wait = owned->second.ledger().TryTake(limit, check.cost,
                                                   Requester::kSelf, m_now);
  if (wait) {
    Refuse(check.admission, *wait, RefusalReason::kOverLimit);
  } else {
    Admit(check.admission);
  }
  return true;
}

void LimitsCore::Admit(AdmissionId id) {
  m_actions.push_back(AdmitAction{id});
}

void LimitsCore::Refuse(AdmissionId id,
                        Duration retry_after,
                        RefusalReason reason) {
  m_actions.push_back(RefuseAction{id, retry_after, reason});
}

void LimitsCore::Apply(const LimitsTick&) {
  ExpireLimitChecks();
  if (m_maintenance_due || m_now >= m_next_maintenance) {
    RunMaintenance();
  }
  SendLimitChecks();
}

void LimitsCore::ExpireLimitChecks() {
  for (const PendingLimitCheck& check : m_limit_checks.Expire(m_now)) {
    Refuse(check.admission, kNoOwnerRetryAfter, RefusalReason::kNoOwner);
  }
}

void LimitsCore::SendLimitChecks() {
  std::map<VmId, LimitCheckBatch> batches;
  for (const uint64_t id : m_limit_checks.Unsent()) {
    const PendingLimitCheck& check = m_limit_checks.Get(id);
    const OrganisationLimit* limit = m_limits.Find(check.organisation);
    if (limit == nullptr) {
      Refuse(check.admission, kUnknownOrganisationRetryAfter,
             RefusalReason::kUnknownOrganisation);
      m_limit_checks.Finish(id);
    } else if (DecideAsOwner(check, *limit)) {
      m_limit_checks.Finish(id);
    } else if (const auto owner = m_known_owners.find(check.shard);
               owner != m_known_owners.end()) {
      const VmId& vm = owner->second.vm;
      m_limit_checks.MarkSent(id, vm, m_now);
      batches[vm].asks.push_back(
          {id, check.attempt, check.organisation, check.cost});
    }
  }
  for (auto& [vm, batch] : batches) {
    batch.incarnation = m_options.self.incarnation;
    Send(vm, std::move(batch));
  }
}

void LimitsCore::Send(const VmId& to, LimitsMessage message) {
  m_actions.push_back(SendLimitsMessage{to, std::move(message)});
}

void LimitsCore::Apply(const LimitsPeerUp& event) {
  m_linked_peers[event.vm] = event.incarnation;
  // Limit checks that were sent on the previous link may be lost.
  m_limit_checks.MarkUnsent(event.vm);
  m_next_announcement = m_now;
  UpdatePreferredOwners();
}

void LimitsCore::Apply(const LimitsPeerDown& event) {
  m_linked_peers.erase(event.vm);
  m_known_entries.erase(event.vm);
  std::erase_if(m_known_owners, [&event](const auto& entry) {
    return entry.second.vm == event.vm;
  });
  m_limit_checks.MarkUnsent(event.vm);
  UpdatePreferredOwners();
}

void LimitsCore::Apply(const LimitsChanged& event) {
  LimitTable next;
  next.Replace(event.limits);
  // Tokens accrue by the old limits until now.
  for (const OrganisationLimit& old : m_limits.DifferingFrom(next)) {
    const LimitsShard shard = ShardOf(old.organisation, m_options.shard_count);
    const auto owned = m_owned_shards.find(shard);
    if (owned != m_owned_shards.end()) {
      owned->second.ledger().RefillOwnShare(old, m_now);
    }
    const auto holder = m_holders.find(shard);
    if (holder != m_holders.end()) {
      holder->second.RefillShare(old, m_now);
    }
  }
  m_limits = std::move(next);
}

void LimitsCore::Apply(const LimitsMembersChanged& event) {
  m_entries = event.entries;
  m_entries_changed_at = m_now;
  m_known_entries.insert(m_entries.begin(), m_entries.end());
  m_known_entries.erase(m_options.self.vm);
  m_next_announcement = m_now;
  UpdatePreferredOwners();
}

void LimitsCore::Apply(const LimitsDrainRequested&) {
  m_draining = true;
  m_maintenance_due = true;
}

}  // namespace cowslip
