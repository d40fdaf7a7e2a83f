#include "crash_waves.h"

#include <set>

#include "crashing_backends.h"
#include "gateway_fixture.h"

namespace cowslip {

using boost::asio::awaitable;
using namespace std::chrono_literals;

namespace {

// An accepted item must not stay away from all backend servers for longer.
constexpr Duration kMaxIdleTime = 5s;

constexpr size_t kItems = 24;
constexpr size_t kBackends = 12;
constexpr size_t kWaves = 14;

// All items share the first part of their prompts.
HttpRequest SubmissionWithSharedPart(const std::string& job) {
  HttpRequest request = GatewayFixture::Submission(job, kItems);
  auto body = nlohmann::json::parse(request.body);
  for (auto& item : body["items"]) {
    item["headers"]["Prompt-Prefix"] = "shared:100,own:50";
  }
  request.body = body.dump();
  return request;
}

// The items of a job that have a result.
awaitable<std::set<std::string>> ListedItems(GatewayFixture& f,
                                             const std::string& job) {
  HttpRequest read = f.Request("GET", "/lots/" + job + "?after=0", "read");
  const auto response = co_await f.Send(0, std::move(read));
  REQUIRE(response.has_value());
  REQUIRE(response.value().status == 200);
  std::set<std::string> listed;
  const auto page = nlohmann::json::parse(response.value().body);
  for (const auto& result : page["results"]) {
    listed.insert(result["id"].get<std::string>());
  }
  co_return listed;
}

// Sends requests that share nothing with the items until `done`.
awaitable<void> SendOnline(GatewayFixture& f,
                           size_t first_id,
                           std::shared_ptr<const bool> done) {
  for (size_t id = first_id; !*done; ++id) {
    const std::string attempt = "online-" + std::to_string(id);
    HttpRequest request = f.Request("POST", "/stream/x", attempt, attempt);
    request.headers.push_back(
        {"Prompt-Prefix", "online" + std::to_string(id) + ":100,own:50"});
    (void)co_await f.Send(id % 2, std::move(request));
  }
}

}  // namespace

void CheckItemsAfterCrashWaves(size_t online_callers) {
  GatewayFixture f(0);
  CrashingBackends backends(f.context, f.store,
                            {.count = kBackends,
                             .restart_time = 200ms,
                             .events = 300,
                             .event_interval = 10ms});
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    HttpRequest submission = SubmissionWithSharedPart("j");
    const auto accepted = co_await f.Send(0, std::move(submission));
    REQUIRE(accepted.has_value());
    REQUIRE(accepted.value().status == 202);
    const auto done = std::make_shared<bool>(false);
    for (size_t i = 0; i < online_callers; ++i) {
      boost::asio::co_spawn(f.context, SendOnline(f, i * 1000, done),
                            boost::asio::detached);
    }
    // Half of the backend servers crash, then the other half, and so on: no run
    // is completed meanwhile.
    for (size_t wave = 0; wave < kWaves; ++wave) {
      co_await f.Sleep(550ms);
      for (size_t i = wave % 2; i < kBackends; i += 2) {
        backends.Crash(i);
        co_await f.Sleep(25ms);
      }
    }
    *done = true;
    co_await f.Sleep(kMaxIdleTime);
    const std::set<std::string> listed = co_await ListedItems(f, "j");
    for (size_t i = 0; i < kItems; ++i) {
      const std::string item = "j-" + std::to_string(i);
      INFO(item << " was idle for " << ToMillis(backends.IdleTime(item)));
      CHECK((listed.contains(item) || backends.IdleTime(item) < kMaxIdleTime));
    }
    const nlohmann::json results = co_await f.ReadAllResults(1, "j");
    CHECK(results.size() == kItems);
  });
}

}  // namespace cowslip
