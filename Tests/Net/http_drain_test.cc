// Requests that meet the drain of a server or the idle timeout. The client
// blocks on its own context, so each step of the server's context is forced.

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
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

using Client = RawClient;
using Server = ServerInSteps;

constexpr const char* kRequest = RawClient::kRequest;

awaitable<void> Hang(HttpExchange&) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  60s);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

TEST_CASE("A request in the socket's buffer at the drain is answered") {
  Server server;
  Client client(server.http.port());
  server.context.poll();
  client.Send(kRequest);
  server.http.Drain();
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
}

TEST_CASE("A second request on a connection that meets the drain is answered") {
  Server server;
  Client client(server.http.port());
  client.Send(kRequest);
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
  server.context.restart();
  server.context.poll();
  client.Send(kRequest);
  server.http.Drain();
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
}

TEST_CASE("A connection in the accept queue at the drain is served") {
  Server server;
  Client client(server.http.port());
  client.Send(kRequest);
  server.http.Drain();
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
}

TEST_CASE("A connection made just before the drain may send its request") {
  Server server;
  Client client(server.http.port());
  server.http.Drain();
  server.RunSteps(20);
  client.Send(kRequest);
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
}

TEST_CASE("A drain at any step of a request loses no answer") {
  const int steps = GENERATE(range(0, 24));
  CAPTURE(steps);
  Server server;
  Client client(server.http.port());
  client.Send(kRequest);
  server.RunSteps(steps);
  server.http.Drain();
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
}

TEST_CASE("A drain closes idle connections and the listener") {
  Server server;
  Client used(server.http.port());
  used.Send(kRequest);
  CHECK(used.Read(server.context) == "HTTP/1.1 200 OK");
  Client unused(server.http.port());
  server.context.restart();
  server.context.poll();
  CHECK(server.http.connections() == 2);
  const uint16_t port = server.http.port();
  server.http.Drain();
  server.RunFor(1s);
  CHECK(server.http.connections() == 0);
  CHECK_THROWS(Client(port));
}

TEST_CASE("A request that crosses the close of its connection is counted") {
  Server server;
  Client client(server.http.port());
  client.Send(kRequest);
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
  server.context.restart();
  server.context.poll();
  server.http.Drain();
  server.RunSteps(20);
  client.Send(kRequest);
  CHECK(client.Read(server.context).empty());
  CHECK(server.http.idle_closes() ==
        HttpIdleCloses{.drained = 1, .crossed_drained = 1});
  CHECK(server.http.connections() == 0);
}

TEST_CASE("A request that crosses an idle timeout is counted") {
  Server server({.idle_timeout = 60ms});
  Client client(server.http.port());
  Client silent(server.http.port());
  server.RunFor(120ms);
  CHECK(server.http.idle_closes() == HttpIdleCloses{.timeouts = 2});
  client.Send(kRequest);
  CHECK(client.Read(server.context).empty());
  CHECK(server.http.idle_closes() ==
        HttpIdleCloses{.timeouts = 2, .crossed_timeouts = 1});
  server.RunFor(400ms);
  CHECK(server.http.connections() == 0);
}

TEST_CASE("A drain does not wait for connections that an idle timeout closed") {
  Server server({.idle_timeout = 60ms});
  Client client(server.http.port());
  server.RunFor(120ms);
  server.http.Drain();
  server.RunFor(400ms);
  CHECK(server.http.connections() == 0);
  CHECK(server.http.idle_closes() == HttpIdleCloses{.timeouts = 1});
}

TEST_CASE("A request that arrives as the idle timeout expires is answered") {
  Server server({.idle_timeout = 60ms});
  Client client(server.http.port());
  server.context.poll();
  boost::asio::steady_timer earlier(server.context, 30ms);
  earlier.async_wait([&](boost::system::error_code) { client.Send(kRequest); });
  // Both timers have expired when the server runs next.
  std::this_thread::sleep_for(120ms);
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
}

TEST_CASE("A connection is closed when its idle timeout expires") {
  Server server({.idle_timeout = 60ms});
  Client client(server.http.port());
  server.context.poll();
  CHECK(server.http.connections() == 1);
  server.RunFor(120ms);
  CHECK(client.HasEnded());
  // Until then, the connection is watched for a request that crosses the close.
  server.RunFor(400ms);
  CHECK(server.http.connections() == 0);
}

TEST_CASE("A request that stops half way gets 408") {
  Server server({.read_timeout = 60ms});
  Client client(server.http.port());
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
  CHECK(client.Read(server.context) == "HTTP/1.1 408 Request Timeout");
}

TEST_CASE("A request that a drain refuses while it is read gets 503") {
  Server server;
  Client client(server.http.port());
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
  server.context.restart();
  server.context.poll();
  server.http.Drain();
  server.http.RefuseUnfinishedRequests();
  CHECK(client.Read(server.context) == "HTTP/1.1 503 Service Unavailable");
}

TEST_CASE("Requests without an answer at the exit get one") {
  Server server({}, Hang);
  Client running(server.http.port());
  running.Send(kRequest);
  Client half(server.http.port());
  half.Send("GET / HTTP/1.1\r\n");
  server.context.restart();
  server.context.poll();
  Client queued(server.http.port());
  queued.Send(kRequest);
  server.http.Drain();
  CHECK(server.http.AnswerOpenRequests() == 3);
  boost::asio::io_context none;
  CHECK(running.Read(none) == "HTTP/1.1 504 Gateway Timeout");
  CHECK(half.Read(none) == "HTTP/1.1 503 Service Unavailable");
  CHECK(queued.Read(none) == "HTTP/1.1 503 Service Unavailable");
  CHECK(server.http.AnswerOpenRequests() == 0);
}

