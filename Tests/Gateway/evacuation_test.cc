#include <algorithm>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Gateway/backend_attempt.h"
#include "Gateway/dispatcher.h"
#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr char kKind[] = "evacuations";
// The bound of docs/planned-changes.md, part 1.
constexpr Duration kBound = 5s;

/// \class EvacuationFixture
/// \brief Two backend servers in the zones `a` and `b`, and steady requests.
struct EvacuationFixture : GatewayFixture {
  EvacuationFixture() : GatewayFixture(2) {
    SetZone(0, "a");
    SetZone(1, "b");
    evacuate_within = kBound;
  }
  void Evacuate(const std::string& zone) {
    store.Put(kKind, zone, nlohmann::json::object());
    acknowledged = MonotonicClock::now();
  }
  awaitable<void> SendFor(Duration length) {
    const MonotonicTime end = MonotonicClock::now() + length;
    while (MonotonicClock::now() < end) {
      ++sent;
      HttpRequest request =
          Request("POST", "/once/x", "r" + std::to_string(sent));
      const auto response = co_await Send(sent % gateways, std::move(request));
      served += response.has_value() && response.value().status == 200 ? 1 : 0;
      co_await Sleep(5ms);
    }
  }
  size_t ArrivalsAfter(size_t backend_index, MonotonicTime from) {
    const auto& arrivals = backend(backend_index).arrivals();
    return static_cast<size_t>(
        std::count_if(arrivals.begin(), arrivals.end(),
                      [&](const MonotonicTime at) { return at > from; }));
  }
  bool IsCompleted(const std::string& zone) {
    const Document* document = store.Find(kKind, zone);
    return document != nullptr && document->status.is_object() &&
           document->status.value("state", "") == "completed";
  }
  awaitable<bool> WaitForCompletion(std::string zone, Duration limit) {
    const MonotonicTime end = MonotonicClock::now() + limit;
    while (!IsCompleted(zone) && MonotonicClock::now() < end) {
      co_await Sleep(10ms);
    }
    co_return IsCompleted(zone);
  }

  size_t gateways = 2;
  size_t sent = 0;
  size_t served = 0;
  MonotonicTime acknowledged;
};

// A slow answer to all calls would make the start slow too, so the fault begins
// with the entry.
void CheckBoundUnderFault(ServerFault fault,
                          bool history_lost,
                          Duration lasts) {
  EvacuationFixture f;
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.SendFor(200ms);
    CHECK(f.RequestsAt(0) > 0);
    f.server.SetFault(fault);
    f.Evacuate("a");
    if (history_lost) {
      f.store.Compact();
    }
    co_await f.SendFor(lasts);
    f.server.SetFault(ServerFault::kNone);
    co_await f.SendFor(kBound + 500ms - lasts);
    CHECK(f.ArrivalsAfter(0, f.acknowledged + kBound) == 0);
    CHECK(f.ArrivalsAfter(1, f.acknowledged + kBound) > 0);
    CHECK(f.served == f.sent);
  });
}

TEST_CASE("A zone is evacuated within the bound and used again afterwards") {
  EvacuationFixture f;
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    for (int round = 0; round < 2; ++round) {
      f.Evacuate("a");
      const bool completed = co_await f.WaitForCompletion("a", 3s);
      CHECK(completed);
      const MonotonicTime in_force = MonotonicClock::now();
      co_await f.SendFor(300ms);
      CHECK(f.ArrivalsAfter(0, in_force) == 0);
      f.store.Erase(kKind, "a");
      co_await f.SendFor(500ms);
      CHECK(f.ArrivalsAfter(0, in_force) > 0);
    }
    CHECK(f.served == f.sent);
  });
}

TEST_CASE("Silent watches do not delay an evacuation beyond its bound") {
  CheckBoundUnderFault(ServerFault::kDeafWatches, false, 5s);
}

TEST_CASE("A store that lost its history does not delay an evacuation") {
  CheckBoundUnderFault(ServerFault::kDeafWatches, true, 5s);
}

TEST_CASE("A slow store does not delay an evacuation beyond its bound") {
  CheckBoundUnderFault(ServerFault::kSlow, false, 5s);
}

TEST_CASE("An evacuation is in force by its bound after the store was down") {
  CheckBoundUnderFault(ServerFault::kReset, false, 2s);
}

// A connection attempt may take longer than it takes to learn of an entry.
TEST_CASE("A request that was placed before an evacuation is not sent after") {
  EvacuationFixture f;
  Dispatcher dispatcher(f.context, {.placement = {.self = VmId("g")}}, [] {});
  dispatcher.HandleEvent(BackendAdded{
      {.id = BackendId("i-0"),
       .service = ServiceId("s"),
       .address = {.address = "127.0.0.1", .port = f.backend(0).port()},
       .zone = ZoneId("a"),
       .slots = 8}});
  f.Run([&]() -> awaitable<void> {
    for (const bool is_evacuated : {true, false}) {
      auto lease = dispatcher.TryPlaceOnline({.service = ServiceId("s")});
      REQUIRE(lease != nullptr);
      BackendAttempt attempt(f.context, std::move(lease), AttemptId("a"));
      CHECK(dispatcher.zone_use().at(ZoneId("a")).in_flight == 1);
      EvacuatedZonesChanged evacuated;
      if (is_evacuated) {
        evacuated.zones.insert(ZoneId("a"));
      }
      dispatcher.HandleEvent(evacuated);
      HttpRequest request = f.Request("POST", "/once/x", "placed-before");
      const Duration timeout = 1s;
      const Result<void> opened =
          co_await attempt.Open(std::move(request), timeout);
      CHECK(opened.has_value() == !is_evacuated);
      CHECK(attempt.lease().was_withheld() == is_evacuated);
      CHECK(f.RequestsAt(0) == (is_evacuated ? 0 : 1));
      dispatcher.HandleEvent(EvacuatedZonesChanged{});
    }
  });
  CHECK(dispatcher.zone_use().at(ZoneId("a")).in_flight == 0);
}

