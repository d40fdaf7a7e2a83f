#include "Utilities/StandIns/Engine/prefix_cache.h"

#include <functional>

namespace cowslip {

size_t PrefixCache::Use(std::string_view prompt) {
  size_t cached = 0;
  bool whole = true;
  for (size_t end = kBlockBytes; end <= prompt.size(); end += kBlockBytes) {
    const uint64_t block = std::hash<std::string_view>()(prompt.substr(0, end));
    whole = Touch(block) && whole;
    if (whole) {
      cached = end;
    }
  }
  return cached;
}

bool PrefixCache::Touch(uint64_t block) {
  const auto found = m_blocks.find(block);
  if (found != m_blocks.end()) {
    m_order.splice(m_order.begin(), m_order, found->second);
    return true;
  }
  if (m_entries == 0) {
    return false;
  }
  if (m_blocks.size() >= m_entries) {
    m_blocks.erase(m_order.back());
    m_order.pop_back();
  }
  m_order.push_front(block);
  m_blocks[block] = m_order.begin();
  return false;
}

}  // namespace cowslip
