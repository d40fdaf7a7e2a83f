#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "Net/http_client.h"
#include "Net/http_exchange.h"
#include "Net/http_server.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr Duration kTimeout = 5s;

awaitable<void> Echo(HttpExchange& exchange) {
  HttpResponse response;
  response.body = exchange.request().method + exchange.request().body;
  (void)co_await exchange.Respond(std::move(response));
}

awaitable<void> StreamOrTruncate(HttpExchange& exchange) {
  (void)co_await exchange.StartStream(200, HttpHeaders());
  (void)co_await exchange.WriteChunk("one ");
  (void)co_await exchange.WriteChunk("two");
  if (exchange.request().Path() == "/whole") {
    (void)co_await exchange.FinishStream();
  }
}

// Runs one client coroutine against one server, for at most 10 s.
template <class Client>
void Run(HttpServer::Handler handler,
         Client client,
         HttpServerOptions options = {}) {
  boost::asio::io_context context;
  HttpServer server(context, options, std::move(handler));
  REQUIRE(server.Start().has_value());
  HttpClient http(context.get_executor(), Endpoint{.port = server.port()});
  bool done = false;
  boost::asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        co_await client(http);
        done = true;
        context.stop();
      },
      boost::asio::detached);
  context.run_for(10s);
  CHECK(done);
}

TEST_CASE("A call says when its request is about to be sent") {
  Run(Echo, [](HttpClient& http) -> awaitable<void> {
    int sent = 0;
    const auto abort = std::make_shared<HttpAbort>();
    abort->SetSendCallback([&sent] { ++sent; });
    HttpRequest request{.method = "GET", .target = "/x"};
    const auto opened = co_await http.Open(std::move(request), kTimeout, abort);
    CHECK(opened.has_value());
    CHECK(sent == 1);
    // Nothing listens at the port, so nothing is sent.
    const auto executor = co_await boost::asio::this_coro::executor;
    HttpClient nowhere(executor, Endpoint{.port = 1});
    HttpRequest again{.method = "GET", .target = "/x"};
    const auto refused =
        co_await nowhere.Open(std::move(again), kTimeout, abort);
    CHECK_FALSE(refused.has_value());
    CHECK(sent == 1);
  });
}

TEST_CASE("Requests on one persistent connection are answered in order") {
  Run(Echo, [](HttpClient& http) -> awaitable<void> {
    for (int i = 0; i < 3; ++i) {
      HttpRequest request{.method = "POST", .body = std::to_string(i)};
      auto got = co_await http.Send(std::move(request), kTimeout);
      REQUIRE(got.has_value());
      CHECK(got.value().body == "POST" + std::to_string(i));
    }
  });
}

awaitable<void> ThrowOrReturn(HttpExchange& exchange) {
  if (exchange.request().Path() == "/throw") {
    throw std::runtime_error("the handler failed");
  }
  co_return;
}

TEST_CASE("A handler that fails leaves no request without an answer") {
  Run(ThrowOrReturn, [](HttpClient& http) -> awaitable<void> {
    for (const char* path : {"/throw", "/return"}) {
      HttpRequest request{.target = path};
      auto got = co_await http.Send(std::move(request), kTimeout);
      REQUIRE(got.has_value());
      CHECK(got.value().status == 500);
    }
  });
}

TEST_CASE("A truncated stream is an error, not a complete response") {
  Run(StreamOrTruncate, [](HttpClient& http) -> awaitable<void> {
    HttpRequest whole{.target = "/whole"};
    auto good = co_await http.Send(std::move(whole), kTimeout);
    REQUIRE(good.has_value());
    CHECK(good.value().body == "one two");
    HttpRequest cut{.target = "/cut"};
    auto bad = co_await http.Send(std::move(cut), kTimeout);
    REQUIRE_FALSE(bad.has_value());
    CHECK(bad.error().kind() == ErrorKind::kInDoubt);
  });
}

TEST_CASE("A body over the limit gets 413 and a message with the limit") {
  const HttpServerOptions options{.max_body_bytes = 10};
  Run(
      Echo,
      [](HttpClient& http) -> awaitable<void> {
        HttpRequest request{.method = "POST", .body = std::string(100, 'x')};
        auto got = co_await http.Send(std::move(request), kTimeout);
        REQUIRE(got.has_value());
        CHECK(got.value().status == 413);
        CHECK_THAT(got.value().body, Catch::Contains("at most 10 bytes"));
      },
      options);
}

TEST_CASE("The body limit can depend on the request's head") {
  HttpServerOptions options{.max_body_bytes = 1000};
  options.body_limit = [](const HttpRequest& head) {
    return size_t{head.target == "/large" ? 500u : 10u};
  };
  Run(
      Echo,
      [](HttpClient& http) -> awaitable<void> {
        HttpRequest large{.method = "POST",
                          .target = "/large",
                          .body = std::string(100, 'x')};
        auto accepted = co_await http.Send(std::move(large), kTimeout);
        REQUIRE(accepted.has_value());
        CHECK(accepted.value().status == 200);
        HttpRequest small{.method = "POST",
                          .target = "/small",
                          .body = std::string(100, 'x')};
        auto rejected = co_await http.Send(std::move(small), kTimeout);
        REQUIRE(rejected.has_value());
        CHECK(rejected.value().status == 413);
      },
      options);
}

TEST_CASE("A handler is notified when its client disconnects") {
  bool disconnected = false;
  const auto wait = [&disconnected](HttpExchange& exchange) -> awaitable<void> {
    auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer(executor, 20s);
    exchange.OnClientDisconnected([&] {
      disconnected = true;
      timer.cancel();
    });
    (void)co_await exchange.StartStream(200, HttpHeaders());
    try {
      co_await timer.async_wait(boost::asio::use_awaitable);
    } catch (const boost::system::system_error&) {
    }
  };
  Run(wait, [&disconnected](HttpClient& http) -> awaitable<void> {
    HttpRequest request;
    auto opened = co_await http.Open(std::move(request), kTimeout);
    REQUIRE(opened.has_value());
    opened.value().reset();
    auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer poll(executor);
    for (int i = 0; i < 500 && !disconnected; ++i) {
      poll.expires_after(10ms);
      co_await poll.async_wait(boost::asio::use_awaitable);
    }
    CHECK(disconnected);
  });
}

TEST_CASE("A refused connection is reported as unavailable") {
  boost::asio::io_context context;
  HttpClient http(context.get_executor(), Endpoint{.port = 1});
  boost::asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        HttpRequest request;
        auto got = co_await http.Send(std::move(request), kTimeout);
        REQUIRE_FALSE(got.has_value());
        CHECK(got.error().kind() == ErrorKind::kUnavailable);
      },
      boost::asio::detached);
  context.run_for(5s);
}

}  // namespace
}  // namespace cowslip
