#include <algorithm>
#include <set>

#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr uint64_t kEvents = 6;

// Changes one field of a backend server's entry in service discovery.
void SetEntryField(GatewayFixture& f,
                   size_t backend,
                   const std::string& field,
                   const std::string& value) {
  const std::string id = "i-" + std::to_string(backend);
  nlohmann::json entry = f.store.Find("servers", id)->content;
  entry[field] = value;
  f.store.Put("servers", id, entry);
}

std::string LastEventId(const HttpRequest& request) {
  return FindHeader(request.headers, "Last-Event-Id").value_or("");
}

// The backend servers that were asked to resume the attempt or item, or to run
// it from its beginning.
std::set<size_t> AskedFor(GatewayFixture& f,
                          size_t backends,
                          const std::string& attempt,
                          bool resume) {
  std::set<size_t> asked;
  for (size_t i = 0; i < backends; ++i) {
    for (const HttpRequest& request : f.backend(i).received()) {
      if (FindHeader(request.headers, "Attempt-Id") == attempt &&
          LastEventId(request).empty() != resume) {
        asked.insert(i);
      }
    }
  }
  return asked;
}

// Gives the request a prompt of its own, so that it prefers another backend
// server than most others do.
void SetPrompt(HttpRequest& request, const std::string& prompt) {
  request.headers.push_back({"Prompt-Prefix", prompt + ":10,own:5"});
}

// Begins a stream and leaves after its first chunk.
awaitable<void> BeginStream(GatewayFixture& f,
                            size_t gateway,
                            const std::string& attempt) {
  HttpClient client(f.context.get_executor(),
                    Endpoint{.port = f.gateway(gateway).caller_port()});
  HttpRequest request = f.Request("POST", "/stream/x", attempt);
  SetPrompt(request, attempt);
  const Duration timeout = 1s;
  auto opened = co_await client.Open(std::move(request), timeout);
  REQUIRE(opened.has_value());
  const auto chunk = co_await opened.value()->ReadSome(timeout);
  REQUIRE(chunk.has_value());
  opened.value()->Abort();
}

HttpRequest Resumption(GatewayFixture& f,
                       const std::string& attempt,
                       const std::string& resumes) {
  HttpRequest request = f.Request("POST", "/stream/x", attempt);
  SetPrompt(request, attempt);
  request.headers.push_back({"Last-Event-Id", "1"});
  if (!resumes.empty()) {
    request.headers.push_back({"Resumes", resumes});
  }
  return request;
}

// Resumes a stream at a gateway and checks that it is whole, and that it went
// on at the version that began it.
awaitable<void> ResumeAndCheck(GatewayFixture& f,
                               size_t gateway,
                               size_t backends,
                               const std::string& began) {
  const std::string resumed = "resumed-" + began;
  HttpRequest request = Resumption(f, resumed, began);
  const auto response = co_await f.Send(gateway, std::move(request));
  REQUIRE(response.has_value());
  CHECK(response.value().status == 200);
  CHECK(response.value().body == ModelServer::Body(resumed, 2, kEvents));
  const std::set<size_t> first = AskedFor(f, backends, began, false);
  const std::set<size_t> then = AskedFor(f, backends, resumed, true);
  REQUIRE(first.size() == 1);
  REQUIRE(then.size() == 1);
  CHECK((*first.begin() < 2) == (*then.begin() < 2));
}

// Backend servers 0 and 1 are of version v1, the others of v2.
void DeclareTwoVersions(GatewayFixture& f, size_t backends) {
  for (size_t i = 0; i < backends; ++i) {
    f.backend(i).behaviour().events = kEvents;
    SetEntryField(f, i, "version", i < 2 ? "v1" : "v2");
  }
}

TEST_CASE(
    "A stream that is resumed at another gateway goes on at the version that "
    "began it") {
  constexpr size_t kBackends = 6;
  GatewayFixture f(kBackends);
  DeclareTwoVersions(f, kBackends);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(600ms);
    for (int i = 0; i < 16; ++i) {
      const std::string began = "began" + std::to_string(i);
      co_await BeginStream(f, i % 2, began);
      co_await ResumeAndCheck(f, (i + 1) % 2, kBackends, began);
    }
  });
}

