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
/// \brief An item that the owner has taken up and that has no committed
/// outcome.
struct QueuedItem {
  /// Set while the item runs.
  std::optional<DispatchId> dispatch;
  uint32_t failed_attempts = 0;
  std::string resume_token;
};

/// \class JobQueue
/// \brief The owner's working view of one running job: what is taken up, what
/// waits for a retry, where the untouched items begin. Bounded whatever the
/// size of the job.
class JobQueue {
 public:
  /// Items taken up at a time; beyond this only retries are dispatched.
  static constexpr size_t kMaxActiveItems = 1024;

  /// True when TakeNext() would return an item.
  bool HasReadyItem(const JobState& job, MonotonicTime now);
  /// Takes the next item up: a due retry, or else the first untouched item.
  std::optional<uint32_t> TakeNext(const JobState& job, MonotonicTime now);
  /// Puts a taken item back, ready from then on.
  void Requeue(uint32_t item, MonotonicTime ready_at);
  /// Forgets an item whose outcome is committed.
  void Erase(uint32_t item);

  QueuedItem& at(uint32_t item) { return m_items.at(item); }
  bool Contains(uint32_t item) const { return m_items.count(item) != 0; }
  const std::map<uint32_t, QueuedItem>& items() const { return m_items; }

 private:
  bool SkipToUndispatched(const JobState& job);

  std::map<uint32_t, QueuedItem> m_items;
  std::set<std::pair<MonotonicTime, uint32_t>> m_requeued;
  uint32_t m_next_item = 0;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_JOB_QUEUE_H_
