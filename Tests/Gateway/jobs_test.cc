#include <set>

#include "Jobs/job_documents.h"
#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

// Runs one client against two gateways and two backend servers.
template <class Body>
void RunJobs(Body body) {
  GatewayFixture f(2);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await body(f);
  });
}

awaitable<int> SubmitTo(GatewayFixture& f,
                        size_t gateway,
                        std::string job,
                        size_t items) {
  HttpRequest request = f.Submission(job, items);
  const auto response = co_await f.Send(gateway, std::move(request));
  co_return response.has_value() ? response.value().status : -1;
}

std::string ExpectedOutput(const std::string& item, uint64_t events) {
  std::string output;
  for (uint64_t i = 1; i <= events; ++i) {
    output += (i > 1 ? "\n" : "") + item + "-" + std::to_string(i);
  }
  return output;
}

// Checks that every item has exactly one result, with its complete output.
void CheckComplete(const nlohmann::json& results,
                   size_t items,
                   uint64_t events) {
  std::set<std::string> ids;
  for (const auto& result : results) {
    const std::string id = result["id"];
    ids.insert(id);
    CHECK(result["state"] == "completed");
    CHECK(result["output"] == ExpectedOutput(id, events));
  }
  CHECK(results.size() == items);
  CHECK(ids.size() == items);
}

TEST_CASE(
    "A job is run, and every gateway returns its results in the same order") {
  RunJobs([](GatewayFixture& f) -> awaitable<void> {
    CHECK(co_await SubmitTo(f, 0, "j1", 5) == 202);
    const nlohmann::json one = co_await f.ReadAllResults(0, "j1");
    const nlohmann::json two = co_await f.ReadAllResults(1, "j1");
    CheckComplete(one, 5, 4);
    CHECK(one == two);
  });
}

TEST_CASE(
    "A job that is submitted repeatedly, to any gateway, is accepted once") {
  RunJobs([](GatewayFixture& f) -> awaitable<void> {
    CHECK(co_await SubmitTo(f, 0, "j1", 3) == 202);
    CHECK(co_await SubmitTo(f, 1, "j1", 3) == 202);
    CHECK(co_await SubmitTo(f, 0, "j1", 3) == 202);
    CheckComplete(co_await f.ReadAllResults(1, "j1"), 3, 4);
    CHECK(f.RequestsAt(0) + f.RequestsAt(1) == 3);
    // A different job under the same id is refused.
    CHECK(co_await SubmitTo(f, 1, "j1", 4) == 409);
  });
}

TEST_CASE("An accepted job survives the loss of its gateway") {
  RunJobs([](GatewayFixture& f) -> awaitable<void> {
    for (size_t i = 0; i < 2; ++i) {
      f.backend(i).behaviour().events = 100;
      f.backend(i).behaviour().pause = 10ms;
    }
    CHECK(co_await SubmitTo(f, 0, "j1", 4) == 202);
    co_await f.Sleep(300ms);
    f.gateway(0).Shutdown();
    CheckComplete(co_await f.ReadAllResults(1, "j1"), 4, 100);
    // Items that were running were resumed after their last event.
    bool resumed = false;
    for (size_t i = 0; i < 2; ++i) {
      for (const HttpRequest& request : f.backend(i).received()) {
        resumed |= FindHeader(request.headers, "Last-Event-Id").has_value();
      }
    }
    CHECK(resumed);
  });
}

// Stores a copy of job `j1` as `j2`, in the state in which a job is left when
// its owner's VM is lost right after the 202 response.
void PutLostJob(GatewayFixture& f) {
  nlohmann::json lost = f.store.Find(kJobKind, "j1.mill")->content;
  lost["id"] = "j2";
  lost["accepted_by"] = "a-lost-vm";
  const std::string digest = lost["digest"].get<std::string>();
  const nlohmann::json inputs =
      f.store.Find(kInputKind, "j1.mill." + digest.substr(0, 16) + ".0")
          ->content;
  f.store.Put(kInputKind, "j2.mill." + digest.substr(0, 16) + ".0", inputs);
  f.store.Put(kJobKind, "j2.mill", lost);
}

