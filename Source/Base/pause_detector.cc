#include "Base/pause_detector.h"

namespace cowslip {

namespace {

// Ticks come ten times a second. Peers consider a process unresponsive after
// the same time.
constexpr Duration kLongestGap = std::chrono::seconds(1);

}  // namespace

std::optional<Duration> PauseDetector::Tick(BootTime now) {
  const std::optional<BootTime> last = m_last;
  m_last = now;
  if (!last.has_value() || now - *last <= kLongestGap) {
    return std::nullopt;
  }
  return now - *last;
}

}  // namespace cowslip
