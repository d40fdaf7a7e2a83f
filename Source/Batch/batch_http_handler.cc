#include "Batch/batch_http_handler.h"

#include <charconv>
#include <optional>
#include <utility>

#include "Base/json.h"
#include "Batch/batch_driver.h"
#include "Net/json_response.h"

namespace cowslip {

using boost::asio::awaitable;

namespace {

constexpr std::string_view kBatchesPath = "/v1/batches";
constexpr char kStandardClass[] = "standard";
constexpr char kBulkClass[] = "bulk";
constexpr size_t kMaxIdempotencyKeyBytes = 256;
constexpr int64_t kMaxDeadlineSeconds = 30 * 24 * 3600;
constexpr size_t kDefaultPageSize = 1000;
constexpr size_t kMaxPageSize = 10'000;
constexpr char kRetryAfterSeconds[] = "5";

struct ProblemKind {
  int status;
  const char* name;
  const char* title;
  /// True when a refused submission is known not to have created a job.
  bool not_run;
  bool retry;
};

ProblemKind ProblemKindFor(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return {400, "batch-invalid", "The batch request is faulty", true, false};
    case ErrorKind::kTooLarge:
      return {413, "batch-too-large", "The batch job is too large", true,
              false};
    case ErrorKind::kConflict:
      return {422, "batch-key-reused",
              "The idempotency key belongs to another job", true, false};
    case ErrorKind::kNotFound:
      return {404, "batch-not-found", "Not found", true, false};
    case ErrorKind::kPermissionDenied:
      return {403, "batch-not-allowed", "Not allowed", true, false};
    case ErrorKind::kRateLimited:
      return {429, "batch-busy", "Too much batch work at once", true, true};
    case ErrorKind::kUnavailable:
      return {503, "batch-unavailable", "Batch jobs are unavailable just now",
              false, true};
    case ErrorKind::kInDoubt:
    case ErrorKind::kTimeout:
      return {503, "batch-in-doubt", "The outcome is not known yet", false,
              true};
    default:
      return {500, "batch-failed", "The batch request failed", false, false};
  }
}

HttpResponse ToProblem(const Error& error) {
  const ProblemKind kind = ProblemKindFor(error.kind());
  const nlohmann::json problem = {
      {"type", std::string("urn:cowslip:") + kind.name},
      {"title", kind.title},
      {"status", kind.status},
      {"detail", error.message},
      {"not_run", kind.not_run}};
  HttpResponse response{.status = kind.status, .body = DumpJson(problem)};
  response.headers.push_back({"Content-Type", "application/problem+json"});
  if (kind.retry) {
    response.headers.push_back({"Retry-After", kRetryAfterSeconds});
  }
  return response;
}

nlohmann::json ToJson(const JobView& job) {
  nlohmann::json json = {{"id", job.job},
                         {"status", job.status},
                         {"items", job.items},
                         {"succeeded", job.succeeded},
                         {"failed", job.failed},
                         {"class", job.bulk ? "bulk" : "standard"},
                         {"created_ms", job.created_ms},
                         {"deadline_ms", job.deadline_ms}};
  if (job.status != JobStatus::kRunning) {
    json["ended_ms"] = job.ended_ms;
    json["not_done"] = job.not_done;
  }
  return json;
}

nlohmann::json ToJson(const ItemOutcome& outcome) {
  nlohmann::json json = {{"custom_id", outcome.custom_id},
                         {"status", outcome.kind},
                         {"attempts", outcome.attempts}};
  if (outcome.status != 0) {
    // A body that is not JSON is returned as a string.
    nlohmann::json body = nlohmann::json::parse(outcome.body, nullptr,
                                                /*allow_exceptions=*/false);
    json["response"] = {
        {"status", outcome.status},
        {"body", body.is_discarded() ? nlohmann::json(outcome.body) : body}};
  }
  if (outcome.kind != OutcomeKind::kSucceeded) {
    json["error"] = {{"type", outcome.kind}, {"detail", outcome.detail}};
  }
  return json;
}

std::optional<int64_t> ParseNumber(const std::string& text, int64_t max) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < 0 ||
      number > max) {
    return std::nullopt;
  }
  return number;
}

Error InvalidArgument(std::string message) {
  return {ErrorKind::kInvalidArgument, std::move(message)};
}

std::string JobClassOf(const HttpRequest& request) {
  return FindHeader(request.headers, "X-Batch-Class").value_or(kStandardClass);
}

Result<SubmitOptions> ReadOptions(const HttpRequest& request) {
  SubmitOptions options;
  options.route =
      RouteId(FindHeader(request.headers, "X-Batch-Route").value_or(""));
  const auto deadline = FindHeader(request.headers, "X-Batch-Deadline");
  if (deadline) {
    const auto seconds = ParseNumber(*deadline, kMaxDeadlineSeconds);
    if (!seconds) {
      return InvalidArgument(
          "X-Batch-Deadline must be seconds from now, at most " +
          std::to_string(kMaxDeadlineSeconds) + ".");
    }
    options.deadline = std::chrono::seconds(*seconds);
  }
  options.bulk = JobClassOf(request) == kBulkClass;
  return options;
}

