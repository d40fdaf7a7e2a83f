#include <iostream>
#include <map>
#include <string>

#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

size_t TotalCalls(const MetadataServer& server, const std::string& prefix) {
  size_t total = 0;
  for (const auto& [call, count] : server.calls()) {
    total += call.starts_with(prefix) ? count : 0;
  }
  return total;
}

// At rest, a fleet may cost a tenth more than the earlier round of polls did:
// four watches of 10 s a gateway, and three polls a second for the fleet.
TEST_CASE("The calls to the store at rest do not grow") {
  const size_t count = GENERATE(2, 5, 19);
  INFO(count << " gateways");
  GatewayFixture f(1);
  for (size_t i = 0; i < count; ++i) {
    f.AddGateway();
  }
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(3s);
    const std::map<std::string, size_t> before = f.server.calls();
    const size_t all_before = TotalCalls(f.server, "");
    const size_t lists_before = TotalCalls(f.server, "list");
    constexpr int kSeconds = 20;
    co_await f.Sleep(1s * kSeconds);
    for (const auto& [call, total] : f.server.calls()) {
      const auto earlier = before.find(call);
      const size_t first = earlier == before.end() ? 0 : earlier->second;
      std::cout << count << " gateways, " << call << ": "
                << static_cast<double>(total - first) / kSeconds << "/s\n";
    }
    const double rate =
        static_cast<double>(TotalCalls(f.server, "") - all_before) / kSeconds;
    std::cout << count << " gateways, all: " << rate << "/s\n";
    CHECK(rate <= 1.1 * (3 + 0.4 * static_cast<double>(count)));
    CHECK(TotalCalls(f.server, "list") == lists_before);
  });
}

}  // namespace
}  // namespace cowslip
