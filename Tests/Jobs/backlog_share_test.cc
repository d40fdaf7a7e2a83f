#include <catch2/catch.hpp>

#include "Jobs/backlog_share.h"
#include "Jobs/unclaimed_slots.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const WallTime kNow(1000s);

JobWork Work(const char* job,
             const char* owner,
             const char* organisation,
             Duration due_in,
             uint32_t items) {
  return {.job = JobKey(job),
          .organisation = OrganisationId(organisation),
          .due = kNow +
                 std::chrono::duration_cast<std::chrono::milliseconds>(due_in),
          .owner = VmId(owner),
          .items = items};
}

uint32_t AtHead(const char* self, uint32_t slots, std::vector<JobWork> work) {
  return ItemsAtHead({.self = VmId(self),
                      .slots = slots,
                      .now = kNow,
                      .item_time = 5s,
                      .work = std::move(work)});
}

TEST_CASE("A process with a longer backlog gets more of the slots") {
  const std::vector<JobWork> work = {Work("a", "vm1", "mill", 10s, 30),
                                     Work("b", "vm2", "mill", 11s, 10),
                                     Work("c", "vm1", "mill", 12s, 30)};
  CHECK(AtHead("vm1", 40, work) == 30);
  CHECK(AtHead("vm2", 40, work) == 10);
  CHECK(AtHead("vm1", 100, work) == 60);
}

TEST_CASE("Organisations take turns at the head of the backlog") {
  const std::vector<JobWork> work = {Work("a", "vm1", "large", 10s, 100),
                                     Work("b", "vm2", "small", 15s, 8)};
  CHECK(AtHead("vm2", 16, work) == 8);
  CHECK(AtHead("vm1", 16, work) == 8);
}

TEST_CASE("What can be in time comes first, then spare slots, then the rest") {
  JobWork spare = Work("a", "vm1", "mill", 10s, 5);
  spare.spare_slots_only = true;
  const std::vector<JobWork> work = {Work("c", "vm3", "mill", 2s, 5), spare,
                                     Work("b", "vm2", "mill", 12s, 5)};
  CHECK(AtHead("vm2", 5, work) == 5);
  CHECK(AtHead("vm1", 10, work) == 5);
  CHECK(AtHead("vm3", 10, work) == 0);
}

// Items that their owner can't run must not keep those of others waiting.
TEST_CASE("A slot that nobody claims may be used by any process") {
  UnclaimedSlots slots{UnclaimedSlotsOptions{}};
  const ServiceId service("s");
  const MonotonicTime now(100s);
  CHECK_FALSE(slots.Check(service, true, now));
  CHECK_FALSE(slots.Check(service, true, now + 200ms));
  CHECK(slots.Check(service, true, now + 300ms));
  CHECK_FALSE(slots.Check(service, false, now + 400ms));
  CHECK_FALSE(slots.Check(service, true, now + 500ms));
}

}  // namespace
}  // namespace cowslip
