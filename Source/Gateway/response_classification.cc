#include "Gateway/response_classification.h"

#include "platform/request_headers.h"

namespace cowslip {

namespace {

ResponseKind KindOf(const BackendResponse& facts,
                    const HttpResponseStream& response,
                    const AttemptId& attempt) {
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
  return response.status() >= 200 && response.status() < 300
             ? ResponseKind::kSuccess
             : ResponseKind::kFailure;
}

}  // namespace

ResponseClassification ClassifyResponse(const HttpResponseStream& response,
                                        const AttemptId& attempt) {
  const BackendResponse facts =
      platform::DecodeBackendResponse(response.status(), response.headers());
  const ResponseKind kind = KindOf(facts, response, attempt);
  // Status 421 comes from another incarnation at the address.
  const bool from_backend = kind != ResponseKind::kOtherRequest &&
                            kind != ResponseKind::kUnverified &&
                            response.status() != 421;
  return {.kind = kind,
          .is_leaving = from_backend && facts.is_leaving,
          .from_backend = from_backend,
          .limit = from_backend ? facts.limit : std::nullopt,
          .cold_remaining = from_backend ? facts.cold_remaining : std::nullopt};
}

}  // namespace cowslip
