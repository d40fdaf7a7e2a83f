#include <set>
#include <thread>

#include "Jobs/job_documents.h"
#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr uint64_t kTokensPerItem = 100;

// Gateways whose route `job` has a limit on waiting tokens. The backend servers
// never answer, so that nothing finishes, unless a test asks for some that do.
struct Fixture : GatewayFixture {
  explicit Fixture(uint64_t limit, size_t backends = 0)
      : GatewayFixture(backends) {
    SetLimit(limit);
  }

  void SetLimit(uint64_t limit) {
    configuration["version"] = configuration["version"].get<int>() + 1;
    configuration["routes"][4]["max_count"] = limit;
    Publish();
  }
  awaitable<Result<HttpResponse>> Submit(size_t gateway,
                                         std::string job,
                                         size_t items) {
    HttpRequest request = Submission(job, items);
    auto body = nlohmann::json::parse(request.body);
    for (auto& item : body["items"]) {
      item["tokens"] = kTokensPerItem;
    }
    request.body = body.dump();
    co_return co_await Send(gateway, std::move(request));
  }
  awaitable<int> StatusOf(size_t gateway, std::string job, size_t items) {
    const auto response = co_await Submit(gateway, std::move(job), items);
    co_return response.has_value() ? response.value().status : -1;
  }
  // The jobs with a record in the store.
  std::set<std::string> StoredJobs(const std::vector<std::string>& jobs) {
    std::set<std::string> stored;
    for (const std::string& job : jobs) {
      if (store.Find(kJobKind, job + ".mill") != nullptr) {
        stored.insert(job);
      }
    }
    return stored;
  }
};

TEST_CASE("A job beyond the limit gets 429 with Retry-After, and is not kept") {
  Fixture f(1000);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    CHECK(co_await f.StatusOf(0, "a", 6) == 202);
    const auto refused = co_await f.Submit(1, "b", 5);
    REQUIRE(refused.has_value());
    CHECK(refused.value().status == 429);
    CHECK(FindHeader(refused.value().headers, "Retry-After").has_value());
    CHECK(f.StoredJobs({"a", "b"}) == std::set<std::string>{"a"});
    // One that fits is accepted, and a repeated one that was accepted before.
    CHECK(co_await f.StatusOf(1, "c", 4) == 202);
    CHECK(co_await f.StatusOf(1, "a", 6) == 202);
    CHECK(co_await f.StatusOf(0, "c", 4) == 202);
    // A job that can never fit is not told to come back.
    const auto too_large = co_await f.Submit(0, "d", 11);
    CHECK(too_large.value().status == 429);
    CHECK_FALSE(FindHeader(too_large.value().headers, "Retry-After"));
  });
}

TEST_CASE("Gateways that admit jobs at the same moment keep the limit") {
  Fixture f(1000);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    int accepted = 0;
    int refused = 0;
    int ended = 0;
    for (int i = 0; i < 12; ++i) {
      boost::asio::co_spawn(
          f.context,
          [&, i]() -> awaitable<void> {
            const int status =
                co_await f.StatusOf(i % 2, "j" + std::to_string(i), 4);
            accepted += status == 202 ? 1 : 0;
            refused += status == 429 ? 1 : 0;
            ++ended;
          },
          boost::asio::detached);
    }
    while (ended < 12) {
      co_await f.Sleep(10ms);
    }
    CHECK(accepted == 2);
    CHECK(refused == 10);
  });
}

TEST_CASE("Items that finish and jobs that end make room") {
  Fixture f(1000, 2);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    CHECK(co_await f.StatusOf(0, "a", 10) == 202);
    const nlohmann::json results = co_await f.ReadAllResults(0, "a");
    CHECK(results.size() == 10);
    co_await f.Sleep(500ms);
    CHECK(co_await f.StatusOf(1, "b", 10) == 202);
    HttpRequest end = f.Request("DELETE", "/lots/b", "end");
    const auto ended = co_await f.Send(1, std::move(end));
    CHECK(ended.value().status == 200);
    co_await f.Sleep(500ms);
    CHECK(co_await f.StatusOf(0, "c", 10) == 202);
  });
}

