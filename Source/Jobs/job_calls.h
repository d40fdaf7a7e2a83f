#ifndef SOURCE_JOBS_JOB_CALLS_H_
#define SOURCE_JOBS_JOB_CALLS_H_

#include <cstddef>
#include <variant>

#include "Base/ids.h"

namespace cowslip {

/// Read the results of a job.
struct ReadResultsCall {
  JobId job;
  /// Position of the first result to return, counted from 0.
  size_t from = 0;
};
/// Read the body of an item that has no result yet.
struct ReadItemCall {
  JobId job;
  ItemId item;
};
/// End the job: its items that have not completed are not run any more.
struct EndJobCall {
  JobId job;
};
/// The caller's request is malformed.
struct MalformedJobCall {};
/// A caller's request concerning an accepted batch job.
using JobCall =
    std::variant<ReadResultsCall, ReadItemCall, EndJobCall, MalformedJobCall>;

}  // namespace cowslip

#endif  // SOURCE_JOBS_JOB_CALLS_H_
