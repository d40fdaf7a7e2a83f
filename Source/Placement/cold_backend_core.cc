#include "Placement/cold_backend_core.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Base/rendezvous.h"

namespace cowslip {

namespace {

// More than the backend servers of a large deployment. Ids of backend servers
// that are gone are dropped with the rest.
constexpr size_t kMaxCachedShares = 4096;

}  // namespace

ColdBackendCore::ColdBackendCore(ColdBackendOptions options)
    : m_options(std::move(options)), m_shares(m_options.self) {}

const ColdService* ColdBackendCore::FindService(
    const ServiceId& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : &found->second;
}

Duration ColdBackendCore::MaxRemaining(const ServiceId& service) const {
  const ColdService* declared = FindService(service);
  return declared == nullptr ? Duration::zero()
                             : declared->start * m_options.max_remaining_factor;
}

std::optional<Duration> ColdBackendCore::Interval(
    const BackendId& id,
    const ServiceId& service) const {
  const ColdService* declared = FindService(service);
  if (declared == nullptr) {
    return std::nullopt;
  }
  // A window of one second contains at most rate + sharers requests.
  const double sharers = std::max(1.0, m_options.bounds->slack);
  return m_shares.AttemptInterval(id.value(), declared->rate, sharers);
}

void ColdBackendCore::UpdateIntervals() {
  for (auto& [incarnation, state] : m_states) {
    state.interval = Interval(incarnation.first, state.service);
  }
}

void ColdBackendCore::SetServices(std::map<ServiceId, ColdService> services,
                                  MonotonicTime now) {
  if (!m_options.bounds.has_value()) {
    return;
  }
  if (!m_began.has_value()) {
    m_began = now;
  }
  std::erase_if(services, [](const auto& service) {
    return service.second.rate.per_second <= 0;
  });
  m_services = std::move(services);
  std::erase_if(m_states, [&](const auto& known) {
    const auto& [incarnation, state] = known;
    const Duration max = MaxRemaining(state.service);
    const Duration remaining = state.cold_until - now;
    const bool is_absurd = max > Duration::zero() && remaining > max;
    if (is_absurd) {
      m_actions.push_back(
          ColdStatementRejected{{state.service,
                                 {incarnation.first, incarnation.second,
                                  remaining, state.entry_version}},
                                max});
    }
    return is_absurd;
  });
  m_strict_shares.clear();
  UpdateIntervals();
}

void ColdBackendCore::SetMembers(const std::vector<VmId>& members,
                                 MonotonicTime now) {
  if (!m_options.bounds.has_value()) {
    return;
  }
  m_shares.SetMembers(members);
  for (const VmId& member : members) {
    m_members[member] = now;
  }
  std::erase_if(m_members, [&](const auto& member) {
    return now - member.second > m_options.member_memory;
  });
  std::vector<VmId> counted;
  for (const auto& [vm, registered_at] : m_members) {
    counted.push_back(vm);
  }
  // Each restart of a gateway is reported here. With hundreds of gateways and
  // thousands of backend servers it takes long to compute all shares again.
  if (counted != m_counted_members) {
    m_counted_members = std::move(counted);
    m_strict_shares.clear();
  }
  UpdateIntervals();
}

void ColdBackendCore::Record(const ColdStatement& statement,
                             MonotonicTime now) {
  if (!m_options.bounds.has_value()) {
    return;
  }
  const BackendColdness& said = statement.coldness;
  const Duration max = MaxRemaining(statement.service);
  if (max > Duration::zero() && said.remaining > max) {
    m_actions.push_back(ColdStatementRejected{statement, max});
    return;
  }
  const IncarnationKey key(said.backend, said.started_at_ms);
  const auto found = m_states.find(key);
  if (found == m_states.end() && said.remaining <= Duration::zero()) {
    return;
  }
  State& state = found == m_states.end() ? m_states[key] : found->second;
  const Duration known = std::max<Duration>(state.cold_until - now, {});
  switch (statement.source) {
    case ColdSource::kEntry:
      if (said.entry_version <= state.entry_version) {
        // A listing repeats what is known.
        return;
      }
      state.entry_version = said.entry_version;
      if (said.remaining <= Duration::zero()) {
        state.warm_version = said.entry_version;
        state.cold_until = std::min(state.cold_until, now);
      }
      break;
    case ColdSource::kPeer:
      if (said.entry_version < state.warm_version) {
        return;
      }
      // The peer has read this entry earlier, so its remaining time is more
      // exact than what this process may still read there.
      state.entry_version = std::max(state.entry_version, said.entry_version);
      if (said.remaining <= known + m_options.relay_tolerance) {
        return;
      }
      break;
    case ColdSource::kResponse:
      break;
  }
  state.service = statement.service;
  state.heard = now;
  if (said.remaining <= known) {
    return;
  }
  state.cold_until = now + said.remaining;
  if (known <= Duration::zero()) {
    state.interval = Interval(said.backend, state.service);
    // The first interval begins now.
    state.last_attempt = now;
  }
  if (!state.is_reported_cold && FindService(state.service) != nullptr) {
    state.is_reported_cold = true;
    m_actions.push_back(
        BackendTurnedCold{said, statement.source, state.interval});
  }
}

void ColdBackendCore::RecordAttempt(const BackendRecord& record,
                                    WorkClass work,
                                    MonotonicTime now) {
  if (FindService(record.service) == nullptr) {
    return;
  }
  std::deque<Attempt>& attempts = m_attempts[record.id];
  while (!attempts.empty() &&
         now - attempts.front().at >= 2 * m_options.window) {
    attempts.pop_front();
  }
  attempts.push_back({now, work});
  const auto state = m_states.find({record.id, record.started_at_ms});
  if (state != m_states.end()) {
    state->second.last_attempt = now;
  }
}

size_t ColdBackendCore::AttemptsSince(const BackendId& id,
                                      MonotonicTime since) const {
  const auto found = m_attempts.find(id);
  if (found == m_attempts.end()) {
    return 0;
  }
  return static_cast<size_t>(std::count_if(
      found->second.begin(), found->second.end(),
      [&](const Attempt& attempt) { return attempt.at > since; }));
}

size_t ColdBackendCore::StrictShare(const BackendId& id,
                                    const ColdService& service) const {
  const auto known = m_strict_shares.find(id);
  if (known != m_strict_shares.end()) {
    return known->second;
  }
  if (m_strict_shares.size() >= kMaxCachedShares) {
    m_strict_shares.clear();
  }
  return m_strict_shares[id] = ComputeStrictShare(id, service);
}

size_t ColdBackendCore::ComputeStrictShare(const BackendId& id,
                                           const ColdService& service) const {
  const ColdBounds& bounds = *m_options.bounds;
  const auto tolerated = static_cast<size_t>(std::max(
      1.0,
      std::floor(service.rate.per_second * bounds.overage + bounds.slack)));
  if (m_counted_members.empty()) {
    // The least that a gateway may have in a fleet in which all have a share.
    return 1;
  }
  const size_t unknown = std::min(m_options.unknown_members, tolerated - 1);
  const size_t sharers = tolerated - unknown;
  if (m_counted_members.size() <= sharers) {
    return tolerated / (m_counted_members.size() + unknown);
  }
  const std::vector<VmId> picked =
      RendezvousPick(id.value(), m_counted_members, sharers);
  const bool is_picked =
      std::find(picked.begin(), picked.end(), m_options.self) != picked.end();
  return is_picked ? 1 : 0;
}

const ColdBackendCore::State* ColdBackendCore::FindCold(
    const BackendId& id,
    uint64_t started_at_ms,
    MonotonicTime now) const {
  const auto found = m_states.find({id, started_at_ms});
  const bool is_cold = found != m_states.end() &&
                       now < found->second.cold_until &&
                       FindService(found->second.service) != nullptr;
  return is_cold ? &found->second : nullptr;
}

bool ColdBackendCore::IsCold(const BackendId& id,
                             uint64_t started_at_ms,
                             MonotonicTime now) const {
  return FindCold(id, started_at_ms, now) != nullptr;
}

bool ColdBackendCore::HasTurn(const BackendRecord& record,
                              WorkClass work,
                              MonotonicTime now) const {
  const State* cold = FindCold(record.id, record.started_at_ms, now);
  if (cold == nullptr) {
    return true;
  }
  // A batch item takes only what online requests have left unused.
  const int intervals = work == WorkClass::kOnline ? 1 : 2;
  return cold->interval.has_value() &&
         now - cold->last_attempt >= *cold->interval * intervals;
}

bool ColdBackendCore::HasRoomForItem(
    const std::vector<const BackendRecord*>& backends,
    MonotonicTime now) const {
  size_t shares = 0;
  size_t online = 0;
  size_t items = 0;
  for (const BackendRecord* record : backends) {
    const ColdService* service = FindService(record->service);
    if (service == nullptr) {
      return true;
    }
    if (IsCold(record->id, record->started_at_ms, now)) {
      continue;
    }
    shares += StrictShare(record->id, *service);
    const auto found = m_attempts.find(record->id);
    if (found == m_attempts.end()) {
      continue;
    }
    for (const Attempt& attempt : found->second) {
      if (now - attempt.at < m_options.window) {
        ++(attempt.work == WorkClass::kOnline ? online : items);
      }
    }
  }
  if (online == 0 && items == 0) {
    // A reserve must not stop all items of a process with a single share.
    return true;
  }
  const auto all = static_cast<double>(shares);
  return static_cast<double>(items) + 1 +
             static_cast<double>(online) * m_options.online_reserve +
             all * m_options.share_reserve <=
         all;
}

bool ColdBackendCore::MayAttempt(const BackendRecord& record,
                                 WorkClass work,
                                 MonotonicTime now) const {
  const ColdService* service = FindService(record.service);
  if (service == nullptr) {
    return true;
  }
  // An earlier process on this VM may have used the share. Callers come back
  // all at once after a loss of many gateways, so only the backend servers that
  // are known to be cold are spared.
  if (now - *m_began < m_options.window &&
      IsCold(record.id, record.started_at_ms, now)) {
    return false;
  }
  const int windows = work == WorkClass::kOnline ? 1 : 2;
  return AttemptsSince(record.id, now - m_options.window * windows) <
             StrictShare(record.id, *service) &&
         HasTurn(record, work, now);
}

std::vector<BackendColdness> ColdBackendCore::ToReport(
    MonotonicTime now) const {
  std::vector<BackendColdness> cold;
  for (const auto& [incarnation, state] : m_states) {
    if (now < state.cold_until) {
      cold.push_back({.backend = incarnation.first,
                      .started_at_ms = incarnation.second,
                      .remaining = state.cold_until - now,
                      .entry_version = state.entry_version});
    }
  }
  std::sort(cold.begin(), cold.end(), [](const auto& a, const auto& b) {
    return a.remaining > b.remaining;
  });
  if (cold.size() > m_options.max_reported) {
    cold.resize(m_options.max_reported);
  }
  return cold;
}

std::vector<ColdAction> ColdBackendCore::TakeActions(MonotonicTime now) {
  for (auto& [incarnation, state] : m_states) {
    if (state.is_reported_cold && now >= state.cold_until) {
      state.is_reported_cold = false;
      m_actions.push_back(BackendTurnedWarm{incarnation.first});
    }
  }
  std::erase_if(m_states, [&](const auto& known) {
    return now >= known.second.cold_until &&
           now - known.second.heard > m_options.state_memory;
  });
  std::erase_if(m_attempts, [&](const auto& known) {
    return now - known.second.back().at >= 2 * m_options.window;
  });
  return std::exchange(m_actions, {});
}

}  // namespace cowslip
