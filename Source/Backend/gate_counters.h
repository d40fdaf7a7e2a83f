#ifndef SOURCE_BACKEND_GATE_COUNTERS_H_
#define SOURCE_BACKEND_GATE_COUNTERS_H_

#include <cstdint>

namespace cowslip {

/// \class GateCounters
/// \brief Counts of requests since the process started.
struct GateCounters {
  uint64_t started_online = 0;
  uint64_t started_batch = 0;
  uint64_t completed = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  uint64_t preempted = 0;
  uint64_t suspects = 0;
  uint64_t duplicates = 0;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_GATE_COUNTERS_H_
