// A response with neither length nor chunks whose connection is reset while the
// request is still being sent.
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "Net/http_client.h"
#include "Net/sleep_for.h"

namespace cowslip {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;
using namespace std::chrono_literals;

// More than the buffers of both sockets hold.
constexpr size_t kLongBody = 32 << 20;

struct EarlyResponse {
  // Headers that frame the body, and the body.
  std::string rest;
  bool reset = true;
};

// Reads a request's head, responds at once and ends the connection while the
// request's body is being sent.
awaitable<void> RespondEarly(tcp::acceptor& acceptor, EarlyResponse response) {
  tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  std::string received;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(received),
                                  "\r\n\r\n", asio::use_awaitable);
  const std::string bytes = "HTTP/1.1 200 OK\r\n" + response.rest;
  co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
  co_await SleepFor(50ms);
  if (response.reset) {
    socket.set_option(asio::socket_base::linger(true, 0));
  }
  socket.close();
}

Result<HttpResponse> SendLongRequest(EarlyResponse response) {
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  HttpClient client(context.get_executor(),
                    Endpoint{.port = acceptor.local_endpoint().port()});
  Result<HttpResponse> result = Error(ErrorKind::kTimeout, "not ended");
  asio::co_spawn(context, RespondEarly(acceptor, std::move(response)),
                 asio::detached);
  asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        HttpRequest request{.method = "POST",
                            .body = std::string(kLongBody, 'x')};
        result = co_await client.Send(std::move(request), 5s);
        context.stop();
      },
      asio::detached);
  context.run_for(10s);
  return result;
}

TEST_CASE("A reset during the request's body is not the end of a response") {
  const Result<HttpResponse> response =
      SendLongRequest({.rest = "\r\nhalf of a response"});
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().kind() == ErrorKind::kInDoubt);
}

TEST_CASE("A response with a length is whole though the request is not") {
  const Result<HttpResponse> response =
      SendLongRequest({.rest = "Content-Length: 5\r\n\r\nearly"});
  REQUIRE(response.has_value());
  CHECK(response.value().body == "early");
}

}  // namespace
}  // namespace cowslip
