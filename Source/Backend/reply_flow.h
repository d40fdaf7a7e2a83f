#ifndef SOURCE_BACKEND_REPLY_FLOW_H_
#define SOURCE_BACKEND_REPLY_FLOW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Exchange/exchange_messages.h"

namespace cowslip {

/// \class ReplyFlow
/// \brief Splits a response body into numbered chunks, within the
/// flow-control credit that the entry has granted.
class ReplyFlow {
 public:
  /// The largest chunk, in bytes.
  static constexpr size_t kMaxChunkBytes = 64 * 1024;

  void Push(const std::string& data) { m_pending += data; }
  void Grant(uint64_t bytes) { m_credit += bytes; }
  /// Removes and returns the chunks that the credit allows to send.
  std::vector<ResponseChunk> Take(ExchangeId exchange);
  /// True if no data waits for credit.
  bool empty() const { return m_pending.empty(); }
  /// The number of chunks returned so far.
  uint64_t chunks() const { return m_chunks; }

 private:
  std::string m_pending;
  uint64_t m_credit = kInitialCreditBytes;
  uint64_t m_chunks = 0;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_REPLY_FLOW_H_
