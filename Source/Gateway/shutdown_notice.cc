#include "Gateway/shutdown_notice.h"

#include <algorithm>
#include <utility>

namespace cowslip {

void ShutdownNotice::SetDue(MonotonicTime late_from, MonotonicTime due) {
  m_late_from = late_from;
  m_due = due;
  m_earliest_due = std::min(m_earliest_due, due);
}

void ShutdownNotice::NotifyLate(MonotonicTime now) {
  if (!m_due.has_value() || now < m_late_from) {
    return;
  }
  for (const auto& [number, callbacks] : *m_registrations) {
    callbacks.late();
  }
}

void ShutdownNotice::Expire() {
  m_expired = true;
  const auto registrations = std::exchange(*m_registrations, {});
  for (const auto& [number, callbacks] : registrations) {
    callbacks.expired();
  }
}

MonotonicTime ShutdownNotice::Limit(MonotonicTime deadline) const {
  return m_expired ? LimitNow(deadline) : deadline;
}

MonotonicTime ShutdownNotice::LimitNow(MonotonicTime deadline) const {
  return m_due.has_value() ? std::min(deadline, *m_due) : deadline;
}

bool ShutdownNotice::IsTooLate(MonotonicTime deadline,
                               MonotonicTime now) const {
  return m_due.has_value() && now >= m_late_from && deadline > m_earliest_due;
}

ShutdownNotice::Registration ShutdownNotice::Register(Callbacks callbacks) {
  m_registrations->emplace(++m_last_number, std::move(callbacks));
  return Registration(m_registrations, m_last_number);
}

}  // namespace cowslip
