#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

// Runs one client against one gateway and two backend servers.
template <class Body>
void RunOnline(Body body, size_t backends = 2) {
  GatewayFixture f(backends);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await body(f);
  });
}

size_t TotalRequests(GatewayFixture& f, size_t backends = 2) {
  size_t total = 0;
  for (size_t i = 0; i < backends; ++i) {
    total += f.RequestsAt(i);
  }
  return total;
}

// Behaviour of whichever backend server is asked first.
void ForAll(GatewayFixture& f, void (*change)(ModelBehaviour&)) {
  change(f.backend(0).behaviour());
  change(f.backend(1).behaviour());
}

TEST_CASE(
    "A stream is relayed byte by byte with the backend server's headers") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    HttpRequest request = f.Request("POST", "/stream/x?y=1", "a1", "question");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 200);
    CHECK(response.value().body == ModelServer::Body("a1", 1, 4));
    const auto& headers = response.value().headers;
    CHECK(FindHeader(headers, "Response-Signature").has_value());
    CHECK(FindHeader(headers, "Attempt-Id") == "a1");
    const size_t used = f.RequestsAt(0) == 1 ? 0 : 1;
    const HttpRequest& sent = f.backend(used).received().at(0);
    CHECK(sent.method == "POST");
    CHECK(sent.target == "/stream/x?y=1");
    CHECK(sent.body == "question");
    CHECK(FindHeader(sent.headers, "Tenant") == "mill");
    CHECK_FALSE(FindHeader(sent.headers, "Key").has_value());
    CHECK(FindHeader(sent.headers, "Expect-Instance") ==
          "i-" + std::to_string(used));
    CHECK(std::stoi(*FindHeader(sent.headers, "Deadline-Ms")) <= 3000);
  });
}

TEST_CASE("A broken stream goes on at another backend server, once whole") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForAll(f, [](ModelBehaviour& b) {
      b.events = 6;
      b.break_after = 2;
    });
    f.backend(0).behaviour().breaks = 1;
    f.backend(1).behaviour().breaks = 0;
    for (int i = 0; i < 4; ++i) {
      const std::string id = "a" + std::to_string(i);
      HttpRequest request = f.Request("POST", "/stream/x", id);
      const auto response = co_await f.Send(0, std::move(request));
      REQUIRE(response.has_value());
      CHECK(response.value().body == ModelServer::Body(id, 1, 6));
    }
    CHECK(TotalRequests(f) == 5);
  });
}

TEST_CASE("A stream that may not be resumed is cut, not begun anew") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForAll(f, [](ModelBehaviour& b) {
      b.break_after = 2;
      b.breaks = 1;
    });
    HttpRequest request = f.Request("POST", "/once/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    CHECK_FALSE(response.has_value());
    CHECK(TotalRequests(f) == 1);
  });
}

TEST_CASE("A safe answer that breaks after its first byte is not begun anew") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForAll(f, [](ModelBehaviour& b) {
      b.break_after = 2;
      b.breaks = 1;
    });
    HttpRequest request = f.Request("POST", "/safe/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    CHECK_FALSE(response.has_value());
    CHECK(TotalRequests(f) == 1);
  });
}

TEST_CASE("What may not run twice is not sent again after a lost answer") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForAll(f, [](ModelBehaviour& b) { b.silent_closes = 1; });
    HttpRequest request = f.Request("POST", "/unsafe/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    // Promises nothing.
    CHECK(response.value().status == 502);
    CHECK(TotalRequests(f) == 1);
  });
}

TEST_CASE("What may run twice is sent again after a lost answer") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    f.backend(0).behaviour().silent_closes = 1;
    for (int i = 0; i < 2; ++i) {
      HttpRequest request = f.Request("POST", "/safe/x", "a1");
      const auto response = co_await f.Send(0, std::move(request));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 200);
    }
  });
}

TEST_CASE("What was turned away goes elsewhere, whatever its kind") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    f.backend(0).behaviour().turn_away = 1;
    for (int i = 0; i < 2; ++i) {
      HttpRequest request = f.Request("POST", "/unsafe/x", "a1");
      const auto response = co_await f.Send(0, std::move(request));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 200);
    }
  });
}

TEST_CASE("A refusal that says not run is true, and says when to come back") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForAll(f, [](ModelBehaviour& b) { b.turn_away = 100; });
    HttpRequest request = f.Request("POST", "/unsafe/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 503);
    const auto retry = FindHeader(response.value().headers, "Retry-After");
    REQUIRE(retry.has_value());
    CHECK(std::stod(*retry) > 0);
  });
}

TEST_CASE("An answer for another request never reaches a caller") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForAll(f, [](ModelBehaviour& b) { b.wrong_ids = 1; });
    HttpRequest request = f.Request("POST", "/unsafe/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 502);
    CHECK(response.value().body.find("another") == std::string::npos);
  });
}

