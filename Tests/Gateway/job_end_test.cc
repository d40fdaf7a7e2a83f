#include "Jobs/job_documents.h"
#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

// No item of a job is sent later than this after the acknowledgement of its
// end.
constexpr Duration kEndBound = 3s;

TEST_CASE("No items are sent after an end that their gateway cannot read") {
  GatewayFixture f(2);
  f.AddGateway();
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    for (size_t i = 0; i < 2; ++i) {
      f.backend(i).behaviour().events = 20;
      f.backend(i).behaviour().pause = 50ms;
    }
    // More items than slots: some are sent as others end.
    HttpRequest submission = f.Submission("j1", 100);
    const auto accepted = co_await f.Send(0, std::move(submission));
    CHECK(accepted.value().status == 202);
    co_await f.Sleep(500ms);
    CHECK(f.backend(0).active() + f.backend(1).active() > 0);
    f.server.SetFault(ServerFault::kReadsBusy, kJobKind);
    HttpRequest end = f.Request("DELETE", "/lots/j1", "end");
    const auto ended = co_await f.Send(1, std::move(end));
    CHECK(ended.value().status == 200);
    co_await f.Sleep(kEndBound);
    const size_t sent = f.RequestsAt(0) + f.RequestsAt(1);
    CHECK(sent < 100);
    CHECK(f.backend(0).active() + f.backend(1).active() == 0);
    co_await f.Sleep(2s);
    CHECK(f.RequestsAt(0) + f.RequestsAt(1) == sent);
  });
}

// Guards against a 503, which promises that nothing was done, for an end whose
// write the store carries out later.
TEST_CASE("An end that may still take effect is not answered with a promise") {
  GatewayFixture f(1);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    f.backend(0).behaviour().pause = 1s;
    HttpRequest submission = f.Submission("j1", 1);
    const auto accepted = co_await f.Send(0, std::move(submission));
    REQUIRE(accepted.value().status == 202);
    co_await f.Sleep(300ms);
    f.server.SetFault(ServerFault::kReadsBusy, kJobKind);
    // The watches that this ends must not meet the fault of the write.
    co_await f.Sleep(100ms);
    f.store.FailNext(StoreFault::kDelayWrite);
    HttpRequest end = f.Request("DELETE", "/lots/j1", "end");
    const auto ended = co_await f.Send(0, std::move(end));
    INFO(GatewayFixture::Describe(ended));
    REQUIRE(ended.has_value());
    CHECK(ended.value().status == 504);
    CHECK(ended.value().body.find("\"not_run\":true") == std::string::npos);
  });
}

}  // namespace
}  // namespace cowslip
