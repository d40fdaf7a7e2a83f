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

// Applies `change` to both backend servers, because either may be chosen first.
void ForEachBackend(GatewayFixture& f, void (*change)(ModelBehaviour&)) {
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

TEST_CASE(
    "A broken stream is resumed at another backend server without gaps or "
    "repeats") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForEachBackend(f, [](ModelBehaviour& b) {
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

TEST_CASE("A broken stream that is not resumable is closed, not restarted") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForEachBackend(f, [](ModelBehaviour& b) {
      b.break_after = 2;
      b.breaks = 1;
    });
    HttpRequest request = f.Request("POST", "/once/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    CHECK_FALSE(response.has_value());
    CHECK(TotalRequests(f) == 1);
  });
}

TEST_CASE(
    "A safe request whose response breaks after its first byte is not "
    "retried") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForEachBackend(f, [](ModelBehaviour& b) {
      b.break_after = 2;
      b.breaks = 1;
    });
    HttpRequest request = f.Request("POST", "/safe/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    CHECK_FALSE(response.has_value());
    CHECK(TotalRequests(f) == 1);
  });
}

TEST_CASE("A non-idempotent request is not retried after a lost response") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForEachBackend(f, [](ModelBehaviour& b) { b.silent_closes = 1; });
    HttpRequest request = f.Request("POST", "/unsafe/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    // The response does not say whether the request has run.
    CHECK(response.value().status == 502);
    CHECK(TotalRequests(f) == 1);
  });
}

TEST_CASE("An idempotent request is retried after a lost response") {
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

TEST_CASE(
    "A rejected request is sent to another backend server, even if it is not "
    "idempotent") {
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

TEST_CASE(
    "A request that all backend servers reject gets 503 with Retry-After") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForEachBackend(f, [](ModelBehaviour& b) { b.turn_away = 100; });
    HttpRequest request = f.Request("POST", "/unsafe/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 503);
    const auto retry = FindHeader(response.value().headers, "Retry-After");
    REQUIRE(retry.has_value());
    CHECK(std::stod(*retry) > 0);
  });
}

TEST_CASE("A response to another request is never relayed to the caller") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForEachBackend(f, [](ModelBehaviour& b) { b.wrong_ids = 1; });
    HttpRequest request = f.Request("POST", "/unsafe/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 502);
    CHECK(response.value().body.find("another") == std::string::npos);
  });
}

TEST_CASE("A successful response without a signature is reported as 502") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForEachBackend(f, [](ModelBehaviour& b) { b.unsigned_answers = 1; });
    HttpRequest request = f.Request("POST", "/unsafe/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 502);
  });
}

