#include "Gateway/shutdown_notice.h"

#include <algorithm>
#include <utility>

namespace cowslip {

void ShutdownNotice::Expire() {
  m_expired = true;
  const auto callbacks = std::exchange(*m_callbacks, {});
  for (const auto& [number, callback] : callbacks) {
    callback();
  }
}

MonotonicTime ShutdownNotice::Limit(MonotonicTime deadline) const {
  return m_expired ? LimitNow(deadline) : deadline;
}

MonotonicTime ShutdownNotice::LimitNow(MonotonicTime deadline) const {
  return m_due.has_value() ? std::min(deadline, *m_due) : deadline;
}

bool ShutdownNotice::IsTooLate(MonotonicTime deadline,
                               std::optional<Duration> run_time,
                               MonotonicTime now) const {
  if (!m_due.has_value() || now < m_late_from || deadline <= *m_due) {
    return false;
  }
  const Duration needed = run_time.value_or((*m_due - m_late_from) / 2);
  return *m_due - now < needed;
}

ShutdownNotice::Registration ShutdownNotice::OnExpired(
    std::function<void()> callback) {
  m_callbacks->emplace(++m_last_number, std::move(callback));
  return Registration(m_callbacks, m_last_number);
}

}  // namespace cowslip
