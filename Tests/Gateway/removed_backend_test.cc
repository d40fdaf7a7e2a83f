#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr Duration kDeadline = 1s;
constexpr Duration kMargin = 200ms;

TEST_CASE("Requests at a backend server whose entry is removed are answered") {
  GatewayFixture f(0);
  // It takes requests and never answers.
  const tcp::acceptor silent(
      f.context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const std::string address =
      "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  f.store.Put("servers", "i-9",
              {{"service", "s"},
               {"address", address},
               {"zone", "z"},
               {"version", "v1"},
               {"slots", 8},
               {"state", "ready"},
               {"sequence", 1}});
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const std::vector<std::string> paths = {"/stream/", "/once/", "/safe/",
                                            "/unsafe/"};
    std::vector<int> statuses;
    std::vector<Duration> times;
    const MonotonicTime begin = MonotonicClock::now();
    for (const std::string& path : paths) {
      boost::asio::co_spawn(
          f.context,
          [&, path]() -> awaitable<void> {
            HttpClient client(f.context.get_executor(),
                              Endpoint{.port = f.gateway(0).caller_port()});
            HttpRequest request = f.Request("POST", path + "x", "id" + path);
            request.headers.back().value = std::to_string(ToMillis(kDeadline));
            const Duration timeout = 10s;
            const auto response =
                co_await client.Send(std::move(request), timeout);
            statuses.push_back(response.has_value() ? response.value().status
                                                    : 0);
            times.push_back(MonotonicClock::now() - begin);
          },
          boost::asio::detached);
    }
    co_await f.Sleep(200ms);
    f.store.Erase("servers", "i-9");
    for (int i = 0; i < 300 && statuses.size() < paths.size(); ++i) {
      co_await f.Sleep(10ms);
    }
    CHECK(statuses == std::vector<int>(paths.size(), 504));
    for (const Duration time : times) {
      CHECK(time < kDeadline + kMargin);
    }
  });
}

}  // namespace
}  // namespace cowslip
