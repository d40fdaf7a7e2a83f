#ifndef SOURCE_REQUESTS_PROBLEM_H_
#define SOURCE_REQUESTS_PROBLEM_H_

#include <chrono>
#include <string>

#include "Base/time.h"

namespace cowslip {

/// The stable kinds of refusal that callers can tell apart.
enum class ProblemKind {
  kNoSuchRoute,
  kMethodNotAllowed,
  kMissingKey,
  kUnknownKey,
  kNotAllowed,
  kKeysUncertain,
  kNotReady,
  kBadRequest,
  kBodyTooLarge,
  kRateLimited,
  kNoBackend,
  kOverloaded,
  kQuarantined,
  kHeldBack,
  kBackendFailed,
  kDeadlinePassed,
  kAlreadyClaimed,
  kClaimUnavailable,
  kDraining,
  kCancelled,
};

/// \class Problem
/// \brief A refusal or failure as a caller sees it (RFC 9457).
struct Problem {
  ProblemKind kind = ProblemKind::kBackendFailed;
  /// What happened and what the caller can do.
  std::string detail;
  /// Set only when the request surely has not run and will not run.
  bool not_run = false;
  /// When to come back; zero for no hint.
  Duration retry_after{0};
};

/// The HTTP status of a problem.
int StatusOf(ProblemKind kind);
/// The last part of the problem's `type`, which never changes.
const char* NameOf(ProblemKind kind);
/// The `application/problem+json` body.
std::string ToProblemJson(const Problem& problem);
/// The value of `Retry-After` in whole seconds, rounded up.
std::string RetryAfterSeconds(Duration retry_after);

}  // namespace cowslip

#endif  // SOURCE_REQUESTS_PROBLEM_H_