TEST_CASE("A lowered limit counts at once, and repeats are still accepted") {
  Fixture f(1000);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    CHECK(co_await f.StatusOf(0, "a", 6) == 202);
    f.SetLimit(500);
    co_await f.Sleep(300ms);
    CHECK(co_await f.StatusOf(1, "b", 1) == 429);
    CHECK(co_await f.StatusOf(1, "a", 6) == 202);
    f.SetLimit(0);
    co_await f.Sleep(300ms);
    CHECK(co_await f.StatusOf(1, "b", 20) == 202);
  });
}

TEST_CASE("The limit outlives the gateways that accepted the jobs") {
  Fixture f(1000);
  f.AddKillableGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    CHECK(co_await f.StatusOf(0, "a", 6) == 202);
    f.KillGateway();
    const size_t next = f.AddGateway();
    co_await f.WaitUntilReady();
    CHECK(co_await f.StatusOf(next, "b", 5) == 429);
    CHECK(co_await f.StatusOf(next, "a", 6) == 202);
    CHECK(co_await f.StatusOf(next, "c", 4) == 202);
  });
}

// The offer's answer is lost or delayed, so the same submission decides on it
// in a later step.
TEST_CASE("Lost answers of the store neither lose a job nor the limit") {
  Fixture f(1000);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.store.FailNext(StoreFault::kLoseAnswer, 1);
    CHECK(co_await f.StatusOf(0, "a", 6) == 202);
    CHECK(co_await f.StatusOf(0, "b", 5) == 429);
    CHECK(co_await f.StatusOf(0, "c", 4) == 202);
  });
}

// Guards against a removal of an offer that the store carries out after the job
// was accepted: its client then got 404.
TEST_CASE("A late removal does not take away a job that fitted meanwhile") {
  Fixture f(1000);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    // Both jobs are offered before either is known elsewhere, so the one that
    // comes second is withdrawn.
    f.store.delays_removals = true;
    std::map<std::string, int> statuses;
    for (size_t i = 0; i < 2; ++i) {
      boost::asio::co_spawn(
          f.context,
          [&, i]() -> awaitable<void> {
            const std::string job = i == 0 ? "a" : "b";
            const int status = co_await f.StatusOf(i, job, 6);
            statuses[job] = status;
          },
          boost::asio::detached);
    }
    while (statuses.empty()) {
      co_await f.Sleep(1ms);
    }
    const std::string first = statuses.begin()->first;
    const std::string second = first == "a" ? "b" : "a";
    REQUIRE(statuses[first] == 202);
    HttpRequest end = f.Request("DELETE", "/lots/" + first, "end");
    const auto ended = co_await f.Send(0, std::move(end));
    REQUIRE(ended.value().status == 200);
    while (!statuses.contains(second)) {
      co_await f.Sleep(1ms);
    }
    REQUIRE(statuses[second] == 202);
    f.store.DoLateWrites();
    CHECK(f.StoredJobs({second}).size() == 1);
    co_await f.Sleep(300ms);
    HttpRequest read = f.Request("GET", "/lots/" + second, "read");
    const auto found = co_await f.Send(1, std::move(read));
    CHECK(found.value().status == 200);
  });
}

TEST_CASE("An offer whose gateway was lost is accepted where it is repeated") {
  Fixture f(1000);
  f.AddKillableGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    // The record is written, and its gateway is lost before anything else.
    bool offered = false;
    f.store.OnChange([&] {
      offered |= f.store.Find(kJobKind, "a.mill") != nullptr;
      if (offered) {
        f.server.SetFault(ServerFault::kReset, "");
      }
    });
    boost::asio::co_spawn(
        f.context,
        [&]() -> awaitable<void> { (void)co_await f.Submit(0, "a", 6); },
        boost::asio::detached);
    while (!offered) {
      co_await f.Sleep(1ms);
    }
    f.KillGateway();
    const size_t next = f.AddGateway(f.other_server.port());
    co_await f.WaitUntilReady();
    CHECK(co_await f.StatusOf(next, "a", 6) == 202);
    CHECK(co_await f.StatusOf(next, "b", 5) == 429);
  });
}

