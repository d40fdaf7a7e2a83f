#include "Entry/admin_handler.h"

#include "Net/http_exchange.h"
#include "Net/json_response.h"
#include "Requests/problem.h"

namespace cowslip {

namespace {

constexpr char kQuarantinePath[] = "/quarantine/";

HttpResponse Text(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  response.body = std::move(body);
  return response;
}

HttpResponse NotFound() {
  return JsonResponse(404, {{"type", "urn:cowslip:no-such-route"},
                            {"title", "No such page"},
                            {"status", 404},
                            {"detail",
                             "Use /healthz, /readyz, /metrics, /status, "
                             "/jobs or /quarantine/FINGERPRINT."}});
}

}  // namespace

AdminHandler::AdminHandler(AdminHooks hooks) : m_hooks(std::move(hooks)) {}

boost::asio::awaitable<void> AdminHandler::Handle(HttpExchange& exchange) {
  HttpResponse response = co_await Answer(exchange.request());
  (void)co_await exchange.Respond(std::move(response));
}

HttpResponse AdminHandler::Readiness() const {
  const std::string why_not = m_hooks.why_not_ready();
  return why_not.empty() ? Text(200, "ready\n") : Text(503, why_not + "\n");
}

boost::asio::awaitable<HttpResponse> AdminHandler::Release(
    const std::string& path) {
  const Fingerprint fingerprint(path.substr(sizeof(kQuarantinePath) - 1));
  const bool released = co_await m_hooks.release(fingerprint);
  if (released) {
    co_return JsonResponse(200, {{"released", fingerprint}});
  }
  co_return JsonResponse(
      503, {{"type", "urn:cowslip:store-unavailable"},
            {"title", "The platform's store did not answer"},
            {"status", 503},
            {"detail", "Repeat the call once the store is back."}});
}

boost::asio::awaitable<HttpResponse> AdminHandler::Answer(
    const HttpRequest& request) {
  const std::string path = request.Path();
  if (path == "/healthz") {
    co_return Text(200, "alive\n");
  }
  if (path == "/readyz") {
    co_return Readiness();
  }
  if (path == "/metrics") {
    co_return Text(200, m_hooks.metrics());
  }
  if (path == "/status") {
    co_return JsonResponse(200, m_hooks.status());
  }
  if (path == "/jobs" || path.starts_with("/jobs/")) {
    co_return co_await m_hooks.jobs(request);
  }
  if (request.method == "DELETE" && path.starts_with(kQuarantinePath)) {
    co_return co_await Release(path);
  }
  co_return NotFound();
}

}  // namespace cowslip
