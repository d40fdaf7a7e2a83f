// Backend servers that answer while they still receive the request, or with a
// status that no answer has.
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/base64.h"
#include "Net/sleep_for.h"
#include "gateway_fixture.h"
#include "raw_backend.h"
#include "raw_request.h"

namespace cowslip {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;
using namespace std::chrono_literals;

// More than a backend server's receive buffer holds.
constexpr size_t kLargeBody = 300'000;
constexpr size_t kSmallBody = 2'000;
constexpr int kReceiveBuffer = 8192;
constexpr uint64_t kEvents = 4;
constexpr uint64_t kEventsBeforeTheEnd = 2;

// How the connection ends after a part of an answer.
enum class End { kClose, kReset, kHalfCloseAndReset };

/// \class EarlyBackend
/// \brief Answers as soon as it has read a request's head, without a length,
/// with a part of the answer, and ends the connection. Answers whole once
/// `is_sound` is set.
class EarlyBackend {
 public:
  EarlyBackend(GatewayFixture& f, End end)
      : m_context(f.context),
        m_end(end),
        m_acceptor(f.context,
                   tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    m_acceptor.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBuffer));
    const auto port = m_acceptor.local_endpoint().port();
    f.store.Put("servers", "early",
                {{"service", "s"},
                 {"address", "127.0.0.1:" + std::to_string(port)},
                 {"zone", "z"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"version", "v1"}});
    asio::co_spawn(
        m_context, [this] { return Accept(); }, asio::detached);
  }

  bool is_sound = false;
  size_t early_answers = 0;

 private:
  awaitable<void> Accept() {
    while (true) {
      tcp::socket socket =
          co_await m_acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(m_context, Serve(std::move(socket)), asio::detached);
    }
  }
  awaitable<void> Serve(tcp::socket socket) {
    boost::system::error_code error;
    if (is_sound) {
      std::string received;
      const auto request = co_await ReadRawRequest(socket, received);
      if (request.has_value()) {
        const std::string attempt =
            FindHeader(request->headers, "Attempt-Id").value_or("");
        const uint64_t first =
            1 +
            std::stoull(
                FindHeader(request->headers, "Last-Event-Id").value_or("0"));
        (void)co_await WriteRaw(
            socket, RawStreamHead(attempt, "Transfer-Encoding: chunked\r\n") +
                        RawChunk(ModelServer::Body(attempt, first, kEvents)) +
                        "0\r\n\r\n");
      }
      co_return;
    }
    std::string head;
    co_await asio::async_read_until(
        socket, asio::dynamic_buffer(head), "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    ++early_answers;
    const size_t at = head.find("Attempt-Id: ") + 12;
    const std::string attempt = head.substr(at, head.find("\r\n", at) - at);
    (void)co_await WriteRaw(
        socket, RawStreamHead(attempt, "") +
                    ModelServer::Body(attempt, 1, kEventsBeforeTheEnd));
    if (m_end == End::kHalfCloseAndReset) {
      socket.shutdown(tcp::socket::shutdown_send, error);
    }
    co_await SleepFor(50ms);
    if (m_end != End::kClose) {
      socket.set_option(asio::socket_base::linger(true, 0), error);
    }
    socket.close(error);
  }

  asio::io_context& m_context;
  const End m_end;
  tcp::acceptor m_acceptor;
};

// One request of `size` bytes; a backend server that fails twice gets no more.
void CheckEarlyAnswer(const std::string& path, size_t size, End end) {
  INFO(path << ", " << size << " bytes, end " << static_cast<int>(end));
  GatewayFixture f(0);
  EarlyBackend backend(f, end);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpRequest request =
        f.Request("POST", path + "a1", "a1", std::string(size, 'x'));
    const auto response = co_await f.Send(0, std::move(request));
    CHECK(backend.early_answers > 0);
    CHECK_FALSE((response.has_value() && response.value().status < 300));
  });
}

// Guards against a part of an answer that clients find as a complete 200: the
// connection was reset while the request was on its way.
TEST_CASE("An answer that ends before its request has arrived is not whole") {
  for (const char* path : {"/stream/", "/once/", "/safe/", "/unsafe/"}) {
    for (const End end : {End::kClose, End::kReset, End::kHalfCloseAndReset}) {
      CheckEarlyAnswer(path, kLargeBody, end);
    }
    // A small request has arrived before the answer ends, so a half close is
    // the end of a whole answer.
    CheckEarlyAnswer(path, kSmallBody, End::kClose);
    CheckEarlyAnswer(path, kSmallBody, End::kReset);
  }
}

