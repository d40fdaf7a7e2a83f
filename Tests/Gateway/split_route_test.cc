// Batch routes that are split between services.
#include <string>

#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

// The first backend server is the only one of service `canary`, the others are
// of service `s`.
struct Fixture : GatewayFixture {
  explicit Fixture(int canary_weight, int s_weight) : GatewayFixture(3) {
    nlohmann::json entry = Entry(0);
    entry["service"] = "canary";
    store.Put("servers", "i-0", entry);
    configuration["services"].push_back(
        {{"name", "canary"}, {"max_connections", 100}});
    for (auto& route : configuration["routes"]) {
      route["traffic_split"] = {
          {{"service", "canary"}, {"weight", canary_weight}},
          {{"service", "s"}, {"weight", s_weight}}};
    }
    Publish();
    AddGateway();
  }

  awaitable<void> RunJob(std::string job, size_t items) {
    HttpRequest request = Submission(job, items);
    const auto response = co_await Send(0, std::move(request));
    INFO(Describe(response));
    REQUIRE(response.has_value());
    REQUIRE(response.value().status == 202);
    const nlohmann::json results = co_await ReadAllResults(0, std::move(job));
    CHECK(results.size() == items);
  }
  size_t RequestsAtS() { return RequestsAt(1) + RequestsAt(2); }
};

// Guards against items that wait for the first service of a split, although it
// has lost its backend servers.
TEST_CASE("Items run at the services of a split that have backend servers") {
  Fixture f(90, 10);
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.store.Erase("servers", "i-0");
    co_await f.Sleep(300ms);
    co_await f.RunJob("a", 10);
    CHECK(f.RequestsAt(0) == 0);
    CHECK(f.RequestsAtS() == 10);
  });
}

// Guards against a service of weight 0 that gets all items because it stands
// first.
TEST_CASE("A service of weight 0 gets no items") {
  Fixture f(0, 1);
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.RunJob("a", 10);
    CHECK(f.RequestsAt(0) == 0);
  });
}

TEST_CASE("Items are split by weight") {
  Fixture f(1, 1);
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.RunJob("a", 60);
    // 60 draws, each with even odds: fewer than 10 on one side come up once in
    // ten million runs.
    CHECK(f.RequestsAt(0) >= 10);
    CHECK(f.RequestsAtS() >= 10);
  });
}

TEST_CASE("A service that turns all items away keeps none of them") {
  Fixture f(90, 10);
  f.backend(0).behaviour().turn_away = 1'000'000;
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.RunJob("a", 5);
    CHECK(f.RequestsAtS() == 5);
  });
}

// Guards against online requests that are refused because the service drawn
// for them has lost its backend servers.
TEST_CASE("Online requests go to the services that have backend servers") {
  Fixture f(90, 10);
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.store.Erase("servers", "i-0");
    co_await f.Sleep(300ms);
    for (int i = 0; i < 10; ++i) {
      HttpRequest request =
          f.Request("POST", "/unsafe/x", "o" + std::to_string(i));
      const auto response = co_await f.Send(0, std::move(request));
      INFO(GatewayFixture::Describe(response));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 200);
    }
  });
}

}  // namespace
}  // namespace cowslip
