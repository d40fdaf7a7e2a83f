#include <algorithm>
#include <utility>

#include "Limits/limits_core.h"

namespace cowslip {

void LimitsCore::Apply(const LimitsPeerMessage& event) {
  std::visit([&](const auto& message) { Receive(event.from, message); },
             event.message);
}

void LimitsCore::Receive(const VmId& from, const Announcement& message) {
  LastAnnouncement& seen = m_last_announcements[from];
  const bool is_late = seen.incarnation == message.incarnation &&
                       message.sequence <= seen.sequence;
  if (is_late) {
    return;
  }
  seen = {message.incarnation, message.sequence};
  std::erase_if(m_known_owners, [&](const auto& entry) {
    return entry.second.vm == from &&
           std::none_of(message.owned.begin(), message.owned.end(),
                        [&](const OwnedShard& owned) {
                          return owned.shard == entry.first;
                        });
  });
  PromiseReply reply{.owner_incarnation = message.incarnation,
                     .incarnation = m_options.self.incarnation,
                     .sequence = message.sequence};
  for (const OwnedShard& owned : message.owned) {
    if (m_witness.Promise(owned, m_now)) {
      reply.granted.push_back(owned);
      UpdateKnownOwner(from, owned);
    } else {
      reply.superseded.push_back(owned);
    }
  }
  if (!message.owned.empty()) {
    Send(from, std::move(reply));
  }
  if (!message.released.empty()) {
    m_maintenance_due = true;
  }
}

void LimitsCore::UpdateKnownOwner(const VmId& from, const OwnedShard& shard) {
  const auto own = m_owned_shards.find(shard.shard);
  if (own != m_owned_shards.end()) {
    if (own->second.id().generation < shard.generation) {
      StepDown(shard.shard);
    } else {
      return;
    }
  }
  const auto [known, is_new] = m_known_owners.try_emplace(
      shard.shard, KnownOwner{from, shard.generation});
  if (shard.generation >= known->second.generation) {
    known->second = {from, shard.generation};
  }
  m_claims.erase(shard.shard);
}

void LimitsCore::Receive(const VmId& from, const PromiseReply& message) {
  const auto sent = m_announcement_send_times.find(message.sequence);
  if (message.owner_incarnation != m_options.self.incarnation ||
      sent == m_announcement_send_times.end()) {
    return;
  }
  const ProcessRef witness{from, message.incarnation};
  for (const OwnedShard& granted : message.granted) {
    const auto owned = m_owned_shards.find(granted.shard);
    if (owned != m_owned_shards.end() &&
        owned->second.id().generation == granted.generation) {
      owned->second.AddPromise(witness, sent->second);
    }
  }
  for (const OwnedShard& lost : message.superseded) {
    const auto owned = m_owned_shards.find(lost.shard);
    if (owned != m_owned_shards.end() &&
        owned->second.id().generation == lost.generation) {
      StepDown(lost.shard);
    }
  }
}

void LimitsCore::Receive(const VmId& from, const ApprovalRequest& message) {
  const OwnedShard ended{message.shard, message.generation};
  if (!m_witness.Approve(ended, m_now)) {
    return;
  }
  const auto owned = m_owned_shards.find(message.shard);
  if (owned != m_owned_shards.end() &&
      owned->second.id().generation <= message.generation) {
    StepDown(message.shard);
  }
  Send(from, ApprovalReply{.asker_incarnation = message.incarnation,
                           .shard = message.shard,
                           .generation = message.generation,
                           .version = message.version});
}

void LimitsCore::Receive(const VmId& from, const ApprovalReply& message) {
  const auto claim = m_claims.find(message.shard);
  if (message.asker_incarnation == m_options.self.incarnation &&
      claim != m_claims.end()) {
    claim->second.HandleApproval(from, message.generation, message.version);
    m_maintenance_due = true;
  }
}

void LimitsCore::Receive(const VmId& from, const LimitCheckBatch& message) {
  LimitCheckReply reply{.asker_incarnation = message.incarnation};
  for (const LimitCheck& check : message.asks) {
    reply.answers.push_back(DecideForPeer(from, check));
  }
  Send(from, std::move(reply));
}

LimitCheckResult LimitsCore::DecideForPeer(const VmId& from,
                                           const LimitCheck& check) {
  const auto owned =
      m_owned_shards.find(ShardOf(check.organisation, m_options.shard_count));
  if (owned == m_owned_shards.end() || !owned->second.MayAdmit(m_now)) {
    return {check.id, check.attempt, LimitCheckOutcome::kNotOwner, 0};
  }
  const OrganisationLimit* limit = m_limits.Find(check.organisation);
  if (limit == nullptr || !(check.cost >= 0)) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        kUnknownOrganisationRetryAfter);
    return {check.id, check.attempt, LimitCheckOutcome::kRefused, wait.count()};
  }
  ShareLedger& ledger = owned->second.ledger();
  const Requester requester =
      ledger.HasSession(from) ? Requester::kHolder : Requester::kOther;
  const auto wait = ledger.TryTake(*limit, check.cost, requester, m_now);
  if (!wait) {
    return {check.id, check.attempt, LimitCheckOutcome::kAdmitted, 0};
  }
  const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(*wait);
  return {check.id, check.attempt, LimitCheckOutcome::kRefused,
          rounded.count()};
}

