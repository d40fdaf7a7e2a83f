#include <algorithm>
#include <map>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "Base/json.h"
#include "Batch/batch_driver.h"
#include "Batch/batch_http_handler.h"
#include "Batch/item_dispatcher.h"
#include "Utilities/StandIns/Platform/fake_object_store.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

/// \class FakeDispatcher
/// \brief Completes each item with the item's own body.
class FakeDispatcher : public ItemDispatcher {
 public:
  size_t Capacity() override { return 8 - std::min<size_t>(8, held.size()); }
  void Dispatch(ItemDispatch item,
                std::function<void(ItemResult)> done) override {
    ++runs[item.body];
    if (item.body == hang) {
      return;
    }
    if (hold) {
      held.push_back(std::move(done));
      return;
    }
    done(ItemCompleted{.status = 200, .body = item.body});
  }
  void Cancel(const JobId&, uint32_t) override { ++cancels; }
  Result<bool> IsIdempotent(const OrganisationId&,
                            const ItemTarget& target) override {
    if (target.route != RouteId("sheets")) {
      return Error(ErrorKind::kNotFound, "Name the route sheets.");
    }
    return true;
  }

  bool hold = false;
  /// The body of an item that never ends.
  std::string hang;
  std::vector<std::function<void(ItemResult)>> held;
  std::map<std::string, int> runs;
  int cancels = 0;
};

/// \class Fleet
/// \brief Several entries on one event loop that share a platform.
class Fleet {
 public:
  explicit Fleet(size_t size, Duration timeout = 10s) : item_timeout(timeout) {
    for (size_t i = 0; i < size; ++i) {
      m_vms.emplace_back("vm" + std::to_string(i));
      stores.push_back(std::make_unique<FakeObjectStore>(m_platform));
      dispatchers.push_back(std::make_unique<FakeDispatcher>());
    }
    drivers.resize(size);
    for (size_t i = 0; i < size; ++i) {
      Start(i);
    }
    SetMembers(m_vms);
  }
  ~Fleet() {
    for (auto& driver : drivers) {
      driver.reset();
    }
    context.run_for(50ms);
  }

  void Start(size_t i) {
    BatchDriverOptions options{.self = m_vms[i],
                               .incarnation = Incarnation(++m_incarnation),
                               .partitions = 2,
                               .tick = 5ms,
                               .request_timeout = 3s,
                               .item_timeout = item_timeout,
                               .item_grace_period = 10ms};
    options.partition.lease = 900ms;
    options.partition.lease_margin = 50ms;
    options.partition.poll_interval = 20ms;
    options.partition.commit_interval = 10ms;
    options.partition.store_retry_delay = 10ms;
    options.partition.attempt_backoff = 5ms;
    drivers[i] = std::make_unique<BatchDriver>(
        context, *stores[i], options,
        [this, i](const VmId& peer, const std::string& frame) {
          return SendToPeer(i, peer, frame);
        },
        *dispatchers[i]);
    drivers[i]->Start();
  }
  void Kill(size_t i) {
    drivers[i].reset();
    std::vector<VmId> left;
    for (size_t other = 0; other < m_vms.size(); ++other) {
      if (drivers[other]) {
        left.push_back(m_vms[other]);
      }
    }
    SetMembers(left);
  }
  void SetMembers(const std::vector<VmId>& members) {
    for (auto& driver : drivers) {
      if (driver) {
        driver->OnMembers(members);
      }
    }
  }

