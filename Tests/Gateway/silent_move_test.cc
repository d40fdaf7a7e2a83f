#include <array>
#include <thread>

#include <boost/asio/ip/tcp.hpp>

#include "Gateway/backend_attempt.h"
#include "Gateway/dispatcher.h"
#include "Gateway/stream_move.h"
#include "silent_backends.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr auto kMaxOverlap = SilentBackends::kMaxOverlap;
constexpr auto kForGood = SilentBackends::kForGood;

// A silence at the head, and one between events.
constexpr std::array<uint64_t, 2> kSilenceBefore = {0, 3};

TEST_CASE("A silence ends no stream because all others turn it away") {
  const uint64_t before = GENERATE(from_range(kSilenceBefore));
  const int max_attempts = GENERATE(1, 2);
  SilentBackends f(3, {{before, 2000ms}});
  f.SetMaxAttempts(max_attempts);
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.ChangeOthersOnceAsked([&](size_t) {
      // The slot of the first one would be taken as well.
      for (size_t i = 0; i < 3; ++i) {
        f.backend(i).behaviour().turn_away = 100;
      }
    });
    co_await f.CheckServed("/stream/x", "a");
    // The route allows no run beside the silent one.
    CHECK((max_attempts > 1 || f.Asked().size() == 1));
  });
}

TEST_CASE("A silence ends no stream because others are not reached") {
  const uint64_t before = GENERATE(from_range(kSilenceBefore));
  SilentBackends f(2, {{before, 2000ms}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.ChangeOthersOnceAsked([&](size_t other) {
      f.backend(1 - other).behaviour().turn_away = 100;
      f.SetEntryField(other, "address", "127.0.0.1:1");
    });
    co_await f.CheckServed("/stream/x", "a");
  });
}

// How another backend server fails before its first event.
enum class Failure { kReset, kBreaksAtHead, kStatus500, kWrongId };

TEST_CASE("A silence ends no stream because another backend server fails") {
  const uint64_t before = GENERATE(from_range(kSilenceBefore));
  const Failure failure = GENERATE(Failure::kReset, Failure::kBreaksAtHead,
                                   Failure::kStatus500, Failure::kWrongId);
  SilentBackends f(3, {{before, 2000ms}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.ChangeOthersOnceAsked([&](size_t other) {
      ModelBehaviour& b = f.backend(other).behaviour();
      b.silences.clear();
      b.silent_closes = failure == Failure::kReset ? 100 : 0;
      b.head_breaks = failure == Failure::kBreaksAtHead ? 100 : 0;
      b.fail_status = 500;
      b.fails = failure == Failure::kStatus500 ? 100 : 0;
      b.wrong_ids = failure == Failure::kWrongId ? 100 : 0;
    });
    co_await f.CheckServed("/stream/x", "a");
    // No more runs than the route's attempts.
    CHECK(f.Asked().size() == 2);
  });
}

TEST_CASE("A silent backend server that goes on first keeps its stream") {
  const uint64_t before = GENERATE(from_range(kSilenceBefore));
  SilentBackends f(2, {{before, 1300ms}});
  for (size_t i = 0; i < 2; ++i) {
    f.SetEntryField(i, "slots", 1);
    // The stream still runs when the other one would answer.
    f.backend(i).behaviour().pause = 60ms;
  }
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.ChangeOthersOnceAsked([&](size_t other) {
      f.backend(other).behaviour().silences = {{before, 220ms}};
    });
    bool done = false;
    Duration overlap{0};
    f.MeasureOverlap(done, overlap);
    co_await f.CheckServed("/stream/x", "a");
    CHECK(f.Asked().size() == 2);
    co_await f.Sleep(100ms);
    CHECK(f.AtWork().empty());
    done = true;
    co_await f.Sleep(20ms);
    CHECK(overlap < kMaxOverlap);
    // The slots of both are free again.
    for (size_t i = 0; i < 2; ++i) {
      f.backend(i).behaviour().silences = {{1, 300ms}};
      f.backend(i).behaviour().pause = 2ms;
    }
    size_t served = 0;
    for (size_t i = 0; i < 2; ++i) {
      boost::asio::co_spawn(
          f.context,
          [&f, &served, i]() -> awaitable<void> {
            co_await f.CheckServed("/stream/x", "b" + std::to_string(i));
            ++served;
          },
          boost::asio::detached);
    }
    co_await f.Sleep(150ms);
    CHECK(f.AtWork().size() == 2);
    co_await f.Sleep(600ms);
    CHECK(served == 2);
  });
}

TEST_CASE("A stream that moves to a slow start leaves its first run in time") {
  const uint64_t before = GENERATE(from_range(kSilenceBefore));
  SilentBackends f(2, {{before, kForGood}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.ChangeOthersOnceAsked([&](size_t other) {
      f.backend(other).behaviour().silences = {{before, 700ms}};
    });
    bool done = false;
    Duration overlap{0};
    f.MeasureOverlap(done, overlap);
    co_await f.CheckServed("/stream/x", "a");
    done = true;
    co_await f.Sleep(20ms);
    CHECK(overlap < kMaxOverlap);
    CHECK(f.AtWork().empty());
  });
}

