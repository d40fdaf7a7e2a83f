#include "Entry/caller_handler.h"

#include <limits>

#include <boost/asio/this_coro.hpp>

#include "Access/key_stripping.h"
#include "Access/key_text.h"
#include "Base/overloaded.h"
#include "Configuration/snapshot.h"
#include "Entry/response_queue.h"
#include "Net/http_exchange.h"

namespace cowslip {

namespace {

constexpr char kBatchPath[] = "/v1/batches";
// Enough of a body to hold the shared beginning of a prompt.
constexpr size_t kAffinityBytes = 512;
// The body of a request that is refused anyhow; small ones are read, so that
// the connection can be kept.
constexpr size_t kRefusedBodyBytes = 64 * 1024;
constexpr Duration kNotReadyRetryAfter = std::chrono::seconds(1);

bool IsBatchPath(const std::string& path) {
  const std::string prefix = kBatchPath;
  return path == prefix || path.starts_with(prefix + "/");
}

// Connection management is between two neighbours and is never passed on.
bool IsHopByHop(const std::string& name) {
  for (const char* hop : {"Connection", "Transfer-Encoding", "Content-Length",
                          "Keep-Alive", "Upgrade", "Trailer"}) {
    if (HeaderNameEquals(name, hop)) {
      return true;
    }
  }
  return false;
}

HttpHeaders ToCallerHeaders(const std::vector<ForwardedHeader>& headers) {
  HttpHeaders result;
  for (const ForwardedHeader& header : headers) {
    if (!IsHopByHop(header.name)) {
      result.push_back({header.name, header.value});
    }
  }
  return result;
}

Problem NoRoute(const Snapshot& snapshot, const HttpRequest& request) {
  if (snapshot.HasPath(request.Path())) {
    return {.kind = ProblemKind::kMethodNotAllowed,
            .detail = "The route does not take " + request.method +
                      ". Use a method that its service declares.",
            .not_run = true};
  }
  return {.kind = ProblemKind::kNoSuchRoute,
          .detail =
              "No service declares this path. Check the path against "
              "the published routes.",
          .not_run = true};
}

// Stands for the batch paths, which no service declares.
const RouteDeclaration& AnyKeyRoute() {
  static const RouteDeclaration route = [] {
    RouteDeclaration any_key;
    any_key.allow = AllowAllOrganisations{};
    return any_key;
  }();
  return route;
}

Problem KeyProblem(ProblemKind kind, const AccessDecision& decision) {
  const std::optional<Error> refusal = RefusalOf(decision);
  return {.kind = kind,
          .detail = refusal.has_value() ? refusal->message : std::string(),
          .not_run = true};
}

}  // namespace

HttpResponse ToHttpResponse(const Problem& problem) {
  HttpResponse response;
  response.status = StatusOf(problem.kind);
  response.headers.push_back({"Content-Type", "application/problem+json"});
  if (problem.retry_after > Duration::zero()) {
    response.headers.push_back(
        {"Retry-After", RetryAfterSeconds(problem.retry_after)});
  }
  if (response.status == 401) {
    response.headers.push_back({"WWW-Authenticate", "Bearer"});
  }
  response.body = ToProblemJson(problem);
  return response;
}

CallerHandler::CallerHandler(RequestDriver& requests,
                             BatchHandler batches,
                             std::function<bool()> keys_trusted)
    : m_requests(requests),
      m_batches(std::move(batches)),
      m_keys_trusted(std::move(keys_trusted)) {}

void CallerHandler::SetSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  m_snapshot = std::move(snapshot);
  std::vector<RequestId> cut;
  for (const auto& [id, running] : m_running) {
    if (running.allowed.has_value() &&
        !StillAllowed(*m_snapshot, running.route, *running.allowed)) {
      cut.push_back(id);
    }
  }
  for (const RequestId id : cut) {
    m_requests.Feed(RequestCancelled{id});
  }
}

