#ifndef SOURCE_BASE_MEMORY_BUDGET_H_
#define SOURCE_BASE_MEMORY_BUDGET_H_

#include <cstdint>
#include <limits>

namespace cowslip {

/// How much of what is left of a MemoryBudget one holder may have.
enum class MemoryPriority {
  /// What callers and backend servers send.
  kNormal,
  /// What the store and peers send: without it, nothing is served.
  kHigh,
};

/// \class MemoryBudget
/// \brief Divides the memory of a process among holders whose peers decide how
/// much arrives: connections, responses and outputs.
///
/// Answers loads in which many peers send much or without end, over any number
/// of connections. A holder may grow up to a fraction of what is left, like a
/// queue of a switch with a shared buffer and dynamic thresholds. So those that
/// hold most stop first, the sum stays below the limit, and something is left
/// for those that need little.
class MemoryBudget {
 public:
  static constexpr uint64_t kUnlimited = std::numeric_limits<uint64_t>::max();

  explicit MemoryBudget(uint64_t limit = kUnlimited) : m_limit(limit) {}

  /// Whether a holder of `held` bytes may have `more`.
  bool HasRoom(uint64_t held, uint64_t more, MemoryPriority priority) const;
  /// Takes bytes whether there is room or not.
  void Take(uint64_t bytes) { m_used += bytes; }
  void Return(uint64_t bytes) { m_used -= bytes; }
  void CountRefusal() { ++m_refusals; }

  /// A limit below what is held takes nothing back.
  void SetLimit(uint64_t limit) { m_limit = limit; }
  uint64_t limit() const { return m_limit; }
  uint64_t used() const { return m_used; }
  /// How often a holder found no room.
  uint64_t refusals() const { return m_refusals; }

 private:
  uint64_t m_limit;
  uint64_t m_used = 0;
  uint64_t m_refusals = 0;
};

/// Returns the limit of the budget of a process whose heap has `heap` bytes in
/// use, of which `held` are taken from the budget. A process limit of 0 means
/// that none is known.
uint64_t BudgetLimit(uint64_t process_limit, uint64_t heap, uint64_t held);

}  // namespace cowslip

#endif  // SOURCE_BASE_MEMORY_BUDGET_H_
