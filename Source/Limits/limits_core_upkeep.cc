#include <algorithm>
#include <utility>

#include "Base/rendezvous.h"
#include "Limits/limits_core.h"

namespace cowslip {
namespace {

constexpr Duration kUpkeepInterval = std::chrono::milliseconds(50);
/// Announcements whose answers still count.
constexpr size_t kMaxOpenAnnouncements = 16;

}  // namespace

void LimitsCore::RunUpkeep() {
  m_upkeep_due = false;
  m_next_upkeep = m_now + kUpkeepInterval;
  for (uint32_t index = 0; index < m_options.shard_count; ++index) {
    const LimitsShard shard(index);
    const auto owned = m_owned.find(shard);
    if (owned != m_owned.end()) {
      UpkeepOwned(shard, owned->second);
    } else {
      UpkeepClaim(shard);
    }
  }
  if (m_now >= m_next_announcement) {
    Announce({});
  }
  if (m_now >= m_next_report) {
    m_next_report = m_now + kReportInterval;
    SendReports();
  }
  std::erase_if(m_ask_pauses, [this](const auto& entry) {
    return entry.second.until <= m_now;
  });
}

void LimitsCore::UpkeepOwned(LimitsShard shard, ShardOwner& owner) {
  owner.ledger().ExpireSessions(m_limits, m_now);
  const bool is_misplaced =
      !IsPick(shard) && m_now - m_entries_since >= kHandoverDelay;
  if ((m_draining || is_misplaced) && !owner.handing_over()) {
    owner.StartHandover();
  }
  if (owner.TakeMustRead()) {
    m_actions.push_back(ReadRecord{shard});
    return;
  }
  const auto write =
      owner.NextWrite(m_witnesses[shard.value()], m_random(), m_limits, m_now);
  if (write) {
    m_actions.push_back(*write);
  }
}

bool LimitsCore::IsPick(LimitsShard shard) const {
  return m_picks[shard.value()] == m_options.self.vm;
}

void LimitsCore::UpkeepClaim(LimitsShard shard) {
  if (m_draining || !IsPick(shard) || m_owners.count(shard) != 0) {
    return;
  }
  const auto [claim, is_new] =
      m_claims.try_emplace(shard, shard, m_options.self, m_abandoned[shard]);
  const auto step =
      claim->second.NextStep(m_witnesses[shard.value()], m_random(), m_now);
  if (step) {
    std::visit([this](const auto& alternative) { Perform(alternative); },
               *step);
  }
}

void LimitsCore::Perform(const RequestApprovals& step) {
  for (const VmId& witness : step.witnesses) {
    if (witness != m_options.self.vm) {
      Send(witness, ApprovalRequest{.incarnation = m_options.self.incarnation,
                                    .shard = step.shard.shard,
                                    .generation = step.shard.generation,
                                    .version = step.version});
    } else if (m_witness.Approve(step.shard, m_now)) {
      m_claims.at(step.shard.shard)
          .HandleApproval(witness, step.shard.generation, step.version);
    }
  }
}

void LimitsCore::Apply(const RecordRead& event) {
  m_upkeep_due = true;
  const auto owned = m_owned.find(event.shard);
  if (owned != m_owned.end()) {
    const bool kept = event.record && owned->second.HandleRead(
                                          *event.record, event.version, m_now);
    const bool released = kept && owned->second.released();
    if (!kept || released) {
      StepDown(event.shard);
    }
    if (released) {
      Announce({event.shard});
    }
    return;
  }
  const auto claim = m_claims.find(event.shard);
  if (claim != m_claims.end()) {
    const auto won =
        claim->second.HandleRead(event.record, event.version, m_now);
    if (won) {
      TakeOwnership(event.shard, *won);
    }
  }
}

void LimitsCore::Apply(const RecordReadFailed& event) {
  const auto owned = m_owned.find(event.shard);
  if (owned != m_owned.end()) {
    owned->second.HandleReadFailed(m_now);
  }
  const auto claim = m_claims.find(event.shard);
  if (claim != m_claims.end()) {
    claim->second.HandleFailed(m_now);
  }
}

void LimitsCore::Apply(const RecordWritten& event) {
  m_upkeep_due = true;
  const auto owned = m_owned.find(event.shard);
  if (owned != m_owned.end()) {
    owned->second.HandleWritten(event.write_token, event.version);
    if (owned->second.released()) {
      StepDown(event.shard);
      Announce({event.shard});
    }
    return;
  }
  const auto claim = m_claims.find(event.shard);
  if (claim != m_claims.end()) {
    const auto won =
        claim->second.HandleWritten(event.write_token, event.version, m_now);
    if (won) {
      TakeOwnership(event.shard, *won);
    }
  }
}

void LimitsCore::Apply(const RecordConflict& event) {
  Apply(RecordFailed{event.shard});
}

void LimitsCore::Apply(const RecordFailed& event) {
  m_upkeep_due = true;
  const auto owned = m_owned.find(event.shard);
  if (owned != m_owned.end()) {
    owned->second.HandleInDoubt();
  }
  const auto claim = m_claims.find(event.shard);
  if (claim != m_claims.end()) {
    claim->second.HandleFailed(m_now);
  }
}

void LimitsCore::TakeOwnership(LimitsShard shard, const WonClaim& won) {
  m_claims.erase(shard);
  m_holders.erase(shard);
  m_owners.erase(shard);
  m_owned.try_emplace(shard, shard, won.record, won.version, won.written,
                      won.usable_from);
  m_next_announcement = m_now;
}

void LimitsCore::StepDown(LimitsShard shard) {
  const auto owned = m_owned.find(shard);
  m_abandoned[shard] = owned->second.id().generation;
  m_owned.erase(owned);
  m_upkeep_due = true;
}

void LimitsCore::Announce(const std::vector<LimitsShard>& released) {
  m_next_announcement = m_now + kAnnounceInterval;
  Announcement message{.incarnation = m_options.self.incarnation,
                       .sequence = ++m_announcement,
                       .released = released};
  std::set<VmId> receivers = m_known_entries;
  for (auto& [shard, owner] : m_owned) {
    message.owned.push_back(owner.id());
    // This process is a witness like any other.
    if (m_witness.Promise(owner.id(), m_now)) {
      owner.AddPromise(m_options.self, m_now);
    }
    for (const ProcessRef& witness : owner.record().witnesses) {
      receivers.insert(witness.vm);
    }
  }
  receivers.erase(m_options.self.vm);
  m_announcements_sent[m_announcement] = m_now;
  if (m_announcements_sent.size() > kMaxOpenAnnouncements) {
    m_announcements_sent.erase(m_announcements_sent.begin());
  }
  for (const VmId& vm : receivers) {
    if (m_up.count(vm) != 0) {
      Send(vm, message);
    }
  }
}

void LimitsCore::SendReports() {
  m_demand.Roll(kReportInterval);
  for (auto& [shard, owner] : m_owned) {
    owner.ledger().RollDemand(kReportInterval);
  }
  std::map<LimitsShard, std::vector<OrganisationDemand>> demand;
  for (OrganisationDemand& busy : m_demand.Busy(kDivideRate / 2)) {
    demand[ShardOf(busy.organisation, m_options.shard_count)].push_back(
        std::move(busy));
  }
  for (const auto& [shard, known] : m_owners) {
    const auto old = m_holders.find(shard);
    if (old != m_holders.end() &&
        old->second.shard().generation < known.generation) {
      m_holders.erase(old);
    }
    const bool is_holder = m_holders.count(shard) != 0;
    const auto busy = demand.find(shard);
    if (busy == demand.end() && !is_holder) {
      continue;
    }
    const auto [holder, is_new] =
        m_holders.try_emplace(shard, OwnedShard{shard, known.generation});
    if (m_draining) {
      holder->second.ReturnAll(m_limits, m_now);
    }
    if (busy == demand.end() && !holder->second.HoldsAnything()) {
      m_holders.erase(holder);
      continue;
    }
    auto rates = m_draining || busy == demand.end()
                     ? std::vector<OrganisationDemand>()
                     : std::move(busy->second);
    Send(known.vm,
         holder->second.MakeReport(m_options.self.incarnation, ++m_report,
                                   std::move(rates), m_now));
  }
}

void LimitsCore::UpdatePicks() {
  m_upkeep_due = true;
  m_picks.clear();
  m_witnesses.clear();
  for (uint32_t index = 0; index < m_options.shard_count; ++index) {
    const LimitsShard shard(index);
    const std::string key = "limits/" + std::to_string(index);
    const auto picked = RendezvousPick(key, m_entries, 1);
    m_picks.push_back(picked.empty() ? VmId() : picked.front());
    m_witnesses.push_back(WitnessesFor(shard));
  }
}

std::vector<ProcessRef> LimitsCore::WitnessesFor(LimitsShard shard) const {
  std::vector<VmId> others;
  for (const VmId& vm : m_entries) {
    if (vm != m_options.self.vm && m_up.count(vm) != 0) {
      others.push_back(vm);
    }
  }
  if (others.size() == 1) {
    // Of two, the other one alone: it can then take over without this one.
    return {{others.front(), m_up.at(others.front())}};
  }
  size_t count = std::min(kMaxWitnesses, others.size() + 1);
  if (count % 2 == 0) {
    // An even set bears no more losses than the odd one below it.
    --count;
  }
  const std::string key = "witness/" + std::to_string(shard.value());
  std::vector<ProcessRef> witnesses = {m_options.self};
  for (const VmId& vm : RendezvousPick(key, others, count - 1)) {
    witnesses.push_back({vm, m_up.at(vm)});
  }
  std::sort(
      witnesses.begin(), witnesses.end(),
      [](const ProcessRef& a, const ProcessRef& b) { return a.vm < b.vm; });
  return witnesses;
}

}  // namespace cowslip
