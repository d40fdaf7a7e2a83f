#include "Utilities/StandIns/Plain/plain_server.h"

#include <cstdlib>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/json.h"
#include "Base/log.h"
#include "Net/http_exchange.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

/// How many requests `GET /received` remembers.
constexpr size_t kMaxReceived = 10'000;
constexpr int kCrashExitCode = 70;

HttpResponse JsonResponse(int status, const nlohmann::json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = DumpJson(body)};
}

nlohmann::json ToJson(const HttpRequest& request) {
  nlohmann::json headers = nlohmann::json::array();
  for (const HttpHeader& header : request.headers) {
    headers.push_back({{"name", header.name}, {"value", header.value}});
  }
  return {{"method", request.method},
          {"target", request.target},
          {"headers", std::move(headers)},
          {"body", request.body}};
}

bool Holds(const std::string& body, const std::string& marker) {
  return !marker.empty() && body.find(marker) != std::string::npos;
}

}  // namespace

PlainServer::PlainServer(boost::asio::io_context& context, Endpoint listen)
    : m_server(context,
               HttpServerOptions{.listen = std::move(listen)},
               [this](HttpExchange& exchange) { return Handle(exchange); }) {}

Result<void> PlainServer::Start() {
  return m_server.Start();
}

void PlainServer::Drain() {
  m_server.Drain();
}

awaitable<void> PlainServer::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string path = request.Path();
  if (path == "/faults" && request.method == "PUT") {
    HttpResponse response = SetFaults(request.body);
    (void)co_await exchange.Respond(std::move(response));
  } else if (path == "/received") {
    HttpResponse response = Received();
    (void)co_await exchange.Respond(std::move(response));
  } else {
    co_await Serve(exchange);
  }
}

awaitable<void> PlainServer::Serve(HttpExchange& exchange) {
  if (m_faults.slow_ms > 0) {
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer(
        executor, std::chrono::milliseconds(m_faults.slow_ms));
    boost::system::error_code error;
    auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
    co_await timer.async_wait(token);
  }
  if (m_faults.down) {
    exchange.Abort();
    co_return;
  }
  const std::string body = exchange.request().body;
  const uint64_t count = TakeEffect(exchange.request());
  if (Holds(body, m_faults.crash_marker)) {
    LOG(WARNING) << "standin-plain: A request has crashed the service.";
    std::_Exit(kCrashExitCode);
  }
  if (CutsAnswer(body)) {
    exchange.Abort();
    co_return;
  }
  HttpResponse response = JsonResponse(200, {{"count", count}, {"echo", body}});
  (void)co_await exchange.Respond(std::move(response));
}

uint64_t PlainServer::TakeEffect(const HttpRequest& request) {
  if (m_received.size() >= kMaxReceived) {
    m_received.pop_front();
  }
  m_received.push_back(request);
  return ++m_runs[request.body];
}

bool PlainServer::CutsAnswer(const std::string& body) {
  if (m_faults.cut_next > 0) {
    --m_faults.cut_next;
    return true;
  }
  return Holds(body, m_faults.cut_marker);
}

HttpResponse PlainServer::Received() const {
  nlohmann::json requests = nlohmann::json::array();
  for (const HttpRequest& request : m_received) {
    requests.push_back(ToJson(request));
  }
  nlohmann::json runs = nlohmann::json::array();
  for (const auto& [body, count] : m_runs) {
    runs.push_back({{"body", body}, {"count", count}});
  }
  return JsonResponse(
      200, {{"requests", std::move(requests)}, {"runs", std::move(runs)}});
}

HttpResponse PlainServer::SetFaults(const std::string& body) {
  const Result<nlohmann::json> parsed = ParseJson(body);
  if (!parsed.has_value()) {
    return JsonResponse(400, {{"detail", parsed.error().message}});
  }
  try {
    parsed.value().get_to(m_faults);
  } catch (const nlohmann::json::exception& thrown) {
    return JsonResponse(400, {{"detail", thrown.what()}});
  }
  return JsonResponse(200, m_faults);
}

}  // namespace cowslip
