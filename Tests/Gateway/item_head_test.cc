// Items are requests whose heads come as JSON, so their text may be any.
#include <string>

#include "Jobs/job_documents.h"
#include "gateway_fixture.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

// A whole request in the name of another organisation behind a line break.
std::string Hidden() {
  return "x\r\nContent-Length: 0\r\n\r\nPOST /job/hidden HTTP/1.1\r\n"
         "Host: h.example\r\nAttempt-Id: bad\r\nTenant: studio\r\n"
         "Content-Length: 0\r\n\r\nGET / HTTP/1.1\r\nX: 1";
}

// Guards against items that smuggle requests to a backend server.
TEST_CASE("A job with a request hidden in an item gets 400 and runs nothing") {
  GatewayFixture f(1);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    for (const char* field : {"path", "headers", "id"}) {
      HttpRequest request = GatewayFixture::Submission("a", 2);
      auto body = nlohmann::json::parse(request.body);
      if (std::string(field) == "headers") {
        body["items"][1]["headers"]["Length-Hint"] = Hidden();
      } else {
        body["items"][1][field] = "/" + Hidden();
      }
      request.body = body.dump();
      const auto response = co_await f.Send(0, std::move(request));
      INFO(GatewayFixture::Describe(response));
      REQUIRE(response.has_value());
      CHECK(response.value().status == 400);
      CHECK(response.value().body.find("Item 1") != std::string::npos);
    }
    co_await f.Sleep(500ms);
    CHECK(f.RequestsAt(0) == 0);
    CHECK(f.store.Find(kJobKind, "a.mill") == nullptr);
  });
}

// Guards against an item that stays running for ever, because its head can't be
// written.
TEST_CASE("An item that an earlier release accepted is given up, not sent") {
  GatewayFixture f(1);
  f.AddGateway();
  f.Run([&]() -> awaitable<void> {
    co_await f.WaitUntilReady();
    const WallTime now = WallNow();
    const JobDefinition job{
        .id = JobId("a"),
        .organisation = OrganisationId("mill"),
        .route = RouteId("job"),
        .host = "h.example",
        .digest = Digest("0123456789abcdef"),
        .submitted = now,
        .due = now + 18s,
        .give_up = now + 60s,
        .max_attempts = 3,
        .input_segments = 1,
        .items = {ItemId("bad"), ItemId("long"), ItemId("good")},
        .accepted_by = VmId("lost"),
        .accepted_incarnation = Incarnation(1)};
    const std::vector<JobItem> items = {
        {.id = ItemId("bad"), .target = "/job/1", .headers = {{"X", Hidden()}}},
        {.id = ItemId("long"),
         .target = "/job/2",
         .headers = {{"X", std::string(70'000, 'x')}}},
        {.id = ItemId("good"), .target = "/job/3"}};
    f.store.Put(kInputKind, InputName(JobKey("a.mill"), job.digest, 0).value(),
                EncodeInputs(items).front());
    f.store.Put(kJobKind, "a.mill", EncodeDefinition(job));
    const nlohmann::json results = co_await f.ReadAllResults(0, "a");
    REQUIRE(results.size() == 3);
    for (const auto& result : results) {
      CHECK((result["state"] == "completed") == (result["id"] == "good"));
    }
    REQUIRE(f.RequestsAt(0) == 1);
    CHECK(f.backend(0).received()[0].target == "/job/3");
  });
}

}  // namespace
}  // namespace cowslip
