#include "Base/memory_budget.h"

#include <algorithm>

namespace cowslip {

namespace {

// A holder of normal priority has at most a quarter of what is left, so that
// even a few of them leave most of it to others.
constexpr uint64_t kNormalDivisor = 4;
constexpr uint64_t kHighDivisor = 1;

// Parts of the process's limit, in percent. Three quarters are used at most on
// purpose: the rest is for the copies that parsing makes, and for freed pages
// that the heap has not returned.
constexpr uint64_t kUsablePercent = 75;
// The budget of a process whose heap holds little else.
constexpr uint64_t kBudgetPercent = 40;
// What is left to short requests when the heap is full of other things.
constexpr uint64_t kMinBudgetPercent = 5;

}  // namespace

bool MemoryBudget::HasRoom(uint64_t held,
                           uint64_t more,
                           MemoryPriority priority) const {
  const uint64_t divisor =
      priority == MemoryPriority::kHigh ? kHighDivisor : kNormalDivisor;
  const uint64_t left = m_limit - std::min(m_used, m_limit);
  return held + more <= left / divisor;
}

uint64_t BudgetLimit(uint64_t process_limit, uint64_t heap, uint64_t held) {
  if (process_limit == 0) {
    return MemoryBudget::kUnlimited;
  }
  const uint64_t others = heap - std::min(heap, held);
  const uint64_t usable = process_limit / 100 * kUsablePercent;
  return std::clamp(usable - std::min(usable, others),
                    process_limit / 100 * kMinBudgetPercent,
                    process_limit / 100 * kBudgetPercent);
}

}  // namespace cowslip