void CallerHandler::CutUntrusted() {
  if (m_keys_trusted()) {
    return;
  }
  std::vector<RequestId> cut;
  for (const auto& [id, running] : m_running) {
    if (running.allowed.has_value()) {
      cut.push_back(id);
    }
  }
  for (const RequestId id : cut) {
    m_requests.Feed(RequestCancelled{id});
  }
}

boost::asio::awaitable<void> CallerHandler::Handle(HttpExchange& exchange) {
  // The snapshot may be replaced while this request runs.
  const std::shared_ptr<const Snapshot> snapshot = m_snapshot;
  const HttpRequest& request = exchange.request();
  if (snapshot == nullptr) {
    HttpResponse response = ToHttpResponse(
        {.kind = ProblemKind::kNotReady,
         .detail = "This VM has no configuration yet. Send the request again "
                   "after the stated time.",
         .not_run = true,
         .retry_after = kNotReadyRetryAfter});
    (void)co_await exchange.Respond(std::move(response));
    co_return;
  }
  if (IsBatchPath(request.Path())) {
    co_await HandleBatch(exchange);
    co_return;
  }
  const RouteDeclaration* route =
      snapshot->FindRoute(request.method, request.Path());
  if (route == nullptr) {
    HttpResponse response = ToHttpResponse(NoRoute(*snapshot, request));
    (void)co_await exchange.Respond(std::move(response));
    co_return;
  }
  co_await HandleRoute(exchange, *route);
}

std::optional<Problem> CallerHandler::Check(
    const HttpRequest& request,
    const RouteDeclaration& route,
    std::optional<Allowed>& allowed) const {
  const AccessDecision decision = Authorise(
      *m_snapshot, route, ExtractKey(request.headers, request.target));
  std::optional<Problem> problem = std::visit(
      Overloaded{[&](const Allowed& granted) -> std::optional<Problem> {
                   allowed = granted;
                   return std::nullopt;
                 },
                 [](const OpenToAll&) -> std::optional<Problem> {
                   return std::nullopt;
                 },
                 [&](const MissingKey&) -> std::optional<Problem> {
                   return KeyProblem(ProblemKind::kMissingKey, decision);
                 },
                 [&](const OrganisationNotAllowed&) -> std::optional<Problem> {
                   return KeyProblem(ProblemKind::kNotAllowed, decision);
                 },
                 [&](const auto&) -> std::optional<Problem> {
                   return KeyProblem(ProblemKind::kUnknownKey, decision);
                 }},
      decision);
  if (allowed.has_value() && !m_keys_trusted()) {
    problem = {.kind = ProblemKind::kKeysUncertain,
               .detail =
                   "This VM cannot learn of withdrawn keys now. Send the "
                   "request again after the stated time.",
               .not_run = true,
               .retry_after = kNotReadyRetryAfter};
  }
  return problem;
}

size_t CallerHandler::BodyLimit(const HttpRequest& head) const {
  if (m_snapshot == nullptr) {
    return kRefusedBodyBytes;
  }
  if (IsBatchPath(head.Path())) {
    std::optional<Allowed> allowed;
    const bool good = !Check(head, AnyKeyRoute(), allowed).has_value();
    return good ? std::numeric_limits<size_t>::max() : kRefusedBodyBytes;
  }
  const RouteDeclaration* route =
      m_snapshot->FindRoute(head.method, head.Path());
  return route == nullptr ? kRefusedBodyBytes : route->max_body_bytes;
}

std::optional<HttpResponse> CallerHandler::ExplainLimit(
    const HttpRequest& head) const {
  if (m_snapshot == nullptr || !IsBatchPath(head.Path())) {
    return std::nullopt;
  }
  std::optional<Allowed> allowed;
  const std::optional<Problem> problem = Check(head, AnyKeyRoute(), allowed);
  return problem.has_value() ? std::optional(ToHttpResponse(*problem))
                             : std::nullopt;
}

boost::asio::awaitable<void> CallerHandler::HandleBatch(
    HttpExchange& exchange) {
  std::optional<Allowed> allowed;
  const std::optional<Problem> problem =
      Check(exchange.request(), AnyKeyRoute(), allowed);
  HttpResponse response;
  if (problem.has_value()) {
    response = ToHttpResponse(*problem);
  } else {
    response = co_await m_batches(exchange.request(), allowed->organisation);
  }
  (void)co_await exchange.Respond(std::move(response));
}

