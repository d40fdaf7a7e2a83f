#include "Placement/crash_suspect_core.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <tuple>
#include <utility>

#include "Base/rendezvous.h"
#include "Peers/peer_table.h"

namespace cowslip {

namespace {

template <class Time>
Duration Distance(Time a, Time b) {
  return a > b ? a - b : b - a;
}

}  // namespace

CrashSuspectCore::CrashSuspectCore(CrashSuspectOptions options,
                                   const PeerTable& peers)
    : m_options(std::move(options)), m_peers(peers) {}

CrashSuspectAction CrashSuspectCore::Handle(const CrashSuspectEvent& event,
                                            MonotonicTime now) {
  ConfirmRuns(now);
  ExpireCrashes(now);
  return std::visit(
      [&](const auto& alternative) { return Apply(alternative, now); }, event);
}

CrashSuspectAction CrashSuspectCore::Apply(const RunBrokenOff& event,
                                           MonotonicTime now) {
  RecordOwnCrash(event.backend, event.started_at_ms, event.parts, now);
  ChargeUnconfirmedRuns(event.backend, event.started_at_ms);
  UpdateBlockedParts();
  return CrashSuspectNoAction{};
}

CrashSuspectAction CrashSuspectCore::Apply(const RunEndedWell& event,
                                           MonotonicTime now) {
  for (const PromptPartId& part : event.parts) {
    RecordOwnCompletion(part, now);
  }
  return CrashSuspectNoAction{};
}

CrashSuspectAction CrashSuspectCore::Apply(const RunEndedWithConnection& event,
                                           MonotonicTime now) {
  m_unconfirmed.push_back({event, now});
  return CrashSuspectNoAction{};
}

CrashSuspectAction CrashSuspectCore::Apply(
    const BackendRefusedConnection& event,
    MonotonicTime) {
  ChargeUnconfirmedRuns(event.backend, event.started_at_ms);
  UpdateBlockedParts();
  return CrashSuspectNoAction{};
}

CrashSuspectAction CrashSuspectCore::Apply(
    const PeerCrashEvidenceReported& event,
    MonotonicTime now) {
  if (event.evidence.crashes.empty() && event.evidence.completed.empty()) {
    return CrashSuspectNoAction{};
  }
  for (const BackendCrash& crash : event.evidence.crashes) {
    if (crash.age <= m_options.lifetime) {
      RecordCrash(crash.backend, crash.started_at_ms, crash.parts,
                  now - crash.age);
    }
  }
  for (const CompletedPart& completed : event.evidence.completed) {
    RecordCompletion(completed.part, now - completed.age);
  }
  UpdateBlockedParts();
  return CrashSuspectNoAction{};
}

CrashSuspectAction CrashSuspectCore::Apply(const RunRequested& event,
                                           MonotonicTime now) {
  RunAllowed allowed;
  for (const PromptPartId& part : event.parts) {
    const auto found = m_blocked.find(part);
    if (found == m_blocked.end()) {
      continue;
    }
    const MonotonicTime trial = NextTrial(part, found->second);
    if (now < trial) {
      return RunBlocked{.part = part,
                        .crashes = found->second.crashes,
                        .retry_after = trial - now};
    }
    allowed.is_trial = true;
  }
  if (allowed.is_trial) {
    for (const PromptPartId& part : event.parts) {
      if (m_blocked.contains(part)) {
        m_last_trials[part] = now;
      }
    }
  }
  return allowed;
}

bool CrashSuspectCore::IsBlocked(const std::vector<PromptPartId>& parts,
                                 MonotonicTime now) {
  if (m_blocked.empty()) {
    return false;
  }
  ExpireCrashes(now);
  return std::any_of(parts.begin(), parts.end(), [&](const PromptPartId& part) {
    return m_blocked.contains(part);
  });
}

CrashSuspectCore::Crash* CrashSuspectCore::RecordCrash(
    const BackendId& backend,
    uint64_t started_at_ms,
    const std::vector<PromptPartId>& parts,
    MonotonicTime time) {
  auto known =
      std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& crash) {
        return crash.backend == backend &&
               crash.started_at_ms == started_at_ms &&
               Distance(crash.time, time) < m_options.same_crash_time;
      });
  Crash crash{.backend = backend, .started_at_ms = started_at_ms, .time = time};
  if (known != m_crashes.end()) {
    crash = *known;
    crash.time = std::min(crash.time, time);
  }
  bool changed = false;
  for (const PromptPartId& part : parts) {
    const CompletedRuns* runs = FindRuns(part);
    if (runs != nullptr && runs->last > crash.time) {
      if (runs->own_last > crash.time) {
        // Those that still suspect the part have to learn of the run.
        m_cleared[part] = runs->own_last;
      }
    } else if (part.value().size() <= m_options.max_part_bytes &&
               crash.suspects.size() < m_options.max_parts_per_crash) {
      changed |= crash.suspects.insert(part).second;
    }
  }
  if (known != m_crashes.end()) {
    m_changed |= changed;
    *known = std::move(crash);
    return &*known;
  }
  if (crash.suspects.empty() || IsExplained(crash)) {
    return nullptr;
  }
  if (m_crashes.size() >= m_options.max_crashes) {
    EvictCrash();
  }
  m_crashes.push_back(std::move(crash));
  m_changed = true;
  return &m_crashes.back();
}

