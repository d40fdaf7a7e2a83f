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

/// One request at one entry, through all of its attempts.
using RequestId = StrongNumber<struct RequestIdTag, uint64_t>;

// Events.

/// \class RequestArrived
/// \brief A request whose route and key have been checked.
struct RequestArrived {
  RequestId request;
  WorkClass work = WorkClass::kOnline;
  ServiceId service;
  RouteId route;
  OrganisationId organisation;
  std::string method;
  /// Path and query, keys removed.
  std::string target;
  /// Headers that may reach a backend server; never a key.
  std::vector<ForwardedHeader> headers;
  std::string body;
  bool idempotent = false;
  /// False for routes open to all, which no organisation's rate covers.
  bool rate_limited = true;
  /// The caller's idempotency key, for requests that are not idempotent.
  std::string idempotency_key;
  std::string affinity_key;
  /// For batch: what a preempted attempt had produced.
  std::string resume_token;
  Duration timeout{0};
};

/// The limits let the request in.
struct RateLimitAdmitted {
  RequestId request;
};
/// The organisation is over its rate.
struct RateLimitRefused {
  RequestId request;
  Duration retry_after{0};
};

/// The idempotency key is now this request's.
struct ClaimGranted {
  RequestId request;
};
/// Another request holds the idempotency key, or held it.
struct ClaimRejected {
  RequestId request;
};
/// The store could not be asked.
struct ClaimFailed {
  RequestId request;
};

/// A side process sent a message.
struct ReplyReceived {
  VmId vm;
  ExchangeReplyMessage message;
};
/// The link to a side process came up or failed.
struct BackendLinkUp {
  VmId vm;
};
struct BackendLinkDown {
  VmId vm;
};
/// The membership says whether a backend server may get new work.
struct BackendLeavingChanged {
  VmId vm;
  bool leaving = true;
};

/// The caller took that many body bytes.
struct ResponseBytesConsumed {
  RequestId request;
  uint64_t bytes = 0;
};
/// The caller has gone, its key was withdrawn, or its job was cancelled.
struct RequestCancelled {
  RequestId request;
};
/// Another entry told of a crash.
struct CrashReportReceived {
  CrashReport report;
};
/// Time passed.
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

/// Ask the limits whether the organisation may have one more request.
struct CheckRateLimit {
  RequestId request;
  OrganisationId organisation;
};
/// Write the claim of an idempotency key before the request runs.
struct ClaimIdempotencyKey {
  RequestId request;
  OrganisationId organisation;
  std::string idempotency_key;
};
/// The claimed request surely has not run: free its key.
struct ReleaseClaim {
  RequestId request;
};
/// Send a message to a side process.
struct SendToBackend {
  VmId vm;
  ExchangeRequestMessage message;
};
/// Begin the caller's response.
struct RespondHead {
  RequestId request;
  int status = 0;
  std::vector<ForwardedHeader> headers;
};
/// Pass on a piece of the body.
struct RespondChunk {
  RequestId request;
  std::string data;
};
/// The response is whole. Ends the request.
struct RespondEnd {
  RequestId request;
};
/// Refuse or fail the request; nothing has gone out yet. Ends the request.
struct RespondProblem {
  RequestId request;
  Problem problem;
};
/// Break off a response that has begun, so that the caller sees that it is
/// not whole. Ends the request.
struct AbortResponse {
  RequestId request;
};
/// A batch item was preempted; it resumes with the token. Ends the request.
struct RespondPreempted {
  RequestId request;
  std::string resume_token;
};
/// Tell every entry.
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
