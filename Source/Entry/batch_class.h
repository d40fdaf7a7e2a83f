#ifndef SOURCE_ENTRY_BATCH_CLASS_H_
#define SOURCE_ENTRY_BATCH_CLASS_H_

#include <string>

#include "Base/result.h"

namespace cowslip {

class Snapshot;
struct HttpRequest;
struct SubmitOptions;

/// Holds a batch job against the class that the service of its route declares:
/// `job_class`, or `default` for the built-in `standard` and `bulk`. Fills in
/// the deadline that the caller left out. A job without a route, or of a
/// service that declares no classes, is held to nothing.
/// Errors: kInvalidArgument for a class that is not declared, kTooLarge for
/// too many items or too long a line.
Result<void> CheckBatchClass(const Snapshot& snapshot,
                             const HttpRequest& request,
                             const std::string& job_class,
                             SubmitOptions& options);

}  // namespace cowslip

#endif  // SOURCE_ENTRY_BATCH_CLASS_H_
