#include "Base/pause_detector.h"

#include <utility>

namespace cowslip {

namespace {

// Ticks come ten times a second. Peers consider a process unresponsive after
// the same time.
constexpr Duration kMaxTickInterval = std::chrono::seconds(1);

}  // namespace

bool PauseDetector::IsOverdue(BootTime now) const {
  return m_last_tick.has_value() && now - *m_last_tick > kMaxTickInterval;
}

std::optional<Duration> PauseDetector::Tick(BootTime now) {
  const bool is_overdue = IsOverdue(now);
  const std::optional<BootTime> last = std::exchange(m_last_tick, now);
  return is_overdue ? std::optional<Duration>(now - *last) : std::nullopt;
}

}  // namespace cowslip