TEST_CASE(
    "A stream is resumed at its version by any gateway after the loss of its "
    "own") {
  constexpr size_t kBackends = 4;
  constexpr size_t kGateways = 7;
  GatewayFixture f(kBackends);
  DeclareTwoVersions(f, kBackends);
  REQUIRE(f.AddKillableGateway() == 0);
  for (size_t i = 1; i < kGateways; ++i) {
    f.AddGateway();
  }
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(600ms);
    std::vector<std::string> began;
    for (size_t i = 0; i < 24; ++i) {
      began.push_back("began" + std::to_string(i));
      co_await BeginStream(f, 0, began.back());
    }
    co_await f.Sleep(300ms);
    f.KillGateway();
    for (size_t i = 0; i < began.size(); ++i) {
      co_await ResumeAndCheck(f, 1 + i % (kGateways - 1), kBackends, began[i]);
    }
  });
}

TEST_CASE(
    "A stream whose version is unknown is refused while several versions "
    "serve") {
  constexpr size_t kBackends = 4;
  GatewayFixture f(kBackends);
  DeclareTwoVersions(f, kBackends);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(100ms);
    for (const char* resumes : {"nobody", ""}) {
      HttpRequest request = Resumption(f, "a1", resumes);
      const auto response = co_await f.Send(0, std::move(request));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 503);
    }
    CHECK(AskedFor(f, kBackends, "a1", true).empty());
  });
}

TEST_CASE(
    "A stream whose origin is unknown goes on at a service's only version") {
  constexpr size_t kBackends = 2;
  GatewayFixture f(kBackends);
  DeclareTwoVersions(f, kBackends);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpRequest request = Resumption(f, "a1", "nobody");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 200);
  });
}

TEST_CASE(
    "A broken stream is resumed within its response only at the version that "
    "began it") {
  constexpr size_t kBackends = 6;
  GatewayFixture f(kBackends);
  DeclareTwoVersions(f, kBackends);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(100ms);
    for (int i = 0; i < 12; ++i) {
      for (size_t b = 0; b < kBackends; ++b) {
        f.backend(b).behaviour().break_after = 2;
        f.backend(b).behaviour().breaks = b == 0 || b == 2 ? 1 : 0;
      }
      const std::string id = "a" + std::to_string(i);
      HttpRequest request = f.Request("POST", "/stream/x" + id, id);
      SetPrompt(request, id);
      const auto response = co_await f.Send(0, std::move(request));
      REQUIRE(response.has_value());
      const std::set<size_t> first = AskedFor(f, kBackends, id, false);
      REQUIRE(first.size() == 1);
      for (const size_t then : AskedFor(f, kBackends, id, true)) {
        CHECK((*first.begin() < 2) == (then < 2));
      }
    }
  });
}

TEST_CASE(
    "A broken stream is closed when no other backend server of its version "
    "serves") {
  GatewayFixture f(2);
  f.AddGateway();
  for (size_t i = 0; i < 2; ++i) {
    f.backend(i).behaviour() = {
        .events = kEvents, .break_after = 2, .breaks = 1};
    SetEntryField(f, i, "version", "v" + std::to_string(i));
  }
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(100ms);
    const MonotonicTime began = MonotonicClock::now();
    HttpRequest request = f.Request("POST", "/stream/x", "a1");
    const auto response = co_await f.Send(0, std::move(request));
    CHECK_FALSE(response.has_value());
    CHECK(AskedFor(f, 2, "a1", true).empty());
    // It is closed at once, not at its deadline.
    CHECK(MonotonicClock::now() - began < 500ms);
  });
}

TEST_CASE("An item is resumed at its version or restarted") {
  constexpr size_t kBackends = 4;
  GatewayFixture f(kBackends);
  DeclareTwoVersions(f, kBackends);
  for (size_t i = 0; i < kBackends; ++i) {
    f.backend(i).behaviour().break_after = 2;
    f.backend(i).behaviour().breaks = 2;
  }
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(100ms);
    constexpr size_t kItems = 10;
    HttpRequest submission = f.Submission("j", kItems);
    const auto accepted = co_await f.Send(0, std::move(submission));
    REQUIRE(accepted.has_value());
    // Version v1 is replaced while its items wait to be resumed.
    co_await f.Sleep(100ms);
    SetEntryField(f, 0, "state", "draining");
    SetEntryField(f, 1, "state", "draining");
    const nlohmann::json results = co_await f.ReadAllResults(0, "j");
    REQUIRE(results.size() == kItems);
    for (const auto& result : results) {
      CHECK(result["state"] == "completed");
      const std::string item = result["id"];
      const std::set<size_t> first = AskedFor(f, kBackends, item, false);
      for (const size_t then : AskedFor(f, kBackends, item, true)) {
        const bool same_version =
            std::any_of(first.begin(), first.end(),
                        [&](size_t i) { return (i < 2) == (then < 2); });
        CHECK(same_version);
      }
    }
  });
}

}  // namespace
}  // namespace cowslip
