#ifndef TESTS_NET_SERVER_IN_STEPS_H_
#define TESTS_NET_SERVER_IN_STEPS_H_

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "Net/http_exchange.h"
#include "Net/http_server.h"

namespace cowslip {

/// \class ServerInSteps
/// \brief A server whose context runs only while the test lets it.
struct ServerInSteps {
  explicit ServerInSteps(HttpServerOptions options = {},
                         HttpServer::Handler handler = Answer)
      : http(context, std::move(options), std::move(handler)) {
    REQUIRE(http.Start().has_value());
    context.poll();
  }
  static boost::asio::awaitable<void> Answer(HttpExchange& exchange) {
    HttpResponse response{.body = "answer"};
    (void)co_await exchange.Respond(std::move(response));
  }
  void RunSteps(int steps) {
    for (int i = 0; i < steps; ++i) {
      context.restart();
      context.poll_one();
    }
  }
  void RunFor(Duration time) {
    context.restart();
    context.run_for(time);
  }

  boost::asio::io_context context;
  HttpServer http;
};

}  // namespace cowslip

#endif  // TESTS_NET_SERVER_IN_STEPS_H_