TEST_CASE("A gateway that is cut off from the store learns of an evacuation") {
  EvacuationFixture f;
  f.AddGateway();
  const size_t cut_off = f.AddGateway(f.other_server.port());
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.other_server.SetFault(ServerFault::kReset);
    f.Evacuate("a");
    const bool completed = co_await f.WaitForCompletion("a", kBound);
    CHECK(completed);
    const MonotonicTime in_force = MonotonicClock::now();
    for (int i = 0; i < 20; ++i) {
      HttpRequest request =
          f.Request("POST", "/once/x", "cut" + std::to_string(i));
      const auto response = co_await f.Send(cut_off, std::move(request));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 200);
    }
    CHECK(f.ArrivalsAfter(0, in_force) == 0);
  });
}

TEST_CASE("A gateway that starts during an evacuation sends nothing there") {
  EvacuationFixture f;
  f.Evacuate("a");
  f.server.SetFault(ServerFault::kSlow, kKind);
  f.AddGateway();
  f.gateways = 1;
  f.Run([&]() -> awaitable<void> {
    co_await f.SendFor(1s);
    CHECK(f.RequestsAt(0) == 0);
    CHECK(f.RequestsAt(1) > 0);
  });
}

TEST_CASE("A gateway that can't read the evacuations serves after its gate") {
  EvacuationFixture f;
  f.server.SetFault(ServerFault::kReadsBusy, kKind);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpRequest request = f.Request("POST", "/once/x", "held");
    const auto response = co_await f.Send(0, std::move(request));
    INFO(f.Describe(response));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 200);
  });
}

TEST_CASE("With all zones evacuated requests are refused at once as not run") {
  EvacuationFixture f;
  f.AddGateway();
  f.gateways = 1;
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.Evacuate("a");
    f.Evacuate("b");
    f.Evacuate("without-servers");
    const bool completed = co_await f.WaitForCompletion("b", 3s);
    CHECK(completed);
    HttpRequest submission = f.Submission("j", 3);
    const auto accepted = co_await f.Send(0, std::move(submission));
    REQUIRE(accepted.has_value());
    const MonotonicTime asked = MonotonicClock::now();
    HttpRequest request = f.Request("POST", "/once/x", "refused");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 503);
    CHECK(nlohmann::json::parse(response.value().body)["not_run"] == true);
    CHECK(FindHeader(response.value().headers, "Retry-After").has_value());
    // Far below the latency target of 300 ms.
    CHECK(MonotonicClock::now() - asked < 100ms);
    CHECK(f.RequestsAt(0) + f.RequestsAt(1) == 0);
    f.store.Erase(kKind, "b");
    const nlohmann::json results = co_await f.ReadAllResults(0, "j");
    CHECK(results.size() == 3);
    CHECK(f.RequestsAt(0) == 0);
  });
}

TEST_CASE("A zone is not reported as empty while a request runs there") {
  EvacuationFixture f;
  f.AddGateway();
  f.AddGateway();
  // The only server at first, so the request runs there.
  f.store.Erase("servers", "i-1");
  f.backend(0).behaviour() = {.events = 20, .pause = 100ms};
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    bool ended = false;
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> {
          HttpRequest request = f.Request("POST", "/once/x", "running");
          const auto response = co_await f.Send(1, std::move(request));
          CHECK((response.has_value() && response.value().status == 200));
          CHECK_FALSE(f.IsCompleted("a"));
          ended = true;
        },
        boost::asio::detached);
    while (f.RequestsAt(0) == 0) {
      co_await f.Sleep(5ms);
    }
    f.Evacuate("a");
    const bool completed = co_await f.WaitForCompletion("a", kBound);
    CHECK(completed);
    CHECK(ended);
  });
}

TEST_CASE("The status is written when a gateway dies that knew the entry") {
  EvacuationFixture f;
  f.AddGateway();
  f.AddKillableGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.Evacuate("a");
    co_await f.Sleep(30ms);
    f.KillGateway();
    f.gateways = 1;
    // The silence of a gateway, then the time that it is waited for.
    const bool completed = co_await f.WaitForCompletion("a", kBound + 3s);
    CHECK(completed);
    const MonotonicTime in_force = MonotonicClock::now();
    co_await f.SendFor(300ms);
    CHECK(f.ArrivalsAfter(0, in_force) == 0);
  });
}

TEST_CASE("Without the setting evacuations are neither read nor obeyed") {
  EvacuationFixture f;
  f.evacuate_within.reset();
  f.AddGateway();
  f.gateways = 1;
  f.Evacuate("a");
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.SendFor(1500ms);
    CHECK(f.RequestsAt(0) > 0);
    for (const auto& [call, count] : f.server.calls()) {
      CHECK(call.find(kKind) == std::string::npos);
    }
  });
}

}  // namespace
}  // namespace cowslip
