// A gateway whose view of service discovery is old must not judge by it which
// software version began a stream.
#include <algorithm>
#include <string>

#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr uint64_t kEvents = 6;

void SetVersion(GatewayFixture& f, size_t backend, const std::string& version) {
  const std::string id = "i-" + std::to_string(backend);
  nlohmann::json entry = f.Entry(backend);
  entry["version"] = version;
  f.store.Put("servers", id, entry);
}

// Resumes a stream whose caller does not say which attempt began it.
awaitable<Result<HttpResponse>> Resume(GatewayFixture& f, size_t gateway) {
  HttpRequest request = f.Request("POST", "/stream/x", "resumed");
  request.headers.push_back({"Last-Event-Id", "1"});
  co_return co_await f.Send(gateway, std::move(request));
}

bool WasResumedAt(GatewayFixture& f, size_t backend) {
  const auto& received = f.backend(backend).received();
  return std::any_of(received.begin(), received.end(), [](const auto& request) {
    return FindHeader(request.headers, "Last-Event-Id").has_value();
  });
}

// The second backend server joins at version v2 and takes streams at the first
// gateway, while the second gateway has missed its entry. A stream of v2 that
// breaks is resumed at the second gateway.
void CheckResumeBehind(ServerFault fault) {
  GatewayFixture f(2);
  for (size_t i = 0; i < 2; ++i) {
    f.backend(i).behaviour().events = kEvents;
  }
  f.store.Erase("servers", "i-1");
  const size_t current = f.AddGateway();
  const size_t behind = f.AddGateway(f.other_server.port());
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(300ms);
    f.other_server.SetFault(fault, "servers");
    SetVersion(f, 1, "v2");
    // The entry has reached the first gateway, and the next poll of the second
    // one is not due yet.
    co_await f.Sleep(50ms);
    HttpRequest fresh = f.Request("POST", "/stream/x", "began");
    const auto began = co_await f.Send(current, std::move(fresh));
    REQUIRE(began.has_value());
    const auto response = co_await Resume(f, behind);
    INFO(GatewayFixture::Describe(response));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 503);
    CHECK_FALSE(WasResumedAt(f, 0));
    CHECK_FALSE(WasResumedAt(f, 1));
  });
}

TEST_CASE(
    "A gateway whose watch hears nothing does not take the version that it "
    "knows for the only one") {
  CheckResumeBehind(ServerFault::kDeafWatches);
}

TEST_CASE(
    "A gateway whose watch hears nothing and whose history is gone does not "
    "take the version that it knows for the only one") {
  CheckResumeBehind(ServerFault::kDeafWithoutHistory);
}

TEST_CASE(
    "A gateway that is cut off from the store and from all others refuses to "
    "resume a stream of unknown origin, at once") {
  GatewayFixture f(1);
  f.backend(0).behaviour().events = kEvents;
  f.AddGateway(f.other_server.port());
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(300ms);
    f.other_server.SetFault(ServerFault::kReset);
    const MonotonicTime sent = MonotonicClock::now();
    const auto response = co_await Resume(f, 0);
    INFO(GatewayFixture::Describe(response));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 503);
    CHECK_FALSE(WasResumedAt(f, 0));
    // The route's latency target.
    CHECK(MonotonicClock::now() - sent < 300ms);
  });
}

TEST_CASE(
    "A stream of unknown origin goes on at a service's only version once the "
    "view is known to be current") {
  GatewayFixture f(2);
  for (size_t i = 0; i < 2; ++i) {
    f.backend(i).behaviour().events = kEvents;
  }
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(300ms);
    const size_t before = f.server.calls().at("watch servers");
    for (size_t i = 0; i < 8; ++i) {
      const auto response = co_await Resume(f, i % 2);
      INFO(GatewayFixture::Describe(response));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 200);
      CHECK(response.value().body == ModelServer::Body("resumed", 2, kEvents));
    }
    // At most one call for each resumption, and the polls meanwhile.
    CHECK(f.server.calls().at("watch servers") - before <= 8 + 4);
  });
}

TEST_CASE("Resumptions that come together share reads of the store") {
  GatewayFixture f(1);
  f.backend(0).behaviour().events = kEvents;
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(300ms);
    for (int round = 0; round < 3; ++round) {
      constexpr size_t kCallers = 40;
      size_t ended = 0;
      const size_t before = f.server.calls().at("watch servers");
      for (size_t i = 0; i < kCallers; ++i) {
        boost::asio::co_spawn(
            f.context,
            [&]() -> awaitable<void> {
              const auto response = co_await Resume(f, 0);
              ended += response.has_value();
            },
            boost::asio::detached);
      }
      co_await f.Sleep(400ms);
      CHECK(ended == kCallers);
      // A read each 50 ms, and the polls meanwhile.
      CHECK(f.server.calls().at("watch servers") - before <= 8 + 2);
      co_await f.Sleep(1s);
    }
  });
}

}  // namespace
}  // namespace cowslip