TEST_CASE("A backend server's failure is passed on unchanged") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForEachBackend(f, [](ModelBehaviour& b) {
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
             {"version", "v1"},
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

TEST_CASE(
    "A request without a valid route or key is refused before it reaches a "
    "backend server") {
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
    "A withdrawn key is refused, also after an older configuration version is "
    "written again") {
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

TEST_CASE("During a store outage, an unknown route gets 503 instead of 404") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    f.server.SetFault(ServerFault::kReset);
    co_await f.Sleep(1s);
    HttpRequest request = f.Request("POST", "/none/x", "a1");
    auto response = co_await f.Send(0, std::move(request));
    CHECK(response.value().status == 503);
    // Routes and keys that are already known are still served.
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

TEST_CASE(
    "A gateway is ready within a second and stays ready during a store "
    "outage") {
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

TEST_CASE("A draining backend server gets no new requests") {
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

// Registers an incarnation of backend server 0 that started at `born`.
void RegisterIncarnation(GatewayFixture& f, uint64_t born) {
  f.backend(0).SetIncarnation({.started_at_ms = born});
  nlohmann::json entry = f.store.Find("servers", "i-1")->content;
  entry["address"] = "127.0.0.1:" + std::to_string(f.backend(0).port());
  entry["born"] = born;
  f.store.Put("servers", "i-0", entry);
}

TEST_CASE(
    "A backend server that says in an answer that it leaves gets no new "
    "requests") {
  for (const bool rejects : {false, true}) {
    RunOnline([&](GatewayFixture& f) -> awaitable<void> {
      const auto send = [&](int count) -> awaitable<void> {
        for (int i = 0; i < count; ++i) {
          HttpRequest request = f.Request("POST", "/stream/x", "a1");
          request.headers.push_back(
              {"Prompt-Prefix", std::to_string(i) + ":10,own:5"});
          const auto response = co_await f.Send(0, std::move(request));
          REQUIRE(response.has_value());
          CHECK(response.value().status == 200);
        }
      };
      f.backend(0).behaviour().leaving = true;
      f.backend(0).behaviour().turn_away = rejects ? 1 : 0;
      co_await send(8);
      CHECK(f.RequestsAt(0) == 1);
      // Neither a new heartbeat nor an entry that was lost and is back count.
      RegisterIncarnation(f, 0);
      co_await f.Sleep(100ms);
      f.store.Erase("servers", "i-0");
      co_await f.Sleep(100ms);
      RegisterIncarnation(f, 0);
      co_await f.Sleep(100ms);
      co_await send(8);
      HttpRequest submission = f.Submission("j", 20);
      (void)co_await f.Send(0, std::move(submission));
      CHECK((co_await f.ReadAllResults(0, "j")).size() == 20);
      CHECK(f.RequestsAt(0) == 1);
      f.backend(0).behaviour().leaving = false;
      RegisterIncarnation(f, 1700000000000);
      co_await f.Sleep(100ms);
      co_await send(8);
      CHECK(f.RequestsAt(0) > 1);
    });
  }
}

TEST_CASE("A run of an item says that its backend server leaves") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    f.backend(0).behaviour().leaving = true;
    // One after another, so that none is sent before the first answer.
    for (int i = 0; i < 4; ++i) {
      const std::string job = "j" + std::to_string(i);
      HttpRequest submission = f.Submission(job, 1);
      (void)co_await f.Send(0, std::move(submission));
      CHECK((co_await f.ReadAllResults(0, job)).size() == 1);
    }
    CHECK(f.RequestsAt(0) <= 1);
    CHECK(f.RequestsAt(0) + f.RequestsAt(1) == 4);
  });
}

TEST_CASE(
    "A request is aborted at the backend server when its caller disconnects") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForEachBackend(f, [](ModelBehaviour& b) {
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

TEST_CASE("A stalled stream is resumed at another backend server") {
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

TEST_CASE("A stream is closed at the request's deadline") {
  RunOnline([](GatewayFixture& f) -> awaitable<void> {
    ForEachBackend(f, [](ModelBehaviour& b) { b.pause = 20s; });
    HttpRequest request = f.Request("POST", "/once/x", "a1");
    request.headers[3].value = "400";
    const MonotonicTime began = MonotonicClock::now();
    const auto response = co_await f.Send(0, std::move(request));
    // The head and the first event were already sent, so the stream can only be
    // closed.
    CHECK_FALSE(response.has_value());
    CHECK(MonotonicClock::now() - began < 800ms);
    CHECK(MonotonicClock::now() - began > 350ms);
  });
}

TEST_CASE("An organisation over its quota gets 429 with Retry-After") {
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

TEST_CASE(
    "A gateway that shuts down is not ready and completes running requests") {
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
    "A request that arrives before the store was read is held, not refused") {
  GatewayFixture f(2);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    HttpRequest request = f.Request("POST", "/stream/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 200);
  });
}

TEST_CASE(
    "While the store is unavailable at startup, requests are refused quickly") {
  GatewayFixture f(2);
  f.server.SetFault(ServerFault::kReset);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    HttpRequest request = f.Request("POST", "/stream/x", "a1");
    auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 503);
    CHECK(FindHeader(response.value().headers, "Retry-After").has_value());
    // The startup gate has timed out by now, so requests are not held any more.
    const MonotonicTime began = MonotonicClock::now();
    request = f.Request("POST", "/stream/x", "a2");
    response = co_await f.Send(0, std::move(request));
    CHECK(response.value().status == 503);
    CHECK(MonotonicClock::now() - began < 200ms);
  });
}

TEST_CASE(
    "A request that crashes backend servers is blocked at every gateway") {
  GatewayFixture f(2);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    ForEachBackend(f, [](ModelBehaviour& b) { b.silent_closes = 100; });
    for (int i = 0; i < 3; ++i) {
      const std::string id = "a" + std::to_string(i);
      HttpRequest request = f.Request("POST", "/unsafe/x", id, "poison");
      const auto response = co_await f.Send(0, std::move(request));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 502);
    }
    co_await f.Sleep(400ms);
    ForEachBackend(f, [](ModelBehaviour& b) { b.silent_closes = 0; });
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

TEST_CASE(
    "A request that crashes backend servers is blocked at a gateway that "
    "starts later") {
  GatewayFixture f(2);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    ForEachBackend(f, [](ModelBehaviour& b) { b.silent_closes = 100; });
    for (int i = 0; i < 3; ++i) {
      const std::string id = "a" + std::to_string(i);
      HttpRequest request = f.Request("POST", "/unsafe/x", id, "poison");
      (void)co_await f.Send(i % 2, std::move(request));
      // The gateways hear of it before the next one.
      co_await f.Sleep(400ms);
    }
    co_await f.Sleep(8s);
    const size_t later = f.AddGateway();
    co_await f.WaitUntilReady();
    co_await f.Sleep(2s);
    // The first one is a trial of the blocked request.
    for (int i = 0; i < 3; ++i) {
      HttpRequest request = f.Request("POST", "/unsafe/x", "a9", "poison");
      const auto response = co_await f.Send(later, std::move(request));
      REQUIRE(response.has_value());
      CHECK((response.value().status == 503 || i == 0));
    }
    CHECK(TotalRequests(f) <= 4);
  });
}

TEST_CASE(
    "A sound request that broke off in three crashes in a row is served again "
    "soon") {
  GatewayFixture f(2);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    ForEachBackend(f, [](ModelBehaviour& b) { b.silent_closes = 100; });
    for (int i = 0; i < 3; ++i) {
      const std::string id = "a" + std::to_string(i);
      HttpRequest request = f.Request("POST", "/unsafe/x", id, "sound");
      (void)co_await f.Send(0, std::move(request));
    }
    ForEachBackend(f, [](ModelBehaviour& b) { b.silent_closes = 0; });
    co_await f.Sleep(5s);
    for (size_t gateway = 0; gateway < 2; ++gateway) {
      HttpRequest request = f.Request("POST", "/unsafe/x", "a9", "sound");
      const auto response = co_await f.Send(gateway, std::move(request));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 200);
      co_await f.Sleep(500ms);
    }
  });
}

}  // namespace
}  // namespace cowslip
