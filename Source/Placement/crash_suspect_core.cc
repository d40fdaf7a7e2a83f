#include "Placement/crash_suspect_core.h"

#include <algorithm>
#include <bit>
#include <optional>
#include <tuple>
#include <utility>

#include "Base/rendezvous.h"
#include "Peers/peer_table.h"

namespace cowslip {

namespace {

// The events after which the progress of a run is first of interest.
constexpr uint32_t kFirstMilestone = 16;

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
  // A run that went on past an earlier crash speaks against its parts, so that
  // its own crash does not fail a trial.
  std::vector<SuspectPart> suspects;
  for (const PromptPartId& part : event.parts) {
    const bool passed_crash = RecordOwnProgress(part, event.events, now);
    suspects.push_back({.part = part,
                        .events = event.events,
                        .is_trial = event.is_trial && !passed_crash &&
                                    m_blocked.contains(part)});
    if (event.is_trial) {
      EndTrial(part, now);
    }
  }
  RecordOwnCrash(event.backend, event.started_at_ms, suspects, now);
  ChargeUnconfirmedRuns(event.backend, event.started_at_ms);
  UpdateBlockedParts();
  return CrashSuspectNoAction{};
}

CrashSuspectAction CrashSuspectCore::Apply(const RunAdvanced& event,
                                           MonotonicTime now) {
  for (const PromptPartId& part : event.parts) {
    RecordOwnProgress(part, event.events, now);
  }
  return CrashSuspectNoAction{};
}

CrashSuspectAction CrashSuspectCore::Apply(const RunEndedWell& event,
                                           MonotonicTime now) {
  for (const PromptPartId& part : event.parts) {
    CountRun(part, now);
    RecordOwnProgress(part, kAllEvents, now);
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

CrashSuspectAction CrashSuspectCore::Apply(const BackendVanished& event,
                                           MonotonicTime now) {
  RecordCrashTime({.backend = event.backend,
                   .started_at_ms = event.started_at_ms,
                   .time = now,
                   .uncertainty = m_options.discovery_delay});
  UpdateBlockedParts();
  return CrashSuspectNoAction{};
}

CrashSuspectAction CrashSuspectCore::Apply(
    const PeerCrashEvidenceReported& event,
    MonotonicTime now) {
  const CrashEvidence& evidence = event.evidence;
  if (m_blocked.empty()) {
    m_held_back_by_others.clear();
  } else {
    const std::vector<PromptPartId>& held_back = evidence.held_back;
    m_held_back_by_others[event.vm] = {
        .time = now, .parts = {held_back.begin(), held_back.end()}};
  }
  if (evidence.crashes.empty() && evidence.cleared.empty()) {
    return CrashSuspectNoAction{};
  }
  for (const BackendCrash& crash : evidence.crashes) {
    if (crash.age <= m_options.lifetime) {
      RecordCrash(crash.backend, crash.started_at_ms, crash.parts,
                  now - crash.age);
    }
  }
  for (const ClearedPart& cleared : evidence.cleared) {
    RecordProgress(cleared.part, cleared.events, now - cleared.age);
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
    const bool is_running = m_trials[part].is_running;
    if (now < trial || is_running) {
      m_held_back[part] = now;
      return RunBlocked{.part = part,
                        .crashes = found->second.crashes,
                        .failed_trials = found->second.failed_trials,
                        .retry_after = is_running ? m_options.first_trial_delay
                                                  : trial - now};
    }
    allowed.is_trial = true;
  }
  if (allowed.is_trial) {
    for (const PromptPartId& part : event.parts) {
      if (m_blocked.contains(part)) {
        m_trials[part].is_running = true;
      }
    }
  }
  return allowed;
}

CrashSuspectAction CrashSuspectCore::Apply(const TrialEnded& event,
                                           MonotonicTime now) {
  for (const PromptPartId& part : event.parts) {
    EndTrial(part, event.has_run ? now : MonotonicTime());
  }
  return CrashSuspectNoAction{};
}

bool CrashSuspectCore::IsMilestone(uint32_t before, uint32_t events) {
  return events >= kFirstMilestone &&
         std::bit_floor(before) != std::bit_floor(events);
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
    const std::vector<SuspectPart>& parts,
    MonotonicTime time) {
  const bool has_trial =
      std::any_of(parts.begin(), parts.end(),
                  [](const SuspectPart& suspect) { return suspect.is_trial; });
  RecordCrashTime({.backend = backend,
                   .started_at_ms = started_at_ms,
                   .time = time,
                   .ended_trial = has_trial});
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
  for (const SuspectPart& suspect : parts) {
    const PromptPartId& part = suspect.part;
    const CompletedRuns* runs = FindRuns(part);
    if (runs != nullptr && runs->last > crash.time) {
      if (runs->own_last > crash.time) {
        // Those that still suspect the part have to learn of the run.
        m_cleared[{part, kAllEvents}] = runs->own_last;
      }
    } else if (!IsDisproved(suspect, crash.time) &&
               part.value().size() <= m_options.max_part_bytes &&
               crash.suspects.size() < m_options.max_parts_per_crash) {
      const auto [suspicion, is_new] = crash.suspects.try_emplace(part);
      changed |= is_new || (suspect.is_trial && !suspicion->second.is_trial);
      suspicion->second.events =
          std::max(suspicion->second.events, suspect.events);
      suspicion->second.is_trial |= suspect.is_trial;
    }
  }
  if (known != m_crashes.end()) {
    m_changed |= changed;
    *known = std::move(crash);
    return &*known;
  }
  if (crash.suspects.empty() || (IsExplained(crash) && !has_trial)) {
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
                                      const std::vector<SuspectPart>& parts,
                                      MonotonicTime time) {
  Crash* crash = RecordCrash(backend, started_at_ms, parts, time);
  if (crash != nullptr) {
    for (const SuspectPart& suspect : parts) {
      if (crash->suspects.contains(suspect.part)) {
        crash->own_suspects.insert(suspect.part);
      }
    }
    crash->own_time = time;
  }
}

void CrashSuspectCore::RecordCrashTime(const CrashTime& crash) {
  const auto known = std::find_if(
      m_crash_times.begin(), m_crash_times.end(), [&](const CrashTime& other) {
        return other.backend == crash.backend &&
               other.started_at_ms == crash.started_at_ms;
      });
  if (known != m_crash_times.end()) {
    known->ended_trial |= crash.ended_trial;
    if (crash.uncertainty < known->uncertainty) {
      known->time = crash.time;
      known->uncertainty = crash.uncertainty;
    }
    return;
  }
  m_crash_times.push_back(crash);
  if (m_crash_times.size() > m_options.max_crash_times) {
    m_crash_times.pop_front();
  }
  m_changed = true;
}

bool CrashSuspectCore::MayBeTogether(const CrashTime& other,
                                     MonotonicTime time) const {
  const MonotonicTime earliest = other.time - other.uncertainty;
  return time >= earliest - m_options.common_cause_window &&
         time <= other.time + m_options.common_cause_window;
}

bool CrashSuspectCore::Disproves(uint32_t events,
                                 const Suspicion& suspicion) const {
  return events == kAllEvents ||
         events >= uint64_t{suspicion.events} + m_options.event_margin;
}

bool CrashSuspectCore::EndedTrial(const Crash& crash) {
  return std::any_of(
      crash.suspects.begin(), crash.suspects.end(),
      [](const auto& suspect) { return suspect.second.is_trial; });
}

void CrashSuspectCore::FindCommonCauses() {
  for (Crash& crash : m_crashes) {
    if (!EndedTrial(crash) || crash.has_common_cause) {
      continue;
    }
    const auto others = std::count_if(
        m_crash_times.begin(), m_crash_times.end(),
        [&](const CrashTime& other) {
          return other.backend != crash.backend && !other.ended_trial &&
                 MayBeTogether(other, crash.time);
        });
    crash.has_common_cause = others >= m_options.common_cause_crashes;
  }
}

bool CrashSuspectCore::SupportsBlock(const Crash& crash) const {
  return std::any_of(
      crash.suspects.begin(), crash.suspects.end(),
      [&](const auto& suspect) { return m_blocked.contains(suspect.first); });
}

bool CrashSuspectCore::IsExplained(const Crash& crash) const {
  return std::any_of(
      crash.suspects.begin(), crash.suspects.end(), [&](const auto& suspect) {
        const auto blocked = m_blocked.find(suspect.first);
        return blocked != m_blocked.end() &&
               blocked->second.crashes >= m_options.max_crashes_per_part;
      });
}

// Evicts the oldest crash, but one on which no block rests before the others,
// and failed trials last: they determine when a part is tried again.
void CrashSuspectCore::EvictCrash() {
  const auto rank = [&](const Crash& crash) {
    return std::tuple(EndedTrial(crash), SupportsBlock(crash), crash.time);
  };
  m_crashes.erase(std::min_element(
      m_crashes.begin(), m_crashes.end(),
      [&](const Crash& a, const Crash& b) { return rank(a) < rank(b); }));
}

bool CrashSuspectCore::RecordProgress(const PromptPartId& part,
                                      uint32_t events,
                                      MonotonicTime time) {
  bool clears = false;
  for (Crash& crash : m_crashes) {
    const auto suspicion = crash.suspects.find(part);
    if (crash.time < time && suspicion != crash.suspects.end() &&
        Disproves(events, suspicion->second)) {
      crash.suspects.erase(suspicion);
      clears = true;
    }
  }
  if (!clears) {
    return false;
  }
  RememberProgress(part, events, time);
  if (events == kAllEvents) {
    CompletedRuns& runs = m_runs[part];
    runs.last = std::max(runs.last, time);
  }
  std::erase_if(m_crashes,
                [](const Crash& crash) { return crash.suspects.empty(); });
  // That a part which is not blocked is cleared blocks no other one.
  m_changed |= m_blocked.contains(part);
  UpdateBlockedParts();
  return true;
}

bool CrashSuspectCore::RecordOwnProgress(const PromptPartId& part,
                                         uint32_t events,
                                         MonotonicTime time) {
  const std::pair key(part, events);
  const bool clears = RecordProgress(part, events, time);
  if (clears || m_cleared.contains(key)) {
    m_cleared[key] = time;
  }
  return clears;
}

void CrashSuspectCore::RememberProgress(const PromptPartId& part,
                                        uint32_t events,
                                        MonotonicTime time) {
  std::erase_if(m_progress, [&](const auto& known) {
    return time - known.second.time > m_options.lifetime;
  });
  const auto known = m_progress.find(part);
  if (known == m_progress.end() || events >= known->second.events) {
    m_progress[part] = {.events = events, .time = time};
  }
}

bool CrashSuspectCore::IsDisproved(const SuspectPart& suspect,
                                   MonotonicTime crash) const {
  const auto known = m_progress.find(suspect.part);
  return known != m_progress.end() && known->second.time > crash &&
         Disproves(known->second.events, Suspicion{.events = suspect.events});
}

void CrashSuspectCore::EndTrial(const PromptPartId& part, MonotonicTime time) {
  const auto trial = m_trials.find(part);
  if (trial != m_trials.end() && trial->second.is_running) {
    trial->second.is_running = false;
    trial->second.last = std::max(trial->second.last, time);
  }
}

void CrashSuspectCore::ChargeUnconfirmedRuns(const BackendId& backend,
                                             uint64_t started_at_ms) {
  for (const UnconfirmedRun& ended : m_unconfirmed) {
    if (ended.run.backend == backend &&
        ended.run.started_at_ms == started_at_ms) {
      std::vector<SuspectPart> suspects;
      for (const PromptPartId& part : ended.run.parts) {
        suspects.push_back({.part = part});
      }
      RecordOwnCrash(backend, started_at_ms, suspects, ended.end);
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
        CountRun(part, ended.end);
        RecordOwnProgress(part, kAllEvents, ended.end);
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
    for (const auto& [part, suspicion] : crash->suspects) {
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
  FindCommonCauses();
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
    m_blocked[part].failed_trials = FailedTrials(part);
    std::erase_if(unexplained, [&](const Crash* crash) {
      return crash->suspects.contains(part);
    });
  }
  const auto is_unblocked = [&](const auto& entry) {
    return !m_blocked.contains(entry.first);
  };
  std::erase_if(m_trials, is_unblocked);
  std::erase_if(m_held_back, is_unblocked);
}

uint32_t CrashSuspectCore::FailedTrials(const PromptPartId& part) const {
  const auto failed = std::count_if(
      m_crashes.begin(), m_crashes.end(), [&](const Crash& crash) {
        const auto suspicion = crash.suspects.find(part);
        return suspicion != crash.suspects.end() &&
               suspicion->second.is_trial && !crash.has_common_cause;
      });
  return static_cast<uint32_t>(failed);
}

MonotonicTime CrashSuspectCore::NextTrial(const PromptPartId& part,
                                          const BlockedPart& blocked) const {
  Duration delay = m_options.first_trial_delay;
  for (uint32_t failed = 0; failed < blocked.failed_trials; ++failed) {
    delay *= m_options.trial_delay_factor;
  }
  MonotonicTime last = blocked.last_crash;
  const auto trial = m_trials.find(part);
  if (trial != m_trials.end()) {
    last = std::max(last, trial->second.last);
  }
  return last + delay + m_options.trial_stagger * TurnOf(part, last);
}

int64_t CrashSuspectCore::TurnOf(const PromptPartId& part,
                                 MonotonicTime since) const {
  const std::vector<VmId> live = m_peers.LiveProcesses();
  const std::vector<VmId> order =
      RendezvousPick(part.value(), live, live.size());
  const auto self = std::find(order.begin(), order.end(), m_options.self);
  return std::count_if(order.begin(), self, [&](const VmId& vm) {
    const auto report = m_held_back_by_others.find(vm);
    return report == m_held_back_by_others.end() ||
           report->second.time <= since || report->second.parts.contains(part);
  });
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
    for (const auto& [part, suspicion] : crash->suspects) {
      if (m_blocked.contains(part) ||
          (is_recent && crash->own_suspects.contains(part))) {
        reported.parts.push_back({.part = part,
                                  .events = suspicion.events,
                                  .is_trial = suspicion.is_trial});
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
  for (const auto& [run, time] : m_cleared) {
    if (now - time <= m_options.report_duration &&
        evidence.cleared.size() < m_options.max_reported_completions) {
      evidence.cleared.push_back(
          {.part = run.first, .age = now - time, .events = run.second});
    }
  }
  for (const auto& [part, time] : m_held_back) {
    if (now - time <= m_options.report_duration) {
      evidence.held_back.push_back(part);
    }
  }
  return evidence;
}

}  // namespace cowslip
