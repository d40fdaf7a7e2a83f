#include "Gateway/memory_monitor.h"

#include <chrono>
#include <memory>

#include "Base/event_log.h"
#include "Base/heap_bytes.h"
#include "Base/memory_budget.h"
#include "Gateway/gateway_metrics.h"

namespace cowslip {

namespace {

// The interval between two looks at the heap while little is held for peers.
constexpr Duration kSampleInterval = std::chrono::seconds(1);

// The part of the budget beyond which each periodic step looks at the heap.
constexpr uint64_t kBusyDivisor = 4;

// Free pages of the heap count towards the process's limit. They are returned
// when they are more than this part of it.
constexpr uint64_t kTrimDivisor = 10;

}  // namespace

MemoryMonitor::MemoryMonitor(EventLog& log, uint64_t process_limit)
    : m_log(log),
      m_process_limit(process_limit),
      m_budget(std::make_shared<MemoryBudget>()) {
  Sample();
}

bool MemoryMonitor::IsDue(MonotonicTime now) const {
  return now - m_sampled_at >= kSampleInterval ||
         m_budget->used() > m_budget->limit() / kBusyDivisor;
}

void MemoryMonitor::Tick(MonotonicTime now) {
  if (m_process_limit == 0 || !IsDue(now)) {
    return;
  }
  Sample();
  if (now - m_sampled_at < kSampleInterval) {
    return;
  }
  m_sampled_at = now;
  if (m_heap_bytes - m_allocated_bytes > m_process_limit / kTrimDivisor) {
    TrimHeap();
  }
  LogRefusals();
  const uint64_t tenth = m_heap_bytes * 10 / m_process_limit;
  if (tenth != m_logged_tenth) {
    m_logged_tenth = tenth;
    m_log.Write("memory_used", {{"heap", m_heap_bytes},
                                {"allocated", m_allocated_bytes},
                                {"limit", m_process_limit}});
  }
}

void MemoryMonitor::Sample() {
  m_heap_bytes = HeapBytes();
  m_allocated_bytes = AllocatedHeapBytes();
  m_budget->SetLimit(
      BudgetLimit(m_process_limit, m_allocated_bytes, m_budget->used()));
}

void MemoryMonitor::LogRefusals() {
  const uint64_t refusals = m_budget->refusals();
  if (refusals != m_logged_refusals) {
    m_log.Write("memory_refused", {{"refusals", refusals - m_logged_refusals},
                                   {"held", m_budget->used()},
                                   {"budget", m_budget->limit()},
                                   {"allocated", m_allocated_bytes},
                                   {"limit", m_process_limit}});
    m_logged_refusals = refusals;
  }
}

void MemoryMonitor::UpdateGauges(GatewayMetrics& metrics) const {
  metrics.SetGauge("cowslip_heap_bytes",
                   "Memory that the heap has taken from the system.",
                   static_cast<double>(m_heap_bytes));
  metrics.SetGauge("cowslip_heap_allocated_bytes",
                   "The part of the heap that is allocated.",
                   static_cast<double>(m_allocated_bytes));
  metrics.SetGauge("cowslip_memory_held_bytes",
                   "What is held of the bytes that peers send.",
                   static_cast<double>(m_budget->used()));
  metrics.SetGauge("cowslip_memory_refusals",
                   "How often there was no room for what peers send.",
                   static_cast<double>(m_budget->refusals()));
  metrics.SetGauge("cowslip_memory_limit_bytes",
                   "The process's memory limit; 0 if the settings name none.",
                   static_cast<double>(m_process_limit));
}

}  // namespace cowslip
