#ifndef SOURCE_BASE_TIME_H_
#define SOURCE_BASE_TIME_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace cowslip {

using Duration = std::chrono::nanoseconds;

/// Converts to whole milliseconds, the unit of logs and messages, rounded
/// towards zero.
inline int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// \class MonotonicClock
/// \brief The monotonic clock of one process. Decision cores receive its time
/// points as arguments and never read a clock themselves.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
  /// Only daemons call this.
  static time_point now() {
    return time_point(std::chrono::steady_clock::now().time_since_epoch());
  }
};

using MonotonicTime = MonotonicClock::time_point;

/// \class BootClock
/// \brief A monotonic clock that, unlike MonotonicClock, also counts the time
/// for which the VM was suspended.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  /// Only daemons call this.
  static time_point now() {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

using BootTime = BootClock::time_point;

/// Wall-clock time, used only for values that people or other VMs read.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

inline WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace cowslip

#endif  // SOURCE_BASE_TIME_H_
