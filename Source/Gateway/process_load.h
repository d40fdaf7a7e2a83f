#ifndef SOURCE_GATEWAY_PROCESS_LOAD_H_
#define SOURCE_GATEWAY_PROCESS_LOAD_H_

#include <chrono>
#include <cstdint>

#include "Base/time.h"

namespace cowslip {

/// \class ProcessLoadOptions
/// \brief When a process has too much to do to accept more batch jobs.
struct ProcessLoadOptions {
  /// Average delay of timers beyond which the processor is used up: a fraction
  /// of an online request's latency target.
  Duration max_lag = std::chrono::milliseconds(150);
  /// Weight of the newest delay in the average; there are ten a second.
  double smoothing_factor = 0.2;
  /// Fraction of the memory limit beyond which memory is used up.
  double max_memory_fraction = 0.8;
};

/// \class ProcessLoad
/// \brief Tells whether this process's processor time or memory is used up, as
/// under floods of submissions.
///
/// Online requests and what was accepted before keep what there is; new batch
/// jobs are rejected.
class ProcessLoad {
 public:
  explicit ProcessLoad(ProcessLoadOptions options) : m_options(options) {}

  /// A timer fired this much late.
  void RecordLag(Duration lag);
  /// A limit of 0 means that none is known.
  void RecordMemory(uint64_t used_bytes, uint64_t limit_bytes);

  bool HasTimeLeft() const { return m_lag <= m_options.max_lag; }
  bool HasMemoryLeft() const { return m_has_memory; }
  Duration lag() const { return m_lag; }

 private:
  const ProcessLoadOptions m_options;
  Duration m_lag{0};
  bool m_has_memory = true;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_PROCESS_LOAD_H_
