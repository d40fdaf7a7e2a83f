#include <algorithm>
#include <utility>

#include "Limits/limits_core.h"

namespace cowslip {

void LimitsCore::Apply(const LimitsPeerMessage& event) {
  std::visit([&](const auto& message) { Receive(event.from, message); },
             event.message);
}

void LimitsCore::Receive(const VmId& from, const Announcement& message) {
  AnnouncementSeen& seen = m_announcements_seen[from];
  const bool is_late = seen.incarnation == message.incarnation &&
                       message.sequence <= seen.sequence;
  if (is_late) {
    return;
  }
  seen = {message.incarnation, message.sequence};
  std::erase_if(m_owners, [&](const auto& entry) {
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
      LearnOwner(from, owned);
    } else {
      reply.superseded.push_back(owned);
    }
  }
  if (!message.owned.empty()) {
    Send(from, std::move(reply));
  }
  if (!message.released.empty()) {
    m_upkeep_due = true;
  }
}

void LimitsCore::LearnOwner(const VmId& from, const OwnedShard& shard) {
  const auto own = m_owned.find(shard.shard);
  if (own != m_owned.end()) {
    if (own->second.id().generation < shard.generation) {
      StepDown(shard.shard);
    } else {
      return;
    }
  }
  const auto [known, is_new] =
      m_owners.try_emplace(shard.shard, KnownOwner{from, shard.generation});
  if (shard.generation >= known->second.generation) {
    known->second = {from, shard.generation};
  }
  m_claims.erase(shard.shard);
}

void LimitsCore::Receive(const VmId& from, const PromiseReply& message) {
  const auto sent = m_announcements_sent.find(message.sequence);
  if (message.owner_incarnation != m_options.self.incarnation ||
      sent == m_announcements_sent.end()) {
    return;
  }
  const ProcessRef witness{from, message.incarnation};
  for (const OwnedShard& granted : message.granted) {
    const auto owned = m_owned.find(granted.shard);
    if (owned != m_owned.end() &&
        owned->second.id().generation == granted.generation) {
      owned->second.AddPromise(witness, sent->second);
    }
  }
  for (const OwnedShard& lost : message.superseded) {
    const auto owned = m_owned.find(lost.shard);
    if (owned != m_owned.end() &&
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
  const auto owned = m_owned.find(message.shard);
  if (owned != m_owned.end() &&
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
    m_upkeep_due = true;
  }
}

void LimitsCore::Receive(const VmId& from, const AskBatch& message) {
  AskReply reply{.asker_incarnation = message.incarnation};
  for (const Ask& ask : message.asks) {
    reply.answers.push_back(Answer(from, ask));
  }
  Send(from, std::move(reply));
}

AskAnswer LimitsCore::Answer(const VmId& from, const Ask& ask) {
  const auto owned =
      m_owned.find(ShardOf(ask.organisation, m_options.shard_count));
  if (owned == m_owned.end() || !owned->second.MayAdmit(m_now)) {
    return {ask.id, ask.attempt, AskOutcome::kNotOwner, 0};
  }
  const OrganisationLimit* limit = m_limits.Find(ask.organisation);
  if (limit == nullptr || !(ask.cost >= 0)) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        kUnknownRetryAfter);
    return {ask.id, ask.attempt, AskOutcome::kRefused, wait.count()};
  }
  ShareLedger& ledger = owned->second.ledger();
  const Asker asker = ledger.HasSession(from) ? Asker::kHolder : Asker::kOther;
  const auto wait = ledger.TryTake(*limit, ask.cost, asker, m_now);
  if (!wait) {
    return {ask.id, ask.attempt, AskOutcome::kAdmitted, 0};
  }
  const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(*wait);
  return {ask.id, ask.attempt, AskOutcome::kRefused, rounded.count()};
}

void LimitsCore::Receive(const VmId& from, const AskReply& message) {
  if (message.asker_incarnation != m_options.self.incarnation) {
    return;
  }
  for (const AskAnswer& answer : message.answers) {
    const WaitingAsk* ask = m_asks.Find(answer.id);
    if (ask != nullptr && ask->attempt == answer.attempt) {
      HandleAnswer(from, answer, *ask);
    }
  }
}

void LimitsCore::HandleAnswer(const VmId& from,
                              const AskAnswer& answer,
                              const WaitingAsk& ask) {
  switch (answer.outcome) {
    case AskOutcome::kNotOwner: {
      // It waits until an owner announces itself.
      const auto known = m_owners.find(ask.shard);
      if (known != m_owners.end() && known->second.vm == from) {
        m_owners.erase(known);
      }
      m_asks.MarkUnsent(answer.id);
      return;
    }
    case AskOutcome::kAdmitted:
      if (m_now - ask.sent_at > kMaxAnswerAge) {
        m_asks.MarkUnsent(answer.id);
        return;
      }
      Admit(ask.admission);
      break;
    case AskOutcome::kRefused: {
      const Duration retry_after =
          std::chrono::milliseconds(answer.retry_after_ms);
      Refuse(ask.admission, retry_after, RefusalReason::kOverLimit);
      m_ask_pauses[ask.organisation] = {
          m_now + std::min(retry_after, kAskPause), m_now + retry_after};
      break;
    }
  }
  m_asks.Finish(answer.id);
}

void LimitsCore::Receive(const VmId& from, const ShareReport& message) {
  const auto owned = m_owned.find(message.shard.shard);
  if (owned == m_owned.end() || !owned->second.MayAdmit(m_now) ||
      owned->second.id().generation != message.shard.generation) {
    return;
  }
  auto lease = owned->second.ledger().Handle(from, message, m_limits, m_now);
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
