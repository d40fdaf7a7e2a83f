#include <string>
#include <vector>

#include "Tests/PlatformAdapter/odd_content.h"
#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

/// Number of requests, out of 8, that get status 200.
awaitable<size_t> CountServed(GatewayFixture& f,
                              size_t gateway,
                              const std::string& round) {
  size_t served = 0;
  for (int i = 0; i < 8; ++i) {
    const std::string id =
        round + std::to_string(gateway) + "-" + std::to_string(i);
    HttpRequest request = f.Request("POST", "/safe/x", id);
    const auto response = co_await f.Send(gateway, std::move(request));
    INFO(f.Describe(response));
    const bool is_served =
        response.has_value() && response.value().status == 200;
    served += is_served ? 1 : 0;
  }
  co_return served;
}

std::string PutOddEntries(GatewayFixture& f, const std::string& prefix) {
  std::string last;
  for (const std::string& odd : OddContents()) {
    last = prefix + std::to_string(f.store.version().value());
    f.store.Put("servers", last, RawContent(odd));
  }
  return last;
}

// One odd entry kept all others from being read: a gateway that started had no
// backend server, and one that ran learned of no change.
TEST_CASE("Entries that cannot be read leave the other backend servers") {
  GatewayFixture f(2);
  PutOddEntries(f, "a-");
  f.store.Put("retirements", "a", RawContent("{\"x\":1e400}"));
  f.store.Put("evacuations", "a", RawContent("{\"x\":1e400}"));
  f.AddGateway();
  // It reads the store through its peer later on.
  const size_t cut_off = f.AddGateway(f.other_server.port());
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    CHECK(co_await CountServed(f, 0, "first") == 8);
    CHECK(co_await CountServed(f, cut_off, "first") == 8);
    f.other_server.SetFault(ServerFault::kReset);
    co_await f.Sleep(500ms);
    // Between `i-0` and `i-1`, and after them.
    const std::string between = PutOddEntries(f, "i-0-");
    PutOddEntries(f, "z-");
    f.store.Put("servers", "i-0", RawContent("{\"slots\":1e400}"));
    f.store.Erase("servers", between);
    co_await f.Sleep(500ms);
    const size_t before = f.RequestsAt(0);
    CHECK(co_await CountServed(f, 0, "second") == 8);
    CHECK(co_await CountServed(f, cut_off, "second") == 8);
    CHECK(f.RequestsAt(0) == before);
    f.store.Put("servers", "i-0", f.Entry(0));
    f.store.Erase("servers", "i-1");
    co_await f.Sleep(500ms);
    const size_t at_removed = f.RequestsAt(1);
    CHECK(co_await CountServed(f, 0, "third") == 8);
    CHECK(co_await CountServed(f, cut_off, "third") == 8);
    CHECK(f.RequestsAt(1) == at_removed);
    CHECK(f.RequestsAt(0) >= before + 16);
  });
}

// The version that is in force stays so.
TEST_CASE("A configuration that cannot be read changes nothing") {
  GatewayFixture f(1);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.store.Put("config", "a", RawContent("{\"x\":\"\xff\"}"));
    f.store.Put("config", "main", RawContent("{\"version\":1e400}"));
    co_await f.Sleep(200ms);
    CHECK(co_await CountServed(f, 0, "first") == 8);
    f.configuration["version"] = 1000;
    f.configuration["routes"] = nlohmann::json::array();
    f.Publish();
    co_await f.Sleep(200ms);
    CHECK(co_await CountServed(f, 0, "second") == 0);
  });
}

}  // namespace
}  // namespace cowslip
