#include "Requests/problem.h"

#include "Base/json.h"

namespace cowslip {

namespace {

struct KindInfo {
  ProblemKind kind;
  int status;
  const char* name;
  const char* title;
};

constexpr KindInfo kKinds[] = {
    {ProblemKind::kNoSuchRoute, 404, "no-such-route", "No such route"},
    {ProblemKind::kMethodNotAllowed, 405, "method-not-allowed",
     "Method not allowed"},
    {ProblemKind::kMissingKey, 401, "missing-key", "A key is needed"},
    {ProblemKind::kUnknownKey, 401, "unknown-key", "The key is not valid"},
    {ProblemKind::kNotAllowed, 403, "not-allowed",
     "The organisation may not use this route"},
    {ProblemKind::kKeysUncertain, 503, "keys-uncertain",
     "Keys cannot be checked now"},
    {ProblemKind::kNotReady, 503, "not-ready", "Not ready yet"},
    {ProblemKind::kBadRequest, 400, "bad-request", "Bad request"},
    {ProblemKind::kBodyTooLarge, 413, "body-too-large", "Body too large"},
    {ProblemKind::kRateLimited, 429, "rate-limited", "Over the rate"},
    {ProblemKind::kNoBackend, 503, "no-backend", "No backend server"},
    {ProblemKind::kOverloaded, 503, "overloaded", "Overloaded"},
    {ProblemKind::kQuarantined, 422, "quarantined",
     "The request crashes backend servers"},
    {ProblemKind::kHeldBack, 503, "held-back",
     "Backend servers broke off on this request"},
    {ProblemKind::kBackendFailed, 502, "backend-failed",
     "The backend server failed"},
    {ProblemKind::kDeadlinePassed, 504, "deadline-passed",
     "The deadline has passed"},
    {ProblemKind::kAlreadyClaimed, 409, "already-claimed",
     "This idempotency key is in use"},
    {ProblemKind::kClaimUnavailable, 503, "claim-unavailable",
     "The idempotency key cannot be recorded now"},
    {ProblemKind::kDraining, 503, "draining", "Shutting down"},
    {ProblemKind::kCancelled, 499, "cancelled", "Cancelled"},
};

const KindInfo& InfoOf(ProblemKind kind) {
  for (const KindInfo& info : kKinds) {
    if (info.kind == kind) {
      return info;
    }
  }
  return kKinds[0];
}

}  // namespace

int StatusOf(ProblemKind kind) {
  return InfoOf(kind).status;
}

const char* NameOf(ProblemKind kind) {
  return InfoOf(kind).name;
}

std::string ToProblemJson(const Problem& problem) {
  const KindInfo& info = InfoOf(problem.kind);
  const nlohmann::json body = {
      {"type", std::string("urn:cowslip:") + info.name},
      {"title", info.title},
      {"status", info.status},
      {"detail", problem.detail},
      {"not_run", problem.not_run}};
  return DumpJson(body);
}

std::string RetryAfterSeconds(Duration retry_after) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  return std::to_string(seconds.count());
}

}  // namespace cowslip
