#include "Backend/reply_flow.h"

#include <algorithm>

namespace cowslip {

std::vector<ResponseChunk> ReplyFlow::Take(ExchangeId exchange) {
  std::vector<ResponseChunk> chunks;
  size_t taken = 0;
  while (taken < m_pending.size() && m_credit > 0) {
    const size_t left = m_pending.size() - taken;
    const size_t allowed = std::min<uint64_t>(m_credit, kMaxChunkBytes);
    const size_t size = std::min(left, allowed);
    chunks.push_back({.exchange = exchange,
                      .sequence = m_chunks++,
                      .data = m_pending.substr(taken, size)});
    taken += size;
    m_credit -= size;
  }
  m_pending.erase(0, taken);
  return chunks;
}

}  // namespace cowslip
