#ifndef SOURCE_REQUESTS_REQUEST_EVENTS_H_
#define SOURCE_REQUESTS_REQUEST_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Exchange/exchange_messages.h"
#include "Requests/problem.h"
#include "Routing/crash_registry.h"

namespace cowslip {

/// Identifies a request at one entry, across all of its attempts.
using RequestId = StrongNumber<struct RequestIdTag, uint64_t>;

// Events.

/// \class RequestArrived
/// \brief A request has arrived, and its route and key have been checked.
struct RequestArrived {
  RequestId request;
  WorkClass work = WorkClass::kOnline;
  ServiceId service;
  RouteId route;
  OrganisationId organisation;
  std::string method;
  /// Path and query, without access keys.
  std::string target;
  /// Headers to pass to a backend server; they never contain an access key.
  std::vector<ForwardedHeader> headers;
  std::string body;
  bool idempotent = false;
  /// Whether the organisation's rate limit applies; false for public routes
  /// and for batch.
  bool has_rate_limit = true;
  /// The caller's idempotency key, for requests that are not idempotent.
  std::string idempotency_key;
  std::string affinity_key;
  /// For batch: what a preempted attempt had produced.
  std::string resume_token;
  Duration timeout{0};
};

/// The organisation is within its rate limit.
struct RateLimitAdmitted {
  RequestId request;
};
/// The organisation has exceeded its rate limit.
struct RateLimitRefused {
  RequestId request;
  Duration retry_after{0};
};

/// The idempotency key has been claimed for this request.
struct ClaimGranted {
  RequestId request;
};
/// Another request has claimed the idempotency key before.
struct ClaimRejected {
  RequestId request;
};
/// The store that holds the claims is unavailable.
struct ClaimFailed {
  RequestId request;
};

/// A sidecar has sent a message.
struct ReplyReceived {
  VmId vm;
  ExchangeReplyMessage message;
};
/// The link to a sidecar has come up.
struct BackendLinkUp {
  VmId vm;
};
/// The link to a sidecar has failed.
struct BackendLinkDown {
  VmId vm;
};
/// The membership has reported whether a backend server is leaving; a leaving
/// one gets no new work.
struct BackendLeavingChanged {
  VmId vm;
  bool leaving = true;
};

/// This many more body bytes have been written to the caller.
struct ResponseBytesConsumed {
  RequestId request;
  uint64_t bytes = 0;
};
/// The caller has disconnected, its key was withdrawn, or its job was
/// cancelled.
struct RequestCancelled {
  RequestId request;
};
/// Another entry has reported a crash.
struct CrashReportReceived {
  CrashReport report;
};
/// The timer for deadlines has fired.
struct RequestTick {};

using RequestEvent = std::variant<RequestArrived,
                                  RateLimitAdmitted,
                                  RateLimitRefused,
                                  ClaimGranted,
                                  ClaimRejected,
                                  ClaimFailed,
                                  ReplyReceived,
                                  BackendLinkUp,
                                  BackendLinkDown,
                                  BackendLeavingChanged,
                                  ResponseBytesConsumed,
                                  RequestCancelled,
                                  CrashReportReceived,
                                  RequestTick>;

// Actions.

/// Check whether the organisation's rate limit admits one more request.
struct CheckRateLimit {
  RequestId request;
  OrganisationId organisation;
};
/// Record a claim of the idempotency key before the request runs.
struct ClaimIdempotencyKey {
  RequestId request;
  OrganisationId organisation;
  std::string idempotency_key;
};
/// Remove the claim of a request that has not run, so that its key can be used
/// again.
struct ReleaseClaim {
  RequestId request;
};
/// Send a message to a sidecar.
struct SendToBackend {
  VmId vm;
  ExchangeRequestMessage message;
};
/// Start the response to the caller.
struct RespondHead {
  RequestId request;
  int status = 0;
  std::vector<ForwardedHeader> headers;
};
/// Send a chunk of the body to the caller.
struct RespondChunk {
  RequestId request;
  std::string data;
};
/// Complete the response. Ends the request.
struct RespondEnd {
  RequestId request;
};
/// Respond with a problem; no byte of a response has been sent yet. Ends the
/// request.
struct RespondProblem {
  RequestId request;
  Problem problem;
  /// The backend server crashed or was lost while it ran the request.
  bool backend_lost = false;
};
/// Abort a response that has been started, so that the caller can tell that it
/// is incomplete. Ends the request.
struct AbortResponse {
  RequestId request;
  /// The backend server crashed or was lost while it ran the request.
  bool backend_lost = false;
};
/// Report that a batch item was preempted; it is resumed with the token. Ends
/// the request.
struct RespondPreempted {
  RequestId request;
  std::string resume_token;
};
/// Send a crash report to every other entry.
struct BroadcastCrashReport {
  CrashReport report;
};

using RequestAction = std::variant<CheckRateLimit,
                                   ClaimIdempotencyKey,
                                   ReleaseClaim,
                                   SendToBackend,
                                   RespondHead,
                                   RespondChunk,
                                   RespondEnd,
                                   RespondProblem,
                                   AbortResponse,
                                   RespondPreempted,
                                   BroadcastCrashReport>;

}  // namespace cowslip

#endif  // SOURCE_REQUESTS_REQUEST_EVENTS_H_
