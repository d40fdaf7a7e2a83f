#include "Gateway/answer_check.h"

#include "platform/request_headers.h"

namespace cowslip {

AnswerKind CheckAnswer(const HttpResponseStream& answer,
                       const AttemptId& attempt) {
  const int status = answer.status();
  const BackendResponse facts =
      platform::DecodeBackendResponse(status, answer.headers());
  // On a kept connection, an answer that names no request may be a late one.
  const bool is_foreign = facts.attempt.has_value()
                              ? *facts.attempt != attempt
                              : answer.on_kept_connection();
  if (is_foreign) {
    return AnswerKind::kForeign;
  }
  if (facts.not_executed) {
    return AnswerKind::kNotRun;
  }
  if (!facts.has_signature || facts.is_encoded) {
    return AnswerKind::kUnvouched;
  }
  return status >= 200 && status < 300 ? AnswerKind::kSuccess
                                       : AnswerKind::kFailure;
}

}  // namespace cowslip
