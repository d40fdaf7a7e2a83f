#ifndef SOURCE_GATEWAY_ANSWER_CHECK_H_
#define SOURCE_GATEWAY_ANSWER_CHECK_H_

#include "Fleet/caller_request.h"
#include "Net/http_client.h"

namespace cowslip {

/// What the head of a backend server's answer means for the attempt.
enum class AnswerKind {
  /// It belongs to another request, or may do so.
  kForeign,
  /// The request did not run and will not.
  kNotRun,
  /// The backend server does not vouch for it, or it was changed on the way.
  kUnvouched,
  kSuccess,
  /// The backend server's own failure.
  kFailure,
};

/// Judges an answer to `attempt` by its head.
AnswerKind CheckAnswer(const HttpResponseStream& answer,
                       const AttemptId& attempt);

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_ANSWER_CHECK_H_
