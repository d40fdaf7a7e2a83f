#include "Limits/ask_queue.h"

#include <utility>

namespace cowslip {

void AskQueue::Add(WaitingAsk ask) {
  const uint64_t id = ++m_last_id;
  m_waiting.emplace(id, std::move(ask));
  m_unsent.insert(id);
}

std::vector<uint64_t> AskQueue::Unsent() const {
  return {m_unsent.begin(), m_unsent.end()};
}

void AskQueue::MarkSent(uint64_t id, const VmId& to, MonotonicTime now) {
  WaitingAsk& ask = m_waiting.at(id);
  ask.sent_to = to;
  ask.sent_at = now;
  ++ask.attempt;
  m_unsent.erase(id);
}

void AskQueue::MarkUnsent(const VmId& was_sent_to) {
  for (const auto& [id, ask] : m_waiting) {
    if (ask.sent_to == was_sent_to) {
      MarkUnsent(id);
    }
  }
}

void AskQueue::MarkUnsent(uint64_t id) {
  const auto found = m_waiting.find(id);
  if (found != m_waiting.end()) {
    found->second.sent_to = VmId();
    m_unsent.insert(id);
  }
}

std::optional<WaitingAsk> AskQueue::Finish(uint64_t id) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) {
    return std::nullopt;
  }
  WaitingAsk ask = std::move(found->second);
  m_waiting.erase(found);
  m_unsent.erase(id);
  return ask;
}

std::vector<WaitingAsk> AskQueue::Expire(MonotonicTime now) {
  std::vector<WaitingAsk> expired;
  while (!m_waiting.empty() && m_waiting.begin()->second.deadline <= now) {
    expired.push_back(*Finish(m_waiting.begin()->first));
  }
  return expired;
}

}  // namespace cowslip
