#ifndef SOURCE_REQUESTS_PROBLEM_H_
#define SOURCE_REQUESTS_PROBLEM_H_

#include <chrono>
#include <string>

#include "Base/time.h"

namespace cowslip {

/// The kinds of refusal and failure. Callers tell them apart by the problem's
/// `type`, which is stable.
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
  /// Set only if it is certain that the request has not run and will not run.
  bool not_run = false;
  /// The delay after which to retry; zero for no `Retry-After`.
  Duration retry_after{0};
};

/// The HTTP status of a problem.
int StatusOf(ProblemKind kind);
/// The last part of the problem's `type`. Callers depend on it: it must not
/// change.
const char* NameOf(ProblemKind kind);
/// The `application/problem+json` body.
std::string ToProblemJson(const Problem& problem);
/// The value of `Retry-After` in whole seconds, rounded up.
std::string RetryAfterSeconds(Duration retry_after);

}  // namespace cowslip

#endif  // SOURCE_REQUESTS_PROBLEM_H_
