#include <algorithm>
#include <string>

#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

constexpr uint64_t kEvents = 6;
constexpr char kHistoryKind[] = "cowslip-service-versions";

void SetVersion(GatewayFixture& f, size_t backend, const std::string& version) {
  const std::string id = "i-" + std::to_string(backend);
  nlohmann::json entry = f.store.Find("servers", id)->content;
  entry["version"] = version;
  f.store.Put("servers", id, entry);
}

void Erase(GatewayFixture& f, size_t backend) {
  f.store.Erase("servers", "i-" + std::to_string(backend));
}

// The recorded versions of the fixture's only service, separated by spaces.
std::string RecordedVersions(GatewayFixture& f) {
  const Document* document = f.store.Find(kHistoryKind, "s");
  std::string versions;
  if (document != nullptr) {
    for (const std::string version : document->content.at("versions")) {
      versions += (versions.empty() ? "" : " ") + version;
    }
  }
  return versions;
}

awaitable<bool> WaitForRecord(GatewayFixture& f, std::string versions) {
  for (int i = 0; i < 200 && RecordedVersions(f) != versions; ++i) {
    co_await f.Sleep(10ms);
  }
  co_return RecordedVersions(f) == versions;
}

// Begins a stream and leaves it after its first chunk.
awaitable<void> BeginStream(GatewayFixture& f,
                            size_t gateway,
                            const std::string& attempt) {
  HttpClient client(f.context.get_executor(),
                    Endpoint{.port = f.gateway(gateway).caller_port()});
  HttpRequest request = f.Request("POST", "/stream/x", attempt);
  const Duration timeout = 1s;
  auto opened = co_await client.Open(std::move(request), timeout);
  REQUIRE(opened.has_value());
  const auto chunk = co_await opened.value()->ReadSome(timeout);
  REQUIRE(chunk.has_value());
  opened.value()->Abort();
}

awaitable<Result<HttpResponse>> Resume(GatewayFixture& f,
                                       size_t gateway,
                                       const std::string& began) {
  HttpRequest request = f.Request("POST", "/stream/x", "resumed-" + began);
  request.headers.push_back({"Last-Event-Id", "1"});
  request.headers.push_back({"Resumes", began});
  co_return co_await f.Send(gateway, std::move(request));
}

bool WasResumedAt(GatewayFixture& f, size_t backend) {
  const auto received = f.backend(backend).received();
  return std::any_of(received.begin(), received.end(), [](const auto& request) {
    return FindHeader(request.headers, "Last-Event-Id").has_value();
  });
}

// The server of one version is gone when the gateways come back, and the stream
// must not go on at the other one.
void CheckResumeAfterLossOfAll(bool old_one_leaves, bool new_one_is_known) {
  GatewayFixture f(2);
  for (size_t i = 0; i < 2; ++i) {
    f.backend(i).behaviour().events = kEvents;
  }
  SetVersion(f, 0, "v1");
  SetVersion(f, 1, "v2");
  const nlohmann::json second = f.store.Find("servers", "i-1")->content;
  Erase(f, 1);
  const size_t lost = f.AddKillableGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const bool recorded = co_await WaitForRecord(f, "v1");
    CHECK(recorded);
    co_await BeginStream(f, lost, "began");
    if (new_one_is_known) {
      f.store.Put("servers", "i-1", second);
      const bool both = co_await WaitForRecord(f, "v1 v2");
      CHECK(both);
    }
    f.KillGateway();
    f.store.Put("servers", "i-1", second);
    if (old_one_leaves) {
      Erase(f, 0);
    }
    const size_t next = f.AddGateway();
    co_await f.WaitUntilReady();
    const auto response = co_await Resume(f, next, "began");
    REQUIRE(response.has_value());
    CHECK(response.value().status == 503);
    CHECK_FALSE(WasResumedAt(f, 1));
  });
}

TEST_CASE(
    "After the loss of all gateways a stream does not go on at the version "
    "that replaced its own") {
  CheckResumeAfterLossOfAll(true, true);
}

TEST_CASE(
    "A version that appeared while no gateway ran does not continue streams "
    "of the one before") {
  CheckResumeAfterLossOfAll(true, false);
}

TEST_CASE(
    "After the loss of all gateways a stream of unknown origin is refused "
    "while both versions serve") {
  CheckResumeAfterLossOfAll(false, true);
}

TEST_CASE(
    "A stream of a service that has had one version goes on after the loss of "
    "all gateways") {
  GatewayFixture f(2);
  for (size_t i = 0; i < 2; ++i) {
    f.backend(i).behaviour().events = kEvents;
    SetVersion(f, i, "v1");
  }
  const size_t lost = f.AddKillableGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const bool recorded = co_await WaitForRecord(f, "v1");
    CHECK(recorded);
    co_await BeginStream(f, lost, "began");
    f.KillGateway();
    const size_t next = f.AddGateway();
    co_await f.WaitUntilReady();
    const auto response = co_await Resume(f, next, "began");
    REQUIRE(response.has_value());
    CHECK(response.value().status == 200);
    CHECK(response.value().body ==
          ModelServer::Body("resumed-began", 2, kEvents));
  });
}

TEST_CASE(
    "A gateway that can't read the recorded versions refuses to resume, at "
    "once") {
  GatewayFixture f(2);
  for (size_t i = 0; i < 2; ++i) {
    f.backend(i).behaviour().events = kEvents;
  }
  SetVersion(f, 0, "v1");
  SetVersion(f, 1, "v2");
  const size_t lost = f.AddKillableGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const bool recorded = co_await WaitForRecord(f, "v1 v2");
    CHECK(recorded);
    co_await BeginStream(f, lost, "began");
    f.KillGateway();
    Erase(f, 0);
    const size_t next = f.AddGateway(f.other_server.port());
    co_await f.WaitUntilReady();
    f.other_server.SetFault(ServerFault::kReset);
    const MonotonicTime sent = MonotonicClock::now();
    const auto response = co_await Resume(f, next, "began");
    REQUIRE(response.has_value());
    CHECK(response.value().status == 503);
    CHECK_FALSE(WasResumedAt(f, 1));
    // The route's latency target.
    CHECK(MonotonicClock::now() - sent < 300ms);
  });
}

TEST_CASE("An item of a lost gateway is not joined from two versions") {
  GatewayFixture f(2);
  for (size_t i = 0; i < 2; ++i) {
    f.backend(i).behaviour() = {
        .events = kEvents, .break_after = 2, .breaks = 8};
  }
  SetVersion(f, 0, "v1");
  SetVersion(f, 1, "v2");
  const nlohmann::json second = f.store.Find("servers", "i-1")->content;
  Erase(f, 1);
  const size_t lost = f.AddKillableGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    constexpr size_t kItems = 4;
    HttpRequest submission = f.Submission("j", kItems);
    const auto accepted = co_await f.Send(lost, std::move(submission));
    REQUIRE(accepted.has_value());
    co_await f.Sleep(300ms);
    f.KillGateway();
    Erase(f, 0);
    f.backend(1).behaviour().breaks = 0;
    f.store.Put("servers", "i-1", second);
    const size_t next = f.AddGateway();
    co_await f.WaitUntilReady();
    const nlohmann::json results = co_await f.ReadAllResults(next, "j");
    REQUIRE(results.size() == kItems);
    // Whatever v1 had written of an item, v2 ran it from its beginning.
    CHECK_FALSE(WasResumedAt(f, 1));
  });
}

}  // namespace
}  // namespace cowslip
