#ifndef SOURCE_JOBS_JOB_WORK_H_
#define SOURCE_JOBS_JOB_WORK_H_

#include <cstdint>

#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// \class JobWork
/// \brief What is left to do of one batch job, as far as this process knows.
struct JobWork {
  JobKey job;
  OrganisationId organisation;
  RouteId route;
  /// See JobRecord::created.
  ObjectVersion created;
  WallTime due;
  /// See JobDefinition::spare_slots_only.
  bool spare_slots_only = false;
  /// The process that runs the job; empty while none does.
  VmId owner;
  /// Items without a result, and their tokens.
  uint32_t items = 0;
  uint64_t tokens = 0;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_JOB_WORK_H_
