#ifndef SOURCE_BASE_PAUSE_DETECTOR_H_
#define SOURCE_BASE_PAUSE_DETECTOR_H_

#include <chrono>
#include <optional>

#include "Base/time.h"

namespace cowslip {

/// \class PauseDetector
/// \brief Notices that the process stood still: its VM was suspended, or the
/// process was frozen. What it knew of others may be outdated by then.
class PauseDetector {
 public:
  /// A regular tick at that time. Returns how long the process stood still, if
  /// the tick comes later than any scheduling delay explains.
  std::optional<Duration> Tick(BootTime now);

 private:
  std::optional<BootTime> m_last;
};

}  // namespace cowslip

#endif  // SOURCE_BASE_PAUSE_DETECTOR_H_
