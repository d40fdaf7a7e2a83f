#include "Gateway/process_load.h"

namespace cowslip {

void ProcessLoad::RecordLag(Duration lag) {
  m_lag += std::chrono::duration_cast<Duration>((lag - m_lag) *
                                                m_options.smoothing_factor);
}

void ProcessLoad::RecordMemory(uint64_t used_bytes, uint64_t limit_bytes) {
  m_has_memory = limit_bytes == 0 || static_cast<double>(used_bytes) <=
                                         static_cast<double>(limit_bytes) *
                                             m_options.max_memory_fraction;
}

}  // namespace cowslip
