#ifndef SOURCE_GATEWAY_RESPONSE_CLASSIFICATION_H_
#define SOURCE_GATEWAY_RESPONSE_CLASSIFICATION_H_

#include <optional>

#include "Fleet/caller_request.h"
#include "Net/http_client.h"

namespace cowslip {

/// What the head of a backend server's response means for the attempt.
enum class ResponseKind {
  /// The response belongs to another request, or may do so.
  kOtherRequest,
  /// The backend server did not run the request and will not run it.
  kNotRun,
  /// The response has no signature of the backend server, or its body was
  /// encoded on the way.
  kUnverified,
  kSuccess,
  /// A signed response with a status other than 2xx.
  kFailure,
};

/// \class ResponseClassification
/// \brief What the head of a response says about its attempt and its sender.
struct ResponseClassification {
  ResponseKind kind = ResponseKind::kOtherRequest;
  /// The backend server that was called is about to leave.
  bool is_leaving = false;
  /// Whether the backend server that was called has written the response.
  bool from_backend = false;
  /// The limit that it names.
  std::optional<RequestRate> limit;
  /// How much longer it says that it stays cold.
  std::optional<Duration> cold_remaining;
};

/// Classifies the response to `attempt` by its status and headers.
ResponseClassification ClassifyResponse(const HttpResponseStream& response,
                                        const AttemptId& attempt);

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_RESPONSE_CLASSIFICATION_H_
