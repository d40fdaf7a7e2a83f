#include "Limits/limits_core.h"

#include <algorithm>
#include <utility>

namespace cowslip {

LimitsCore::LimitsCore(LimitsCoreOptions options, MonotonicTime started)
    : m_options(std::move(options)),
      m_random(m_options.seed),
      m_now(started),
      m_entries({m_options.self.vm}),
      m_entries_since(started),
      m_witness(started),
      m_next_upkeep(started),
      m_next_announcement(started),
      m_next_report(started) {
  UpdatePicks();
}

std::vector<LimitsAction> LimitsCore::Handle(const LimitsEvent& event,
                                             MonotonicTime now) {
  m_now = now;
  m_actions.clear();
  std::visit([this](const auto& alternative) { Apply(alternative); }, event);
  return std::exchange(m_actions, {});
}

bool LimitsCore::IsDrained() const {
  return m_owned.empty() && std::none_of(m_holders.begin(), m_holders.end(),
                                         [](const auto& entry) {
                                           return entry.second.HoldsAnything();
                                         });
}

void LimitsCore::Apply(const AdmitRequested& event) {
  const OrganisationLimit* limit = m_limits.Find(event.organisation);
  if (limit == nullptr) {
    Refuse(event.id, kUnknownRetryAfter, RefusalReason::kUnknownOrganisation);
    return;
  }
  const LimitsShard shard = ShardOf(event.organisation, m_options.shard_count);
  WaitingAsk ask{.admission = event.id,
                 .organisation = event.organisation,
                 .cost = event.cost,
                 .shard = shard,
                 .deadline = m_now + kMaxAskWait};
  if (DecideAsOwner(ask, *limit)) {
    return;
  }
  m_demand.Add(event.organisation, event.cost);
  const auto holder = m_holders.find(shard);
  if (holder != m_holders.end() &&
      holder->second.TryTake(*limit, event.cost, m_now)) {
    Admit(event.id);
    return;
  }
  const auto pause = m_ask_pauses.find(event.organisation);
  if (pause != m_ask_pauses.end() && m_now < pause->second.until) {
    Refuse(event.id, pause->second.retry_at - m_now, RefusalReason::kOverLimit);
    return;
  }
  if (m_asks.size() >= kMaxWaitingAsks) {
    Refuse(event.id, kNoOwnerRetryAfter, RefusalReason::kNoOwner);
    return;
  }
  m_asks.Add(std::move(ask));
}

bool LimitsCore::DecideAsOwner(const WaitingAsk& ask,
                               const OrganisationLimit& limit) {
  const auto owned = m_owned.find(ask.shard);
  if (owned == m_owned.end() || !owned->second.MayAdmit(m_now)) {
    return false;
  }
  const auto wait =
      owned->second.ledger().TryTake(limit, ask.cost, Asker::kSelf, m_now);
  if (wait) {
    Refuse(ask.admission, *wait, RefusalReason::kOverLimit);
  } else {
    Admit(ask.admission);
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
  ExpireAsks();
  if (m_upkeep_due || m_now >= m_next_upkeep) {
    RunUpkeep();
  }
  SendAsks();
}

void LimitsCore::ExpireAsks() {
  for (const WaitingAsk& ask : m_asks.Expire(m_now)) {
    Refuse(ask.admission, kNoOwnerRetryAfter, RefusalReason::kNoOwner);
  }
}

void LimitsCore::SendAsks() {
  std::map<VmId, AskBatch> batches;
  for (const uint64_t id : m_asks.Unsent()) {
    const WaitingAsk& ask = m_asks.Get(id);
    const OrganisationLimit* limit = m_limits.Find(ask.organisation);
    if (limit == nullptr) {
      Refuse(ask.admission, kUnknownRetryAfter,
             RefusalReason::kUnknownOrganisation);
      m_asks.Finish(id);
    } else if (DecideAsOwner(ask, *limit)) {
      m_asks.Finish(id);
    } else if (const auto owner = m_owners.find(ask.shard);
               owner != m_owners.end()) {
      const VmId& vm = owner->second.vm;
      m_asks.MarkSent(id, vm, m_now);
      batches[vm].asks.push_back({id, ask.attempt, ask.organisation, ask.cost});
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
  m_up[event.vm] = event.incarnation;
  // A newer link may have lost what was sent on the one before.
  m_asks.MarkUnsent(event.vm);
  m_next_announcement = m_now;
  UpdatePicks();
}

void LimitsCore::Apply(const LimitsPeerDown& event) {
  m_up.erase(event.vm);
  m_known_entries.erase(event.vm);
  std::erase_if(m_owners, [&event](const auto& entry) {
    return entry.second.vm == event.vm;
  });
  m_asks.MarkUnsent(event.vm);
  UpdatePicks();
}

void LimitsCore::Apply(const LimitsChanged& event) {
  LimitTable next;
  next.Replace(event.limits);
  // What has grown until now has grown by the old limits.
  for (const OrganisationLimit& old : m_limits.DifferingFrom(next)) {
    const LimitsShard shard = ShardOf(old.organisation, m_options.shard_count);
    const auto owned = m_owned.find(shard);
    if (owned != m_owned.end()) {
      owned->second.ledger().Settle(old, m_now);
    }
    const auto holder = m_holders.find(shard);
    if (holder != m_holders.end()) {
      holder->second.Settle(old, m_now);
    }
  }
  m_limits = std::move(next);
}

void LimitsCore::Apply(const LimitsMembersChanged& event) {
  m_entries = event.entries;
  m_entries_since = m_now;
  m_known_entries.insert(m_entries.begin(), m_entries.end());
  m_known_entries.erase(m_options.self.vm);
  m_next_announcement = m_now;
  UpdatePicks();
}

void LimitsCore::Apply(const LimitsDrainRequested&) {
  m_draining = true;
  m_upkeep_due = true;
}

}  // namespace cowslip