// Returns the number in a query parameter, or `default_value` if the parameter
// is absent.
std::optional<int64_t> QueryNumber(const HttpRequest& request,
                                   const char* name,
                                   int64_t default_value,
                                   int64_t max) {
  const auto text = request.Query(name);
  return text ? ParseNumber(*text, max) : default_value;
}

}  // namespace

BatchHttpHandler::BatchHttpHandler(BatchDriver& driver,
                                   JobClassValidator validate_class)
    : m_driver(driver), m_validate_class(std::move(validate_class)) {}

awaitable<HttpResponse> BatchHttpHandler::Handle(const HttpRequest& request,
                                                 OrganisationId organisation) {
  const std::string path = request.Path();
  if (path == kBatchesPath && request.method == "POST") {
    co_return co_await Submit(request, organisation);
  }
  if (path.rfind(std::string(kBatchesPath) + "/", 0) == 0) {
    const std::string rest = path.substr(kBatchesPath.size() + 1);
    const size_t slash = rest.find('/');
    const JobId job(rest.substr(0, slash));
    const std::string verb =
        slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (verb.empty() && request.method == "GET") {
      co_return co_await Get(organisation, job);
    }
    if (verb == "results" && request.method == "GET") {
      co_return co_await Results(request, organisation, job);
    }
    if (verb == "cancel" && request.method == "POST") {
      co_return co_await Cancel(organisation, job);
    }
  }
  const Error error(
      ErrorKind::kNotFound,
      "There is no such call. Use POST /v1/batches, GET /v1/batches/ID, GET "
      "/v1/batches/ID/results or POST /v1/batches/ID/cancel.");
  co_return ToProblem(error);
}

awaitable<HttpResponse> BatchHttpHandler::Submit(const HttpRequest& request,
                                                 OrganisationId organisation) {
  const std::string key =
      FindHeader(request.headers, "Idempotency-Key").value_or("");
  if (key.empty() || key.size() > kMaxIdempotencyKeyBytes) {
    co_return ToProblem(InvalidArgument(
        "Send an Idempotency-Key of 1 to 256 bytes, a new one for each job, "
        "and the same one when you send a job again."));
  }
  auto options = ReadOptions(request);
  if (!options.has_value()) {
    co_return ToProblem(options.error());
  }
  SubmitOptions& submit_options = options.value();
  const Result<void> checked =
      m_validate_class(request, JobClassOf(request), submit_options);
  if (!checked.has_value()) {
    co_return ToProblem(checked.error());
  }
  const auto job =
      co_await m_driver.Submit(organisation, key, request.body, submit_options);
  if (!job.has_value()) {
    co_return ToProblem(job.error());
  }
  HttpResponse response =
      JsonResponse(job.value().created ? 201 : 200, ToJson(job.value()));
  response.headers.push_back(
      {"Location", std::string(kBatchesPath) + "/" + job.value().job.value()});
  co_return response;
}

awaitable<HttpResponse> BatchHttpHandler::Get(OrganisationId organisation,
                                              JobId job) {
  const auto view = co_await m_driver.Get(organisation, job);
  if (!view.has_value()) {
    co_return ToProblem(view.error());
  }
  co_return JsonResponse(200, ToJson(view.value()));
}

awaitable<HttpResponse> BatchHttpHandler::Results(const HttpRequest& request,
                                                  OrganisationId organisation,
                                                  JobId job) {
  const auto after = QueryNumber(request, "after", 0, INT32_MAX);
  const auto limit =
      QueryNumber(request, "limit", kDefaultPageSize, kMaxPageSize);
  if (!after || !limit || *limit == 0) {
    co_return ToProblem(InvalidArgument(
        "`after` must be a number, and `limit` one from 1 to 10000."));
  }
  const auto page = co_await m_driver.Results(organisation, job,
                                              static_cast<uint64_t>(*after),
                                              static_cast<size_t>(*limit));
  if (!page.has_value()) {
    co_return ToProblem(page.error());
  }
  nlohmann::json results = nlohmann::json::array();
  for (const ItemOutcome& outcome : page.value().outcomes) {
    results.push_back(ToJson(outcome));
  }
  const nlohmann::json body = {{"job", ToJson(page.value().job)},
                               {"results", std::move(results)},
                               {"next", page.value().next},
                               {"complete", page.value().complete}};
  co_return JsonResponse(200, body);
}

awaitable<HttpResponse> BatchHttpHandler::Cancel(OrganisationId organisation,
                                                 JobId job) {
  const auto view = co_await m_driver.Cancel(organisation, job);
  if (!view.has_value()) {
    co_return ToProblem(view.error());
  }
  co_return JsonResponse(200, ToJson(view.value()));
}

}  // namespace cowslip