TEST_CASE("An answer at the exit is not followed by a reset") {
  auto server = std::make_unique<Server>();
  Client client(server->http.port());
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n");
  server->context.restart();
  server->context.poll();
  client.Send(std::string(200000, 'x'));
  server->http.Drain();
  CHECK(server->http.AnswerOpenRequests() == 1);
  server.reset();
  boost::asio::io_context none;
  CHECK(client.Read(none) == "HTTP/1.1 503 Service Unavailable");
  CHECK(client.HasEnded());
  CHECK_NOTHROW(client.Send("x"));
}

TEST_CASE("Limits that shrink while a body is read do not refuse it") {
  Server server;
  Client client(server.http.port());
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
  server.context.restart();
  server.context.poll();
  server.http.SetLimits({.max_header_bytes = 8,
                         .max_body_bytes = 1,
                         .read_timeout = 1ms,
                         .idle_timeout = 1ms});
  std::this_thread::sleep_for(20ms);
  client.Send("-whole");
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
}

TEST_CASE("An idle timeout that shrinks does not close an idle connection") {
  Server server;
  Client client(server.http.port());
  server.context.poll();
  server.http.SetLimits({.idle_timeout = 1ms});
  std::this_thread::sleep_for(20ms);
  client.Send(kRequest);
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
}

TEST_CASE("A raised idle timeout holds on connections that are idle already") {
  Server server({.idle_timeout = 100ms});
  Client client(server.http.port());
  Client unused(server.http.port());
  client.Send(kRequest);
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
  server.RunFor(50ms);
  server.http.SetLimits({.idle_timeout = 600ms});
  server.RunFor(430ms);
  CHECK(server.http.idle_closes() == HttpIdleCloses{});
  client.Send(kRequest);
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
  server.RunFor(300ms);
  CHECK(server.http.idle_closes() == HttpIdleCloses{.timeouts = 1});
  CHECK(unused.HasEnded());
  server.RunFor(500ms);
  CHECK(server.http.idle_closes() == HttpIdleCloses{.timeouts = 2});
}

// The caller may have heard of the raised limit only.
TEST_CASE("An idle timeout that is raised and lowered closes nothing sooner") {
  Server server({.idle_timeout = 100ms});
  Client client(server.http.port());
  server.RunFor(20ms);
  server.http.SetLimits({.idle_timeout = 600ms});
  server.http.SetLimits({.idle_timeout = 100ms});
  server.RunFor(400ms);
  client.Send(kRequest);
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
}

TEST_CASE("A raised idle timeout does not delay a drain") {
  Server server({.idle_timeout = 100ms});
  Client unused(server.http.port());
  server.RunFor(20ms);
  server.http.SetLimits({.idle_timeout = 60s});
  server.http.Drain();
  server.RunFor(800ms);
  CHECK(server.http.connections() == 0);
}

// The close of a socket with unread bytes resets the connection, and the reset
// may overtake the answer.
TEST_CASE("An early answer reaches a caller that still sends") {
  struct Case {
    std::string head;
    std::string status;
  };
  const Case kind = GENERATE(
      Case{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n",
           "HTTP/1.1 413 Payload Too Large"},
      Case{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
           "7A1200\r\n",
           "HTTP/1.1 413 Payload Too Large"},
      Case{"POST / HTTP/1.1\r\nHost: h\r\nPadding: " + std::string(9000, 'x') +
               "\r\nContent-Length: 8000000\r\n\r\n",
           "HTTP/1.1 431 Request Header Fields Too Large"},
      Case{"POST / HTTP/9.9\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n",
           "HTTP/1.1 400 Bad Request"});
  CAPTURE(kind.head.substr(0, 80));
  Server server({.max_header_bytes = 8192, .max_body_bytes = 1000});
  const std::string request = kind.head + std::string(8000000, 'x');
  SECTION("at once") {
    Client client(server.http.port());
    CHECK(client.SendPieces(server.context, request, request.size(), 0ms));
    CHECK(client.Read(server.context) == kind.status);
  }
  SECTION("slowly") {
    Client client(server.http.port());
    CHECK(
        client.SendPieces(server.context, request, request.size() / 12, 40ms));
    CHECK(client.Read(server.context) == kind.status);
  }
}

TEST_CASE("A caller that sends on after an early answer is cut off") {
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000000\r\n\r\n";
  Server server({.max_body_bytes = 1000});
  Client client(server.http.port());
  SECTION("by size") {
    const std::string much(40'000'000, 'x');
    CHECK_FALSE(
        client.SendPieces(server.context, head + much, much.size(), 0ms));
  }
  SECTION("by time") {
    const std::string much(100, 'x');
    CHECK_FALSE(client.SendPieces(server.context, head + much, 1, 100ms));
  }
  SECTION("by silence") {
    client.Send(head);
    server.RunFor(1500ms);
  }
  CHECK(server.http.connections() == 0);
}

TEST_CASE("A request sent after a last answer does not destroy the answer") {
  Server server;
  Client client(server.http.port());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  server.RunSteps(30);
  client.Send(kRequest);
  server.RunSteps(30);
  client.Send(kRequest);
  CHECK(client.Read(server.context) == "HTTP/1.1 200 OK");
  server.RunFor(500ms);
  CHECK(server.http.connections() == 0);
}

}  // namespace
}  // namespace cowslip
