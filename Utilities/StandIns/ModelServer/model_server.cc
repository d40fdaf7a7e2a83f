#include "Utilities/StandIns/ModelServer/model_server.h"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Net/http_exchange.h"

namespace cowslip {

using boost::asio::awaitable;

namespace {

// Takes one of a counted fault.
bool Take(int& counter) {
  if (counter <= 0) {
    return false;
  }
  --counter;
  return true;
}

std::string Event(const std::string& attempt,
                  uint64_t number,
                  const std::string& version) {
  return "id: " + std::to_string(number) + "\ndata: " + attempt + "-" +
         std::to_string(number) + (version.empty() ? "" : "@" + version) +
         "\n\n";
}

// Larger than any report.
constexpr size_t kEndlessBytes = 4 << 20;

}  // namespace

ModelServer::ModelServer(boost::asio::io_context& context, std::string id)
    : m_id(std::move(id)), m_context(context), m_server(MakeServer(0)) {}

std::unique_ptr<HttpServer> ModelServer::MakeServer(uint16_t port) {
  return std::make_unique<HttpServer>(
      m_context, HttpServerOptions{.listen = {.port = port}},
      [this](HttpExchange& exchange) { return Handle(exchange); });
}

Result<void> ModelServer::Restart(ModelIncarnation incarnation) {
  const uint16_t port = m_server->port();
  m_server.reset();
  m_incarnation = std::move(incarnation);
  m_server = MakeServer(port);
  return m_server->Start();
}

std::string ModelServer::Body(const std::string& attempt,
                              uint64_t first,
                              uint64_t last,
                              const std::string& version) {
  std::string body;
  for (uint64_t number = first; number <= last; ++number) {
    body += Event(attempt, number, version);
  }
  return body;
}

HttpHeaders ModelServer::Headers(const std::string& attempt) {
  HttpHeaders headers = {{"Attempt-Id", attempt},
                         {"Server-Load", "1,0,8"},
                         {"Content-Type", "text/event-stream"}};
  if (m_behaviour.leaving) {
    headers.push_back({"Server-Leaving", "1"});
  }
  if (m_behaviour.limit > 0) {
    headers.push_back({"Server-Limit", std::to_string(m_behaviour.limit)});
  }
  if (!Take(m_behaviour.unsigned_answers)) {
    headers.push_back({"Response-Signature", "signed-by-" + m_id});
  }
  return headers;
}

awaitable<void> ModelServer::Report(HttpExchange& exchange) {
  ++m_reports;
  const std::string start = std::to_string(m_incarnation.started_at_ms);
  HttpResponse response{.headers = {{"Content-Type", "application/json"}},
                        .body = R"({"stage":"both","born":)" + start + "}"};
  const ReportAnswer answer =
      Take(m_behaviour.reports) ? m_behaviour.report : ReportAnswer::kStart;
  switch (answer) {
    case ReportAnswer::kStart:
      break;
    case ReportAnswer::kWithoutStart:
      response.body = R"({"stage":"both"})";
      break;
    case ReportAnswer::kNotFound:
      response = {.status = 404};
      break;
    case ReportAnswer::kUnavailable:
      response.status = 503;
      break;
    case ReportAnswer::kMalformed:
      response.body = "born";
      break;
    case ReportAnswer::kEndless:
      response.body.append(kEndlessBytes, ' ');
      break;
    case ReportAnswer::kStartAndClose:
      m_server->DisableKeepAlive();
      break;
    case ReportAnswer::kBreaks:
      exchange.Abort();
      co_return;
    case ReportAnswer::kSilent: {
      boost::asio::steady_timer timer(m_context);
      timer.expires_at(std::chrono::steady_clock::time_point::max());
      exchange.OnClientDisconnected([&timer] { timer.cancel(); });
      boost::system::error_code ignored;
      co_await timer.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
      exchange.OnClientDisconnected(nullptr);
      co_return;
    }
  }
  (void)co_await exchange.Respond(std::move(response));
}

awaitable<void> ModelServer::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.method == "GET" && request.target == "/report") {
    co_await Report(exchange);
    co_return;
  }
  m_received.push_back(exchange.request());
  m_arrivals.push_back(MonotonicClock::now());
  const HttpHeaders& headers = exchange.request().headers;
  const std::string attempt = FindHeader(headers, "Attempt-Id").value_or("");
  const bool misbehaved = co_await Misbehave(exchange);
  if (misbehaved) {
    co_return;
  }
  const std::string expected =
      FindHeader(headers, "Expect-Instance").value_or(m_id);
  if (expected != m_id) {
    HttpResponse response{.status = 421, .headers = {{"Instance-Id", m_id}}};
    (void)co_await exchange.Respond(std::move(response));
    co_return;
  }
  co_await StreamEvents(exchange, attempt);
}

