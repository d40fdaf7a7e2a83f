#ifndef SOURCE_GATEWAY_PROBLEM_RESPONSE_H_
#define SOURCE_GATEWAY_PROBLEM_RESPONSE_H_

#include "Net/http_message.h"
#include "Requests/problem.h"

namespace cowslip {

/// Builds the response to a request that is refused or has failed.
HttpResponse ProblemResponse(const Problem& problem);

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_PROBLEM_RESPONSE_H_