TEST_CASE("A job whose owner is lost is taken over by another gateway") {
  RunJobs([](GatewayFixture& f) -> awaitable<void> {
    CHECK(co_await SubmitTo(f, 0, "j1", 2) == 202);
    CheckComplete(co_await f.ReadAllResults(0, "j1"), 2, 4);
    PutLostJob(f);
    CheckComplete(co_await f.ReadAllResults(1, "j2"), 2, 4);
  });
}

TEST_CASE(
    "A submission whose store write is in doubt is not reported as refused") {
  RunJobs([](GatewayFixture& f) -> awaitable<void> {
    f.server.SetFault(ServerFault::kLoseAnswers, kJobKind + std::string());
    // The job is in the store. The submission is accepted if the watch reports
    // the job in time, else in doubt.
    const int status = co_await SubmitTo(f, 0, "j1", 2);
    CHECK((status == 202 || status == 504));
    CHECK(f.store.Find(kJobKind, "j1.mill") != nullptr);
    f.server.SetFault(ServerFault::kBusy);
    CHECK(co_await SubmitTo(f, 0, "j2", 2) == 503);
    f.server.SetFault(ServerFault::kNone);
    co_await f.Sleep(1s);
    CHECK(f.store.Find(kJobKind, "j2.mill") == nullptr);
    CHECK(co_await SubmitTo(f, 1, "j1", 2) == 202);
    CheckComplete(co_await f.ReadAllResults(1, "j1"), 2, 4);
  });
}

TEST_CASE(
    "An item that always fails is dead-lettered, and the other items "
    "complete") {
  RunJobs([](GatewayFixture& f) -> awaitable<void> {
    for (size_t i = 0; i < 2; ++i) {
      f.backend(i).behaviour().fail_status = 422;
    }
    f.backend(0).behaviour().fails = 1;
    f.backend(1).behaviour().fails = 1;
    CHECK(co_await SubmitTo(f, 0, "j1", 6) == 202);
    const nlohmann::json results = co_await f.ReadAllResults(0, "j1");
    CHECK(results.size() == 6);
    size_t dead = 0;
    for (const auto& result : results) {
      dead += result["state"] == "dead_lettered" ? 1 : 0;
    }
    CHECK(dead >= 1);
    CHECK(dead <= 2);
  });
}

TEST_CASE("An item whose run breaks is resumed after the last whole event") {
  RunJobs([](GatewayFixture& f) -> awaitable<void> {
    for (size_t i = 0; i < 2; ++i) {
      f.backend(i).behaviour().events = 9;
      f.backend(i).behaviour().break_after = 3;
      f.backend(i).behaviour().breaks = 3;
    }
    CHECK(co_await SubmitTo(f, 0, "j1", 4) == 202);
    CheckComplete(co_await f.ReadAllResults(0, "j1"), 4, 9);
  });
}

TEST_CASE("An item under which several backend servers crashed is run again") {
  GatewayFixture f(2);
  f.AddGateway();
  f.backend(0).behaviour().silent_closes = 3;
  f.backend(1).behaviour().silent_closes = 3;
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    CHECK(co_await SubmitTo(f, 0, "j1", 1) == 202);
    CheckComplete(co_await f.ReadAllResults(0, "j1"), 1, 4);
    CHECK(f.RequestsAt(0) + f.RequestsAt(1) >= 4);
  });
}

