#ifndef SOURCE_PEERS_POLL_REPORT_H_
#define SOURCE_PEERS_POLL_REPORT_H_

#include <optional>

#include "Base/time.h"

namespace cowslip {

/// \class PollReport
/// \brief What a process tells its peers about its own polls of the store.
struct PollReport {
  /// How long ago its last poll began that has read everything.
  std::optional<Duration> completed_age;
  /// How long ago the poll began that is in progress.
  std::optional<Duration> running_age;

  friend bool operator==(const PollReport&, const PollReport&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_POLL_REPORT_H_
