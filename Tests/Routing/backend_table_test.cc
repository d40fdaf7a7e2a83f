#include "Routing/backend_table.h"

#include <map>

#include <catch2/catch.hpp>

#include "Routing/retry_budget.h"

namespace cowslip {
namespace {

const ServiceId kService("s");

void Add(BackendTable& table, const char* vm, const char* zone) {
  table.LinkUp(VmId(vm));
  table.StatusReceived(
      VmId(vm),
      {.service = kService, .zone = ZoneId(zone), .load = {.slots = 4}});
}

TEST_CASE("The own availability zone is preferred until its slots are full") {
  BackendTable table({.zone = ZoneId("a")});
  Add(table, "near", "a");
  Add(table, "far", "b");
  for (int i = 0; i < 4; ++i) {
    CHECK(table.Choose({.service = kService}) == VmId("near"));
    table.AttemptStarted(VmId("near"), WorkClass::kOnline);
  }
  std::map<VmId, int> chosen;
  for (int i = 0; i < 50; ++i) {
    ++chosen[*table.Choose({.service = kService})];
  }
  CHECK(chosen[VmId("far")] > 0);
}

TEST_CASE("Affinity holds until the affine server is overloaded") {
  BackendTable table({.zone = ZoneId("a")});
  for (const char* vm : {"b1", "b2", "b3"}) {
    Add(table, vm, "a");
  }
  const RouteQuery query = {.service = kService, .affinity_key = "prefix"};
  const VmId affine = *table.Choose(query);
  CHECK(table.Choose(query) == affine);
  for (int i = 0; i < 3; ++i) {
    table.AttemptStarted(affine, WorkClass::kOnline);
  }
  std::map<VmId, int> chosen;
  for (int i = 0; i < 50; ++i) {
    ++chosen[*table.Choose(query)];
  }
  CHECK(chosen.size() > 1);
}

TEST_CASE("A failed link and a leaving status both end new work") {
  BackendTable table({.zone = ZoneId("a")});
  Add(table, "b1", "a");
  table.LinkDown(VmId("b1"));
  CHECK_FALSE(table.Choose({.service = kService}).has_value());
  Add(table, "b1", "a");
  CHECK(table.Choose({.service = kService}).has_value());
  table.StatusReceived(VmId("b1"), {.service = kService, .leaving = true});
  CHECK_FALSE(table.Choose({.service = kService}).has_value());
}

TEST_CASE("Batch capacity is the free slots plus a few items to queue") {
  BackendTable table({.zone = ZoneId("a"), .ready_batch_per_backend = 2});
  Add(table, "b1", "a");
  CHECK(table.BatchCapacity(kService) == 6);
  for (int i = 0; i < 3; ++i) {
    table.AttemptStarted(VmId("b1"), WorkClass::kOnline);
  }
  CHECK(table.BatchCapacity(kService) == 3);
}

TEST_CASE("Retries stay within the budget when everything fails") {
  RetryBudget budget({.ratio = 0.1, .reserve = 10});
  int retries = 0;
  constexpr int kRequests = 10000;
  for (int i = 0; i < kRequests; ++i) {
    budget.RecordFirstAttempt();
    while (budget.TryTakeRetry()) {
      ++retries;
    }
  }
  CHECK(retries <= kRequests / 10 + 10);
}

}  // namespace
}  // namespace cowslip