TEST_CASE("A stream whose silent backend server crashes goes on elsewhere") {
  const uint64_t before = GENERATE(from_range(kSilenceBefore));
  SilentBackends f(2, {{before, 1300ms}});
  for (size_t i = 0; i < 2; ++i) {
    f.backend(i).behaviour().silence_breaks = 1;
  }
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.ChangeOthersOnceAsked([&](size_t other) {
      f.backend(other).behaviour().silence_breaks = 0;
      f.backend(other).behaviour().silences = {{before, 200ms}};
    });
    co_await f.CheckServed("/stream/x", "a");
    CHECK(f.RequestsAt(0) == 1);
    CHECK(f.RequestsAt(1) == 1);
  });
}

TEST_CASE("A stream that ends while it moves ends both runs") {
  const uint64_t before = GENERATE(from_range(kSilenceBefore));
  const bool caller_leaves = GENERATE(true, false);
  SilentBackends f(2, {{before, kForGood}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpClient client(f.context.get_executor(),
                      Endpoint{.port = f.gateway(0).caller_port()});
    const auto abort = std::make_shared<HttpAbort>();
    std::unique_ptr<HttpResponseStream> stream;
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          HttpRequest request = SilentBackends::SlowRequest(
              "/stream/x", "a", caller_leaves ? "9000" : "1350");
          const Duration timeout = 9s;
          auto opened =
              co_await client.Open(std::move(request), timeout, abort);
          if (opened.has_value()) {
            stream = std::move(opened.value());
          }
        },
        boost::asio::detached);
    while (f.Asked().size() < 2) {
      co_await f.Sleep(10ms);
    }
    CHECK(f.AtWork().size() == 2);
    if (caller_leaves) {
      if (stream != nullptr) {
        stream->Abort();
      }
      abort->Abort();
    }
    // Before the longest overlap is over.
    co_await f.Sleep(caller_leaves ? 100ms : 200ms);
    CHECK(f.AtWork().empty());
  });
}

TEST_CASE("A stream that is offered elsewhere in vain may move again") {
  SilentBackends f(3, {{3, kForGood}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    int others = 0;
    f.ChangeOthersOnceAsked([&](size_t other) {
      f.backend(other).behaviour().silences.clear();
      f.backend(other).behaviour().turn_away = others++ == 0 ? 0 : 100;
    });
    co_await f.CheckServed("/stream/x", "a");
  });
}

TEST_CASE("A stream that stays where it was moves in its next silence") {
  SilentBackends f(2, {{2, 1500ms}, {5, kForGood}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    size_t first = 0;
    f.ChangeOthersOnceAsked([&](size_t other) {
      first = 1 - other;
      f.backend(other).behaviour().silences.clear();
      f.backend(other).behaviour().turn_away = 1;
    });
    co_await f.CheckServed("/stream/x", "a");
    CHECK(f.RequestsAt(first) == 1);
    CHECK(f.RequestsAt(1 - first) == 2);
  });
}

// The data of both arrives in one pass of the event loop.
TEST_CASE("Streams are whole when both backend servers go on at once") {
  constexpr size_t kStreams = 24;
  SilentBackends f(2, {{3, kForGood}});
  f.SetEntryField(0, "slots", 2 * kStreams);
  f.SetEntryField(1, "slots", 2 * kStreams);
  f.SetEntryField(1, "state", "draining");
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const auto end = std::chrono::steady_clock::now() + 1350ms;
    f.backend(0).behaviour().silences_end = end;
    f.backend(1).behaviour().silences_end = end;
    size_t ended = 0;
    for (size_t i = 0; i < kStreams; ++i) {
      boost::asio::co_spawn(
          f.context,
          [&f, &ended, i]() -> awaitable<void> {
            co_await f.CheckServed("/stream/x", "a" + std::to_string(i));
            ++ended;
          },
          boost::asio::detached);
    }
    co_await f.Sleep(400ms);
    f.SetEntryField(1, "state", "ready");
    while (ended < kStreams) {
      co_await f.Sleep(10ms);
    }
    CHECK(f.RequestsAt(0) == kStreams);
    CHECK(f.RequestsAt(1) > 0);
    co_await f.Sleep(100ms);
    CHECK(f.AtWork().empty());
  });
}

// Each offer takes a place from other requests.
TEST_CASE("A silence does not offer its stream at short intervals") {
  SilentBackends f(8, {{3, 3000ms}});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.ChangeOthersOnceAsked([&](size_t) {
      for (size_t i = 0; i < 8; ++i) {
        f.backend(i).behaviour().turn_away = 100;
      }
    });
    co_await f.CheckServed("/stream/x", "a");
    CHECK(f.Asked().size() >= 3);
    CHECK(f.Asked().size() <= 4);
  });
}

