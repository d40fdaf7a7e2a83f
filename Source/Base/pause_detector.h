#ifndef SOURCE_BASE_PAUSE_DETECTOR_H_
#define SOURCE_BASE_PAUSE_DETECTOR_H_

#include <chrono>
#include <optional>

#include "Base/time.h"

namespace cowslip {

/// \class PauseDetector
/// \brief Detects that the process did not run for a while because its VM was
/// suspended or the process was stopped. Its view of other processes may be
/// outdated afterwards.
class PauseDetector {
 public:
  /// Call this at regular intervals. Returns the time since the previous call
  /// if it is too long to be a scheduling delay, otherwise nullopt.
  std::optional<Duration> Tick(BootTime now);
  /// Whether a call of Tick() would report a pause.
  bool IsOverdue(BootTime now) const;

 private:
  std::optional<BootTime> m_last_tick;
};

}  // namespace cowslip

#endif  // SOURCE_BASE_PAUSE_DETECTOR_H_
