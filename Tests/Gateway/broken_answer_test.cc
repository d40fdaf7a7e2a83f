// Answers of backend servers that break off, and what the clients find.
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gateway_fixture.h"
#include "raw_backend.h"
#include "raw_request.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr uint64_t kEvents = 4;
constexpr uint64_t kEventsBeforeBreak = 2;
constexpr char kErrorText[] = "out of memory";

std::string AttemptOf(const HttpRequest& request) {
  return FindHeader(request.headers, "Attempt-Id").value_or("");
}

// What a client receives until the gateway closes the connection or the
// response ends.
awaitable<std::string> Fetch(uint16_t port,
                             std::string path,
                             std::string attempt) {
  const auto executor = co_await boost::asio::this_coro::executor;
  tcp::socket socket(executor);
  boost::system::error_code error;
  auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
  const tcp::endpoint gateway(boost::asio::ip::address_v4::loopback(), port);
  co_await socket.async_connect(gateway, token);
  std::string request = "POST " + path +
                        " HTTP/1.1\r\nHost: h.example\r\nKey: key1\r\n"
                        "Attempt-Id: " +
                        attempt +
                        "\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n"
                        "Connection: close\r\n\r\n";
  (void)co_await WriteRaw(socket, std::move(request));
  std::string received;
  while (!error) {
    char bytes[4096];
    const size_t got =
        co_await socket.async_read_some(boost::asio::buffer(bytes), token);
    received.append(bytes, got);
  }
  co_return received;
}

bool IsWholeStream(const std::string& received) {
  return received.ends_with("0\r\n\r\n");
}

size_t HeadsIn(const std::string& received) {
  size_t heads = 0;
  for (size_t at = received.find("HTTP/1.1"); at != std::string::npos;
       at = received.find("HTTP/1.1", at + 1)) {
    ++heads;
  }
  return heads;
}

std::string SignedHead(int status, const std::string& attempt) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt-Id: " + attempt +
         "\r\nResponse-Signature: sig\r\n";
}

// How a backend server answers the request that goes on with a stream.
std::vector<std::string> ErrorAnswers(const std::string& attempt) {
  const std::string text = kErrorText;
  const std::string length =
      "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n";
  std::vector<std::string> answers;
  for (const int status : {400, 404, 409, 422, 429, 500, 502, 503, 504}) {
    answers.push_back(SignedHead(status, attempt) + length + text);
    answers.push_back(SignedHead(status, attempt) + "Not-Executed: 1\r\n" +
                      length + text);
    answers.push_back("HTTP/1.1 " + std::to_string(status) + " X\r\n" + length +
                      text);
    answers.push_back(SignedHead(status, attempt) +
                      "Transfer-Encoding: chunked\r\n\r\n" + RawChunk(text) +
                      "0\r\n\r\n");
    // Without a length, and with the form of an event.
    answers.push_back(SignedHead(status, attempt) + "\r\ndata: " + text +
                      "\n\n");
  }
  answers.push_back("HTTP/1.1 200 OK\r\n" + length + text);
  answers.push_back(SignedHead(200, "other") + length + text);
  answers.push_back(SignedHead(200, attempt) + length + text);
  answers.push_back(text);
  answers.push_back(text + "\r\n\r\n");
  return answers;
}

