#ifndef SOURCE_GATEWAY_RESPONSE_CLASSIFICATION_H_
#define SOURCE_GATEWAY_RESPONSE_CLASSIFICATION_H_

#include "Fleet/caller_request.h"
#include "Net/http_client.h"

namespace cowslip {

/// What the head of a backend server's answer means for the attempt.
enum class ResponseKind {
  /// It belongs to another request, or may do so.
  kOtherRequest,
  /// The request did not run and will not.
  kNotRun,
  /// The backend server does not vouch for it, or it was changed on the way.
  kUnverified,
  kSuccess,
  /// The backend server's own failure.
  kFailure,
};

/// Judges an answer to `attempt` by its head.
ResponseKind ClassifyResponse(const HttpResponseStream& response,
                              const AttemptId& attempt);

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_RESPONSE_CLASSIFICATION_H_
