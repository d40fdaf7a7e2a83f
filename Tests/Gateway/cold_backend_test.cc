#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <string>

#include "gateway_fixture.h"
#include "gateway_log.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

// cold_per_s x cold_overage + cold_slack.
constexpr size_t kMaxInWindow = 20;

size_t CountLogLines(const std::string& event) {
  const int log = GatewayLogDescriptor();
  std::string text(static_cast<size_t>(::lseek(log, 0, SEEK_END)), '\0');
  const ssize_t got = ::pread(log, text.data(), text.size(), 0);
  text.resize(static_cast<size_t>(std::max<ssize_t>(0, got)));
  size_t count = 0;
  const std::string name = "\"" + event + "\"";
  for (size_t at = text.find(name); at != std::string::npos;
       at = text.find(name, at + 1)) {
    ++count;
  }
  return count;
}

size_t MaxWithinSecond(const ModelServer& backend,
                       MonotonicTime since,
                       MonotonicTime until) {
  std::vector<MonotonicTime> times;
  for (const MonotonicTime time : backend.arrivals()) {
    if (time >= since && time < until) {
      times.push_back(time);
    }
  }
  size_t most = 0;
  for (size_t begin = 0, end = 0; end < times.size(); ++end) {
    while (times[end] - times[begin] >= 1s) {
      ++begin;
    }
    most = std::max(most, end - begin + 1);
  }
  return most;
}

// Guards against gateways that overload a backend server that becomes cold
// under traffic, among them one whose view of the store is out of date.
TEST_CASE("A backend server that becomes cold gets no more than it tolerates") {
  GatewayFixture f(8);
  f.cold_bounds = ColdBounds{.overage = 1.5, .slack = 5};
  f.configuration["services"][0]["cold_per_s"] = 10;
  f.configuration["services"][0]["cold_start_s"] = 3;
  f.Publish();
  for (size_t i = 0; i < 2; ++i) {
    f.AddGateway();
  }
  f.AddGateway(f.other_server.port());
  bool done = false;
  size_t served = 0;
  const auto send = [&](size_t gateway) -> awaitable<void> {
    for (size_t i = 0; !done; ++i) {
      const std::string id =
          "a" + std::to_string(gateway) + "-" + std::to_string(i);
      HttpRequest request = f.Request("POST", "/unsafe/" + id, id);
      const auto response = co_await f.Send(gateway, std::move(request));
      served += response.has_value() && response.value().status == 200 ? 1 : 0;
      co_await f.Sleep(5ms);
    }
  };
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(1200ms);
    for (size_t gateway = 0; gateway < 3; ++gateway) {
      boost::asio::co_spawn(f.context, send(gateway), boost::asio::detached);
    }
    co_await f.Sleep(500ms);
    nlohmann::json entry = f.Entry(0);
    entry["cold_remaining_ms"] = 3000;
    f.store.Put("servers", "i-0", entry);
    const MonotonicTime cold_from = MonotonicClock::now();
    co_await f.Sleep(3s);
    const MonotonicTime cold_until = MonotonicClock::now();
    done = true;
    co_await f.Sleep(300ms);
    const size_t most = MaxWithinSecond(f.backend(0), cold_from, cold_until);
    CHECK(most <= kMaxInWindow);
    CHECK(most > 0);
    CHECK(served > 200);
    CHECK(CountLogLines("backend_cold") == 3);
  });
}

TEST_CASE("A malformed cold time is logged and leaves the server in use") {
  GatewayFixture f(1);
  f.cold_bounds = ColdBounds{.overage = 1.5, .slack = 5};
  f.configuration["services"][0]["cold_per_s"] = 10;
  f.configuration["services"][0]["cold_start_s"] = 3;
  f.Publish();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(1200ms);
    for (const nlohmann::json& bad :
         {nlohmann::json(-1), nlohmann::json(0.5), nlohmann::json("x"),
          nlohmann::json(30001)}) {
      nlohmann::json entry = f.Entry(0);
      entry["cold_remaining_ms"] = bad;
      f.store.Put("servers", "i-0", entry);
      co_await f.Sleep(200ms);
    }
    HttpRequest request = f.Request("POST", "/unsafe/a", "a");
    const auto response = co_await f.Send(0, std::move(request));
    INFO(f.Describe(response));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 200);
    CHECK(CountLogLines("cold_time_rejected") == 4);
    CHECK(CountLogLines("backend_cold") == 0);
  });
}

}  // namespace
}  // namespace cowslip
