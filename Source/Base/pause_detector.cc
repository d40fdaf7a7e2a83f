#include "Base/pause_detector.h"

namespace cowslip {

namespace {

// Ticks come ten times a second. Peers consider a process unresponsive after
// the same time.
constexpr Duration kMaxTickInterval = std::chrono::seconds(1);

}  // namespace

std::optional<Duration> PauseDetector::Tick(BootTime now) {
  const std::optional<BootTime> last = m_last_tick;
  m_last_tick = now;
  if (!last.has_value() || now - *last <= kMaxTickInterval) {
    return std::nullopt;
  }
  return now - *last;
}

}  // namespace cowslip
