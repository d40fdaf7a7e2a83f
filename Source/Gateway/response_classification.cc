#include "Gateway/response_classification.h"

#include "platform/request_headers.h"

namespace cowslip {

ResponseKind ClassifyResponse(const HttpResponseStream& response,
                              const AttemptId& attempt) {
  const int status = response.status();
  const BackendResponse decoded =
      platform::DecodeBackendResponse(status, response.headers());
  // On a kept connection, an answer that names no request may be a late one.
  const bool is_foreign = decoded.attempt.has_value()
                              ? *decoded.attempt != attempt
                              : response.on_reused_connection();
  if (is_foreign) {
    return ResponseKind::kOtherRequest;
  }
  if (decoded.not_executed) {
    return ResponseKind::kNotRun;
  }
  if (!decoded.has_signature || decoded.is_encoded) {
    return ResponseKind::kUnverified;
  }
  return status >= 200 && status < 300 ? ResponseKind::kSuccess
                                       : ResponseKind::kFailure;
}

}  // namespace cowslip
