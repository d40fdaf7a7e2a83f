#include "Gateway/peer_documents.h"
#include "Jobs/job_documents.h"
#include "gateway_fixture.h"
#include "gateway_log.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

const RegionId kNorth("north");
const RegionId kSouth("south");

// One backend server in each of two regions; the route `job` and the route
// `safe` have the home region south. All gateways are in zone `z` of north
// unless a test says otherwise, so that placement prefers north.
struct Fixture : GatewayFixture {
  Fixture() : GatewayFixture(2) {
    zone_regions = {{ZoneId("z"), kNorth}, {ZoneId("y"), kSouth}};
    store.Put("servers", "i-1",
              {{"service", "s"},
               {"address", "127.0.0.1:" + std::to_string(backend(1).port())},
               {"zone", "y"},
               {"version", "v1"},
               {"slots", 8},
               {"state", "ready"},
               {"sequence", 2}});
    SetHome("south");
  }
  void SetHome(const char* home) {
    configuration["version"] = configuration["version"].get<int>() + 1;
    configuration["routes"][2]["allowed_regions"] = {home};
    configuration["routes"][4]["allowed_regions"] = {home};
    Publish();
  }
  size_t AddGatewayIn(const RegionId& home) {
    region = home;
    return AddGateway();
  }
  awaitable<int> StatusOf(size_t gateway, HttpRequest request) {
    const auto response = co_await Send(gateway, std::move(request));
    co_return response.has_value() ? response.value().status : -1;
  }
};

// Guards against a request that leaves its home regions, and against a
// restriction of requests that declare none.
TEST_CASE("Only requests with home regions are kept in them") {
  Fixture f;
  f.AddGatewayIn(kNorth);
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    for (int i = 0; i < 10; ++i) {
      HttpRequest request =
          f.Request("GET", "/safe/x", "a" + std::to_string(i));
      const int served = co_await f.StatusOf(0, std::move(request));
      CHECK(served == 200);
    }
    CHECK(f.RequestsAt(0) == 0);
    CHECK(f.RequestsAt(1) == 10);
    HttpRequest request = f.Request("POST", "/unsafe/x", "b");
    const int elsewhere = co_await f.StatusOf(0, std::move(request));
    CHECK(elsewhere == 200);
    CHECK(f.RequestsAt(0) == 1);
  });
}

TEST_CASE("A request without a backend server in its home regions is refused") {
  Fixture f;
  f.SetHome("west");
  f.AddGatewayIn(kNorth);
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpRequest request = f.Request("GET", "/safe/x", "a");
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    INFO(f.Describe(response));
    CHECK(response.value().status == 503);
    CHECK(f.RequestsAt(0) + f.RequestsAt(1) == 0);
  });
}

// Guards against a job that a gateway elsewhere accepts, or runs after the loss
// of its owner.
TEST_CASE("Jobs are accepted, claimed and run only in their home regions") {
  constexpr int kJobs = 4;
  constexpr size_t kItems = 3;
  Fixture f;
  f.AddGatewayIn(kNorth);
  f.AddGatewayIn(kSouth);
  const size_t lost = f.AddKillableGateway();
  // The items are not completed before the gateway is lost.
  f.backend(1).behaviour().pause = 250ms;
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(1500ms);
    for (int i = 0; i < kJobs; ++i) {
      const std::string job = "j" + std::to_string(i);
      HttpRequest outside = f.Submission(job, kItems);
      const int refused = co_await f.StatusOf(0, std::move(outside));
      CHECK(refused == 503);
      CHECK(f.store.Find(kJobKind, job + ".mill") == nullptr);
      HttpRequest inside = f.Submission(job, kItems);
      const int accepted = co_await f.StatusOf(lost, std::move(inside));
      CHECK(accepted == 202);
    }
    f.KillGateway();
    for (int i = 0; i < kJobs; ++i) {
      const auto results =
          co_await f.ReadAllResults(0, "j" + std::to_string(i));
      CHECK(results.size() == kItems);
    }
    CHECK(f.RequestsAt(0) == 0);
    CHECK(f.RequestsAt(1) > kJobs * kItems);
    for (int i = 0; i < kJobs; ++i) {
      const std::string name = "j" + std::to_string(i) + ".mill";
      CHECK(f.store.Find(kJobKind, name)->status.at("owner") == "gateway-1");
    }
  });
}

// Guards against a job that stays at an owner which may no longer run it.
TEST_CASE("A job moves to home regions that are declared after it began") {
  constexpr size_t kItems = 3;
  Fixture f;
  f.SetHome("north");
  f.AddGatewayIn(kNorth);
  f.AddGatewayIn(kSouth);
  f.backend(0).behaviour() = {.events = 40, .pause = 250ms};
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(1500ms);
    HttpRequest submission = f.Submission("j", kItems);
    const int accepted = co_await f.StatusOf(0, std::move(submission));
    CHECK(accepted == 202);
    co_await f.Sleep(300ms);
    CHECK(f.RequestsAt(0) == kItems);
    f.SetHome("south");
    const auto results = co_await f.ReadAllResults(1, "j");
    CHECK(results.size() == kItems);
    CHECK(f.RequestsAt(0) == kItems);
    CHECK(f.RequestsAt(1) == kItems);
  });
}

// Guards against items of a job that pass through a VM of another region.
TEST_CASE("A job goes to the store only through a gateway of the own region") {
  for (const bool has_near_peer : {false, true}) {
    Fixture f;
    f.AddGatewayIn(has_near_peer ? kSouth : kNorth);
    f.region = kSouth;
    const size_t cut_off = f.AddGateway(f.other_server.port());
    f.Run([&]() -> awaitable<void> {
      co_await f.WaitUntilReady();
      co_await f.Sleep(500ms);
      f.other_server.SetFault(ServerFault::kReset);
      HttpRequest submission = f.Submission("j", 1);
      const int status = co_await f.StatusOf(cut_off, std::move(submission));
      CHECK(status == (has_near_peer ? 202 : 503));
      CHECK((f.store.Find(kJobKind, "j.mill") != nullptr) == has_near_peer);
    });
  }
}

TEST_CASE("The entry of a gateway without a region is read") {
  const PeerRecord record{.vm = VmId("a"), .incarnation = Incarnation(3)};
  Document document{.name = DocumentName("a"), .content = EncodePeer(record)};
  CHECK_FALSE(document.content.contains("region"));
  CHECK(DecodePeer(document) == record);
  PeerRecord in_region = record;
  in_region.region = kSouth;
  document.content = EncodePeer(in_region);
  CHECK(DecodePeer(document) == in_region);
}

}  // namespace
}  // namespace cowslip
