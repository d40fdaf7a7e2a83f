// Calls about jobs share their paths with the routes that operators declare.
#include <string>
#include <utility>
#include <vector>

#include "Base/sha256.h"
#include "Jobs/job_documents.h"
#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr size_t kItems = 2;
constexpr size_t kJobRoute = 4;

nlohmann::json RouteWithPrefix(const GatewayFixture& f,
                               const std::string& host,
                               const std::string& prefix) {
  nlohmann::json route = f.configuration["routes"][2];
  route["name"] = "rest";
  route["host"] = host;
  route["path_prefix"] = prefix;
  return route;
}

awaitable<void> PublishNext(GatewayFixture& f) {
  f.configuration["version"] = 2;
  f.Publish();
  co_await f.Sleep(300ms);
}

// Sends the call to both gateways. GCC 12 may run a co_await within CHECK()
// twice, so the checks are in here.
awaitable<void> CheckCall(GatewayFixture& f,
                          int status,
                          std::string method,
                          std::string target,
                          std::string host = "h.example") {
  for (const size_t gateway : {0, 1}) {
    HttpRequest request = f.Request(method, target, "call");
    request.headers[0].value = host;
    const auto response = co_await f.Send(gateway, std::move(request));
    INFO(method << " " << host << target << " at gateway " << gateway << ": "
                << GatewayFixture::Describe(response));
    REQUIRE(response.has_value());
    CHECK(response.value().status == status);
  }
}

awaitable<void> RunJob(GatewayFixture& f) {
  HttpRequest submission = f.Submission("j1", kItems);
  const auto accepted = co_await f.Send(0, std::move(submission));
  REQUIRE(accepted.has_value());
  REQUIRE(accepted.value().status == 202);
  const nlohmann::json results = co_await f.ReadAllResults(1, "j1");
  REQUIRE(results.size() == kItems);
}

size_t Runs(GatewayFixture& f) {
  return f.RequestsAt(0) + f.RequestsAt(1);
}

// All calls about the job are answered by the gateways.
awaitable<void> CheckServed(GatewayFixture& f) {
  const size_t runs = Runs(f);
  const nlohmann::json results = co_await f.ReadAllResults(0, "j1");
  CHECK(results.size() == kItems);
  co_await CheckCall(f, 200, "GET", "/lots/j1?after=1");
  co_await CheckCall(f, 200, "GET", "/items/j1?id=j1-0");
  co_await CheckCall(f, 404, "GET", "/lots/none");
  co_await CheckCall(f, 200, "DELETE", "/lots/j1");
  CHECK(Runs(f) == runs);
}

template <class Body>
void RunGateways(Body body) {
  GatewayFixture f(2);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await body(f);
  });
}

// Guards against jobs that can't be read or ended because a route begins the
// paths of the calls about them.
TEST_CASE("A route that begins the paths of job calls does not hide jobs") {
  for (const char* prefix : {"/", "/lots/", "/items/"}) {
    INFO("prefix " << prefix);
    RunGateways([&](GatewayFixture& f) -> awaitable<void> {
      co_await RunJob(f);
      f.configuration["routes"].push_back(
          RouteWithPrefix(f, "h.example", prefix));
      co_await PublishNext(f);
      co_await CheckServed(f);
    });
  }
}

TEST_CASE("A job of a route that was removed is not hidden by another route") {
  RunGateways([](GatewayFixture& f) -> awaitable<void> {
    co_await RunJob(f);
    f.configuration["routes"][kJobRoute] = RouteWithPrefix(f, "h.example", "/");
    co_await PublishNext(f);
    co_await CheckServed(f);
  });
}

TEST_CASE("Jobs are found if their own route begins the paths of job calls") {
  GatewayFixture f(2);
  f.configuration["routes"][kJobRoute]["path_prefix"] = "/";
  f.Publish();
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await RunJob(f);
    co_await CheckServed(f);
  });
}

TEST_CASE("A route gets the paths of job calls where there are no jobs") {
  RunGateways([](GatewayFixture& f) -> awaitable<void> {
    co_await RunJob(f);
    f.configuration["routes"].push_back(
        RouteWithPrefix(f, "other.example", "/"));
    co_await PublishNext(f);
    const size_t runs = Runs(f);
    co_await CheckCall(f, 200, "GET", "/lots/j1", "other.example");
    co_await CheckCall(f, 200, "GET", "/items/j1?id=j1-0", "other.example");
    CHECK(Runs(f) == runs + 4);
  });
}

TEST_CASE("A route gets what is no call about a job") {
  RunGateways([](GatewayFixture& f) -> awaitable<void> {
    f.configuration["routes"].push_back(RouteWithPrefix(f, "h.example", "/"));
    co_await PublishNext(f);
    const size_t runs = Runs(f);
    co_await CheckCall(f, 200, "POST", "/lots/j1");
    co_await CheckCall(f, 200, "GET", "/lots/j1/more");
    co_await CheckCall(f, 200, "GET", "/items/j1");
    CHECK(Runs(f) == runs + 6);
  });
}

