#include <algorithm>
#include <utility>

#include "Base/rendezvous.h"
#include "Limits/limits_core.h"

namespace cowslip {
namespace {

constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(50);
/// How many of the latest announcements still accept replies.
constexpr size_t kMaxTrackedAnnouncements = 16;

}  // namespace

void LimitsCore::RunMaintenance() {
  m_maintenance_due = false;
  m_next_maintenance = m_now + kMaintenanceInterval;
  for (uint32_t index = 0; index < m_options.shard_count; ++index) {
    const LimitsShard shard(index);
    const auto owned = m_owned_shards.find(shard);
    if (owned != m_owned_shards.end()) {
      MaintainOwnedShard(shard, owned->second);
    } else {
      AdvanceClaim(shard);
    }
  }
  if (m_now >= m_next_announcement) {
    Announce({});
  }
  if (m_now >= m_next_report) {
    m_next_report = m_now + kReportInterval;
    SendReports();
  }
  std::erase_if(m_refusal_backoffs, [this](const auto& entry) {
    return entry.second.until <= m_now;
  });
}

void LimitsCore::MaintainOwnedShard(LimitsShard shard, ShardOwner& owner) {
  owner.ledger().ExpireSessions(m_limits, m_now);
  const bool is_misplaced = !IsPreferredOwner(shard) &&
                            m_now - m_entries_changed_at >= kHandoverDelay;
  if ((m_draining || is_misplaced) && !owner.handing_over()) {
    owner.StartHandover();
  }
  if (owner.TakeReadRequest()) {
    m_actions.push_back(ReadRecord{shard});
    return;
  }
  const auto write =
      owner.NextWrite(m_witnesses[shard.value()], m_random(), m_limits, m_now);
  if (write) {
    m_actions.push_back(*write);
  }
}

bool LimitsCore::IsPreferredOwner(LimitsShard shard) const {
  return m_preferred_owners[shard.value()] == m_options.self.vm;
}

void LimitsCore::AdvanceClaim(LimitsShard shard) {
  if (m_draining || !IsPreferredOwner(shard) ||
      m_known_owners.count(shard) != 0) {
    return;
  }
  const auto [claim, is_new] = m_claims.try_emplace(
      shard, shard, m_options.self, m_abandoned_generations[shard]);
  const auto step =
      claim->second.NextStep(m_witnesses[shard.value()], m_random(), m_now);
  if (step) {
    std::visit([this](const auto& alternative) { ApplyStep(alternative); },
               *step);
  }
}

void LimitsCore::ApplyStep(const RequestApprovals& step) {
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
  m_maintenance_due = true;
  const auto owned = m_owned_shards.find(event.shard);
  if (owned != m_owned_shards.end()) {
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
  const auto owned = m_owned_shards.find(event.shard);
  if (owned != m_owned_shards.end()) {
    owned->second.HandleReadFailed(m_now);
  }
  const auto claim = m_claims.find(event.shard);
  if (claim != m_claims.end()) {
    claim->second.HandleStoreFailure(m_now);
  }
}

void LimitsCore::Apply(const RecordWritten& event) {
  m_maintenance_due = true;
  const auto owned = m_owned_shards.find(event.shard);
  if (owned != m_owned_shards.end()) {
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

void LimitsCore::Apply(const RecordWriteConflict& event) {
  Apply(RecordWriteUncertain{event.shard});
}

void LimitsCore::Apply(const RecordWriteUncertain& event) {
  m_maintenance_due = true;
  const auto owned = m_owned_shards.find(event.shard);
  if (owned != m_owned_shards.end()) {
    owned->second.HandleUncertainWrite();
  }
  const auto claim = m_claims.find(event.shard);
  if (claim != m_claims.end()) {
    claim->second.HandleStoreFailure(m_now);
  }
}

void LimitsCore::TakeOwnership(LimitsShard shard, const WonClaim& won) {
  m_claims.erase(shard);
  m_holders.erase(shard);
  m_known_owners.erase(shard);
  m_owned_shards.try_emplace(shard, shard, won.record, won.version, won.written,
                             won.usable_from);
  m_next_announcement = m_now;
}

void LimitsCore::StepDown(LimitsShard shard) {
  const auto owned = m_owned_shards.find(shard);
  m_abandoned_generations[shard] = owned->second.id().generation;
  m_owned_shards.erase(owned);
  m_maintenance_due = true;
}

void LimitsCore::Announce(const std::vector<LimitsShard>& released) {
  m_next_announcement = m_now + kAnnounceInterval;
  Announcement message{.incarnation = m_options.self.incarnation,
                       .sequence = ++m_announcement_sequence,
                       .released = released};
  std::set<VmId> receivers = m_known_entries;
  for (auto& [shard, owner] : m_owned_shards) {
    message.owned.push_back(owner.id());
    // This process is a witness of its own shards like any other process.
    if (m_witness.Promise(owner.id(), m_now)) {
      owner.AddPromise(m_options.self, m_now);
    }
    for (const ProcessRef& witness : owner.record().witnesses) {
      receivers.insert(witness.vm);
    }
  }
  receivers.erase(m_options.self.vm);
  m_announcement_send_times[m_announcement_sequence] = m_now;
  if (m_announcement_send_times.size() > kMaxTrackedAnnouncements) {
    m_announcement_send_times.erase(m_announcement_send_times.begin());
  }
  for (const VmId& vm : receivers) {
    if (m_linked_peers.count(vm) != 0) {
      Send(vm, message);
    }
  }
}

void LimitsCore::SendReports() {
  m_demand.EndInterval(kReportInterval);
  for (auto& [shard, owner] : m_owned_shards) {
    owner.ledger().EndDemandInterval(kReportInterval);
  }
  std::map<LimitsShard, std::vector<OrganisationDemand>> demand;
  for (OrganisationDemand& busy : m_demand.RatesAtLeast(kMinRateForShare / 2)) {
    demand[ShardOf(busy.organisation, m_options.shard_count)].push_back(
        std::move(busy));
  }
  for (const auto& [shard, known] : m_known_owners) {
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
    if (busy == demand.end() && !holder->second.HasShares()) {
      m_holders.erase(holder);
      continue;
    }
    auto rates = m_draining || busy == demand.end()
                     ? std::vector<OrganisationDemand>()
                     : std::move(busy->second);
    Send(known.vm, holder->second.MakeReport(m_options.self.incarnation,
                                             ++m_report_sequence,
                                             std::move(rates), m_now));
  }
}

void LimitsCore::UpdatePreferredOwners() {
  m_maintenance_due = true;
  m_preferred_owners.clear();
  m_witnesses.clear();
  for (uint32_t index = 0; index < m_options.shard_count; ++index) {
    const LimitsShard shard(index);
    const std::string key = "limits/" + std::to_string(index);
    const auto picked = RendezvousPick(key, m_entries, 1);
    m_preferred_owners.push_back(picked.empty() ? VmId() : picked.front());
    m_witnesses.push_back(WitnessesFor(shard));
  }
}

std::vector<ProcessRef> LimitsCore::WitnessesFor(LimitsShard shard) const {
  std::vector<VmId> others;
  for (const VmId& vm : m_entries) {
    if (vm != m_options.self.vm && m_linked_peers.count(vm) != 0) {
      others.push_back(vm);
    }
  }
  if (others.size() == 1) {
    // With two entries, only the other one is a witness, so that it can take
    // over without this one.
    return {{others.front(), m_linked_peers.at(others.front())}};
  }
  size_t count = std::min(kMaxWitnesses, others.size() + 1);
  if (count % 2 == 0) {
    // An even number of witnesses tolerates no more losses than one witness
    // fewer.
    --count;
  }
  const std::string key = "witness/" + std::to_string(shard.value());
  std::vector<ProcessRef> witnesses = {m_options.self};
  for (const VmId& vm : RendezvousPick(key, others, count - 1)) {
    witnesses.push_back({vm, m_linked_peers.at(vm)});
  }
  std::sort(
      witnesses.begin(), witnesses.end(),
      [](const ProcessRef& a, const ProcessRef& b) { return a.vm < b.vm; });
  return witnesses;
}

}  // namespace cowslip
