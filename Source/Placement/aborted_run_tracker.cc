#include "Placement/aborted_run_tracker.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Base/rendezvous.h"
#include "Peers/peer_table.h"

namespace cowslip {

namespace {

// How often expired records are removed.
constexpr Duration kRemovalInterval = std::chrono::seconds(1);

// Stands for the processes that have observed runs and are lost with their
// counts. No VM has this name.
constexpr char kLostObserver[] = "?";

}  // namespace

AbortedRunTracker::AbortedRunTracker(AbortedRunTrackerOptions options,
                                     const PeerTable* peers)
    : m_options(std::move(options)), m_peers(peers) {}

void AbortedRunTracker::Handle(const AbortedRunEvent& event,
                               MonotonicTime now) {
  RemoveExpired(now);
  std::visit([&](const auto& alternative) { Apply(alternative, now); }, event);
  EvictExcess();
}

void AbortedRunTracker::Apply(const RunAborted& event, MonotonicTime now) {
  RecordOwnRun(event.fingerprint, now);
}

void AbortedRunTracker::Apply(const TrialBegun& event, MonotonicTime now) {
  RecordOwnRun(event.fingerprint, now);
}

// Other processes may have heard of the trial and go on to count it; this one
// can try again.
void AbortedRunTracker::Apply(const TrialNotRun& event, MonotonicTime) {
  const auto found = m_records.find(event.fingerprint);
  if (found == m_records.end()) {
    return;
  }
  Observed& own =
      found->second.observed[{m_options.self, m_options.incarnation}];
  own.cleared = std::min(own.cleared + 1, own.count);
  ++m_record_changes;
}

void AbortedRunTracker::RecordOwnRun(const Fingerprint& fingerprint,
                                     MonotonicTime now) {
  Record& record = m_records[fingerprint];
  Observed& own = record.observed[{m_options.self, m_options.incarnation}];
  ++own.count;
  own.last = now;
  record.last_abort = now;
  AssumeLostRuns(record, now);
  if (IsBlocked(record, now)) {
    ++m_record_changes;
  }
}

bool AbortedRunTracker::HasObserved(const Record& record) const {
  return std::any_of(record.observed.begin(), record.observed.end(),
                     [this](const auto& observed) {
                       return observed.first.first == m_options.self;
                     });
}

// The runs that are known and the trials that are left then make `max_trials`.
void AbortedRunTracker::AssumeLostRuns(Record& record, MonotonicTime now) {
  const bool may_be_lost = m_lost_runs_count_until.has_value() &&
                           now < *m_lost_runs_count_until &&
                           !record.was_recorded;
  if (!may_be_lost || CountOf(record) + 1 < m_options.max_trials) {
    return;
  }
  Observed& lost = record.observed[{VmId(kLostObserver), Incarnation()}];
  if (lost.count == 0) {
    lost.count = m_options.block_threshold;
    lost.last = record.last_abort;
  }
}

void AbortedRunTracker::Apply(const RunCompleted& event, MonotonicTime now) {
  const auto found = m_records.find(event.fingerprint);
  if (found == m_records.end()) {
    return;
  }
  Record& record = found->second;
  if (CountOf(record) > 0) {
    record.report_completed_until = now + m_options.report_duration;
  }
  record.own_completed = now;
  RecordCompletion(record, now);
}

void AbortedRunTracker::Apply(const PeerAbortedRunsReported& event,
                              MonotonicTime now) {
  if (event.has_run_longer) {
    m_lost_runs_count_until.reset();
  }
  for (const AbortedRuns& runs : event.runs) {
    const Observer observer = runs.vm.empty()
                                  ? Observer(event.vm, event.incarnation)
                                  : Observer(runs.vm, runs.incarnation);
    RecordAbortedRuns(observer, runs, now);
  }
  for (const CompletedRequest& completed : event.completed) {
    const auto found = m_records.find(completed.fingerprint);
    if (found != m_records.end()) {
      RecordCompletion(found->second, now - completed.age);
    }
  }
}

void AbortedRunTracker::RecordAbortedRuns(const Observer& observer,
                                          const AbortedRuns& runs,
                                          MonotonicTime now) {
  const bool is_own =
      observer == Observer(m_options.self, m_options.incarnation);
  if (is_own || runs.count == 0 || runs.age > m_options.lifetime) {
    return;
  }
  const MonotonicTime last = now - runs.age;
  Record& record = m_records[runs.fingerprint];
  const bool was_blocked = IsBlocked(record, now);
  Observed& known = record.observed[observer];
  if (runs.count > known.count) {
    known.count = runs.count;
    known.last = last;
  } else if (runs.count == known.count) {
    // A relayed report is late by the time that it took.
    known.last = std::min(known.last, last);
  }
  record.last_abort = std::max(record.last_abort, known.last);
  if (known.last > record.completed) {
    AssumeLostRuns(record, now);
    if (!was_blocked && IsBlocked(record, now) && HasObserved(record)) {
      ++m_record_changes;
    }
    return;
  }
  known.cleared = known.count;
  if (record.own_completed >= known.last) {
    // Those that still report the runs have to learn of the completed one.
    record.report_completed_until = now + m_options.report_duration;
  }
}

void AbortedRunTracker::Apply(const AbortedRunRecordsAwaited&, MonotonicTime) {
  m_records_are_known = false;
}

void AbortedRunTracker::Apply(const AbortedRunRecordsRead& event,
                              MonotonicTime now) {
  m_records_are_known = true;
  if (!event.are_complete) {
    m_lost_runs_count_until = now + m_options.lifetime;
  }
  for (const AbortedRuns& runs : event.runs) {
    if (runs.age <= m_options.lifetime) {
      m_records[runs.fingerprint].was_recorded = true;
      RecordAbortedRuns({runs.vm, runs.incarnation}, runs, now);
    }
  }
}

void AbortedRunTracker::RecordCompletion(Record& record, MonotonicTime time) {
  const bool counted = CountOf(record) > 0;
  record.completed = std::max(record.completed, time);
  for (auto& [observer, observed] : record.observed) {
    if (observed.last <= record.completed) {
      observed.cleared = observed.count;
    }
  }
  if (counted && CountOf(record) == 0 && HasObserved(record)) {
    ++m_record_changes;
  }
}

uint32_t AbortedRunTracker::CountOf(const Record& record) {
  uint32_t count = 0;
  for (const auto& [observer, observed] : record.observed) {
    count += observed.count - observed.cleared;
  }
  return count;
}

bool AbortedRunTracker::IsBlocked(const Record& record,
                                  MonotonicTime now) const {
  const uint32_t threshold =
      m_records_are_known ? m_options.block_threshold : 1;
  return now - record.last_abort <= m_options.lifetime &&
         CountOf(record) >= threshold;
}

bool AbortedRunTracker::IsBlocked(const Fingerprint& fingerprint,
                                  MonotonicTime now) const {
  const auto found = m_records.find(fingerprint);
  return found != m_records.end() && IsBlocked(found->second, now);
}

int64_t AbortedRunTracker::ProcessesBefore(
    const Fingerprint& fingerprint) const {
  if (m_peers == nullptr) {
    return 0;
  }
  const std::vector<VmId> live = m_peers->LiveProcesses();
  const std::vector<VmId> order =
      RendezvousPick(fingerprint.value(), live, live.size());
  const auto self = std::find(order.begin(), order.end(), m_options.self);
  return std::distance(order.begin(), self);
}

std::optional<Duration> AbortedRunTracker::TimeUntilTrial(
    const Fingerprint& fingerprint,
    MonotonicTime now) const {
  const auto found = m_records.find(fingerprint);
  if (found == m_records.end() || !IsBlocked(found->second, now)) {
    return std::nullopt;
  }
  if (!m_records_are_known) {
    return m_options.unread_records_delay;
  }
  const Record& record = found->second;
  const uint32_t trials = CountOf(record) - m_options.block_threshold;
  if (trials >= m_options.max_trials) {
    return record.last_abort + m_options.lifetime - now;
  }
  Duration delay = m_options.first_trial_delay;
  for (uint32_t trial = 0; trial < trials; ++trial) {
    delay *= m_options.trial_delay_factor;
  }
  delay += m_options.trial_stagger * ProcessesBefore(fingerprint);
  return std::max(record.last_abort + delay - now, Duration::zero());
}

bool AbortedRunTracker::IsRelaying(MonotonicTime now) const {
  const size_t live = m_peers == nullptr ? 1 : m_peers->LiveProcesses().size();
  const std::string turn = std::to_string(now.time_since_epoch().count());
  return RendezvousScore(turn, m_options.self.value()) % live <
         m_options.relaying_processes;
}

std::vector<AbortedRuns> AbortedRunTracker::RunsToReport(
    MonotonicTime now) const {
  using Entry = std::pair<MonotonicTime, const Record*>;
  const Observer self(m_options.self, m_options.incarnation);
  std::vector<std::pair<MonotonicTime, AbortedRuns>> recent;
  std::vector<std::pair<Entry, Fingerprint>> blocked;
  for (const auto& [fingerprint, record] : m_records) {
    if (IsBlocked(record, now)) {
      blocked.push_back({{record.last_abort, &record}, fingerprint});
    }
    const auto own = record.observed.find(self);
    if (own != record.observed.end() &&
        own->second.count > own->second.cleared &&
        now - own->second.last <= m_options.report_duration) {
      recent.push_back({own->second.last,
                        {.fingerprint = fingerprint,
                         .count = own->second.count,
                         .age = now - own->second.last}});
    }
  }
  std::sort(recent.begin(), recent.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<AbortedRuns> reported;
  for (auto& [seen, runs] : recent) {
    if (reported.size() == m_options.max_reported) {
      break;
    }
    reported.push_back(std::move(runs));
  }
  if (blocked.empty() || !IsRelaying(now)) {
    return reported;
  }
  std::sort(blocked.begin(), blocked.end(), [](const auto& a, const auto& b) {
    return a.first.first > b.first.first;
  });
  blocked.resize(std::min(blocked.size(), m_options.max_relayed));
  for (const auto& [entry, fingerprint] : blocked) {
    uint32_t count = 0;
    for (const auto& [observer, observed] : entry.second->observed) {
      // More than what rules out further trials says nothing new.
      if (observed.count > observed.cleared &&
          count < m_options.block_threshold + m_options.max_trials) {
        count += observed.count - observed.cleared;
        reported.push_back({.fingerprint = fingerprint,
                            .count = observed.count,
                            .age = now - observed.last,
                            .vm = observer.first,
                            .incarnation = observer.second});
      }
    }
  }
  return reported;
}

std::vector<AbortedRuns> AbortedRunTracker::RunsToRecord(
    MonotonicTime now) const {
  std::vector<std::pair<MonotonicTime, Fingerprint>> blocked;
  for (const auto& [fingerprint, record] : m_records) {
    if (IsBlocked(record, now) && HasObserved(record)) {
      blocked.emplace_back(record.last_abort, fingerprint);
    }
  }
  std::sort(blocked.rbegin(), blocked.rend());
  blocked.resize(std::min(blocked.size(), m_options.max_recorded));
  std::vector<AbortedRuns> runs;
  for (const auto& [last, fingerprint] : blocked) {
    uint32_t count = 0;
    for (const auto& [observer, observed] :
         m_records.at(fingerprint).observed) {
      if (observed.count > observed.cleared &&
          count < m_options.block_threshold + m_options.max_trials) {
        count += observed.count - observed.cleared;
        runs.push_back({.fingerprint = fingerprint,
                        .count = observed.count - observed.cleared,
                        .age = now - observed.last,
                        .vm = observer.first,
                        .incarnation = observer.second});
      }
    }
  }
  return runs;
}

std::vector<CompletedRequest> AbortedRunTracker::CompletionsToReport(
    MonotonicTime now) const {
  std::vector<CompletedRequest> completed;
  for (const auto& [fingerprint, record] : m_records) {
    if (now <= record.report_completed_until &&
        completed.size() < m_options.max_reported) {
      completed.push_back({fingerprint, now - record.own_completed});
    }
  }
  return completed;
}

void AbortedRunTracker::RemoveExpired(MonotonicTime now) {
  if (now - m_last_removal < kRemovalInterval) {
    return;
  }
  m_last_removal = now;
  std::erase_if(m_records, [&](const auto& entry) {
    const Record& record = entry.second;
    const MonotonicTime last = std::max(record.last_abort, record.completed);
    return now - last > m_options.lifetime;
  });
}

void AbortedRunTracker::EvictExcess() {
  while (m_records.size() > m_options.max_records) {
    const auto oldest = std::min_element(
        m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
          return a.second.last_abort < b.second.last_abort;
        });
    m_records.erase(oldest);
  }
}

}  // namespace cowslip