// It may crash the other backend server as well.
TEST_CASE("A stream with a suspected prompt part stays where it is silent") {
  constexpr size_t kBackends = 4;
  SilentBackends f(kBackends, {});
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const auto send =
        [&f](std::string attempt) -> awaitable<Result<HttpResponse>> {
      HttpRequest request = SilentBackends::SlowRequest("/stream/x", attempt);
      request.headers.push_back(
          {"Prompt-Prefix", "bad:100,own" + attempt + ":50"});
      request.body = attempt;
      co_return co_await f.Send(0, std::move(request));
    };
    const auto requests = [&f] {
      size_t count = 0;
      for (size_t i = 0; i < kBackends; ++i) {
        count += f.RequestsAt(i);
      }
      return count;
    };
    // Crashes that come closer together have a common cause.
    for (size_t i = 0; i < kBackends; ++i) {
      f.backend(i).behaviour().silences = {{0, 50ms}};
      f.backend(i).behaviour().silence_breaks = 100;
    }
    for (int i = 0; i < 10 && f.Asked().size() < kBackends; ++i) {
      (void)co_await send("a" + std::to_string(i));
    }
    for (size_t i = 0; i < kBackends; ++i) {
      f.backend(i).behaviour().silences = {{3, 1700ms}};
      f.backend(i).behaviour().silence_breaks = 0;
    }
    const size_t before = requests();
    const auto blocked = co_await send("b");
    REQUIRE(blocked.has_value());
    CHECK(blocked.value().status == 503);
    CHECK(requests() == before);
    co_await f.Sleep(1200ms);
    const auto tried = co_await send("c");
    REQUIRE(tried.has_value());
    CHECK(tried.value().body ==
          ModelServer::Body("c", 1, SilentBackends::kEvents));
    CHECK(requests() == before + 1);
  });
}

TEST_CASE("A move that is given up before its call begins sends nothing") {
  boost::asio::io_context io;
  Dispatcher dispatcher(io, DispatcherOptions{.placement = {.self = VmId("v")}},
                        [] {});
  dispatcher.HandleEvent(BackendAdded{BackendRecord{.id = BackendId("b"),
                                                    .service = ServiceId("s"),
                                                    .address = {.port = 1},
                                                    .slots = 4}});
  auto lease =
      dispatcher.TryPlaceOnline(PlacementQuery{.service = ServiceId("s")});
  REQUIRE(lease != nullptr);
  int decisions = 0;
  auto move = std::make_unique<StreamMove>(
      io,
      std::make_shared<BackendAttempt>(io, std::move(lease), AttemptId("a")),
      StreamMoveOptions{}, [&decisions](const MoveOutcome&) { ++decisions; });
  move->Start(HttpRequest{}, 1s);
  move.reset();
  io.run_for(1s);
  CHECK(decisions == 0);
}

// The data that arrived meanwhile is read after the timers.
TEST_CASE("A gateway that stood still does not take streams for silent") {
  constexpr size_t kStreams = 24;
  SilentBackends f(2, {});
  for (size_t i = 0; i < 2; ++i) {
    f.SetEntryField(i, "slots", 4 * kStreams);
    f.backend(i).behaviour().events = 400;
    f.backend(i).behaviour().pause = 3ms;
  }
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    size_t ended = 0;
    for (size_t i = 0; i < kStreams; ++i) {
      boost::asio::co_spawn(
          f.context,
          [&f, &ended, i]() -> awaitable<void> {
            HttpRequest request = SilentBackends::SlowRequest(
                "/stream/x", "a" + std::to_string(i));
            const auto response = co_await f.Send(0, std::move(request));
            CHECK(response.has_value());
            ++ended;
          },
          boost::asio::detached);
    }
    for (int round = 0; round < 3; ++round) {
      co_await f.Sleep(200ms);
      std::this_thread::sleep_for(8ms);
      // The backend servers write in this pass of the event loop.
      co_await f.Sleep(0ms);
      std::this_thread::sleep_for(1300ms);
    }
    while (ended < kStreams) {
      co_await f.Sleep(10ms);
    }
    CHECK(f.RequestsAt(0) + f.RequestsAt(1) == kStreams);
  });
}

TEST_CASE("An offer that was never sent costs a stream no attempt") {
  using boost::asio::ip::tcp;
  SilentBackends f(2, {{2, 1300ms}, {4, 100ms}});
  // Connections to it hang: its queue is full.
  tcp::acceptor full(f.context);
  full.open(tcp::v4());
  full.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  full.listen(0);
  tcp::socket first(f.context);
  first.connect(full.local_endpoint());
  const std::string full_address =
      "127.0.0.1:" + std::to_string(full.local_endpoint().port());
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    size_t other = 0;
    std::string address;
    bool was_asked = false;
    f.ChangeOthersOnceAsked([&](size_t changed) {
      other = changed;
      const std::string id = "i-" + std::to_string(other);
      address =
          f.store.Find("servers", id)->content["address"].get<std::string>();
      f.SetEntryField(other, "address", full_address);
      was_asked = true;
    });
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          while (!was_asked) {
            co_await f.Sleep(5ms);
          }
          co_await f.Sleep(1300ms);
          // The silent one has gone on, and breaks off in its next silence.
          f.backend(1 - other).behaviour().silence_breaks = 1;
          f.SetEntryField(other, "address", address);
        },
        boost::asio::detached);
    co_await f.CheckServed("/stream/x", "a");
  });
}

}  // namespace
}  // namespace cowslip
