// Responses whose status is none that answers a request.
#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "Net/connection_check.h"
#include "Net/http_client.h"

namespace cowslip {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr char kSoundResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Responds to every request with the same bytes.
awaitable<void> Respond(tcp::acceptor& acceptor, std::string response) {
  tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  std::string received;
  while (!error) {
    const size_t head = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(received), "\r\n\r\n", token);
    received.erase(0, head);
    if (!error) {
      co_await asio::async_write(socket, asio::buffer(response), token);
    }
  }
}

// A response of this status with a body that reads like another response.
std::string WithBody(const std::string& status) {
  const std::string body = kSoundResponse;
  return "HTTP/1.1 " + status +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

struct Call {
  Result<HttpResponse> response = Error(ErrorKind::kTimeout, "not ended");
  Duration took{0};
};

Call Get(std::string response, HttpClientOptions options = {}) {
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const PeerCheck check =
      options.check == nullptr ? PeerCheck::kNotNeeded : PeerCheck::kNeeded;
  HttpClient client(context.get_executor(),
                    Endpoint{.port = acceptor.local_endpoint().port()},
                    std::move(options));
  Call call;
  asio::co_spawn(context, Respond(acceptor, std::move(response)),
                 asio::detached);
  asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        const MonotonicTime began = MonotonicClock::now();
        HttpRequest request{.method = "GET"};
        if (check == PeerCheck::kNotNeeded) {
          call.response = co_await client.Send(std::move(request), 3s);
        } else {
          const Duration timeout = 3s;
          auto opened = co_await client.Open(std::move(request), timeout,
                                             nullptr, RequestTag(), check);
          if (opened.has_value()) {
            call.response = HttpResponse{.status = opened.value()->status()};
          } else {
            call.response = opened.error();
          }
        }
        call.took = MonotonicClock::now() - began;
        context.stop();
      },
      asio::detached);
  context.run_for(5s);
  return call;
}

// Guards against a body that is taken for the response: everything below 200
// was skipped as interim.
TEST_CASE("A response without a status of HTTP is an error at once") {
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    for (const std::string& response :
         {WithBody(status), "HTTP/1.1 " + std::string(status) + " X\r\n\r\n",
          "HTTP/1.1 " + std::string(status) + " X\r\n\r\nno head"}) {
      INFO(response);
      const Call call = Get(response);
      REQUIRE_FALSE(call.response.has_value());
      CHECK(call.response.error().kind() == ErrorKind::kInDoubt);
      CHECK(call.took < 1s);
    }
  }
}

TEST_CASE("The response that follows an interim one is the response") {
  for (const char* status : {"100", "102", "103", "199"}) {
    INFO(status);
    const Call call =
        Get("HTTP/1.1 " + std::string(status) + " X\r\n\r\n" + kSoundResponse);
    REQUIRE(call.response.has_value());
    CHECK(call.response.value().status == 200);
    CHECK(call.response.value().body == "ok");
  }
}

TEST_CASE("Responses of each final class are passed on") {
  for (const int status : {200, 299, 304, 404, 500, 599}) {
    INFO(status);
    const Call call = Get("HTTP/1.1 " + std::to_string(status) +
                          " X\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(call.response.has_value());
    CHECK(call.response.value().status == status);
  }
}

// Guards against a check that a body inside such a response passes.
TEST_CASE("A check with a response without a status of HTTP fails") {
  for (const char* status : {"000", "101", "600"}) {
    INFO(status);
    const auto check = std::make_shared<ConnectionCheck>(ConnectionCheck{
        .request = HttpRequest{.method = "GET", .target = "/report"},
        .timeout = 1s,
        .max_response_bytes = 1000,
        .judge = [](const HttpResponse&) { return Ok(); }});
    const Call call = Get(WithBody(status), {.check = check});
    REQUIRE_FALSE(call.response.has_value());
    CHECK(call.response.error().kind() == ErrorKind::kUnavailable);
  }
}

}  // namespace
}  // namespace cowslip