TEST_CASE("A success without a signature is no success") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForAll(f, [](ModelBehaviour& b) { b.unsigned_answers = 1; });
    HttpRequest request = f.Request("POST", "/unsafe/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 502);
  });
}

TEST_CASE("A backend server's failure is passed on unchanged") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForAll(f, [](ModelBehaviour& b) {
      b.fail_status = 500;
      b.fails = 1;
    });
    HttpRequest request = f.Request("POST", "/unsafe/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 500);
    CHECK(response.value().body == "failed");
    CHECK(FindHeader(response.value().headers, "Response-Signature"));
    CHECK(TotalRequests(f) == 1);
  });
}

TEST_CASE("Another incarnation at the address does not run the request") {
  RunOnline(
      [](GatewayFixture& f) -> awaitable<void> {
        f.store.Put(
            "servers", "i-9",
            {{"service", "s"},
             {"address", "127.0.0.1:" + std::to_string(f.backend(0).port())},
             {"zone", "z"},
             {"slots", 8},
             {"state", "ready"}});
        f.store.Erase("servers", "i-0");
        co_await f.Sleep(100ms);
        HttpRequest request = f.Request("POST", "/unsafe/x", "a1");
        const auto response = co_await f.Send(0, std::move(request));
        REQUIRE(response.has_value());
        CHECK(response.value().status == 503);
      },
      1);
}

TEST_CASE("Routes and keys decide before anything runs") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    const auto status = [&](HttpRequest request) -> awaitable<int> {
      const auto response = co_await f.Send(0, std::move(request));
      co_return response.has_value() ? response.value().status : -1;
    };
    HttpRequest request = f.Request("POST", "/none/x", "a1");
    CHECK(co_await status(request) == 404);
    request = f.Request("POST", "/stream/x", "a1");
    request.headers[1].value = "wrong";
    CHECK(co_await status(request) == 401);
    request.headers.erase(request.headers.begin() + 1);
    CHECK(co_await status(request) == 401);
    request = f.Request("POST", "/stream/x", "a1");
    request.headers.push_back({"Key", "key2"});
    CHECK(co_await status(request) == 400);
    CHECK(TotalRequests(f) == 0);
  });
}

TEST_CASE(
    "A withdrawn key and a removed route stop, an older version never "
    "returns") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    const nlohmann::json before = f.configuration;
    f.configuration["version"] = 5;
    f.configuration["tenants"][0]["api_keys"] = {"key3"};
    f.Publish();
    co_await f.Sleep(100ms);
    HttpRequest request = f.Request("POST", "/stream/x", "a1");
    auto response = co_await f.Send(0, std::move(request));
    CHECK(response.value().status == 401);
    f.configuration = before;
    f.Publish();
    co_await f.Sleep(100ms);
    request = f.Request("POST", "/stream/x", "a1");
    response = co_await f.Send(0, std::move(request));
    CHECK(response.value().status == 401);
  });
}

TEST_CASE("In an outage of the store, what is unknown is not denied") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    f.server.SetFault(ServerFault::kReset);
    co_await f.Sleep(1s);
    HttpRequest request = f.Request("POST", "/none/x", "a1");
    auto response = co_await f.Send(0, std::move(request));
    CHECK(response.value().status == 503);
    // What is known goes on.
    request = f.Request("POST", "/stream/x", "a1");
    response = co_await f.Send(0, std::move(request));
    CHECK(response.value().status == 200);
    f.server.SetFault(ServerFault::kNone);
    co_await f.Sleep(1500ms);
    request = f.Request("POST", "/none/x", "a1");
    response = co_await f.Send(0, std::move(request));
    CHECK(response.value().status == 404);
  });
}

TEST_CASE("A gateway is ready within a second, and stays so in an outage") {
  GatewayFixture f(2);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.Sleep(1s);
    CHECK(f.gateway(0).IsReady());
    f.server.SetFault(ServerFault::kReset);
    co_await f.Sleep(1500ms);
    CHECK(f.gateway(0).IsReady());
    HttpRequest request = f.Request("POST", "/stream/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 200);
  });
}

TEST_CASE("A draining backend server gets nothing new") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    nlohmann::json entry = f.store.Find("servers", "i-0")->content;
    entry["state"] = "draining";
    f.store.Put("servers", "i-0", entry);
    co_await f.Sleep(100ms);
    for (int i = 0; i < 6; ++i) {
      HttpRequest request = f.Request("POST", "/stream/x", "a1");
      const auto response = co_await f.Send(0, std::move(request));
      CHECK(response.value().status == 200);
    }
    CHECK(f.RequestsAt(0) == 0);
  });
}

