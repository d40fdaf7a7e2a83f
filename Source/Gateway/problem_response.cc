#include "Gateway/problem_response.h"

#include <cstdio>

namespace cowslip {

namespace {

// Retry-After while this VM has no configuration, or one that may be outdated:
// configurations arrive within a second or two of a start.
constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(700);

// Retry-After in seconds with two decimals: callers have little more than a
// second left, so rounding up to whole seconds would use up most of it.
std::string RetryAfterText(Duration retry_after) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f",
                std::chrono::duration<double>(retry_after).count());
  return text;
}

}  // namespace

HttpResponse ProblemResponse(const Problem& problem) {
  HttpResponse response{.status = StatusOf(problem.kind),
                        .body = ToProblemJson(problem)};
  response.headers.push_back({"Content-Type", "application/problem+json"});
  if (problem.retry_after > Duration::zero()) {
    response.headers.push_back(
        {"Retry-After", RetryAfterText(problem.retry_after)});
  }
  return response;
}

Problem NotReadyProblem(const char* detail) {
  return Problem{.kind = ProblemKind::kNotReady,
                 .detail = detail,
                 .not_run = true,
                 .retry_after = kNotReadyRetryAfter};
}

Problem JobMayBeAcceptedProblem() {
  return Problem{.kind = ProblemKind::kDeadlinePassed,
                 .detail =
                     "The job may have been accepted. Submit it again under "
                     "the same id."};
}

}  // namespace cowslip
