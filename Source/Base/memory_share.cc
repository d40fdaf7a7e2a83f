#include "Base/memory_share.h"

#include <utility>

namespace cowslip {

MemoryShare::MemoryShare(std::shared_ptr<MemoryBudget> budget,
                         MemoryPriority priority)
    : m_budget(std::move(budget)), m_priority(priority) {}

MemoryShare::~MemoryShare() {
  Shrink(0);
}

bool MemoryShare::Resize(uint64_t bytes) {
  if (m_budget != nullptr && bytes > m_bytes) {
    const uint64_t more = bytes - m_bytes;
    if (!m_budget->HasRoom(m_bytes, more, m_priority)) {
      m_budget->CountRefusal();
      return false;
    }
    m_budget->Take(more);
    m_bytes = bytes;
  }
  Shrink(bytes);
  return true;
}

void MemoryShare::Shrink(uint64_t bytes) {
  if (m_budget != nullptr && bytes < m_bytes) {
    m_budget->Return(m_bytes - bytes);
    m_bytes = bytes;
  }
}

}  // namespace cowslip
