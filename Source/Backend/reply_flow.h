#ifndef SOURCE_BACKEND_REPLY_FLOW_H_
#define SOURCE_BACKEND_REPLY_FLOW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Exchange/exchange_messages.h"

namespace cowslip {

/// \class ReplyFlow
/// \brief Cuts an answer into numbered pieces, as far as the entry's credit
/// goes.
class ReplyFlow {
 public:
  /// The largest piece, in bytes.
  static constexpr size_t kMaxChunkBytes = 64 * 1024;

  void Push(const std::string& data) { m_pending += data; }
  void Grant(uint64_t bytes) { m_credit += bytes; }
  /// Takes the pieces that the credit covers.
  std::vector<ResponseChunk> Take(ExchangeId exchange);
  /// True when nothing waits for credit.
  bool empty() const { return m_pending.empty(); }
  /// Pieces taken so far.
  uint64_t chunks() const { return m_chunks; }

 private:
  std::string m_pending;
  uint64_t m_credit = kInitialCreditBytes;
  uint64_t m_chunks = 0;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_REPLY_FLOW_H_
