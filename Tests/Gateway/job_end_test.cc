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

}  // namespace
}  // namespace cowslip
