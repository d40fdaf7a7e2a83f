#ifndef SOURCE_BATCH_JOB_QUEUE_H_
#define SOURCE_BATCH_JOB_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "Base/time.h"
#include "Batch/partition_events.h"

namespace cowslip {

struct JobState;

/// \class QueuedItem
/// \brief An item that was taken from the queue and has no committed outcome
/// yet.
struct QueuedItem {
  /// Set while the item runs.
  std::optional<DispatchId> dispatch;
  uint32_t failed_attempts = 0;
  /// Runs that ended because the backend server was lost.
  uint32_t lost_runs = 0;
  std::string resume_token;
};

/// \class JobQueue
/// \brief The owner's dispatch queue of one running job: the items in progress,
/// those that wait to be dispatched again, and the first item that was never
/// taken. Its size is bounded, whatever the size of the job.
class JobQueue {
 public:
  /// Items in progress at a time; at this limit only requeued items are
  /// dispatched.
  static constexpr size_t kMaxActiveItems = 1024;

  /// True when TakeNext() would return an item.
  bool HasReadyItem(const JobState& job, MonotonicTime now);
  /// Takes the next item: a requeued item that is due, or else the first item
  /// that was never taken.
  std::optional<uint32_t> TakeNext(const JobState& job, MonotonicTime now);
  /// Puts a taken item back; it may be taken again from `ready_at` on.
  void Requeue(uint32_t item, MonotonicTime ready_at);
  /// Removes an item whose outcome is committed.
  void Erase(uint32_t item);

  QueuedItem& at(uint32_t item) { return m_items.at(item); }
  const QueuedItem& at(uint32_t item) const { return m_items.at(item); }
  bool Contains(uint32_t item) const { return m_items.count(item) != 0; }
  const std::map<uint32_t, QueuedItem>& items() const { return m_items; }

 private:
  bool SkipTakenItems(const JobState& job);

  std::map<uint32_t, QueuedItem> m_items;
  std::set<std::pair<MonotonicTime, uint32_t>> m_requeued;
  uint32_t m_next_item = 0;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_JOB_QUEUE_H_
