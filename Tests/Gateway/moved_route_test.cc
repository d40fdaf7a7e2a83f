// What began at one service must not go on at another one to which its route
// has been moved meanwhile.
#include <string>

#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr uint64_t kEvents = 6;

// The first backend server is of service `s` and version v1, the second one of
// service `t` and `version`. All routes lead to `s`.
void DeclareTwoServices(GatewayFixture& f, const std::string& version) {
  for (size_t i = 0; i < 2; ++i) {
    f.backend(i).behaviour().events = kEvents;
  }
  nlohmann::json entry = f.Entry(1);
  entry["service"] = "t";
  entry["version"] = version;
  f.store.Put("servers", "i-1", entry);
  f.configuration["services"].push_back(
      {{"name", "t"}, {"max_connections", 100}});
  f.Publish();
}

void MoveStreamRoute(GatewayFixture& f) {
  f.configuration["version"] = 2;
  f.configuration["routes"][0]["service"] = "t";
  f.Publish();
}

awaitable<void> Begin(GatewayFixture& f, size_t gateway, size_t backend) {
  HttpRequest request = f.Request("POST", "/stream/x", "began");
  const auto response = co_await f.Send(gateway, std::move(request));
  REQUIRE(response.has_value());
  REQUIRE(response.value().status == 200);
  REQUIRE(f.RequestsAt(backend) == 1);
}

// Resumes the stream, without saying which attempt began it.
awaitable<void> CheckNotJoined(GatewayFixture& f,
                               size_t gateway,
                               size_t other_backend) {
  HttpRequest request = f.Request("POST", "/stream/x", "resumed");
  request.headers.push_back({"Last-Event-Id", "1"});
  const auto response = co_await f.Send(gateway, std::move(request));
  INFO(GatewayFixture::Describe(response));
  REQUIRE(response.has_value());
  CHECK(response.value().status == 503);
  CHECK(f.RequestsAt(other_backend) == 0);
}

TEST_CASE(
    "A stream of unknown origin does not go on at the service to which its "
    "route was moved") {
  GatewayFixture f(2);
  DeclareTwoServices(f, "v2");
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(300ms);
    co_await Begin(f, 0, 0);
    MoveStreamRoute(f);
    co_await f.Sleep(300ms);
    co_await CheckNotJoined(f, 0, 1);
  });
}

TEST_CASE(
    "A gateway with an old configuration does not resume a stream at the "
    "service from which its route was moved") {
  GatewayFixture f(2);
  DeclareTwoServices(f, "v2");
  const size_t current = f.AddGateway();
  const size_t behind = f.AddGateway(f.other_server.port());
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(300ms);
    f.other_server.SetFault(ServerFault::kDeafWatches, "config");
    MoveStreamRoute(f);
    // The configuration has reached the first gateway, and the next poll of the
    // second one is not due yet.
    co_await f.Sleep(50ms);
    co_await Begin(f, current, 1);
    co_await CheckNotJoined(f, behind, 0);
  });
}

TEST_CASE(
    "An item does not go on at the service to which its route was moved, "
    "though both have a version of the same name") {
  GatewayFixture f(2);
  DeclareTwoServices(f, "v1");
  f.backend(0).behaviour().break_after = 2;
  f.backend(0).behaviour().breaks = 1000;
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(100ms);
    HttpRequest submission = f.Submission("j", 1);
    const auto accepted = co_await f.Send(0, std::move(submission));
    REQUIRE(accepted.has_value());
    while (f.RequestsAt(0) == 0) {
      co_await f.Sleep(1ms);
    }
    f.configuration["version"] = 2;
    f.configuration["routes"][4]["service"] = "t";
    f.Publish();
    const nlohmann::json results = co_await f.ReadAllResults(0, "j");
    REQUIRE(results.size() == 1);
    REQUIRE(f.RequestsAt(1) > 0);
    const HttpRequest& first = f.backend(1).received().front();
    CHECK_FALSE(FindHeader(first.headers, "Last-Event-Id").has_value());
  });
}

}  // namespace
}  // namespace cowslip
