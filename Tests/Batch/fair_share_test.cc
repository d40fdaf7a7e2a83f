#include <catch2/catch.hpp>

#include "Batch/fair_share_scheduler.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

DispatchCandidate Job(const std::string& organisation,
                      const std::string& job,
                      Duration deadline,
                      bool bulk = false) {
  return {.job = JobId(job),
          .organisation = OrganisationId(organisation),
          .bulk = bulk,
          .remaining = 10,
          .deadline = MonotonicTime(deadline)};
}

// Returns how many of `picks` picks each candidate gets.
std::vector<int> Count(FairShareScheduler& scheduler,
                       const std::vector<DispatchCandidate>& candidates,
                       int picks) {
  std::vector<int> counts(candidates.size());
  for (int i = 0; i < picks; ++i) {
    ++counts[*scheduler.Pick(candidates, MonotonicTime(i * 1ms))];
  }
  return counts;
}

TEST_CASE("Organisations share picks by weight, however many jobs they have") {
  FairShareScheduler scheduler;
  scheduler.SetWeight(OrganisationId("b"), 2);
  const auto counts = Count(scheduler,
                            {Job("a", "a1", 5h), Job("a", "a2", 6h),
                             Job("a", "a3", 7h), Job("b", "b1", 9h)},
                            300);
  CHECK(counts[0] == 100);
  CHECK(counts[3] == 200);
}

TEST_CASE("Within an organisation the least slack goes first") {
  FairShareScheduler scheduler;
  const auto counts =
      Count(scheduler, {Job("a", "late", 9h), Job("a", "soon", 5h)}, 10);
  CHECK(counts[1] == 10);
}

TEST_CASE("A bulk job waits for the others until it is urgent") {
  FairShareScheduler scheduler;
  CHECK(Count(scheduler, {Job("a", "bulk", 2h, true), Job("a", "other", 5h)},
              10)[1] == 10);
  CHECK(Count(scheduler, {Job("a", "bulk", 1min, true), Job("a", "other", 5h)},
              10)[0] == 10);
}

TEST_CASE("Urgent jobs leave the worst-served organisation half its share") {
  FairShareScheduler scheduler;
  // Scheduling purely by least slack would give all 200 picks to the urgent
  // jobs.
  const auto counts = Count(
      scheduler,
      {Job("a", "a1", 1min), Job("b", "b1", 2min), Job("c", "c", 9h)}, 200);
  CHECK(counts[2] >= 200 / 3 / 2);
  CHECK(counts[0] + counts[1] + counts[2] == 200);
}

TEST_CASE("Idle time gives an organisation no credit over the others") {
  FairShareScheduler scheduler;
  (void)Count(scheduler, {Job("a", "a1", 5h)}, 1000);
  const auto counts =
      Count(scheduler, {Job("a", "a1", 5h), Job("b", "b1", 5h)}, 100);
  CHECK(counts[0] >= 49);
}

}  // namespace
}  // namespace cowslip
