#ifndef SOURCE_GATEWAY_MEMORY_MONITOR_H_
#define SOURCE_GATEWAY_MEMORY_MONITOR_H_

#include <cstdint>
#include <memory>

#include "Base/time.h"

namespace cowslip {

class EventLog;
class GatewayMetrics;
class MemoryBudget;

/// \class MemoryMonitor
/// \brief Watches this process's heap, logs its way to the memory limit, and
/// fits the budget of what peers send into what the rest of the heap leaves.
///
/// A process that exceeds the limit is killed without a line of its own.
class MemoryMonitor {
 public:
  /// A limit of 0 means that none is known.
  MemoryMonitor(EventLog& log, uint64_t process_limit);

  const std::shared_ptr<MemoryBudget>& budget() const { return m_budget; }

  /// Called at each periodic step of the process.
  void Tick(MonotonicTime now);
  void UpdateGauges(GatewayMetrics& metrics) const;

 private:
  void Sample();
  bool IsDue(MonotonicTime now) const;
  void LogRefusals();

  EventLog& m_log;
  const uint64_t m_process_limit;
  const std::shared_ptr<MemoryBudget> m_budget;
  MonotonicTime m_sampled_at;
  uint64_t m_heap_bytes = 0;
  uint64_t m_allocated_bytes = 0;
  uint64_t m_logged_tenth = 0;
  uint64_t m_logged_refusals = 0;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_MEMORY_MONITOR_H_