TEST_CASE("An item whose answer ends before it has arrived is run again") {
  GatewayFixture f(0);
  EarlyBackend backend(f, End::kHalfCloseAndReset);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const nlohmann::json item = {
        {"id", "j-0"},
        {"path", "/job/x"},
        {"headers", {{"Model", "m"}}},
        {"body", EncodeBase64(std::string(kLargeBody, 'x'))}};
    HttpRequest submission = f.Request(
        "POST", "/job/submit", "j",
        nlohmann::json({{"items", nlohmann::json::array({item})}}).dump());
    const auto accepted = co_await f.Send(0, std::move(submission));
    REQUIRE(accepted.has_value());
    REQUIRE(accepted.value().status == 202);
    for (int i = 0; i < 100 && backend.early_answers == 0; ++i) {
      co_await f.Sleep(20ms);
    }
    CHECK(backend.early_answers == 1);
    backend.is_sound = true;
    const nlohmann::json results = co_await f.ReadAllResults(0, "j");
    REQUIRE(results.size() == 1);
    CHECK(results[0]["state"] == "completed");
    CHECK(results[0]["output"] == "j-0-1\nj-0-2\nj-0-3\nj-0-4");
  });
}

// An answer of this status whose body reads like a whole signed answer.
RawAnswer Disguised(const std::string& status, const std::string& attempt) {
  const std::string events = ModelServer::Body(attempt, 1, kEvents);
  const std::string body =
      RawStreamHead(attempt, "Content-Length: " +
                                 std::to_string(events.size()) + "\r\n") +
      events;
  return {.bytes = "HTTP/1.1 " + status + " X\r\nAttempt-Id: " + attempt +
                   "\r\nResponse-Signature: sig\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body,
          .end = ConnectionEnd::kKeptOpen};
}

void CheckStatus(const std::string& path, const std::string& status) {
  INFO(path << ", status " << status);
  GatewayFixture f(0);
  RawBackend backend(f.context, [&](const HttpRequest& request) {
    return Disguised(status,
                     FindHeader(request.headers, "Attempt-Id").value_or(""));
  });
  RegisterRawBackend(f, "raw-0", backend);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpRequest request = f.Request("POST", path + "a1", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 502);
    CHECK_FALSE(
        FindHeader(response.value().headers, "Response-Signature").has_value());
  });
}

// Guards against an answer that is none: its status was skipped as interim, and
// its body was delivered as the answer.
TEST_CASE("An answer without a status of HTTP is not delivered") {
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    for (const char* path : {"/stream/", "/once/", "/safe/", "/unsafe/"}) {
      CheckStatus(path, status);
    }
  }
}

TEST_CASE("An item with an answer without a status of HTTP is run again") {
  GatewayFixture f(0);
  size_t runs = 0;
  const std::vector<std::string> statuses = {"000", "101", "600"};
  RawBackend backend(f.context, [&](const HttpRequest& request) {
    const std::string attempt =
        FindHeader(request.headers, "Attempt-Id").value_or("");
    if (runs < statuses.size()) {
      return Disguised(statuses[runs++], attempt);
    }
    const std::string events = ModelServer::Body(attempt, 1, kEvents);
    return RawAnswer{
        .bytes = RawStreamHead(attempt, "Transfer-Encoding: chunked\r\n") +
                 RawChunk(events) + "0\r\n\r\n",
        .end = ConnectionEnd::kKeptOpen};
  });
  RegisterRawBackend(f, "raw-0", backend);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpRequest submission = f.Submission("j", 1);
    const auto accepted = co_await f.Send(0, std::move(submission));
    REQUIRE(accepted.has_value());
    const nlohmann::json results = co_await f.ReadAllResults(0, "j");
    CHECK(runs == statuses.size());
    REQUIRE(results.size() == 1);
    CHECK(results[0]["state"] == "completed");
    CHECK(results[0]["output"] == "j-0-1\nj-0-2\nj-0-3\nj-0-4");
  });
}

}  // namespace
}  // namespace cowslip
