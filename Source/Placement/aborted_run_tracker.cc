#include "Placement/aborted_run_tracker.h"

#include <algorithm>
#include <utility>

namespace cowslip {

AbortedRunTracker::AbortedRunTracker(AbortedRunTrackerOptions options)
    : m_options(options) {}

void AbortedRunTracker::Handle(const AbortedRunEvent& event,
                               MonotonicTime now) {
  std::visit([&](const auto& alternative) { Apply(alternative, now); }, event);
  EvictExcess(now);
}

void AbortedRunTracker::Apply(const RunAborted& event, MonotonicTime now) {
  Record& record = m_records[event.fingerprint];
  ++record.own;
  record.own_last_abort = now;
  record.last_abort = now;
}

void AbortedRunTracker::Apply(const RunCompleted& event, MonotonicTime) {
  m_records.erase(event.fingerprint);
}

void AbortedRunTracker::Apply(const PeerAbortedRunsReported& event,
                              MonotonicTime now) {
  for (const AbortedRuns& runs : event.runs) {
    Record& record = m_records[runs.fingerprint];
    uint32_t& known = record.peers[event.vm];
    if (runs.count > known) {
      known = runs.count;
      record.last_abort = now;
    }
  }
}

bool AbortedRunTracker::IsBlocked(const Fingerprint& fingerprint,
                                  MonotonicTime now) const {
  const auto found = m_records.find(fingerprint);
  if (found == m_records.end() ||
      now - found->second.last_abort > m_options.lifetime) {
    return false;
  }
  uint32_t count = found->second.own;
  for (const auto& [vm, seen] : found->second.peers) {
    count += seen;
  }
  return count >= m_options.block_threshold;
}

std::vector<AbortedRuns> AbortedRunTracker::RunsToReport(
    MonotonicTime now) const {
  std::vector<std::pair<MonotonicTime, AbortedRuns>> recent;
  for (const auto& [fingerprint, record] : m_records) {
    if (record.own > 0 &&
        now - record.own_last_abort <= m_options.report_duration) {
      recent.push_back({record.own_last_abort, {fingerprint, record.own}});
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
  return reported;
}

void AbortedRunTracker::EvictExcess(MonotonicTime now) {
  if (m_records.size() <= m_options.max_records) {
    return;
  }
  std::erase_if(m_records, [&](const auto& record) {
    return now - record.second.last_abort > m_options.lifetime;
  });
  while (m_records.size() > m_options.max_records) {
    const auto oldest = std::min_element(
        m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
          return a.second.last_abort < b.second.last_abort;
        });
    m_records.erase(oldest);
  }
}

}  // namespace cowslip
