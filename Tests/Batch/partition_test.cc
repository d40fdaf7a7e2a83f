#include <catch2/catch.hpp>

#include "Tests/Batch/partition_simulation.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;
using World = PartitionSimulation;

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

// Runs until a reply has come; false when none comes in a minute.
bool WaitForReply(World& world, BatchRequestId request) {
  for (int step = 0; step < 1200 && !Accepted(world, request); ++step) {
    world.Run(50ms);
  }
  return Accepted(world, request);
}

OutcomeKind KindOf(const World& world, const JobHeader& header, uint32_t item) {
  const PartitionState state = world.ReadState();
  for (const auto& outcome : world.ReadOutcomes(*state.Find(header.job))) {
    if (outcome.item == item) {
      return outcome.kind;
    }
  }
  FAIL("The item has no outcome.");
  return OutcomeKind::kRejected;
}

TEST_CASE("A job survives its owner's loss right after the acknowledgement") {
  World world(2);
  const JobHeader job = MakeJob("a", 100);
  REQUIRE(WaitForReply(world, world.Submit(0, job)));
  world.Restart(0);
  world.Assign(1);
  const auto resent = world.Submit(1, job);
  REQUIRE(WaitForReply(world, resent));
  CHECK_FALSE(world.replies[resent].view->created);
  world.Run(60s);
  CheckWhole(world, job);
}

TEST_CASE("An owner paused past its lease commits nothing when it resumes") {
  World world(3);
  const JobHeader job = MakeJob("a", 400);
  REQUIRE(WaitForReply(world, world.Submit(0, job)));
  world.Run(1s);
  world.Pause(0);
  world.Assign(1);
  world.Run(14s);
  CHECK(world.core(1).IsOwner(world.now()));
  const size_t before = world.ReadState().Find(job.job)->done.size();
  world.Resume(0);
  CHECK_FALSE(world.core(0).IsOwner(world.now()));
  CHECK(world.ReadState().Find(job.job)->done.size() == before);
  world.Run(60s);
  CheckWhole(world, job);
}

TEST_CASE("A lost owner's append that reaches the store late has no effect") {
  World world(13);
  const JobHeader job = MakeJob("a", 400);
  REQUIRE(WaitForReply(world, world.Submit(0, job)));
  world.Run(1s);
  world.faults.late_writer = 0;
  world.Run(2s);
  world.Pause(0);
  world.Assign(1);
  world.Run(16s);
  REQUIRE(world.core(1).IsOwner(world.now()));
  const JobHeader other = MakeJob("b", 10);
  REQUIRE(WaitForReply(world, world.Submit(1, other)));
  world.Run(3s);
  CHECK(world.ReadState().epoch == FencingNumber(2));
  world.Run(60s);
  CheckWhole(world, job);
  CheckWhole(world, other);
}

TEST_CASE("Journal writes whose answers are lost are found again") {
  World world(4);
  world.faults.lost_answers = 500;
  const JobHeader job = MakeJob("a", 200);
  REQUIRE(WaitForReply(world, world.Submit(0, job)));
  world.Run(120s);
  world.faults.lost_answers = 0;
  world.Run(60s);
  CheckWhole(world, job);
}

TEST_CASE("Work goes on after an outage of the store") {
  World world(5);
  const JobHeader job = MakeJob("a", 600);
  REQUIRE(WaitForReply(world, world.Submit(0, job)));
  world.faults.store_down = true;
  world.Run(3600s / 60);
  CHECK_FALSE(world.core(0).IsOwner(world.now()));
  const auto refused = world.Cancel(0, job);
  world.Run(30s);
  CHECK_FALSE(Accepted(world, refused));
  world.faults.store_down = false;
  world.Run(90s);
  CHECK(world.ReadState().Find(job.job)->status != JobStatus::kRunning);
}

TEST_CASE("A resent job is the same job, also after its end") {
  World world(6);
  const JobHeader job = MakeJob("a", 10);
  const auto first = world.Submit(0, job);
  const auto second = world.Submit(0, job);
  REQUIRE(WaitForReply(world, second));
  CHECK(world.replies[first].view->created);
  CHECK_FALSE(world.replies[second].view->created);
  world.Run(30s);
  world.Assign(2);
  const auto late = world.Submit(2, job);
  REQUIRE(WaitForReply(world, late));
  CHECK(world.replies[late].view->status == JobStatus::kCompleted);
  JobHeader other = job;
  other.body_digest = Digest("other");
  const auto conflict = world.Submit(2, other);
  world.Run(5s);
  REQUIRE(world.replies[conflict].error);
  CHECK(world.replies[conflict].error->kind() == ErrorKind::kConflict);
}

TEST_CASE("A cancel that races commits, a takeover and dispatches is final") {
  for (uint64_t seed = 10; seed < 40; ++seed) {
    World world(seed);
    const JobHeader job = MakeJob("a", 200, seed % 2 == 0);
    REQUIRE(WaitForReply(world, world.Submit(0, job)));
    world.Run(std::chrono::milliseconds(50 * world.Roll(60)));
    auto cancel = world.Cancel(0, job);
    if (world.Roll(2) == 0) {
      world.Run(std::chrono::milliseconds(50 * world.Roll(3)));
      world.Restart(0);
      world.Assign(1);
      cancel = world.Cancel(1, job);
    }
    REQUIRE(WaitForReply(world, cancel));
    const JobView view = *world.replies[cancel].view;
    CHECK(view.status == JobStatus::kCancelled);
    const PartitionState state = world.ReadState();
    const size_t done = state.Find(job.job)->done.size();
    CHECK(view.not_done == job.items - done);
    CHECK(world.core(world.assigned()).running_items() == 0);
    world.Run(30s);
    const PartitionState later = world.ReadState();
    CHECK(later.Find(job.job)->status == JobStatus::kCancelled);
    CHECK(later.Find(job.job)->done.size() == done);
  }
}

