#include "Limits/limit_check_queue.h"

#include <utility>

namespace cowslip {

void LimitCheckQueue::Add(PendingLimitCheck check) {
  const uint64_t id = ++m_last_id;
  m_waiting.emplace(id, std::move(check));
  m_unsent.insert(id);
}

std::vector<uint64_t> LimitCheckQueue::Unsent() const {
  return {m_unsent.begin(), m_unsent.end()};
}

void LimitCheckQueue::MarkSent(uint64_t id, const VmId& to, MonotonicTime now) {
  PendingLimitCheck& check = m_waiting.at(id);
  check.sent_to = to;
  check.sent_at = now;
  ++check.attempt;
  m_unsent.erase(id);
}

void LimitCheckQueue::MarkUnsent(const VmId& was_sent_to) {
  for (const auto& [id, check] : m_waiting) {
    if (check.sent_to == was_sent_to) {
      MarkUnsent(id);
    }
  }
}

void LimitCheckQueue::MarkUnsent(uint64_t id) {
  const auto found = m_waiting.find(id);
  if (found != m_waiting.end()) {
    found->second.sent_to = VmId();
    m_unsent.insert(id);
  }
}

std::optional<PendingLimitCheck> LimitCheckQueue::Finish(uint64_t id) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) {
    return std::nullopt;
  }
  PendingLimitCheck check = std::move(found->second);
  m_waiting.erase(found);
  m_unsent.erase(id);
  return check;
}

std::vector<PendingLimitCheck> LimitCheckQueue::Expire(MonotonicTime now) {
  std::vector<PendingLimitCheck> expired;
  while (!m_waiting.empty() && m_waiting.begin()->second.deadline <= now) {
    expired.push_back(*Finish(m_waiting.begin()->first));
  }
  return expired;
}

}  // namespace cowslip
