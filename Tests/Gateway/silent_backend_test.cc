#include "silent_backends.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr auto kMaxOverlap = SilentBackends::kMaxOverlap;
constexpr auto kForGood = SilentBackends::kForGood;

TEST_CASE("A stream is whole although each backend server falls silent twice") {
  const Duration silence = GENERATE(1300ms, 2000ms);
  SilentBackends f(4, {{2, silence}, {4, silence}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.CheckServed("/stream/x", "a");
    CHECK(f.Asked().size() <= 2);
  });
}

TEST_CASE("A stream is whole although its version was replaced meanwhile") {
  SilentBackends f(2, {{2, 1300ms}, {4, 1300ms}});
  f.SetEntryField(0, "version", "v1");
  f.SetEntryField(1, "version", "v2");
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.CheckServed("/stream/x", "a");
    CHECK(f.Asked().size() == 1);
  });
}

TEST_CASE("A stream is whole although its version is replaced in a silence") {
  SilentBackends f(3, {{2, 2000ms}, {4, 1300ms}});
  f.SetEntryField(2, "version", "v2");
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          co_await f.Sleep(600ms);
          f.SetEntryField(0, "state", "draining");
          f.SetEntryField(1, "state", "draining");
        },
        boost::asio::detached);
    co_await f.CheckServed("/stream/x", "a");
  });
}

TEST_CASE("A stream is served although each backend server is silent first") {
  const Duration silence = GENERATE(1300ms, 2000ms);
  SilentBackends f(4, {{0, silence}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.CheckServed("/stream/x", "a");
    CHECK(f.Asked().size() <= 2);
  });
}

TEST_CASE("A stream at the only backend server goes on after its silences") {
  SilentBackends f(1, {{0, 1300ms}, {2, 1300ms}, {4, 1300ms}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.CheckServed("/stream/x", "a");
    CHECK(f.RequestsAt(0) == 1);
  });
}

TEST_CASE("A backend server that hangs for good is left for another one") {
  const uint64_t hangs_before = GENERATE(0, 3);
  SilentBackends f(2, {});
  f.backend(0).behaviour().silences = {{hangs_before, kForGood}};
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    for (int i = 0; i < 4; ++i) {
      const MonotonicTime began = MonotonicClock::now();
      const std::string attempt = "a" + std::to_string(i);
      co_await f.CheckServed("/stream/x", attempt);
      CHECK(MonotonicClock::now() - began < 2s);
      co_await f.Sleep(kMaxOverlap);
      CHECK(f.AtWork().empty());
    }
  });
}

TEST_CASE("A stream that moves does not leave its first run at work") {
  SilentBackends f(3, {{2, 2000ms}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    size_t most = 0;
    bool done = false;
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          Duration overlap{0};
          while (!done) {
            co_await f.Sleep(10ms);
            overlap = f.AtWork().size() > 1 ? overlap + 10ms : 0ms;
            most = std::max(most, static_cast<size_t>(ToMillis(overlap)));
          }
        },
        boost::asio::detached);
    co_await f.CheckServed("/stream/x", "a");
    done = true;
    co_await f.Sleep(20ms);
    CHECK(most < static_cast<size_t>(ToMillis(kMaxOverlap)));
  });
}

TEST_CASE("A stream whose move is turned away goes on where it was") {
  SilentBackends f(2, {{2, 1300ms}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          co_await f.Sleep(600ms);
          for (size_t i = 0; i < 2; ++i) {
            if (!f.Asked().contains(i)) {
              f.backend(i).behaviour().turn_away = 100;
            }
          }
        },
        boost::asio::detached);
    co_await f.CheckServed("/stream/x", "a");
  });
}

TEST_CASE("A stream is whole although its gateway stops during a silence") {
  SilentBackends f(2, {{2, 1300ms}, {4, 1300ms}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          co_await f.Sleep(300ms);
          f.gateway(0).Shutdown();
        },
        boost::asio::detached);
    co_await f.CheckServed("/stream/x", "a");
  });
}

TEST_CASE("Requests that can't be resumed wait for silent backend servers") {
  SilentBackends f(2, {{0, 1300ms}, {2, 2600ms}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    for (const std::string kind : {"once", "safe", "unsafe"}) {
      co_await f.CheckServed("/" + kind + "/x", kind);
    }
    CHECK(f.RequestsAt(0) + f.RequestsAt(1) == 3);
  });
}

// Submits a job of two items, and checks that both are completed as a whole.
awaitable<void> CheckItemsCompleted(GatewayFixture& f) {
  HttpRequest submission = f.Submission("j", 2);
  const auto accepted = co_await f.Send(0, std::move(submission));
  REQUIRE(accepted.has_value());
  REQUIRE(accepted.value().status == 202);
  const nlohmann::json results = co_await f.ReadAllResults(0, "j");
  CHECK(results.size() == 2);
  for (const auto& result : results) {
    CHECK(result["state"] == "completed");
  }
}

TEST_CASE("An item is completed although its first event always takes long") {
  SilentBackends f(2, {{1, 3000ms}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await CheckItemsCompleted(f);
  });
}

TEST_CASE(
    "An item is not restarted because its version is replaced meanwhile") {
  SilentBackends f(3, {{3, 4000ms}});
  f.SetEntryField(1, "state", "draining");
  f.SetEntryField(2, "state", "draining");
  f.SetEntryField(2, "version", "v2");
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          while (f.RequestsAt(0) < 2) {
            co_await f.Sleep(10ms);
          }
          co_await f.Sleep(600ms);
          f.SetEntryField(0, "state", "draining");
          f.SetEntryField(2, "state", "ready");
        },
        boost::asio::detached);
    co_await CheckItemsCompleted(f);
    CHECK(f.RequestsAt(0) == 2);
    CHECK(f.RequestsAt(2) == 0);
  });
}

TEST_CASE("An item leaves a backend server that hangs for good") {
  SilentBackends f(2, {});
  f.backend(0).behaviour().silences = {{3, kForGood}};
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const MonotonicTime began = MonotonicClock::now();
    co_await CheckItemsCompleted(f);
    CHECK(MonotonicClock::now() - began < 10s);
  });
}

}  // namespace
}  // namespace cowslip
