#include "Gateway/peer_documents.h"
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

const std::string kRegister = "POST " + std::string(kPeerKind);
const std::string kRegisterAgain = "PUT " + std::string(kPeerKind);
const std::string kReadRegistration = "get " + std::string(kPeerKind);

bool IsRegistered(const GatewayFixture& f,
                  const std::string& vm,
                  uint64_t incarnation) {
  const Document* entry = f.store.Find(kPeerKind, vm);
  return entry != nullptr && DecodePeer(*entry).has_value() &&
         DecodePeer(*entry)->incarnation == Incarnation(incarnation);
}

TEST_CASE("A start and a restart of a gateway register with one call") {
  GatewayFixture f(1);
  f.AddGateway();
  const size_t stopping = f.AddKillableGateway(f.other_server.port());
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    CHECK(CallsOf(f.other_server, kRegister) == 1);
    CHECK(CallsOf(f.other_server, kReadRegistration) == 0);
    CHECK(CallsOf(f.other_server, kRegisterAgain) == 0);
    f.gateway(stopping).Shutdown();
    co_await f.Sleep(3500ms);
    f.KillGateway();
    f.AddGateway(f.other_server.port(), "gateway-1");
    co_await f.WaitUntilReady();
    CHECK(IsRegistered(f, "gateway-1", 102));
    CHECK(CallsOf(f.other_server, kRegister) == 1);
    CHECK(CallsOf(f.other_server, kReadRegistration) == 0);
    CHECK(CallsOf(f.other_server, kRegisterAgain) == 1);
    for (const char* kind : {kPeerKind, kJobKind, "servers", "config"}) {
      INFO(kind);
      CHECK(CallsOf(f.other_server, "list " + std::string(kind)) == 2);
    }
  });
}

TEST_CASE("A restarted gateway registers although the response is lost") {
  GatewayFixture f(1);
  f.AddGateway();
  f.AddKillableGateway(f.other_server.port());
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.KillGateway();
    for (MetadataServer* server : {&f.server, &f.other_server}) {
      server->SetFault(ServerFault::kLoseAnswers, kPeerKind);
    }
    const size_t restarted = f.AddGateway(f.other_server.port(), "gateway-1");
    co_await f.Sleep(1s);
    CHECK_FALSE(f.gateway(restarted).IsReady());
    for (MetadataServer* server : {&f.server, &f.other_server}) {
      server->SetFault(ServerFault::kNone);
    }
    co_await f.Sleep(1s);
    CHECK(f.gateway(restarted).IsReady());
    CHECK(IsRegistered(f, "gateway-1", 102));
  });
}

}  // namespace
}  // namespace cowslip