void LimitsCore::Receive(const VmId& from, const LimitCheckReply& message) {
  if (message.asker_incarnation != m_options.self.incarnation) {
    return;
  }
  for (const LimitCheckResult& result : message.answers) {
    const PendingLimitCheck* check = m_limit_checks.Find(result.id);
    if (check != nullptr && check->attempt == result.attempt) {
      HandleReply(from, result, *check);
    }
  }
}

void LimitsCore::HandleReply(const VmId& from,
                             const LimitCheckResult& result,
                             const PendingLimitCheck& check) {
  switch (result.outcome) {
    case LimitCheckOutcome::kNotOwner: {
      // The check waits until an owner announces the shard.
      const auto known = m_known_owners.find(check.shard);
      if (known != m_known_owners.end() && known->second.vm == from) {
        m_known_owners.erase(known);
      }
      m_limit_checks.MarkUnsent(result.id);
      return;
    }
    case LimitCheckOutcome::kAdmitted:
      if (m_now - check.sent_at > kMaxLimitCheckReplyAge) {
        m_limit_checks.MarkUnsent(result.id);
        return;
      }
      Admit(check.admission);
      break;
    case LimitCheckOutcome::kRefused: {
      const Duration retry_after =
          std::chrono::milliseconds(result.retry_after_ms);
      Refuse(check.admission, retry_after, RefusalReason::kOverLimit);
      m_refusal_backoffs[check.organisation] = {
          m_now + std::min(retry_after, kRefusalBackoff), m_now + retry_after};
      break;
    }
  }
  m_limit_checks.Finish(result.id);
}

void LimitsCore::Receive(const VmId& from, const ShareReport& message) {
  const auto owned = m_owned_shards.find(message.shard.shard);
  if (owned == m_owned_shards.end() || !owned->second.MayAdmit(m_now) ||
      owned->second.id().generation != message.shard.generation) {
    return;
  }
  auto lease =
      owned->second.ledger().HandleReport(from, message, m_limits, m_now);
  if (lease) {
    Send(from, std::move(*lease));
  }
}

void LimitsCore::Receive(const VmId&, const ShareLease& message) {
  const auto holder = m_holders.find(message.shard.shard);
  if (message.holder_incarnation != m_options.self.incarnation ||
      holder == m_holders.end()) {
    return;
  }
  holder->second.HandleLease(message, m_limits, m_now);
  if (m_draining) {
    holder->second.ReturnAll(m_limits, m_now);
  }
}

}  // namespace cowslip