// Guards against streams in which clients find the error of the backend server
// that should have gone on with it, or which end as if they were complete.
TEST_CASE("An error of the next backend server does not get into a stream") {
  GatewayFixture f(0);
  std::string error_answer;
  std::string whole_attempt;
  const auto script = [&](const HttpRequest& request) {
    const std::string attempt = AttemptOf(request);
    const bool goes_on =
        FindHeader(request.headers, "Last-Event-Id").has_value();
    if (attempt == whole_attempt) {
      return RawAnswer{
          RawStreamHead(attempt, "Transfer-Encoding: chunked\r\n") +
              RawChunk(ModelServer::Body(attempt, 1, kEvents)) + "0\r\n\r\n",
          ConnectionEnd::kKeptOpen};
    }
    if (goes_on) {
      return RawAnswer{error_answer, ConnectionEnd::kClosed};
    }
    return RawAnswer{
        RawStreamHead(attempt, "Transfer-Encoding: chunked\r\n") +
            RawChunk(ModelServer::Body(attempt, 1, kEventsBeforeBreak)),
        ConnectionEnd::kClosed};
  };
  RawBackend first(f.context, script);
  RawBackend second(f.context, script);
  RegisterRawBackend(f, "raw-0", first);
  RegisterRawBackend(f, "raw-1", second);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const size_t count = ErrorAnswers("").size();
    for (size_t i = 0; i < count; ++i) {
      const std::string attempt = "a" + std::to_string(100 + i);
      error_answer = ErrorAnswers(attempt)[i];
      INFO("goes on with: " << error_answer);
      const std::string received = co_await Fetch(
          f.gateway(0).caller_port(), "/stream/" + attempt, attempt);
      INFO("received: " << received);
      CHECK(received.starts_with("HTTP/1.1 200"));
      CHECK(HeadsIn(received) == 1);
      CHECK(received.find(kErrorText) == std::string::npos);
      CHECK_FALSE(IsWholeStream(received));
      const std::string expected =
          ModelServer::Body(attempt, 1, kEventsBeforeBreak);
      CHECK(received.find(expected) != std::string::npos);
      // A whole answer keeps the backend servers in use.
      whole_attempt = "w" + std::to_string(i);
      const std::string whole =
          co_await Fetch(f.gateway(0).caller_port(), "/stream/" + whole_attempt,
                         whole_attempt);
      CHECK(IsWholeStream(whole));
    }
  });
}

// Guards against a head that breaks off and is taken for a whole one: clients
// found a 200 with an empty or short body, framed as whole.
TEST_CASE("A head that breaks off is not passed on") {
  GatewayFixture f(0);
  const std::string body = ModelServer::Body("a", 1, 1);
  std::string truncated_attempt;
  size_t size = 0;
  ConnectionEnd end = ConnectionEnd::kClosed;
  const auto whole = [&](const std::string& attempt) {
    const std::string answer = ModelServer::Body(attempt, 1, 1);
    return RawStreamHead(attempt, "Content-Length: " +
                                      std::to_string(answer.size()) + "\r\n") +
           answer;
  };
  const auto script = [&](const HttpRequest& request) {
    const std::string attempt = AttemptOf(request);
    if (attempt == truncated_attempt) {
      return RawAnswer{whole(attempt).substr(0, size), end};
    }
    return RawAnswer{whole(attempt), ConnectionEnd::kKeptOpen};
  };
  RawBackend backend(f.context, script);
  RegisterRawBackend(f, "raw-0", backend);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const size_t head = whole("a100").find("\r\n\r\n") + 4;
    int sent = 100;
    for (const char* route : {"/once/", "/unsafe/"}) {
      for (const ConnectionEnd how :
           {ConnectionEnd::kClosed, ConnectionEnd::kReset}) {
        end = how;
        for (size = 0; size < head; ++size) {
          truncated_attempt = "a" + std::to_string(sent);
          INFO(route << " after " << size << " bytes");
          const std::string received =
              co_await Fetch(f.gateway(0).caller_port(),
                             route + truncated_attempt, truncated_attempt);
          CHECK_FALSE(received.starts_with("HTTP/1.1 2"));
          CHECK(HeadsIn(received) <= 1);
          const std::string next = "w" + std::to_string(sent++);
          const std::string answered =
              co_await Fetch(f.gateway(0).caller_port(), route + next, next);
          REQUIRE(answered.starts_with("HTTP/1.1 200"));
        }
      }
    }
  });
}

}  // namespace
}  // namespace cowslip
