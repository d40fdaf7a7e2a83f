#include <catch2/catch.hpp>

#include "Tests/Batch/fake_partition_world.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;
using World = FakePartitionWorld;

JobHeader MakeJob(const std::string& name,
                  uint32_t items,
                  bool idempotent = true) {
  return {.job = JobId(name),
          .organisation = OrganisationId("mill"),
          .body_digest = Digest("digest-" + name),
          .items = items,
          .segment_starts = {0},
          .idempotent = idempotent,
          .route = RouteId("sheets"),
          .deadline_ms = 3600 * 1000};
}

bool Accepted(World& world, BatchRequestId request) {
  return world.replies[request].view.has_value();
}

// Every item has exactly one committed outcome.
void CheckWhole(const World& world, const JobHeader& header) {
  const PartitionState state = world.ReadState();
  const JobState* job = state.Find(header.job);
  REQUIRE(job != nullptr);
  CHECK(job->status == JobStatus::kCompleted);
  std::set<uint32_t> items;
  for (const ItemOutcome& outcome : world.ReadOutcomes(*job)) {
    CHECK(items.insert(outcome.item).second);
  }
  CHECK(items.size() == header.items);
}

TEST_CASE("A job runs to its end and its results stay readable") {
  World world(1);
  const JobHeader job = MakeJob("a", 300);
  const auto request = world.Submit(0, job);
  world.Run(60s);
  REQUIRE(Accepted(world, request));
  CHECK(world.replies[request].view->created);
  CheckWhole(world, job);
}

}  // namespace
}  // namespace cowslip