TEST_CASE("A caller that leaves stops its backend server") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForAll(f, [](ModelBehaviour& b) {
      b.events = 1000;
      b.pause = 5ms;
    });
    HttpClient client(f.context.get_executor(),
                      Endpoint{.port = f.gateway(0).caller_port()});
    HttpRequest request = f.Request("POST", "/stream/x", "a1");
    const Duration timeout = 1s;
    auto opened = co_await client.Open(std::move(request), timeout);
    REQUIRE(opened.has_value());
    CHECK(f.backend(0).active() + f.backend(1).active() == 1);
    opened.value()->Abort();
    co_await f.Sleep(300ms);
    CHECK(f.backend(0).active() + f.backend(1).active() == 0);
  });
}

TEST_CASE("A silent stream moves on before its caller gives up") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    f.backend(0).behaviour().pause = 20s;
    for (int i = 0; i < 2; ++i) {
      HttpRequest request = f.Request("POST", "/stream/x", "a1");
      const auto response = co_await f.Send(0, std::move(request));
      REQUIRE(response.has_value());
      CHECK(response.value().body == ModelServer::Body("a1", 1, 4));
    }
  });
}

TEST_CASE("At its deadline a request gets its final answer") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForAll(f, [](ModelBehaviour& b) { b.pause = 20s; });
    HttpRequest request = f.Request("POST", "/once/x", "a1");
    request.headers[3].value = "400";
    const MonotonicTime began = MonotonicClock::now();
    const auto response = co_await f.Send(0, std::move(request));
    // Its head and first event are out: the stream is cut.
    CHECK_FALSE(response.has_value());
    CHECK(MonotonicClock::now() - began < 800ms);
    CHECK(MonotonicClock::now() - began > 350ms);
  });
}

TEST_CASE("An organisation over its quota is told when to come back") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    int refused = 0;
    for (int i = 0; i < 5; ++i) {
      HttpRequest request = f.Request("POST", "/stream/x", "a1");
      request.headers[1].value = "key2";
      const auto response = co_await f.Send(0, std::move(request));
      if (response.value().status == 429) {
        ++refused;
        CHECK(FindHeader(response.value().headers, "Retry-After"));
      }
    }
    CHECK(refused >= 2);
  });
}

TEST_CASE("A stopping gateway finishes what it has and is not ready") {
  GatewayFixture f(1);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.backend(0).behaviour().events = 40;
    f.backend(0).behaviour().pause = 10ms;
    bool whole = false;
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          HttpRequest request = f.Request("POST", "/stream/x", "a1");
          const auto response = co_await f.Send(0, std::move(request));
          whole = response.has_value() &&
                  response.value().body == ModelServer::Body("a1", 1, 40);
        },
        boost::asio::detached);
    co_await f.Sleep(100ms);
    f.gateway(0).Shutdown();
    CHECK_FALSE(f.gateway(0).IsReady());
    co_await f.Sleep(1s);
    CHECK(whole);
  });
}

TEST_CASE(
    "A request that comes before the store was read is held, not refused") {
  GatewayFixture f(2);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    HttpRequest request = f.Request("POST", "/stream/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 200);
  });
}

TEST_CASE("While the store is away at a start, requests are refused soon") {
  GatewayFixture f(2);
  f.server.SetFault(ServerFault::kReset);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    HttpRequest request = f.Request("POST", "/stream/x", "a1");
    auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 503);
    CHECK(FindHeader(response.value().headers, "Retry-After").has_value());
    // By now nothing is worth waiting for.
    const MonotonicTime began = MonotonicClock::now();
    request = f.Request("POST", "/stream/x", "a2");
    response = co_await f.Send(0, std::move(request));
    CHECK(response.value().status == 503);
    CHECK(MonotonicClock::now() - began < 200ms);
  });
}

TEST_CASE("A request that crashes backend servers is held back everywhere") {
  GatewayFixture f(2);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    ForAll(f, [](ModelBehaviour& b) { b.silent_closes = 100; });
    for (int i = 0; i < 3; ++i) {
      const std::string id = "a" + std::to_string(i);
      HttpRequest request = f.Request("POST", "/unsafe/x", id, "poison");
      const auto response = co_await f.Send(0, std::move(request));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 502);
    }
    co_await f.Sleep(400ms);
    ForAll(f, [](ModelBehaviour& b) { b.silent_closes = 0; });
    for (size_t gateway = 0; gateway < 2; ++gateway) {
      HttpRequest request = f.Request("POST", "/unsafe/x", "a9", "poison");
      const auto response = co_await f.Send(gateway, std::move(request));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 503);
      CHECK(FindHeader(response.value().headers, "Retry-After").has_value());
    }
    CHECK(TotalRequests(f) == 3);
    HttpRequest request = f.Request("POST", "/unsafe/x", "a10", "another");
    const auto response = co_await f.Send(1, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 200);
  });
}

}  // namespace
}  // namespace cowslip
