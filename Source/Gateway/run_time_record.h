#ifndef SOURCE_GATEWAY_RUN_TIME_RECORD_H_
#define SOURCE_GATEWAY_RUN_TIME_RECORD_H_

#include <chrono>
#include <map>
#include <optional>

#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// \class RunTimeRecordOptions
/// \brief How long a run is remembered.
struct RunTimeRecordOptions {
  /// Long enough that all kinds of requests of a route occur in it.
  Duration memory = std::chrono::seconds(60);
};

/// \class RunTimeRecord
/// \brief The longest of each route's recent runs: the time that one more run
/// of the route may need.
class RunTimeRecord {
 public:
  explicit RunTimeRecord(RunTimeRecordOptions options) : m_options(options) {}

  /// A run of the route was completed and took this long.
  void Add(const RouteId& route, Duration run_time, MonotonicTime now);
  /// The longest run of the last `memory`, or of up to twice that time; nullopt
  /// if there was none.
  std::optional<Duration> Longest(const RouteId& route,
                                  MonotonicTime now) const;

 private:
  struct Window {
    MonotonicTime begin;
    Duration longest{0};
    /// Of the window before.
    Duration longest_before{0};
  };

  const RunTimeRecordOptions m_options;
  std::map<RouteId, Window> m_windows;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_RUN_TIME_RECORD_H_
