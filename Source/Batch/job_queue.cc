#include "Batch/job_queue.h"

#include "Batch/partition_state.h"

namespace cowslip {

bool JobQueue::SkipToUntouched(const JobState& job) {
  const auto touched = [&](uint32_t item) {
    return job.done.Contains(item) || job.intents.count(item) != 0 ||
           m_items.count(item) != 0;
  };
  while (m_cursor < job.header.items && touched(m_cursor)) {
    ++m_cursor;
  }
  return m_cursor < job.header.items;
}

bool JobQueue::HasReady(const JobState& job, MonotonicTime now) {
  if (!m_waiting.empty() && m_waiting.begin()->first <= now) {
    return true;
  }
  return m_items.size() < kMaxActiveItems && SkipToUntouched(job);
}

std::optional<uint32_t> JobQueue::Take(const JobState& job, MonotonicTime now) {
  if (!HasReady(job, now)) {
    return std::nullopt;
  }
  if (!m_waiting.empty() && m_waiting.begin()->first <= now) {
    const uint32_t item = m_waiting.begin()->second;
    m_waiting.erase(m_waiting.begin());
    return item;
  }
  const uint32_t item = m_cursor++;
  QueuedItem& queued = m_items[item];
  const auto failed = job.failed_attempts.find(item);
  if (failed != job.failed_attempts.end()) {
    queued.failed_attempts = failed->second;
  }
  return item;
}

void JobQueue::PutBack(uint32_t item, MonotonicTime ready_at) {
  m_items.at(item).dispatch.reset();
  m_waiting.emplace(ready_at, item);
}

void JobQueue::Erase(uint32_t item) {
  m_items.erase(item);
}

}  // namespace cowslip