// Guards against a host that some readers of it know by another spelling, and
// others don't.
TEST_CASE("A host is the same in other letters, with a port and a last dot") {
  for (const char* host :
       {"H.Example", "h.example:8689", "h.example.", "H.EXAMPLE.:8689"}) {
    INFO("host " << host);
    RunGateways([&](GatewayFixture& f) -> awaitable<void> {
      HttpRequest submission = f.Submission("j1", kItems);
      submission.headers[0].value = host;
      const auto accepted = co_await f.Send(0, std::move(submission));
      REQUIRE(accepted.has_value());
      CHECK(accepted.value().status == 202);
      const nlohmann::json results = co_await f.ReadAllResults(1, "j1");
      CHECK(results.size() == kItems);
      f.configuration["routes"][kJobRoute] =
          RouteWithPrefix(f, "h.example", "/");
      co_await PublishNext(f);
      const size_t runs = Runs(f);
      co_await CheckCall(f, 200, "GET", "/lots/j1", host);
      co_await CheckCall(f, 200, "GET", "/lots/j1");
      co_await CheckCall(f, 200, "DELETE", "/lots/j1", host);
      CHECK(Runs(f) == runs);
      co_await CheckCall(f, 200, "GET", "/x", host);
      CHECK(Runs(f) == runs + 2);
    });
  }
}

// Guards against items that run under the spelling of the host that the client
// of the job has used.
TEST_CASE("Items run with the host of the route") {
  RunGateways([&](GatewayFixture& f) -> awaitable<void> {
    HttpRequest submission = f.Submission("j1", kItems);
    submission.headers[0].value = "H.EXAMPLE:8689";
    const auto accepted = co_await f.Send(0, std::move(submission));
    REQUIRE(accepted.has_value());
    REQUIRE(accepted.value().status == 202);
    const nlohmann::json results = co_await f.ReadAllResults(1, "j1");
    REQUIRE(results.size() == kItems);
    for (const size_t backend : {0, 1}) {
      for (const auto& run : f.backend(backend).received()) {
        CHECK(FindHeader(run.headers, "Host") == "h.example");
      }
    }
  });
}

// Submits the job once more, and returns the status.
awaitable<int> Repeat(GatewayFixture& f, size_t gateway) {
  HttpRequest submission = f.Submission("j1", kItems);
  const auto response = co_await f.Send(gateway, std::move(submission));
  INFO(GatewayFixture::Describe(response));
  REQUIRE(response.has_value());
  co_return response.value().status;
}

// Guards against a repeated submission that is rejected or run as an online
// request, because the route that accepted the job is gone.
TEST_CASE("A repeated submission finds its job without the route of the job") {
  for (const bool has_other_route : {true, false}) {
    RunGateways([&](GatewayFixture& f) -> awaitable<void> {
      co_await RunJob(f);
      if (has_other_route) {
        f.configuration["routes"][kJobRoute] =
            RouteWithPrefix(f, "h.example", "/");
      } else {
        f.configuration["routes"].erase(kJobRoute);
      }
      co_await PublishNext(f);
      const size_t runs = Runs(f);
      for (const size_t gateway : {0, 1}) {
        const int status = co_await Repeat(f, gateway);
        CHECK(status == 202);
      }
      CHECK(Runs(f) == runs);
      // The id alone is no proof.
      HttpRequest other = f.Request("POST", "/job/submit", "j1", "other body");
      const auto response = co_await f.Send(0, std::move(other));
      REQUIRE(response.has_value());
      CHECK(response.value().status == (has_other_route ? 200 : 404));
    });
  }
}

// Guards against the same at a gateway that has just started.
TEST_CASE("A repeated submission is not run where the jobs are not listed") {
  for (const ServerFault fault :
       {ServerFault::kListingsBusy, ServerFault::kReadsBusy}) {
    RunGateways([&](GatewayFixture& f) -> awaitable<void> {
      co_await RunJob(f);
      f.configuration["routes"][kJobRoute] =
          RouteWithPrefix(f, "h.example", "/");
      co_await PublishNext(f);
      f.server.SetFault(fault, kJobKind);
      const size_t late = f.AddGateway();
      co_await f.Sleep(1s);
      const size_t runs = Runs(f);
      const int status = co_await Repeat(f, late);
      // Status 503 would promise that no part of the job runs.
      CHECK(status == (fault == ServerFault::kListingsBusy ? 202 : 504));
      CHECK(Runs(f) == runs);
      f.server.SetFault(ServerFault::kNone);
    });
  }
}

