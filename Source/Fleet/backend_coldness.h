#ifndef SOURCE_FLEET_BACKEND_COLDNESS_H_
#define SOURCE_FLEET_BACKEND_COLDNESS_H_

#include <cstdint>

#include "Base/time.h"
#include "Fleet/backend_record.h"

namespace cowslip {

/// \class BackendColdness
/// \brief How much longer an incarnation of a backend server stays cold, as
/// known to one process. While cold it tolerates fewer requests.
///
/// It is not part of BackendRecord: a new value leaves the registration and the
/// connections as they are, and the same value in a newer entry means that the
/// backend server has become cold again.
struct BackendColdness {
  BackendId backend;
  uint64_t started_at_ms = 0;
  /// Zero when it is warm.
  Duration remaining{0};
  /// The store version of the newest entry that the process has read.
  uint64_t entry_version = 0;

  friend bool operator==(const BackendColdness&,
                         const BackendColdness&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_FLEET_BACKEND_COLDNESS_H_