TEST_CASE("Ending a job stops its runs, and may be repeated at any gateway") {
  RunJobs([](GatewayFixture& f) -> awaitable<void> {
    for (size_t i = 0; i < 2; ++i) {
      f.backend(i).behaviour().events = 2000;
      f.backend(i).behaviour().pause = 10ms;
    }
    CHECK(co_await SubmitTo(f, 0, "j1", 3) == 202);
    co_await f.Sleep(200ms);
    CHECK(f.backend(0).active() + f.backend(1).active() == 3);
    for (const size_t gateway : {1, 0, 1}) {
      HttpRequest request = f.Request("DELETE", "/lots/j1", "end");
      const auto response = co_await f.Send(gateway, std::move(request));
      CHECK(response.value().status == 200);
    }
    co_await f.Sleep(300ms);
    CHECK(f.backend(0).active() + f.backend(1).active() == 0);
    HttpRequest item = f.Request("GET", "/items/j1?id=j1-0", "item");
    const auto response = co_await f.Send(1, std::move(item));
    CHECK(response.value().status == 404);
  });
}

TEST_CASE(
    "Every gateway returns item bodies, and other organisations cannot read "
    "the job") {
  RunJobs([](GatewayFixture& f) -> awaitable<void> {
    f.backend(0).behaviour().pause = 1s;
    f.backend(1).behaviour().pause = 1s;
    CHECK(co_await SubmitTo(f, 0, "j1", 2) == 202);
    for (const size_t gateway : {0, 1}) {
      HttpRequest item = f.Request("GET", "/items/j1?id=j1-1", "item");
      const auto response = co_await f.Send(gateway, std::move(item));
      CHECK(response.value().status == 200);
      CHECK(response.value().body == "body1");
    }
    HttpRequest other = f.Request("GET", "/lots/j1", "read");
    other.headers[1].value = "key2";
    auto response = co_await f.Send(0, std::move(other));
    CHECK(response.value().status == 404);
    HttpRequest none = f.Request("GET", "/lots/none", "read");
    response = co_await f.Send(0, std::move(none));
    CHECK(response.value().status == 404);
    f.server.SetFault(ServerFault::kBusy);
    none = f.Request("GET", "/lots/none", "read");
    response = co_await f.Send(0, std::move(none));
    CHECK(response.value().status == 503);
  });
}

TEST_CASE(
    "A gateway whose store calls fail relays them through another "
    "one") {
  for (const ServerFault fault : {ServerFault::kBusy, ServerFault::kReset}) {
    GatewayFixture f(2);
    f.AddGateway();
    f.AddGateway(f.other_server.port());
    f.Run([&]() -> awaitable<void> {
      co_await f.WaitUntilReady();
      co_await f.Sleep(600ms);
      f.other_server.SetFault(fault);
      co_await f.Sleep(300ms);
      CHECK(co_await SubmitTo(f, 1, "j1", 3) == 202);
      CheckComplete(co_await f.ReadAllResults(1, "j1"), 3, 4);
      // Configuration changes take effect at that gateway, too.
      f.configuration["version"] = 9;
      f.configuration["tenants"][0]["api_keys"] = {"key9"};
      f.Publish();
      co_await f.Sleep(1500ms);
      HttpRequest request = f.Request("POST", "/stream/x", "a1");
      const auto response = co_await f.Send(1, std::move(request));
      CHECK(response.value().status == 401);
    });
  }
}

awaitable<size_t> CountResults(GatewayFixture& f, size_t gateway) {
  HttpRequest request = f.Request("GET", "/lots/j1", "read");
  const auto response = co_await f.Send(gateway, std::move(request));
  if (!response.has_value() || response.value().status != 200) {
    co_return 0;
  }
  const auto page = nlohmann::json::parse(response.value().body);
  co_return page["results"].size();
}

TEST_CASE(
    "A job's owner returns every result that another gateway has returned") {
  RunJobs([](GatewayFixture& f) -> awaitable<void> {
    CHECK(co_await SubmitTo(f, 0, "j1", 4) == 202);
    // The owner writes results, but the responses of the store are lost.
    f.server.SetFault(ServerFault::kLoseAnswers, kResultKind);
    for (int i = 0; i < 60; ++i) {
      const size_t shown = co_await CountResults(f, 1);
      const size_t at_owner = co_await CountResults(f, 0);
      CHECK(at_owner >= shown);
      co_await f.Sleep(20ms);
    }
    CHECK(co_await CountResults(f, 0) == 4);
  });
}

