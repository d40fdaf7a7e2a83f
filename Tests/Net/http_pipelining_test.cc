// Requests that are sent before the answer to an earlier one, on a connection
// that is about to be closed.

#include <chrono>
#include <stdexcept>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "Net/http_exchange.h"
#include "Net/http_server.h"
#include "raw_client.h"
#include "server_in_steps.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

awaitable<void> Pause(Duration time) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  time);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

awaitable<void> AnswerLater(HttpExchange& exchange) {
  co_await Pause(30ms);
  HttpResponse response{.body = exchange.request().target};
  (void)co_await exchange.Respond(std::move(response));
}

awaitable<void> StreamLater(HttpExchange& exchange) {
  co_await Pause(30ms);
  (void)co_await exchange.StartStream(200, HttpHeaders());
  (void)co_await exchange.WriteChunk(exchange.request().target);
  co_await Pause(30ms);
  (void)co_await exchange.FinishStream();
}

awaitable<void> ThrowAtFirst(HttpExchange& exchange) {
  if (exchange.request().target == "/1") {
    throw std::runtime_error("the handler failed");
  }
  co_await AnswerLater(exchange);
}

std::string Get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

size_t Count(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Checks that each of `answers` is there, and that the last one, and no other,
// ends the connection.
void CheckAnswers(const std::string& received, size_t answers) {
  CAPTURE(received);
  CHECK(Count(received, "HTTP/1.1 ") == answers);
  CHECK(Count(received, "Connection: close") == 1);
  const size_t last = received.rfind("HTTP/1.1 ");
  REQUIRE(last != std::string::npos);
  CHECK(received.find("Connection: close") > last);
}

TEST_CASE("Requests that are pipelined before a drain are answered") {
  const HttpServer::Handler handler = GENERATE(AnswerLater, StreamLater);
  const bool drain = GENERATE(true, false);
  CAPTURE(drain);
  ServerInSteps server({}, handler);
  RawClient client(server.http.port());
  client.Send(Get("/1") + Get("/2") + Get("/3"));
  server.RunFor(5ms);
  if (drain) {
    server.http.Drain();
  } else {
    server.http.DisableKeepAlive();
  }
  const std::string received = client.ReadAll(server.context);
  CheckAnswers(received, 3);
  CHECK(Count(received, "200 OK") == 3);
  CHECK(received.find("/2") < received.find("/3"));
}

TEST_CASE(
    "A request that arrives before an answer during a drain is answered") {
  ServerInSteps server({}, AnswerLater);
  RawClient client(server.http.port());
  client.Send(Get("/1"));
  server.RunFor(5ms);
  server.http.Drain();
  server.RunFor(5ms);
  client.Send(Get("/2"));
  CheckAnswers(client.ReadAll(server.context), 2);
}

TEST_CASE("Half a request behind another one at a drain is read to its end") {
  ServerInSteps server({}, AnswerLater);
  RawClient client(server.http.port());
  const std::string second = Get("/2");
  client.Send(Get("/1") + second.substr(0, 9));
  server.RunFor(5ms);
  server.http.Drain();
  server.RunFor(60ms);
  client.Send(second.substr(9));
  CheckAnswers(client.ReadAll(server.context), 2);
}

TEST_CASE("Half a request behind another one is refused as the drain ends") {
  ServerInSteps server({}, AnswerLater);
  RawClient client(server.http.port());
  client.Send(Get("/1") + Get("/2").substr(0, 9));
  server.RunFor(5ms);
  server.http.Drain();
  server.RunFor(60ms);
  server.http.RefuseUnfinishedRequests();
  const std::string received = client.ReadAll(server.context);
  CheckAnswers(received, 2);
  CHECK(Count(received, "503 Service Unavailable") == 1);
}

TEST_CASE("Pipelined requests beyond the limit on connections are refused") {
  ServerInSteps server({.max_connections = 1});
  RawClient first(server.http.port());
  server.RunFor(5ms);
  RawClient client(server.http.port());
  client.Send(Get("/1") + Get("/2"));
  const std::string received = client.ReadAll(server.context);
  CheckAnswers(received, 2);
  CHECK(Count(received, "503 Service Unavailable") == 2);
}

TEST_CASE("A request behind one whose handler fails is answered") {
  ServerInSteps server({}, ThrowAtFirst);
  RawClient client(server.http.port());
  client.Send(Get("/1") + Get("/2"));
  server.RunFor(5ms);
  server.http.DisableKeepAlive();
  const std::string received = client.ReadAll(server.context);
  CheckAnswers(received, 2);
  CHECK(Count(received, "200 OK") == 1);
}

TEST_CASE("A request that asks for the close is the last one") {
  ServerInSteps server({}, AnswerLater);
  RawClient client(server.http.port());
  client.Send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
              Get("/2"));
  CheckAnswers(client.ReadAll(server.context), 1);
}

}  // namespace
}  // namespace cowslip