TEST_CASE("Items that can never be done end alone") {
  World world(7);
  std::map<uint32_t, int> runs;
  world.backend = [&](const DispatchItem& item) -> ItemResult {
    ++runs[item.item];
    CHECK(item.attempt == static_cast<uint32_t>(runs[item.item]));
    if (item.item == 3) {
      return ItemFailed{.may_have_run = true, .detail = "crash"};
    }
    if (item.item == 4) {
      return ItemCompleted{.status = 404, .body = "{}"};
    }
    if (item.item == 5) {
      return ItemCompleted{.status = 200, .body = std::string(300'000, 'x')};
    }
    return ItemCompleted{.status = 200, .body = "ok"};
  };
  const JobHeader job = MakeJob("a", 50);
  REQUIRE(WaitForReply(world, world.Submit(0, job)));
  world.Run(60s);
  CheckWhole(world, job);
  CHECK(KindOf(world, job, 3) == OutcomeKind::kAttemptsExhausted);
  CHECK(KindOf(world, job, 4) == OutcomeKind::kRejected);
  CHECK(KindOf(world, job, 5) == OutcomeKind::kResultTooLarge);
  CHECK(runs[3] == 4);
  CHECK(world.ReadState().Find(job.job)->succeeded == 47);
}

TEST_CASE("A preempted item resumes with its token and keeps its attempts") {
  World world(8);
  int preempted = 0;
  world.backend = [&](const DispatchItem& item) -> ItemResult {
    CHECK(item.attempt == 1);
    if (preempted < 20) {
      CHECK(item.resume_token == (preempted == 0 ? "" : "half"));
      ++preempted;
      return ItemPreempted{.resume_token = "half"};
    }
    return ItemCompleted{.status = 200, .body = "ok"};
  };
  const JobHeader job = MakeJob("a", 1);
  REQUIRE(WaitForReply(world, world.Submit(0, job)));
  world.Run(60s);
  CHECK(preempted == 20);
  CheckWhole(world, job);
}

TEST_CASE("A non-idempotent item lost in doubt is never run again") {
  World world(9);
  std::map<uint32_t, int> runs;
  world.backend = [&](const DispatchItem& item) {
    ++runs[item.item];
    return ItemCompleted{.status = 200, .body = "ok"};
  };
  const JobHeader job = MakeJob("a", 200, /*idempotent=*/false);
  REQUIRE(WaitForReply(world, world.Submit(0, job)));
  world.Run(2s);
  REQUIRE(world.core(0).running_items() > 0);
  world.Restart(0);
  world.Assign(1);
  world.Run(200s);
  CheckWhole(world, job);
  uint32_t in_doubt = 0;
  const PartitionState state = world.ReadState();
  for (const auto& outcome : world.ReadOutcomes(*state.Find(job.job))) {
    in_doubt += outcome.kind == OutcomeKind::kMayHaveRun ? 1 : 0;
  }
  CHECK(in_doubt > 0);
  CHECK(in_doubt <= 2 * world.capacity);
  for (const auto& [item, count] : runs) {
    CHECK(count == 1);
  }
}

TEST_CASE("A job that cannot be done expires after its deadline") {
  World world(10);
  world.backend = [](const DispatchItem&) {
    return ItemNotRun{.retry_after = 30s};
  };
  JobHeader job = MakeJob("a", 5);
  job.deadline_ms = 10'000;
  REQUIRE(WaitForReply(world, world.Submit(0, job)));
  world.Run(60s);
  CHECK(world.ReadState().Find(job.job)->running());
  world.Run(24h);
  CHECK(world.ReadState().Find(job.job)->status == JobStatus::kExpired);
}

TEST_CASE("A drained owner hands over at once and cuts nothing") {
  World world(11);
  const JobHeader job = MakeJob("a", 200);
  REQUIRE(WaitForReply(world, world.Submit(0, job)));
  world.Run(1s);
  const auto dispatched = world.core(0).counters().dispatches;
  world.Assign(1);
  world.Run(4s);
  CHECK(world.core(0).counters().dispatches == dispatched);
  CHECK(world.core(0).counters().outcomes == dispatched);
  CHECK(world.core(1).IsOwner(world.now()));
  world.Run(60s);
  CheckWhole(world, job);
}

TEST_CASE("A job of 330,000 items that all wait holds little memory") {
  World world(12);
  world.capacity = 5000;
  world.backend = [](const DispatchItem&) {
    return ItemNotRun{.retry_after = 10s};
  };
  const JobHeader job = MakeJob("a", 330'000);
  REQUIRE(WaitForReply(world, world.Submit(0, job)));
  world.Run(20s);
  CHECK(world.core(0).counters().dispatches > 1000);
  CHECK(world.core(0).StateBytes() < 128 * 1024);
}

}  // namespace
}  // namespace cowslip
