// The organisation of a job is that of the key it was submitted with, whatever
// its route demands.
#include <algorithm>
#include <string>
#include <vector>

#include "Jobs/job_documents.h"
#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr size_t kItems = 3;

// The first five routes of the fixture; the last one submits jobs.
constexpr size_t kSafeRoute = 2;
constexpr size_t kJobRoute = 4;

// Two gateways and two backend servers.
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

// Changes the configuration and waits until it is in force.
awaitable<void> PublishNext(GatewayFixture& f) {
  const auto version = f.configuration["version"].get<int>();
  f.configuration["version"] = version + 1;
  f.Publish();
  co_await f.Sleep(300ms);
}

awaitable<void> SetPublic(GatewayFixture& f, size_t route, bool is_public) {
  f.configuration["routes"][route]["public"] = is_public;
  co_await PublishNext(f);
}

// An empty key sends none.
void SetKey(HttpRequest& request, const std::string& key) {
  std::erase_if(request.headers,
                [](const HttpHeader& header) { return header.name == "Key"; });
  if (!key.empty()) {
    request.headers.push_back({"Key", key});
  }
}

// GCC 12 may run a co_await within CHECK() twice, so the checks are in here.
awaitable<void> CheckStatus(GatewayFixture& f,
                            int status,
                            size_t gateway,
                            HttpRequest request,
                            std::string key) {
  SetKey(request, key);
  const std::string line = request.method + " " + request.target;
  const auto response = co_await f.Send(gateway, std::move(request));
  INFO(line << " with key \"" << key << "\" at gateway " << gateway << ": "
            << GatewayFixture::Describe(response));
  REQUIRE(response.has_value());
  CHECK(response.value().status == status);
}

awaitable<void> CheckSubmission(GatewayFixture& f,
                                int status,
                                size_t gateway,
                                std::string job,
                                std::string key) {
  HttpRequest request = f.Submission(job, kItems);
  co_await CheckStatus(f, status, gateway, std::move(request), key);
}

awaitable<void> CheckCall(GatewayFixture& f,
                          int status,
                          size_t gateway,
                          std::string method,
                          std::string target,
                          std::string key) {
  HttpRequest request = f.Request(method, target, "call");
  co_await CheckStatus(f, status, gateway, std::move(request), key);
}

// The `Tenant` header of each run, in no certain order; "" where there is none.
std::vector<std::string> TenantsOfRuns(GatewayFixture& f) {
  std::vector<std::string> tenants;
  for (const size_t backend : {0, 1}) {
    for (const HttpRequest& run : f.backend(backend).received()) {
      tenants.emplace_back(FindHeader(run.headers, "Tenant").value_or(""));
    }
  }
  return tenants;
}

// Every call about the job succeeds at both gateways, and a repeat of its
// submission runs nothing again.
awaitable<void> CheckServed(GatewayFixture& f,
                            std::string job,
                            std::string tenant) {
  for (const size_t gateway : {0, 1}) {
    INFO("gateway " << gateway);
    const nlohmann::json results = co_await f.ReadAllResults(gateway, job);
    CHECK(results.size() == kItems);
    co_await CheckCall(f, 200, gateway, "GET",
                       "/items/" + job + "?id=" + job + "-0", "key1");
    co_await CheckSubmission(f, 202, gateway, job, "key1");
  }
  co_await f.Sleep(500ms);
  CHECK(TenantsOfRuns(f) == std::vector<std::string>(kItems, tenant));
  co_await CheckCall(f, 404, 0, "GET", "/lots/" + job, "key2");
  co_await CheckCall(f, 200, 1, "DELETE", "/lots/" + job, "key1");
  co_await CheckCall(f, 200, 0, "DELETE", "/lots/" + job, "key1");
  co_await CheckCall(f, 200, 0, "GET", "/lots/" + job, "key1");
}

// Guards against jobs of public routes that are accepted without their
// organisation and can't be read.
TEST_CASE("A job of a public route is served with the key that submitted it") {
  RunGateways([](GatewayFixture& f) -> awaitable<void> {
    co_await SetPublic(f, kJobRoute, true);
    co_await CheckSubmission(f, 202, 0, "j1", "key1");
    co_await CheckServed(f, "j1", "mill");
  });
}

TEST_CASE("A job is found after its route becomes public, or private again") {
  for (const bool was_public : {false, true}) {
    INFO("public at first: " << was_public);
    RunGateways([&](GatewayFixture& f) -> awaitable<void> {
      co_await SetPublic(f, kJobRoute, was_public);
      co_await CheckSubmission(f, 202, 0, "j1", "key1");
      co_await SetPublic(f, kJobRoute, !was_public);
      co_await CheckServed(f, "j1", "mill");
    });
  }
}

