#include <algorithm>

#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr double kLimit = 2;
constexpr Duration kWindow = 4s;
// What a backend server that names kLimit may get within kWindow.
constexpr size_t kMaxInWindow = 4 * 2 * 3 / 2 + 5;
// When the limit has to be kept after it was first named.
constexpr Duration kNoticeTime = 3s;

// The most requests that arrived within kWindow from `since` on.
size_t MaxInWindow(const ModelServer& backend, MonotonicTime since) {
  std::vector<MonotonicTime> times;
  for (const MonotonicTime time : backend.arrivals()) {
    if (time >= since) {
      times.push_back(time);
    }
  }
  size_t most = 0;
  for (size_t begin = 0, end = 0; end < times.size(); ++end) {
    while (times[end] - times[begin] > kWindow) {
      ++begin;
    }
    most = std::max(most, end - begin + 1);
  }
  return most;
}

// Several gateways under constant load; `limited` backend servers name a limit.
class LimitedFleet {
 public:
  LimitedFleet(size_t gateways, size_t backends, size_t limited)
      : f(backends), m_limited(limited) {
    for (size_t i = 0; i < gateways; ++i) {
      f.AddGateway();
    }
    SetLimit(kLimit);
  }

  void SetLimit(double limit) {
    for (size_t i = 0; i < m_limited; ++i) {
      f.backend(i).behaviour().limit = limit;
    }
  }

  awaitable<void> SendRequests(size_t gateway, std::string path) {
    while (!m_done) {
      const std::string id = "a" + std::to_string(++m_sent);
      HttpRequest request = f.Request("POST", path + id, id);
      const auto response = co_await f.Send(gateway, std::move(request));
      const bool ok = response.has_value() && response.value().status == 200;
      ++(ok ? m_served : m_refused);
      co_await f.Sleep(20ms);
    }
  }
  void StartTraffic(size_t gateways) {
    for (size_t i = 0; i < gateways; ++i) {
      for (const char* path : {"/stream/", "/unsafe/"}) {
        boost::asio::co_spawn(f.context, SendRequests(i, path),
                              boost::asio::detached);
      }
    }
  }
  void Stop() { m_done = true; }
  size_t served() const { return m_served; }
  size_t refused() const { return m_refused; }

  GatewayFixture f;

 private:
  const size_t m_limited;
  bool m_done = false;
  size_t m_sent = 0;
  size_t m_served = 0;
  size_t m_refused = 0;
};

TEST_CASE(
    "A backend server gets no more requests than the limit that it names, from "
    "all gateways together") {
  LimitedFleet fleet(4, 4, 2);
  fleet.f.Run([&]() -> awaitable<void> {
    co_await fleet.f.WaitUntilReady();
    fleet.StartTraffic(4);
    const MonotonicTime began = MonotonicClock::now();
    co_await fleet.f.Sleep(2s);
    // A job beside it: items and their repetitions are requests, too.
    HttpRequest submission = fleet.f.Submission("j", 40);
    const auto accepted = co_await fleet.f.Send(0, std::move(submission));
    REQUIRE(accepted.has_value());
    CHECK(accepted.value().status == 202);
    // A gateway that starts meanwhile has to keep the limit, too.
    const size_t added = fleet.f.AddGateway();
    co_await fleet.f.WaitUntilReady();
    boost::asio::co_spawn(fleet.f.context,
                          fleet.SendRequests(added, "/stream/"),
                          boost::asio::detached);
    co_await fleet.f.Sleep(kNoticeTime + kWindow + 2s);
    fleet.Stop();
    co_await fleet.f.Sleep(100ms);
    for (size_t i = 0; i < 2; ++i) {
      INFO("backend server " << i);
      CHECK(MaxInWindow(fleet.f.backend(i), began + kNoticeTime) <=
            kMaxInWindow);
      // The limit is used, not avoided.
      CHECK(fleet.f.RequestsAt(i) >= 8);
    }
    CHECK(fleet.served() > 20 * fleet.refused());
  });
}

TEST_CASE("What exceeds the limits of all backend servers is refused at once") {
  LimitedFleet fleet(2, 2, 2);
  fleet.f.Run([&]() -> awaitable<void> {
    co_await fleet.f.WaitUntilReady();
    fleet.StartTraffic(2);
    co_await fleet.f.Sleep(kNoticeTime);
    const MonotonicTime since = MonotonicClock::now();
    co_await fleet.f.Sleep(kWindow + 1s);
    fleet.Stop();
    for (size_t i = 0; i < 2; ++i) {
      CHECK(MaxInWindow(fleet.f.backend(i), since) <= kMaxInWindow);
    }
    HttpRequest request = fleet.f.Request("POST", "/stream/last", "last");
    const MonotonicTime began = MonotonicClock::now();
    const auto response = co_await fleet.f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    if (response.value().status == 503) {
      CHECK(FindHeader(response.value().headers, "Retry-After").has_value());
      CHECK(MonotonicClock::now() - began < 200ms);
    }
    CHECK(fleet.refused() > fleet.served());
  });
}

TEST_CASE("A limit ends with the first answer that does not name it") {
  LimitedFleet fleet(2, 1, 1);
  fleet.f.Run([&]() -> awaitable<void> {
    co_await fleet.f.WaitUntilReady();
    fleet.StartTraffic(2);
    co_await fleet.f.Sleep(2s);
    fleet.SetLimit(0);
    co_await fleet.f.Sleep(2s);
    const size_t before = fleet.f.RequestsAt(0);
    co_await fleet.f.Sleep(2s);
    fleet.Stop();
    CHECK(fleet.f.RequestsAt(0) - before > 50);
  });
}

}  // namespace
}  // namespace cowslip