// The record of a job that a lost gateway has offered, without its items.
JobDefinition LostOffer(WallTime submitted) {
  return {.id = JobId("a"),
          .organisation = OrganisationId("mill"),
          .route = RouteId("job"),
          .host = "h.example",
          .digest = Digest("0123456789abcdef"),
          .submitted = submitted,
          .due = submitted + 18s,
          .give_up = submitted + 60s,
          .input_segments = 1,
          .items = {ItemId("x")},
          .tokens = {900},
          .offered = true,
          .accepted_by = VmId("lost"),
          .accepted_incarnation = Incarnation(1)};
}

// Removing the document of a job that is being opened must not end the process.
TEST_CASE("An offer that nobody repeats is removed by the next owner") {
  Fixture f(1000);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.store.Put(kJobKind, "a.mill",
                EncodeDefinition(LostOffer(WallNow() - 2 * kOfferTime)));
    CHECK(co_await f.StatusOf(0, "b", 5) == 429);
    for (int i = 0; i < 100 && !f.StoredJobs({"a"}).empty(); ++i) {
      co_await f.Sleep(100ms);
    }
    CHECK(f.StoredJobs({"a"}).empty());
    CHECK(co_await f.StatusOf(0, "b", 5) == 202);
  });
}

// Its gateway may only be cut off from the others, and accept it a moment
// later.
TEST_CASE("An offer that may still be accepted is not removed") {
  Fixture f(1000);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const JobDefinition offer = LostOffer(WallNow());
    f.store.Put(kJobKind, "a.mill", EncodeDefinition(offer));
    co_await f.Sleep(4s);
    CHECK(f.StoredJobs({"a"}).size() == 1);
    const std::vector<JobItem> items = {{.id = ItemId("x"), .body = "body"}};
    f.store.Put(kInputKind,
                InputName(JobKey("a.mill"), offer.digest, 0).value(),
                EncodeInputs(items).front());
    co_await f.Sleep(1s);
    HttpRequest read = f.Request("GET", "/items/a?id=x", "read");
    const auto body = co_await f.Send(0, std::move(read));
    CHECK(body.value().body == "body");
  });
}

TEST_CASE("A gateway without processor time left takes on no batch work") {
  Fixture f(1000, 1);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    CHECK(co_await f.StatusOf(0, "a", 1) == 202);
    const nlohmann::json results = co_await f.ReadAllResults(0, "a");
    CHECK(results.size() == 1);
    for (int i = 0; i < 8; ++i) {
      std::this_thread::sleep_for(600ms);
      co_await f.Sleep(1ms);
    }
    const size_t requests = f.RequestsAt(0);
    CHECK(co_await f.StatusOf(0, "b", 1) == 503);
    CHECK(f.StoredJobs({"b"}).empty());
    CHECK(f.RequestsAt(0) == requests);
    // It recovers as soon as timers are in time again.
    co_await f.Sleep(3s);
    CHECK(co_await f.StatusOf(0, "b", 1) == 202);
    const nlohmann::json later = co_await f.ReadAllResults(0, "b");
    CHECK(later.size() == 1);
  });
}

TEST_CASE("A job whose tokens cannot be counted gets 400") {
  Fixture f(1000);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpRequest request = f.Submission("a", 2);
    const auto response = co_await f.Send(0, std::move(request));
    REQUIRE(response.has_value());
    CHECK(response.value().status == 400);
    CHECK(response.value().body.find("tokens") != std::string::npos);
  });
}

TEST_CASE(
    "A configuration with an invalid limit does not replace a valid one") {
  Fixture f(1000);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const int version = f.configuration["version"];
    for (const nlohmann::json& invalid :
         {nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json("x")}) {
      f.configuration["version"] = f.configuration["version"].get<int>() + 1;
      f.configuration["routes"][4]["max_count"] = invalid;
      f.Publish();
    }
    f.configuration["version"] = f.configuration["version"].get<int>() + 1;
    f.configuration["routes"][4].erase("max_count");
    f.Publish();
    co_await f.Sleep(300ms);
    CHECK(co_await f.StatusOf(0, "a", 11) == 429);
    CHECK(co_await f.StatusOf(0, "b", 10) == 202);
    f.configuration["version"] = version + 100;
  });
}

}  // namespace
}  // namespace cowslip