// Writes a gateway as the job's owner, as a claim of that gateway would.
awaitable<void> SetOwner(GatewayFixture& f, const char* job, size_t gateway) {
  const Document* known = f.store.Find(kJobKind, job);
  JobStatus status = DecodeJob(*known)->status;
  status.owner = VmId("gateway-" + std::to_string(gateway));
  status.incarnation = Incarnation(100 + gateway);
  const DocumentKind kind(kJobKind);
  const DocumentName name(job);
  const ObjectVersion version = known->version;
  nlohmann::json encoded = EncodeStatus(status);
  const auto written =
      co_await f.store.ReplaceStatus(kind, name, std::move(encoded), version);
  CHECK(written.has_value());
}

TEST_CASE("A job whose owner changes while it is being opened is completed") {
  RunJobs([](GatewayFixture& f) -> awaitable<void> {
    for (size_t i = 0; i < 2; ++i) {
      f.backend(i).behaviour().events = 40;
      f.backend(i).behaviour().pause = 20ms;
    }
    CHECK(co_await SubmitTo(f, 0, "j1", 4) == 202);
    co_await f.Sleep(50ms);
    // Gateway 1 learns of the second change before it has read the job.
    f.server.SetFault(ServerFault::kSlow, kInputKind);
    co_await SetOwner(f, "j1.mill", 1);
    co_await f.Sleep(kSlowAnswer / 3);
    co_await SetOwner(f, "j1.mill", 0);
    co_await f.Sleep(kSlowAnswer * 3);
    f.server.SetFault(ServerFault::kNone);
    co_await SetOwner(f, "j1.mill", 1);
    CheckComplete(co_await f.ReadAllResults(1, "j1"), 4, 40);
  });
}

TEST_CASE(
    "After the loss of all gateways, a new one serves requests and completes "
    "jobs") {
  GatewayFixture f(2);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    CHECK(co_await SubmitTo(f, 0, "j1", 3) == 202);
    CheckComplete(co_await f.ReadAllResults(0, "j1"), 3, 4);
    const ItemId begun(f.store.Find(kJobKind, "j1.mill")
                           ->content["items"][0]
                           .get<std::string>());
    f.gateway(0).Shutdown();
    PutLostJob(f);
    // The owner had saved the progress of one of the items.
    f.store.Put(kProgressKind, "j2.mill",
                EncodeProgress({{begun,
                                 {.last_event = 2,
                                  .output = ExpectedOutput(begun.value(), 2),
                                  .version = SoftwareVersion("v1")}}}));
    const size_t next = f.AddGateway();
    HttpRequest request = f.Request("POST", "/stream/x", "a1");
    const auto response = co_await f.Send(next, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 200);
    CheckComplete(co_await f.ReadAllResults(next, "j2"), 3, 4);
    size_t resumed = 0;
    for (size_t i = 0; i < 2; ++i) {
      for (const HttpRequest& sent : f.backend(i).received()) {
        resumed += FindHeader(sent.headers, "Last-Event-Id") == "2" ? 1 : 0;
      }
    }
    CHECK(resumed == 1);
    // Results that the lost gateways had written are still available.
    CheckComplete(co_await f.ReadAllResults(next, "j1"), 3, 4);
  });
}

TEST_CASE("An invalid submission is refused and stores nothing") {
  RunJobs([](GatewayFixture& f) -> awaitable<void> {
    HttpRequest request = f.Request("POST", "/job/x", "j1", "{\"items\":[]}");
    const auto response = co_await f.Send(0, std::move(request));
    CHECK(response.value().status == 400);
    CHECK(f.store.Find(kJobKind, "j1.mill") == nullptr);
  });
}

}  // namespace
}  // namespace cowslip