void CrashSuspectCore::RecordOwnCrash(const BackendId& backend,
                                      uint64_t started_at_ms,
                                      const std::vector<PromptPartId>& parts,
                                      MonotonicTime time) {
  Crash* crash = RecordCrash(backend, started_at_ms, parts, time);
  if (crash != nullptr) {
    std::copy_if(
        parts.begin(), parts.end(),
        std::inserter(crash->own_suspects, crash->own_suspects.end()),
        [&](const auto& part) { return crash->suspects.contains(part); });
    crash->own_time = time;
  }
}

bool CrashSuspectCore::SupportsBlock(const Crash& crash) const {
  return std::any_of(
      crash.suspects.begin(), crash.suspects.end(),
      [&](const PromptPartId& part) { return m_blocked.contains(part); });
}

bool CrashSuspectCore::IsExplained(const Crash& crash) const {
  return std::any_of(crash.suspects.begin(), crash.suspects.end(),
                     [&](const PromptPartId& part) {
                       const auto blocked = m_blocked.find(part);
                       return blocked != m_blocked.end() &&
                              blocked->second.crashes >=
                                  m_options.max_crashes_per_part;
                     });
}

// Evicts the oldest crash, but one on which no block rests before the others.
void CrashSuspectCore::EvictCrash() {
  const auto rank = [&](const Crash& crash) {
    return std::pair(SupportsBlock(crash), crash.time);
  };
  m_crashes.erase(std::min_element(
      m_crashes.begin(), m_crashes.end(),
      [&](const Crash& a, const Crash& b) { return rank(a) < rank(b); }));
}

bool CrashSuspectCore::RecordCompletion(const PromptPartId& part,
                                        MonotonicTime time) {
  bool was_suspect = false;
  for (Crash& crash : m_crashes) {
    was_suspect |= crash.time < time && crash.suspects.erase(part) > 0;
  }
  if (!was_suspect) {
    return false;
  }
  CompletedRuns& runs = m_runs[part];
  runs.last = std::max(runs.last, time);
  std::erase_if(m_crashes,
                [](const Crash& crash) { return crash.suspects.empty(); });
  // That a part which is not blocked is cleared blocks no other one.
  m_changed |= m_blocked.contains(part);
  UpdateBlockedParts();
  return true;
}

void CrashSuspectCore::RecordOwnCompletion(const PromptPartId& part,
                                           MonotonicTime time) {
  CountRun(part, time);
  if (RecordCompletion(part, time) || m_cleared.contains(part)) {
    m_cleared[part] = time;
  }
}

void CrashSuspectCore::ChargeUnconfirmedRuns(const BackendId& backend,
                                             uint64_t started_at_ms) {
  for (const UnconfirmedRun& ended : m_unconfirmed) {
    if (ended.run.backend == backend &&
        ended.run.started_at_ms == started_at_ms) {
      RecordOwnCrash(backend, started_at_ms, ended.run.parts, ended.end);
    }
  }
  std::erase_if(m_unconfirmed, [&](const UnconfirmedRun& ended) {
    return ended.run.backend == backend &&
           ended.run.started_at_ms == started_at_ms;
  });
}

void CrashSuspectCore::ConfirmRuns(MonotonicTime now) {
  const auto confirmed = [&](const UnconfirmedRun& ended) {
    return now - ended.end >= m_options.same_crash_time;
  };
  for (const UnconfirmedRun& ended : m_unconfirmed) {
    if (confirmed(ended)) {
      for (const PromptPartId& part : ended.run.parts) {
        RecordOwnCompletion(part, ended.end);
      }
    }
  }
  std::erase_if(m_unconfirmed, confirmed);
}

void CrashSuspectCore::CountRun(const PromptPartId& part, MonotonicTime time) {
  if (time - m_period_start >= m_options.count_period ||
      m_runs.size() >= m_options.max_counted_parts) {
    m_former_runs = std::exchange(m_runs, {});
    m_period_start = time;
  }
  CompletedRuns& runs = m_runs[part];
  ++runs.count;
  runs.last = std::max(runs.last, time);
  runs.own_last = runs.last;
}

