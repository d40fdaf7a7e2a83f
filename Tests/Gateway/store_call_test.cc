#include "Jobs/job_documents.h"
#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

size_t CallsOf(const MetadataServer& server, const std::string& call) {
  const auto found = server.calls().find(call);
  return found == server.calls().end() ? 0 : found->second;
}

TEST_CASE("Jobs that change all the time are not listed again") {
  GatewayFixture f(1);
  constexpr size_t kGateways = 4;
  for (size_t i = 0; i < kGateways; ++i) {
    f.AddGateway();
  }
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    co_await f.Sleep(1s);
    const std::string list_jobs = "list " + std::string(kJobKind);
    const size_t before = CallsOf(f.server, list_jobs);
    CHECK(before > 0);
    for (int i = 0; i < 250; ++i) {
      f.store.Put(kJobKind, "job-" + std::to_string(i % 40), {{"x", i}});
      co_await f.Sleep(20ms);
    }
    CHECK(CallsOf(f.server, list_jobs) - before == 0);
  });
}

TEST_CASE(
    "A change that a dropped watch has missed is in force after two seconds") {
  GatewayFixture f(1);
  for (size_t i = 0; i < 7; ++i) {
    f.AddGateway();
  }
  const size_t deaf = f.AddGateway(f.other_server.port());
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    // The first poll of each gateway, which comes early.
    co_await f.Sleep(2s);
    f.other_server.SetFault(ServerFault::kDeafWatches);
    f.configuration["version"] = 2;
    f.configuration["tenants"][0]["api_keys"] = {"other key"};
    f.Publish();
    for (int i = 0; i < 95; ++i) {
      f.store.Put(kJobKind, "job-" + std::to_string(i % 40), {{"x", i}});
      co_await f.Sleep(20ms);
    }
    const Result<HttpResponse> refused = co_await f.Send(
        deaf, GatewayFixture::Request("GET", "/once/a", "attempt"));
    REQUIRE(refused.has_value());
    CHECK(refused.value().status == 401);
  });
}

}  // namespace
}  // namespace cowslip
