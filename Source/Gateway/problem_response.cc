#include "Gateway/problem_response.h"

#include <cstdio>

namespace cowslip {

namespace {

// Fractions matter: a second is most of the time that a caller has left.
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

}  // namespace cowslip
