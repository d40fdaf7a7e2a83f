#ifndef SOURCE_PEERS_JOB_PROGRESS_H_
#define SOURCE_PEERS_JOB_PROGRESS_H_

#include <cstdint>

#include "Base/ids.h"

namespace cowslip {

/// \class JobProgress
/// \brief How much of an unfinished batch job has results in the store. Neither
/// number ever falls.
struct JobProgress {
  JobKey job;
  uint32_t items = 0;
  uint64_t tokens = 0;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_JOB_PROGRESS_H_
