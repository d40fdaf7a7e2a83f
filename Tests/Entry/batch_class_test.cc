#include "Entry/batch_class.h"

#include <catch2/catch.hpp>

#include "Batch/batch_driver.h"
#include "Configuration/snapshot.h"
#include "Net/http_message.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

std::shared_ptr<const Snapshot> MakeSnapshot() {
  const ServiceId service("catalogue");
  RouteDeclaration route;
  route.id = RouteId("catalogue.chat");
  route.service = service;
  route.path = "/v1/chat";
  route.methods = {"POST"};
  const BatchDeclaration nightly = {.id = BatchClassId("nightly"),
                                    .service = service,
                                    .default_deadline = 2h,
                                    .max_items = 2,
                                    .max_item_bytes = 10};
  return Snapshot::FromDeclarations(
      ConfigVersion(1),
      {{.id = service, .routes = {route}, .batches = {nightly}}}, {}, {});
}

Result<void> Check(const std::string& body,
                   const std::string& job_class,
                   SubmitOptions& options) {
  options.route = RouteId("catalogue.chat");
  const HttpRequest request{.method = "POST", .body = body};
  return CheckBatchClass(*MakeSnapshot(), request, job_class, options);
}

TEST_CASE("A declared class bounds a job and sets its deadline") {
  SubmitOptions options;
  CHECK(Check("one\n\ntwo\n", "nightly", options).has_value());
  CHECK(options.deadline == Duration(2h));
  options.deadline = 1h;
  CHECK(Check("one", "nightly", options).has_value());
  CHECK(options.deadline == Duration(1h));
  const auto many = Check("1\n2\n3", "nightly", options);
  REQUIRE_FALSE(many.has_value());
  CHECK(many.error().kind() == ErrorKind::kTooLarge);
  const auto wide = Check("1\n" + std::string(11, 'x'), "nightly", options);
  REQUIRE_FALSE(wide.has_value());
  CHECK_THAT(wide.error().message, Catch::Contains("Line 2"));
}

TEST_CASE("A class that is not declared is refused; built-in ones pass") {
  SubmitOptions options;
  const auto unknown = Check("one", "weekly", options);
  REQUIRE_FALSE(unknown.has_value());
  CHECK(unknown.error().kind() == ErrorKind::kInvalidArgument);
  CHECK(Check("1\n2\n3", "standard", options).has_value());
  CHECK(Check("1\n2\n3", "bulk", options).has_value());
}

}  // namespace
}  // namespace cowslip