// Guards against the promise of 503 that no part of a job runs, while another
// gateway may accept it yet.
TEST_CASE("A repeated submission of an undecided job promises nothing") {
  RunGateways([](GatewayFixture& f) -> awaitable<void> {
    f.configuration["routes"][kJobRoute] = RouteWithPrefix(f, "h.example", "/");
    co_await PublishNext(f);
    const HttpRequest submission = f.Submission("j1", kItems);
    const WallTime now = WallNow();
    const JobDefinition offered{.id = JobId("j1"),
                                .organisation = OrganisationId("mill"),
                                .route = RouteId("job"),
                                .host = "h.example",
                                .digest = Sha256(submission.body),
                                .submitted = now,
                                .due = now + 18s,
                                .give_up = now + 60s,
                                .items = {ItemId("j1-0"), ItemId("j1-1")},
                                .offered = true,
                                .accepted_by = VmId("another")};
    const JobKey key = JobKeyFor(offered.id, offered.organisation);
    f.store.Put(kJobKind, JobName(key).value(), EncodeDefinition(offered));
    co_await f.Sleep(100ms);
    const int status = co_await Repeat(f, 0);
    CHECK(status == 504);
    CHECK(Runs(f) == 0);
  });
}

// Sends each call about the job to one gateway, where its jobs can't be known:
// the gateway answers with 200 or 503, and no backend server gets a call.
awaitable<void> CheckNotHandedOver(GatewayFixture& f,
                                   size_t gateway,
                                   std::string host) {
  const size_t runs = Runs(f);
  const std::vector<std::pair<std::string, std::string>> calls = {
      {"GET", "/lots/none?after=0"},
      {"GET", "/lots/j1?after=0"},
      {"GET", "/items/j1?id=j1-0"},
      {"DELETE", "/lots/j1"}};
  for (const auto& [method, target] : calls) {
    HttpRequest request = f.Request(method, target, "call");
    request.headers[0].value = host;
    const auto response = co_await f.Send(gateway, std::move(request));
    INFO(method << " " << target << ": " << GatewayFixture::Describe(response));
    REQUIRE(response.has_value());
    const bool is_refused = response.value().status == 503;
    CHECK((response.value().status == 200 || is_refused));
    CHECK(FindHeader(response.value().headers, "Retry-After").has_value() ==
          is_refused);
  }
  CHECK(Runs(f) == runs);
}

// Guards against a gateway that has just started, whose listings of the jobs
// fail, and that passes calls about them to backend servers.
TEST_CASE("A gateway that has not listed the jobs hands no call to a route") {
  for (const ServerFault fault :
       {ServerFault::kListingsBusy, ServerFault::kReadsBusy}) {
    RunGateways([&](GatewayFixture& f) -> awaitable<void> {
      co_await RunJob(f);
      f.configuration["routes"][kJobRoute] =
          RouteWithPrefix(f, "h.example", "/");
      co_await PublishNext(f);
      f.server.SetFault(fault, kJobKind);
      const size_t late = f.AddGateway();
      co_await f.Sleep(1s);
      co_await CheckNotHandedOver(f, late, "h.example");
      f.server.SetFault(ServerFault::kNone);
      co_await f.WaitUntilReady();
      const nlohmann::json results = co_await f.ReadAllResults(late, "j1");
      CHECK(results.size() == kItems);
    });
  }
}

// Guards against a gateway without the store that takes its old configuration
// for proof that a host has no jobs.
TEST_CASE("A gateway that is cut off hands no call about a job to a route") {
  GatewayFixture f(2);
  f.configuration["routes"].push_back(RouteWithPrefix(f, "other.example", "/"));
  f.Publish();
  f.AddGateway(f.other_server.port());
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.other_server.SetFault(ServerFault::kReset);
    co_await f.Sleep(3s);
    co_await CheckNotHandedOver(f, 0, "other.example");
    // Online requests go on.
    HttpRequest online = f.Request("GET", "/rest/x", "online");
    online.headers[0].value = "other.example";
    const auto served = co_await f.Send(0, std::move(online));
    REQUIRE(served.has_value());
    CHECK(served.value().status == 200);
  });
}

// Guards against the same while the store is silent: no call fails, and the
// gateway's watches seem to work.
TEST_CASE("A gateway with an old view hands no call about a job to a route") {
  GatewayFixture f(2);
  f.configuration["routes"].push_back(RouteWithPrefix(f, "other.example", "/"));
  f.Publish();
  f.AddGateway();
  const size_t behind = f.AddGateway(f.other_server.port());
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    // The window after a start is over.
    co_await f.Sleep(6s);
    f.other_server.SetDelay(30s);
    f.configuration["routes"][kJobRoute]["host"] = "other.example";
    co_await PublishNext(f);
    HttpRequest submission = f.Submission("j1", kItems);
    submission.headers[0].value = "other.example";
    const auto accepted = co_await f.Send(0, std::move(submission));
    REQUIRE(accepted.has_value());
    REQUIRE(accepted.value().status == 202);
    // The peer is ahead for longer than the grace period.
    co_await f.Sleep(1s);
    co_await CheckNotHandedOver(f, behind, "other.example");
  });
}

}  // namespace
}  // namespace cowslip