const CrashSuspectCore::CompletedRuns* CrashSuspectCore::FindRuns(
    const PromptPartId& part) const {
  for (const RunCounts* counts : {&m_runs, &m_former_runs}) {
    const auto found = counts->find(part);
    if (found != counts->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

uint32_t CrashSuspectCore::CountOf(const PromptPartId& part) const {
  uint32_t count = 0;
  for (const RunCounts* counts : {&m_runs, &m_former_runs}) {
    const auto found = counts->find(part);
    count += found == counts->end() ? 0 : found->second.count;
  }
  return count;
}

void CrashSuspectCore::ExpireCrashes(MonotonicTime now) {
  const size_t expired = std::erase_if(m_crashes, [&](const Crash& crash) {
    return now - crash.time > m_options.lifetime;
  });
  m_changed |= expired > 0;
  UpdateBlockedParts();
  std::erase_if(m_cleared, [&](const auto& cleared) {
    return now - cleared.second > m_options.report_duration;
  });
}

CrashSuspectCore::BlockedPart CrashSuspectCore::Charge(
    const PromptPartId& part,
    const std::vector<const Crash*>& crashes) const {
  BlockedPart charged;
  std::set<std::pair<BackendId, uint64_t>> incarnations;
  for (const Crash* crash : crashes) {
    if (!crash->suspects.contains(part)) {
      continue;
    }
    const bool common_cause =
        charged.crashes > 0 &&
        crash->time - charged.last_crash < m_options.common_cause_time;
    const bool is_new =
        incarnations.insert({crash->backend, crash->started_at_ms}).second;
    if (is_new && !common_cause) {
      ++charged.crashes;
      charged.last_crash = crash->time;
    }
  }
  return charged;
}

std::vector<PromptPartId> CrashSuspectCore::FrequentSuspects(
    const std::vector<const Crash*>& crashes) const {
  std::map<PromptPartId, uint32_t> counts;
  std::vector<PromptPartId> frequent;
  for (const Crash* crash : crashes) {
    for (const PromptPartId& part : crash->suspects) {
      if (++counts[part] == m_options.block_threshold) {
        frequent.push_back(part);
      }
    }
  }
  return frequent;
}

void CrashSuspectCore::UpdateBlockedParts() {
  if (!m_changed) {
    return;
  }
  m_changed = false;
  m_blocked.clear();
  std::vector<const Crash*> unexplained;
  for (const Crash& crash : m_crashes) {
    unexplained.push_back(&crash);
  }
  std::sort(unexplained.begin(), unexplained.end(),
            [](const Crash* a, const Crash* b) { return a->time < b->time; });
  while (true) {
    // Fewest completed runs first, then most crashes.
    using Order = std::tuple<uint32_t, int64_t, PromptPartId>;
    std::optional<std::pair<Order, BlockedPart>> first;
    for (const PromptPartId& part : FrequentSuspects(unexplained)) {
      const BlockedPart charged = Charge(part, unexplained);
      const Order order(CountOf(part), -int64_t{charged.crashes}, part);
      if (charged.crashes >= m_options.block_threshold &&
          (!first.has_value() || order < first->first)) {
        first = {order, charged};
      }
    }
    if (!first.has_value()) {
      break;
    }
    const PromptPartId part = std::get<PromptPartId>(first->first);
    m_blocked[part] = first->second;
    std::erase_if(unexplained, [&](const Crash* crash) {
      return crash->suspects.contains(part);
    });
  }
  std::erase_if(m_last_trials, [&](const auto& trial) {
    return !m_blocked.contains(trial.first);
  });
}

MonotonicTime CrashSuspectCore::NextTrial(const PromptPartId& part,
                                          const BlockedPart& blocked) const {
  Duration delay = m_options.first_trial_delay;
  for (uint32_t crash = m_options.block_threshold; crash < blocked.crashes;
       ++crash) {
    delay *= m_options.trial_delay_factor;
  }
  const std::vector<VmId> live = m_peers.LiveProcesses();
  const std::vector<VmId> order =
      RendezvousPick(part.value(), live, live.size());
  const auto self = std::find(order.begin(), order.end(), m_options.self);
  const auto before = std::distance(order.begin(), self);
  MonotonicTime last = blocked.last_crash;
  const auto trial = m_last_trials.find(part);
  if (trial != m_last_trials.end()) {
    last = std::max(last, trial->second);
  }
  return last + delay + m_options.trial_stagger * before;
}

CrashEvidence CrashSuspectCore::EvidenceToReport(MonotonicTime now) const {
  CrashEvidence evidence;
  std::vector<const Crash*> crashes;
  for (const Crash& crash : m_crashes) {
    crashes.push_back(&crash);
  }
  // What blocks rest on first, then the newest.
  std::sort(crashes.begin(), crashes.end(),
            [&](const Crash* a, const Crash* b) {
              return std::pair(SupportsBlock(*a), a->time) >
                     std::pair(SupportsBlock(*b), b->time);
            });
  size_t suspects = 0;
  for (const Crash* crash : crashes) {
    BackendCrash reported{.backend = crash->backend,
                          .started_at_ms = crash->started_at_ms,
                          .age = now - crash->time};
    const bool is_recent = now - crash->own_time <= m_options.report_duration;
    for (const PromptPartId& part : crash->suspects) {
      if (m_blocked.contains(part) ||
          (is_recent && crash->own_suspects.contains(part))) {
        reported.parts.push_back(part);
      }
    }
    suspects += reported.parts.size();
    if (suspects > m_options.max_reported_suspects) {
      break;
    }
    if (!reported.parts.empty()) {
      evidence.crashes.push_back(std::move(reported));
    }
  }
  for (const auto& [part, time] : m_cleared) {
    if (now - time <= m_options.report_duration &&
        evidence.completed.size() < m_options.max_reported_completions) {
      evidence.completed.push_back({.part = part, .age = now - time});
    }
  }
  return evidence;
}

}  // namespace cowslip