boost::asio::awaitable<void> CallerHandler::HandleRoute(
    HttpExchange& exchange,
    const RouteDeclaration& route) {
  const HttpRequest& request = exchange.request();
  Running running = {.route = route.id};
  std::optional<Problem> problem = Check(request, route, running.allowed);
  if (!problem.has_value() && request.body.size() > route.max_body_bytes) {
    problem = {.kind = ProblemKind::kBodyTooLarge,
               .detail = "The route takes at most " +
                         std::to_string(route.max_body_bytes) +
                         " bytes. Send a shorter body.",
               .not_run = true};
  }
  if (problem.has_value()) {
    HttpResponse response = ToHttpResponse(*problem);
    (void)co_await exchange.Respond(std::move(response));
    co_return;
  }
  ForwardableRequest forwardable = StripKeys(request.headers, request.target);
  RequestArrived arrival;
  arrival.service = route.service;
  arrival.route = route.id;
  arrival.has_rate_limit = running.allowed.has_value();
  if (running.allowed.has_value()) {
    arrival.organisation = running.allowed->organisation;
  }
  arrival.method = request.method;
  arrival.target = std::move(forwardable.target);
  arrival.headers = std::move(forwardable.headers);
  // A caller may have pasted its key into the prompt.
  arrival.body = RedactKeys(request.body);
  arrival.idempotent = route.idempotent;
  arrival.idempotency_key =
      FindHeader(request.headers, "Idempotency-Key").value_or("");
  arrival.affinity_key = arrival.organisation.value() + "/" +
                         request.body.substr(0, kAffinityBytes);
  arrival.timeout = route.timeout;
  co_await Serve(exchange, std::move(arrival), std::move(running));
}

boost::asio::awaitable<void> CallerHandler::Serve(HttpExchange& exchange,
                                                  RequestArrived arrival,
                                                  Running running) {
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto queue = std::make_shared<ResponseQueue>(executor);
  const RequestId id = m_requests.Start(
      std::move(arrival),
      [queue](const ResponseEvent& event) { queue->Push(event); });
  m_running[id] = std::move(running);
  exchange.OnClientDisconnected(
      [this, id] { m_requests.Feed(RequestCancelled{id}); });
  co_await WriteResponse(exchange, id, *queue);
  m_running.erase(id);
}

boost::asio::awaitable<void> CallerHandler::WriteResponse(
    HttpExchange& exchange,
    RequestId request,
    ResponseQueue& queue) {
  while (true) {
    const ResponseEvent event = co_await queue.Pop();
    const bool more = co_await WriteEvent(exchange, request, event);
    if (!more) {
      break;
    }
  }
  // Without effect when the request has ended; else the caller is gone.
  m_requests.Feed(RequestCancelled{request});
}

boost::asio::awaitable<bool> CallerHandler::WriteEvent(
    HttpExchange& exchange,
    RequestId request,
    const ResponseEvent& event) {
  if (const auto* head = std::get_if<RespondHead>(&event)) {
    HttpHeaders headers = ToCallerHeaders(head->headers);
    const Result<void> sent =
        co_await exchange.StartStream(head->status, std::move(headers));
    co_return sent.has_value();
  }
  if (const auto* chunk = std::get_if<RespondChunk>(&event)) {
    const Result<void> sent = co_await exchange.WriteChunk(chunk->data);
    m_requests.Feed(ResponseBytesConsumed{request, chunk->data.size()});
    co_return sent.has_value();
  }
  if (std::holds_alternative<RespondEnd>(event)) {
    (void)co_await exchange.FinishStream();
  } else if (const auto* refused = std::get_if<RespondProblem>(&event)) {
    HttpResponse response = ToHttpResponse(refused->problem);
    (void)co_await exchange.Respond(std::move(response));
  } else {
    exchange.Abort();
  }
  co_return false;
}

}  // namespace cowslip
