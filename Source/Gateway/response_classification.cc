#include "Gateway/response_classification.h"

#include "platform/request_headers.h"

namespace cowslip {

ResponseKind ClassifyResponse(const HttpResponseStream& response,
                              const AttemptId& attempt) {
  const int status = response.status();
  const BackendResponse facts =
      platform::DecodeBackendResponse(status, response.headers());
  // On a reused connection, a response that names no request may be a late
  // response to an earlier one.
  const bool may_be_for_other_request = facts.attempt.has_value()
                                            ? *facts.attempt != attempt
                                            : response.on_reused_connection();
  if (may_be_for_other_request) {
    return ResponseKind::kOtherRequest;
  }
  if (facts.not_executed) {
    return ResponseKind::kNotRun;
  }
  if (!facts.has_signature || facts.is_encoded) {
    return ResponseKind::kUnverified;
  }
  return status >= 200 && status < 300 ? ResponseKind::kSuccess
                                       : ResponseKind::kFailure;
}

}  // namespace cowslip
