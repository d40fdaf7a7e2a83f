// A response with neither length nor chunks whose connection is reset while the
// request is still being sent.
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
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
// More than the server's receive buffer holds, less than the client's send
// buffer does.
constexpr size_t kBufferedBody = 300'000;
constexpr int kReceiveBuffer = 8192;

// What a server does after it has ended its response while the request's body
// is on its way.
enum class EndOfRequest {
  kClose,
  kReset,
  kHalfCloseAndReset,
  kHalfCloseAndRead
};

struct EarlyResponse {
  // Headers that frame the body, and the body.
  std::string rest;
  EndOfRequest end = EndOfRequest::kReset;
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
  const bool half_closes = response.end == EndOfRequest::kHalfCloseAndReset ||
                           response.end == EndOfRequest::kHalfCloseAndRead;
  if (half_closes) {
    socket.shutdown(tcp::socket::shutdown_send);
  }
  co_await SleepFor(50ms);
  boost::system::error_code error;
  while (response.end == EndOfRequest::kHalfCloseAndRead && !error) {
    char bytes[4096];
    (void)co_await socket.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  }
  if (response.end == EndOfRequest::kReset ||
      response.end == EndOfRequest::kHalfCloseAndReset) {
    socket.set_option(asio::socket_base::linger(true, 0));
  }
  socket.close();
}

Result<HttpResponse> SendLongRequest(EarlyResponse response,
                                     size_t body = kLongBody) {
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  if (body < kLongBody) {
    acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
  }
  HttpClient client(context.get_executor(),
                    Endpoint{.port = acceptor.local_endpoint().port()});
  Result<HttpResponse> result = Error(ErrorKind::kTimeout, "not ended");
  asio::co_spawn(context, RespondEarly(acceptor, std::move(response)),
                 asio::detached);
  asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        HttpRequest request{.method = "POST", .body = std::string(body, 'x')};
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

// Guards against a part of a response that is taken for a whole one: the
// request was in the system's buffers, so that sending it had succeeded, and
// the response ended before the reset that followed.
TEST_CASE("A reset behind the end of a response shows that it is not whole") {
  for (const size_t body : {kBufferedBody, kLongBody}) {
    for (const EndOfRequest end : {EndOfRequest::kClose, EndOfRequest::kReset,
                                   EndOfRequest::kHalfCloseAndReset}) {
      INFO(body << " bytes, end " << static_cast<int>(end));
      const Result<HttpResponse> response =
          SendLongRequest({.rest = "\r\nhalf of a response", .end = end}, body);
      REQUIRE_FALSE(response.has_value());
      CHECK(response.error().kind() == ErrorKind::kInDoubt);
    }
  }
}

TEST_CASE("A server that ends its response first may read the request later") {
  const Result<HttpResponse> response = SendLongRequest(
      {.rest = "\r\nwhole response", .end = EndOfRequest::kHalfCloseAndRead},
      kBufferedBody);
  REQUIRE(response.has_value());
  CHECK(response.value().body == "whole response");
}

TEST_CASE("A response with a length is whole though the request is not") {
  const Result<HttpResponse> response =
      SendLongRequest({.rest = "Content-Length: 5\r\n\r\nearly"});
  REQUIRE(response.has_value());
  CHECK(response.value().body == "early");
}

}  // namespace
}  // namespace cowslip