TEST_CASE("A job that nobody could read is not accepted") {
  RunGateways([](GatewayFixture& f) -> awaitable<void> {
    co_await SetPublic(f, kJobRoute, true);
    f.configuration["tenants"][0]["api_keys"] = {"key9"};
    co_await PublishNext(f);
    // Without a key, with an unknown one and with one that was withdrawn.
    for (const char* key : {"", "no-such-key", "key1"}) {
      INFO("key: " << key);
      co_await CheckSubmission(f, 401, 0, "j1", key);
      co_await CheckCall(f, 401, 0, "GET", "/lots/j1", key);
    }
    co_await f.Sleep(300ms);
    CHECK(TenantsOfRuns(f).empty());
    // The withdrawal of a key ends no job.
    co_await CheckSubmission(f, 202, 0, "j2", "key9");
    f.configuration["tenants"][0]["api_keys"] = {"key1"};
    co_await PublishNext(f);
    co_await CheckServed(f, "j2", "mill");
  });
}

// Earlier releases accepted jobs of public routes without an organisation, and
// so does a gateway while no organisation is declared.
TEST_CASE("A job without an organisation is served with any known key") {
  RunGateways([](GatewayFixture& f) -> awaitable<void> {
    const nlohmann::json tenants = f.configuration["tenants"];
    f.configuration.erase("tenants");
    co_await PublishNext(f);
    co_await CheckSubmission(f, 202, 0, "j1", "key1");
    f.configuration["tenants"] = tenants;
    co_await PublishNext(f);
    CHECK(f.store.Find(kJobKind, "j1.") != nullptr);
    for (const size_t gateway : {0, 1}) {
      const nlohmann::json results = co_await f.ReadAllResults(gateway, "j1");
      CHECK(results.size() == kItems);
      co_await CheckCall(f, 200, gateway, "GET", "/items/j1?id=j1-0", "key1");
      co_await CheckSubmission(f, 202, gateway, "j1", "key1");
      co_await CheckCall(f, 401, gateway, "GET", "/lots/j1", "");
      co_await CheckCall(f, 401, gateway, "GET", "/lots/j1", "no-such-key");
    }
    co_await f.Sleep(500ms);
    CHECK(TenantsOfRuns(f).size() == kItems);
    co_await CheckCall(f, 200, 1, "DELETE", "/lots/j1", "key1");
    co_await CheckCall(f, 200, 0, "DELETE", "/lots/j1", "key1");
  });
}

TEST_CASE("Another job with the id of one without an organisation is run") {
  RunGateways([](GatewayFixture& f) -> awaitable<void> {
    const nlohmann::json tenants = f.configuration["tenants"];
    f.configuration.erase("tenants");
    co_await PublishNext(f);
    co_await CheckSubmission(f, 202, 0, "j1", "");
    f.configuration["tenants"] = tenants;
    co_await PublishNext(f);
    HttpRequest other = f.Submission("j1", kItems + 1);
    co_await CheckStatus(f, 202, 1, std::move(other), "key2");
    HttpRequest read = f.Request("GET", "/lots/j1", "read");
    SetKey(read, "key2");
    const auto response = co_await f.Send(0, std::move(read));
    REQUIRE(response.has_value());
    REQUIRE(response.value().status == 200);
    const auto page = nlohmann::json::parse(response.value().body);
    CHECK(page["total"] == kItems + 1);
  });
}

TEST_CASE(
    "An online request of a public route runs for the holder of its key") {
  RunGateways([](GatewayFixture& f) -> awaitable<void> {
    co_await SetPublic(f, kSafeRoute, true);
    HttpRequest request = f.Request("POST", "/safe/x", "a1");
    co_await CheckStatus(f, 200, 0, request, "key1");
    CHECK(TenantsOfRuns(f) == std::vector<std::string>{"mill"});
    co_await CheckStatus(f, 401, 0, request, "no-such-key");
    CHECK(TenantsOfRuns(f).size() == 1);
    // Without a key it is nobody's, whatever the caller says.
    request.headers.push_back({"Tenant", "mill"});
    co_await CheckStatus(f, 200, 0, request, "");
    const std::vector<std::string> tenants = TenantsOfRuns(f);
    CHECK(std::count(tenants.begin(), tenants.end(), "") == 1);
    CHECK(tenants.size() == 2);
  });
}

}  // namespace
}  // namespace cowslip