  template <class Test>
  void Run(Test test) {
    bool done = false;
    boost::asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
          co_await test();
          done = true;
          context.stop();
        },
        boost::asio::detached);
    context.run_for(20s);
    CHECK(done);
    context.restart();
  }

  awaitable<HttpResponse> SendRequest(size_t i, HttpRequest request) {
    BatchHttpHandler handler(
        *drivers[i], [](const auto&...) -> Result<void> { return Ok(); });
    const OrganisationId organisation("mill");
    HttpResponse response = co_await handler.Handle(request, organisation);
    co_return response;
  }
  awaitable<void> Sleep(Duration time) {
    boost::asio::steady_timer timer(context, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  awaitable<nlohmann::json> WaitForEnd(size_t i, std::string id) {
    nlohmann::json job;
    for (int round = 0; round < 1000; ++round) {
      HttpRequest get{.target = "/v1/batches/" + id};
      const HttpResponse response = co_await SendRequest(i, get);
      job = nlohmann::json::parse(response.body);
      if (response.status == 200 && job["status"] != "running") {
        break;
      }
      co_await Sleep(10ms);
    }
    co_return job;
  }

  const Duration item_timeout;
  boost::asio::io_context context;
  std::vector<std::unique_ptr<FakeObjectStore>> stores;
  std::vector<std::unique_ptr<FakeDispatcher>> dispatchers;
  std::vector<std::unique_ptr<BatchDriver>> drivers;

 private:
  bool SendToPeer(size_t from, const VmId& peer, const std::string& frame) {
    for (size_t i = 0; i < m_vms.size(); ++i) {
      if (m_vms[i] == peer && drivers[i]) {
        boost::asio::post(context, [this, i, from, frame] {
          if (drivers[i]) {
            drivers[i]->OnPeerFrame(m_vms[from], frame);
          }
        });
        return true;
      }
    }
    return false;
  }

  std::shared_ptr<FakePlatform> m_platform = std::make_shared<FakePlatform>();
  std::vector<VmId> m_vms;
  uint64_t m_incarnation = 0;
};

std::string MakeLines(int count) {
  std::string lines;
  for (int i = 0; i < count; ++i) {
    lines += R"({"custom_id":"s)" + std::to_string(i) + R"(","body":{"n":)" +
             std::to_string(i) + "}}\n";
  }
  return lines;
}

HttpRequest Post(std::string body, const std::string& key = "lot-1") {
  return {.method = "POST",
          .target = "/v1/batches",
          .headers = {{"Idempotency-Key", key}, {"X-Batch-Route", "sheets"}},
          .body = std::move(body)};
}

TEST_CASE(
    "A job submitted at one entry can be read and resubmitted at another") {
  Fleet fleet(2);
  fleet.Run([&]() -> awaitable<void> {
    const HttpRequest post = Post(MakeLines(50));
    const HttpResponse first = co_await fleet.SendRequest(0, post);
    CHECK(first.status == 201);
    const HttpResponse again = co_await fleet.SendRequest(1, post);
    CHECK(again.status == 200);
    const std::string id = nlohmann::json::parse(first.body)["id"];
    CHECK(nlohmann::json::parse(again.body)["id"] == id);
    const HttpRequest other = Post(MakeLines(3));
    const HttpResponse conflict = co_await fleet.SendRequest(1, other);
    CHECK(conflict.status == 422);

    const nlohmann::json job = co_await fleet.WaitForEnd(1, id);
    CHECK(job["status"] == "completed");
    CHECK(job["succeeded"] == 50);
    std::set<std::string> seen;
    nlohmann::json page = {{"next", 0}, {"complete", false}};
    while (!page["complete"]) {
      HttpRequest get{.target =
                          "/v1/batches/" + id +
                          "/results?limit=20&after=" + page["next"].dump()};
      const HttpResponse results = co_await fleet.SendRequest(0, get);
      page = nlohmann::json::parse(results.body);
      for (const auto& result : page["results"]) {
        CHECK(seen.insert(result["custom_id"]).second);
        const std::string n = result["response"]["body"]["n"].dump();
        CHECK(result["custom_id"] == "s" + n);
      }
    }
    CHECK(seen.size() == 50);
    const HttpResponse late = co_await fleet.SendRequest(0, post);
    CHECK(late.status == 200);
    const auto listed =
        co_await fleet.drivers[1]->List(OrganisationId("mill"), 10);
    CHECK(listed.value().size() == 1);
    const auto none = co_await fleet.drivers[1]->List(OrganisationId("x"), 10);
    CHECK(none.value().empty());
  });
}

TEST_CASE("A job survives the loss of its entry after the acknowledgement") {
  Fleet fleet(2);
  fleet.Run([&]() -> awaitable<void> {
    std::vector<std::string> ids;
    for (int job_number = 0; job_number < 6; ++job_number) {
      const HttpRequest post =
          Post(MakeLines(20), "lot-" + std::to_string(job_number));
      const HttpResponse accepted = co_await fleet.SendRequest(0, post);
      CHECK(accepted.status == 201);
      ids.push_back(nlohmann::json::parse(accepted.body)["id"]);
    }
    fleet.Kill(0);
    for (const std::string& id : ids) {
      const nlohmann::json job = co_await fleet.WaitForEnd(1, id);
      CHECK(job["succeeded"] == 20);
    }
    const HttpRequest post = Post(MakeLines(20), "lot-0");
    const HttpResponse resent = co_await fleet.SendRequest(1, post);
    CHECK(resent.status == 200);
  });
}

TEST_CASE("A cancellation stops running items and is final") {
  Fleet fleet(2);
  for (auto& dispatcher : fleet.dispatchers) {
    dispatcher->hold = true;
  }
  fleet.Run([&]() -> awaitable<void> {
    const HttpRequest post = Post(MakeLines(100));
    const HttpResponse accepted = co_await fleet.SendRequest(0, post);
    const std::string id = nlohmann::json::parse(accepted.body)["id"];
    co_await fleet.Sleep(100ms);
    const HttpRequest cancel{.method = "POST",
                             .target = "/v1/batches/" + id + "/cancel"};
    const HttpResponse cancelled = co_await fleet.SendRequest(1, cancel);
    CHECK(cancelled.status == 200);
    for (auto& dispatcher : fleet.dispatchers) {
      for (const auto& done : dispatcher->held) {
        done(ItemCompleted{.status = 200, .body = "late"});
      }
    }
    co_await fleet.Sleep(100ms);
    const nlohmann::json job = co_await fleet.WaitForEnd(0, id);
    CHECK(job["status"] == "cancelled");
    CHECK(job["not_done"] == 100);
    const int cancels =
        fleet.dispatchers[0]->cancels + fleet.dispatchers[1]->cancels;
    CHECK(cancels == 8);
  });
}

TEST_CASE("Jobs are refused while the store is down and succeed afterwards") {
  Fleet fleet(1);
  fleet.Run([&]() -> awaitable<void> {
    const HttpRequest post = Post(MakeLines(10));
    fleet.stores[0]->faults().down = true;
    const HttpResponse refused = co_await fleet.SendRequest(0, post);
    CHECK(refused.status == 503);
    CHECK(FindHeader(refused.headers, "Retry-After"));
    fleet.stores[0]->faults().down = false;
    fleet.stores[0]->faults().lose_next_answer = true;
    const HttpResponse accepted = co_await fleet.SendRequest(0, post);
    CHECK(accepted.status == 201);
    const std::string id = nlohmann::json::parse(accepted.body)["id"];
    fleet.stores[0]->faults().lose_next_answer = true;
    const nlohmann::json job = co_await fleet.WaitForEnd(0, id);
    CHECK(job["succeeded"] == 10);
  });
}

TEST_CASE("Invalid requests get a problem response that names the remedy") {
  Fleet fleet(1);
  fleet.Run([&]() -> awaitable<void> {
    HttpRequest no_key = Post(MakeLines(1));
    no_key.headers.erase(no_key.headers.begin());
    HttpRequest no_route = Post(MakeLines(1));
    no_route.headers.pop_back();
    HttpRequest other_route = Post(MakeLines(1));
    other_route.headers.back().value = "nowhere";
    const HttpRequest faulty = Post("{\"custom_id\":\"a\"}\n");
    const HttpRequest unknown{.target = "/v1/batches/nothing"};
    const HttpRequest page{.target = "/v1/batches/x/results?limit=0"};
    const std::vector<std::pair<HttpRequest, int>> calls = {
        {no_key, 400}, {no_route, 400}, {other_route, 404},
        {faulty, 400}, {unknown, 404},  {page, 400}};
    for (const auto& [request, status] : calls) {
      const HttpResponse response = co_await fleet.SendRequest(0, request);
      CHECK(response.status == status);
      const auto problem = nlohmann::json::parse(response.body);
      CHECK(problem["status"] == status);
      CHECK(problem["not_run"] == true);
      CHECK_FALSE(problem["detail"].get<std::string>().empty());
    }
  });
}

TEST_CASE(
    "An item that never ends is cancelled without affecting other items") {
  Fleet fleet(1, 20ms);
  fleet.dispatchers[0]->hang = "{\"n\":3}";
  fleet.Run([&]() -> awaitable<void> {
    const HttpRequest post = Post(MakeLines(10));
    const HttpResponse accepted = co_await fleet.SendRequest(0, post);
    const std::string id = nlohmann::json::parse(accepted.body)["id"];
    const nlohmann::json job = co_await fleet.WaitForEnd(0, id);
    CHECK(job["status"] == "completed");
    CHECK(job["succeeded"] == 9);
    CHECK(job["failed"] == 1);
    CHECK(fleet.dispatchers[0]->runs["{\"n\":3}"] == 4);
    CHECK(fleet.dispatchers[0]->cancels == 4);
  });
}

TEST_CASE("A draining entry finishes its items and hands over its partitions") {
  Fleet fleet(2);
  fleet.Run([&]() -> awaitable<void> {
    const HttpRequest post = Post(MakeLines(200));
    const HttpResponse accepted = co_await fleet.SendRequest(0, post);
    const std::string id = nlohmann::json::parse(accepted.body)["id"];
    co_await fleet.drivers[0]->Drain();
    CHECK(fleet.drivers[0]->counters().owned_partitions == 0);
    CHECK(fleet.drivers[0]->counters().running_items == 0);
    fleet.Kill(0);
    const nlohmann::json job = co_await fleet.WaitForEnd(1, id);
    CHECK(job["succeeded"] == 200);
    for (const auto& [body, runs] : fleet.dispatchers[0]->runs) {
      CHECK(fleet.dispatchers[1]->runs.count(body) == 0);
    }
  });
}

}  // namespace
}  // namespace cowslip
