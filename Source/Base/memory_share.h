#ifndef SOURCE_BASE_MEMORY_SHARE_H_
#define SOURCE_BASE_MEMORY_SHARE_H_

#include <cstdint>
#include <memory>

#include "Base/memory_budget.h"

namespace cowslip {

/// \class MemoryShare
/// \brief What one holder has of a MemoryBudget. Returned on destruction.
class MemoryShare {
 public:
  /// Without a budget there is always room.
  explicit MemoryShare(std::shared_ptr<MemoryBudget> budget,
                       MemoryPriority priority = MemoryPriority::kNormal);
  ~MemoryShare();
  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;

  /// Sets the number of bytes. Returns false, and changes nothing, if it grows
  /// and there is no room.
  [[nodiscard]] bool Resize(uint64_t bytes);
  /// Lowers the number of bytes; a higher one changes nothing.
  void Shrink(uint64_t bytes);
  uint64_t bytes() const { return m_bytes; }

 private:
  const std::shared_ptr<MemoryBudget> m_budget;
  const MemoryPriority m_priority;
  uint64_t m_bytes = 0;
};

}  // namespace cowslip

#endif  // SOURCE_BASE_MEMORY_SHARE_H_
