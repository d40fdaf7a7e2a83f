#include "Batch/job_queue.h"

#include "Batch/partition_state.h"

namespace cowslip {

bool JobQueue::SkipTakenItems(const JobState& job) {
  const auto was_taken = [&](uint32_t item) {
    return job.done.Contains(item) || job.intents.count(item) != 0 ||
           m_items.count(item) != 0;
  };
  while (m_next_item < job.header.items && was_taken(m_next_item)) {
    ++m_next_item;
  }
  return m_next_item < job.header.items;
}

bool JobQueue::HasReadyItem(const JobState& job, MonotonicTime now) {
  if (!m_requeued.empty() && m_requeued.begin()->first <= now) {
    return true;
  }
  return m_items.size() < kMaxActiveItems && SkipTakenItems(job);
}

std::optional<uint32_t> JobQueue::TakeNext(const JobState& job,
                                           MonotonicTime now) {
  if (!HasReadyItem(job, now)) {
    return std::nullopt;
  }
  if (!m_requeued.empty() && m_requeued.begin()->first <= now) {
    const uint32_t item = m_requeued.begin()->second;
    m_requeued.erase(m_requeued.begin());
    return item;
  }
  const uint32_t item = m_next_item++;
  QueuedItem& queued = m_items[item];
  const auto failed = job.failed_attempts.find(item);
  if (failed != job.failed_attempts.end()) {
    queued.failed_attempts = failed->second;
  }
  return item;
}

void JobQueue::Requeue(uint32_t item, MonotonicTime ready_at) {
  m_items.at(item).dispatch.reset();
  m_requeued.emplace(ready_at, item);
}

void JobQueue::Erase(uint32_t item) {
  m_items.erase(item);
}

}  // namespace cowslip
