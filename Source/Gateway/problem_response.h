#ifndef SOURCE_GATEWAY_PROBLEM_RESPONSE_H_
#define SOURCE_GATEWAY_PROBLEM_RESPONSE_H_

#include "Net/http_message.h"
#include "Requests/problem.h"

namespace cowslip {

/// Builds the response to a request that is refused or has failed.
HttpResponse ProblemResponse(const Problem& problem);

/// The problem of a request that this VM can't judge, because it has no
/// configuration or one that may be outdated.
Problem NotReadyProblem(const char* detail);

/// The problem of a submission whose job may have been accepted already, or may
/// be yet. It promises nothing: the items may run.
Problem JobMayBeAcceptedProblem();

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_PROBLEM_RESPONSE_H_
