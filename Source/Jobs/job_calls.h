#ifndef SOURCE_JOBS_JOB_CALLS_H_
#define SOURCE_JOBS_JOB_CALLS_H_

#include <cstddef>
#include <variant>

#include "Base/ids.h"

namespace cowslip {

/// Read results.
struct ReadResultsCall {
  JobId job;
  /// Results from this position on, counted from 0.
  size_t from = 0;
};
/// Read the body of an item that has no result yet.
struct ReadItemCall {
  JobId job;
  ItemId item;
};
/// End the job.
struct EndJobCall {
  JobId job;
};
/// The caller's request is not of a valid form.
struct MalformedJobCall {};
/// What a caller asks of a batch job that has been accepted.
using JobCall =
    std::variant<ReadResultsCall, ReadItemCall, EndJobCall, MalformedJobCall>;

}  // namespace cowslip

#endif  // SOURCE_JOBS_JOB_CALLS_H_