awaitable<bool> ModelServer::Misbehave(HttpExchange& exchange) {
  const std::string attempt =
      FindHeader(exchange.request().headers, "Attempt-Id").value_or("");
  if (Take(m_behaviour.silent_closes)) {
    exchange.Abort();
    co_return true;
  }
  if (Take(m_behaviour.turn_away)) {
    HttpResponse response{
        .status = 503,
        .headers = {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}};
    if (m_behaviour.leaving) {
      response.headers.push_back({"Server-Leaving", "1"});
    }
    (void)co_await exchange.Respond(std::move(response));
    co_return true;
  }
  if (Take(m_behaviour.fails)) {
    HttpResponse response{.status = m_behaviour.fail_status,
                          .headers = Headers(attempt),
                          .body = "failed"};
    (void)co_await exchange.Respond(std::move(response));
    co_return true;
  }
  co_return false;
}

awaitable<bool> ModelServer::FallSilent(HttpExchange& exchange,
                                        uint64_t number) {
  const auto found = m_behaviour.silences.find(number);
  if (found == m_behaviour.silences.end()) {
    co_return true;
  }
  boost::asio::steady_timer timer(m_context);
  timer.expires_at(m_behaviour.silences_end.value_or(
      std::chrono::steady_clock::now() + found->second));
  exchange.OnClientDisconnected([&timer] { timer.cancel(); });
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  exchange.OnClientDisconnected(nullptr);
  if (Take(m_behaviour.silence_breaks)) {
    exchange.Abort();
    co_return false;
  }
  co_return true;
}

awaitable<void> ModelServer::StreamEvents(HttpExchange& exchange,
                                          std::string attempt) {
  const bool other = Take(m_behaviour.wrong_ids);
  const bool breaks = m_behaviour.break_after > 0 && Take(m_behaviour.breaks);
  const bool has_head = co_await FallSilent(exchange, 0);
  if (!has_head) {
    co_return;
  }
  HttpHeaders headers = Headers(other ? "another" : attempt);
  (void)co_await exchange.StartStream(200, std::move(headers));
  if (Take(m_behaviour.head_breaks)) {
    exchange.Abort();
    co_return;
  }
  const std::string resumed =
      FindHeader(exchange.request().headers, "Last-Event-Id").value_or("0");
  const uint64_t first = std::stoull(resumed) + 1;
  for (uint64_t number = first; number <= m_behaviour.events; ++number) {
    if (breaks && number - first == m_behaviour.break_after) {
      // In the middle of an event, too.
      (void)co_await exchange.WriteChunk("id: 9");
      exchange.Abort();
      co_return;
    }
    const bool goes_on = co_await FallSilent(exchange, number);
    if (!goes_on) {
      co_return;
    }
    std::string event = Event(attempt, number, m_incarnation.version);
    const Result<void> written = co_await exchange.WriteChunk(std::move(event));
    if (!written.has_value()) {
      co_return;
    }
    boost::asio::steady_timer timer(m_context, m_behaviour.pause);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  (void)co_await exchange.FinishStream();
}

}  // namespace cowslip
