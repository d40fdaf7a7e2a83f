#include "Net/http_head.h"

#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "Net/http_client.h"
#include "Net/http_exchange.h"
#include "Net/http_server.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

TEST_CASE("A request target has neither blanks nor control characters") {
  for (const char* valid : {"/", "/a/b?c=d%20e", "/\xc3\xa9"}) {
    CHECK(IsRequestTarget(valid));
  }
  for (const char* invalid :
       {"", "a", "/a b", "/a\r\nX: y", "/a\n", "/a\t", "/a\x7f"}) {
    CHECK_FALSE(IsRequestTarget(invalid));
  }
  CHECK_FALSE(IsRequestTarget(std::string("/a\0b", 4)));
}

TEST_CASE("A header that could be read as several ones is rejected") {
  CHECK(CheckHeader({"Model", "m"}).has_value());
  CHECK(CheckHeader({"X", ""}).has_value());
  CHECK(CheckHeader({"X", "a \t\xc3\xa9"}).has_value());
  const HttpHeader invalid[] = {{"", "v"},
                                {"Tenant ", "v"},
                                {"X: y\r\nTenant", "v"},
                                {"X", "v\r\nTenant: other"},
                                {"X", "v\n"},
                                {"X", "v\r"},
                                {"X", std::string("v\0w", 3)},
                                {"X", " v"},
                                {"X", "v\t"},
                                {"X", std::string(70'000, 'v')}};
  for (const HttpHeader& header : invalid) {
    const Result<void> checked = CheckHeader(header);
    REQUIRE_FALSE(checked.has_value());
    CHECK(checked.error().kind() == ErrorKind::kInvalidArgument);
    CHECK(checked.error().message.find('\n') == std::string::npos);
  }
}

// Guards against requests that hide another request in their head: the server
// would run both.
TEST_CASE("A client sends no head that holds control characters") {
  boost::asio::io_context context;
  size_t received = 0;
  HttpServer server(context, {},
                    [&](HttpExchange& exchange) -> awaitable<void> {
                      ++received;
                      HttpResponse response;
                      (void)co_await exchange.Respond(std::move(response));
                    });
  REQUIRE(server.Start().has_value());
  HttpClient http(context.get_executor(), Endpoint{.port = server.port()});
  const std::string hidden =
      "x\r\nContent-Length: 0\r\n\r\nPOST /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
  const HttpRequest requests[] = {
      {.method = "POST", .target = "/" + hidden},
      {.method = "POST HTTP/1.1" + hidden},
      {.method = "POST", .headers = {{"X", hidden}}},
      {.method = "POST", .headers = {{hidden, "x"}}}};
  boost::asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        for (HttpRequest request : requests) {
          const auto sent = co_await http.Send(std::move(request), 2s);
          CHECK_FALSE(sent.has_value());
          if (!sent.has_value()) {
            CHECK(sent.error().kind() == ErrorKind::kInvalidArgument);
          }
        }
        context.stop();
      },
      boost::asio::detached);
  context.run_for(10s);
  CHECK(received == 0);
}

TEST_CASE("A server leaves a header with line breaks out of its response") {
  boost::asio::io_context context;
  HttpServer server(context, {}, [](HttpExchange& exchange) -> awaitable<void> {
    HttpResponse response{.headers = {{"X", "a\r\nInjected: b"}, {"Y", "c"}}};
    (void)co_await exchange.Respond(std::move(response));
  });
  REQUIRE(server.Start().has_value());
  HttpClient http(context.get_executor(), Endpoint{.port = server.port()});
  boost::asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        HttpRequest request;
        const auto response = co_await http.Send(std::move(request), 2s);
        REQUIRE(response.has_value());
        CHECK_FALSE(FindHeader(response.value().headers, "Injected"));
        CHECK(FindHeader(response.value().headers, "Y") == "c");
        context.stop();
      },
      boost::asio::detached);
  context.run_for(10s);
}

}  // namespace
}  // namespace cowslip
