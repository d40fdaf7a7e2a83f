#include <catch2/catch.hpp>

#include "Tests/Batch/partition_simulation.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;
using Simulation = PartitionSimulation;

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

bool Accepted(Simulation& simulation, BatchRequestId request) {
  return simulation.replies[request].view.has_value();
}

// Checks that the job has completed and that each item has exactly one
// committed outcome.
void CheckAllItemsEndedOnce(const Simulation& simulation,
                            const JobHeader& header) {
  const PartitionState state = simulation.ReadState();
  const JobState* job = state.Find(header.job);
  REQUIRE(job != nullptr);
  CHECK(job->status == JobStatus::kCompleted);
  std::set<uint32_t> items;
  for (const ItemOutcome& outcome : simulation.ReadOutcomes(*job)) {
    CHECK(items.insert(outcome.item).second);
  }
  CHECK(items.size() == header.items);
}

TEST_CASE("A job runs to its end and its results stay readable") {
  Simulation simulation(1);
  const JobHeader job = MakeJob("a", 300);
  const auto request = simulation.Submit(0, job);
  simulation.Run(60s);
  REQUIRE(Accepted(simulation, request));
  CHECK(simulation.replies[request].view->created);
  CheckAllItemsEndedOnce(simulation, job);
}

// Runs the simulation until the request has a successful reply. Returns false
// if there is none after a simulated minute.
bool WaitForReply(Simulation& simulation, BatchRequestId request) {
  for (int step = 0; step < 1200 && !Accepted(simulation, request); ++step) {
    simulation.Run(50ms);
  }
  return Accepted(simulation, request);
}

OutcomeKind KindOf(const Simulation& simulation,
                   const JobHeader& header,
                   uint32_t item) {
  const PartitionState state = simulation.ReadState();
  for (const auto& outcome : simulation.ReadOutcomes(*state.Find(header.job))) {
    if (outcome.item == item) {
      return outcome.kind;
    }
  }
  FAIL("The item has no outcome.");
  return OutcomeKind::kRejected;
}

TEST_CASE("A job survives its owner's loss right after the acknowledgement") {
  Simulation simulation(2);
  const JobHeader job = MakeJob("a", 100);
  REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
  simulation.Restart(0);
  simulation.Assign(1);
  const auto resent = simulation.Submit(1, job);
  REQUIRE(WaitForReply(simulation, resent));
  CHECK_FALSE(simulation.replies[resent].view->created);
  simulation.Run(60s);
  CheckAllItemsEndedOnce(simulation, job);
}

TEST_CASE("An owner paused past its lease commits nothing when it resumes") {
  Simulation simulation(3);
  const JobHeader job = MakeJob("a", 400);
  REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
  simulation.Run(1s);
  simulation.Pause(0);
  simulation.Assign(1);
  simulation.Run(14s);
  CHECK(simulation.core(1).IsOwner(simulation.now()));
  const size_t before = simulation.ReadState().Find(job.job)->done.size();
  simulation.Resume(0);
  CHECK_FALSE(simulation.core(0).IsOwner(simulation.now()));
  CHECK(simulation.ReadState().Find(job.job)->done.size() == before);
  simulation.Run(60s);
  CheckAllItemsEndedOnce(simulation, job);
}

TEST_CASE("A lost owner's append that reaches the store late has no effect") {
  Simulation simulation(13);
  const JobHeader job = MakeJob("a", 400);
  REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
  simulation.Run(1s);
  simulation.faults.delayed_writer = 0;
  simulation.Run(2s);
  simulation.Pause(0);
  simulation.Assign(1);
  simulation.Run(16s);
  REQUIRE(simulation.core(1).IsOwner(simulation.now()));
  const JobHeader other = MakeJob("b", 10);
  REQUIRE(WaitForReply(simulation, simulation.Submit(1, other)));
  simulation.Run(3s);
  CHECK(simulation.ReadState().epoch == FencingNumber(2));
  simulation.Run(60s);
  CheckAllItemsEndedOnce(simulation, job);
  CheckAllItemsEndedOnce(simulation, other);
}

TEST_CASE(
    "Journal writes whose responses are lost are found by reading them back") {
  Simulation simulation(4);
  simulation.faults.lost_responses = 500;
  const JobHeader job = MakeJob("a", 200);
  REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
  simulation.Run(120s);
  simulation.faults.lost_responses = 0;
  simulation.Run(60s);
  CheckAllItemsEndedOnce(simulation, job);
}

TEST_CASE("A job continues after an outage of the store") {
  Simulation simulation(5);
  const JobHeader job = MakeJob("a", 600);
  REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
  simulation.faults.store_down = true;
  simulation.Run(3600s / 60);
  CHECK_FALSE(simulation.core(0).IsOwner(simulation.now()));
  const auto refused = simulation.Cancel(0, job);
  simulation.Run(30s);
  CHECK_FALSE(Accepted(simulation, refused));
  simulation.faults.store_down = false;
  simulation.Run(90s);
  CHECK(simulation.ReadState().Find(job.job)->status != JobStatus::kRunning);
}

TEST_CASE("Resubmitting a job returns the same job, also after its end") {
  Simulation simulation(6);
  const JobHeader job = MakeJob("a", 10);
  const auto first = simulation.Submit(0, job);
  const auto second = simulation.Submit(0, job);
  REQUIRE(WaitForReply(simulation, second));
  CHECK(simulation.replies[first].view->created);
  CHECK_FALSE(simulation.replies[second].view->created);
  simulation.Run(30s);
  simulation.Assign(2);
  const auto late = simulation.Submit(2, job);
  REQUIRE(WaitForReply(simulation, late));
  CHECK(simulation.replies[late].view->status == JobStatus::kCompleted);
  JobHeader other = job;
  other.body_digest = Digest("other");
  const auto conflict = simulation.Submit(2, other);
  simulation.Run(5s);
  REQUIRE(simulation.replies[conflict].error);
  CHECK(simulation.replies[conflict].error->kind() == ErrorKind::kConflict);
}

TEST_CASE(
    "A cancellation that races with commits, dispatches and a takeover is "
    "final") {
  for (uint64_t seed = 10; seed < 40; ++seed) {
    Simulation simulation(seed);
    const JobHeader job = MakeJob("a", 200, seed % 2 == 0);
    REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
    simulation.Run(std::chrono::milliseconds(50 * simulation.RandomBelow(60)));
    auto cancel = simulation.Cancel(0, job);
    if (simulation.RandomBelow(2) == 0) {
      simulation.Run(std::chrono::milliseconds(50 * simulation.RandomBelow(3)));
      simulation.Restart(0);
      simulation.Assign(1);
      cancel = simulation.Cancel(1, job);
    }
    REQUIRE(WaitForReply(simulation, cancel));
    const JobView view = *simulation.replies[cancel].view;
    CHECK(view.status == JobStatus::kCancelled);
    const PartitionState state = simulation.ReadState();
    const size_t done = state.Find(job.job)->done.size();
    CHECK(view.not_done == job.items - done);
    CHECK(simulation.core(simulation.assigned()).running_items() == 0);
    simulation.Run(30s);
    const PartitionState later = simulation.ReadState();
    CHECK(later.Find(job.job)->status == JobStatus::kCancelled);
    CHECK(later.Find(job.job)->done.size() == done);
  }
}

TEST_CASE("Items that cannot succeed end without affecting other items") {
  Simulation simulation(7);
  std::map<uint32_t, int> runs;
  simulation.backend = [&](const DispatchItem& item) -> ItemResult {
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
  REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
  simulation.Run(60s);
  CheckAllItemsEndedOnce(simulation, job);
  CHECK(KindOf(simulation, job, 3) == OutcomeKind::kAttemptsExhausted);
  CHECK(KindOf(simulation, job, 4) == OutcomeKind::kRejected);
  CHECK(KindOf(simulation, job, 5) == OutcomeKind::kResultTooLarge);
  CHECK(runs[3] == 4);
  CHECK(simulation.ReadState().Find(job.job)->succeeded == 47);
}

TEST_CASE("An item under which backend servers crashed is still owed") {
  Simulation simulation(11);
  int crashes = 0;
  simulation.backend = [&](const DispatchItem& item) -> ItemResult {
    CHECK(item.attempt == 1);
    if (item.item == 3 && crashes < 12) {
      ++crashes;
      return ItemBackendLost{.detail = "crash"};
    }
    return ItemCompleted{.status = 200, .body = "ok"};
  };
  const JobHeader job = MakeJob("a", 50);
  REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
  simulation.Run(120s);
  CHECK(crashes == 12);
  CheckAllItemsEndedOnce(simulation, job);
  CHECK(simulation.ReadState().Find(job.job)->succeeded == 50);
}

TEST_CASE("A preempted item resumes with its token and uses up no attempt") {
  Simulation simulation(8);
  int preempted = 0;
  simulation.backend = [&](const DispatchItem& item) -> ItemResult {
    CHECK(item.attempt == 1);
    if (preempted < 20) {
      CHECK(item.resume_token == (preempted == 0 ? "" : "half"));
      ++preempted;
      return ItemPreempted{.resume_token = "half"};
    }
    return ItemCompleted{.status = 200, .body = "ok"};
  };
  const JobHeader job = MakeJob("a", 1);
  REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
  simulation.Run(60s);
  CHECK(preempted == 20);
  CheckAllItemsEndedOnce(simulation, job);
}

TEST_CASE("A non-idempotent item that may have run is never run again") {
  Simulation simulation(9);
  std::map<uint32_t, int> runs;
  simulation.backend = [&](const DispatchItem& item) {
    ++runs[item.item];
    return ItemCompleted{.status = 200, .body = "ok"};
  };
  const JobHeader job = MakeJob("a", 200, /*idempotent=*/false);
  REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
  simulation.Run(2s);
  REQUIRE(simulation.core(0).running_items() > 0);
  simulation.Restart(0);
  simulation.Assign(1);
  simulation.Run(200s);
  CheckAllItemsEndedOnce(simulation, job);
  uint32_t in_doubt = 0;
  const PartitionState state = simulation.ReadState();
  for (const auto& outcome : simulation.ReadOutcomes(*state.Find(job.job))) {
    in_doubt += outcome.kind == OutcomeKind::kMayHaveRun ? 1 : 0;
  }
  CHECK(in_doubt > 0);
  CHECK(in_doubt <= 2 * simulation.capacity);
  for (const auto& [item, count] : runs) {
    CHECK(count == 1);
  }
}

TEST_CASE("A job whose items cannot run expires after its deadline") {
  Simulation simulation(10);
  simulation.backend = [](const DispatchItem&) {
    return ItemNotRun{.retry_after = 30s};
  };
  JobHeader job = MakeJob("a", 5);
  job.deadline_ms = 10'000;
  REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
  simulation.Run(60s);
  CHECK(simulation.ReadState().Find(job.job)->running());
  simulation.Run(24h);
  CHECK(simulation.ReadState().Find(job.job)->status == JobStatus::kExpired);
}

TEST_CASE(
    "An owner that loses its assignment hands over without cancelling items") {
  Simulation simulation(11);
  const JobHeader job = MakeJob("a", 200);
  REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
  simulation.Run(1s);
  const auto dispatched = simulation.core(0).counters().dispatches;
  simulation.Assign(1);
  simulation.Run(4s);
  CHECK(simulation.core(0).counters().dispatches == dispatched);
  CHECK(simulation.core(0).counters().outcomes == dispatched);
  CHECK(simulation.core(1).IsOwner(simulation.now()));
  simulation.Run(60s);
  CheckAllItemsEndedOnce(simulation, job);
}

TEST_CASE("A job of 330,000 waiting items uses little memory") {
  Simulation simulation(12);
  simulation.capacity = 5000;
  simulation.backend = [](const DispatchItem&) {
    return ItemNotRun{.retry_after = 10s};
  };
  const JobHeader job = MakeJob("a", 330'000);
  REQUIRE(WaitForReply(simulation, simulation.Submit(0, job)));
  simulation.Run(20s);
  CHECK(simulation.core(0).counters().dispatches > 1000);
  CHECK(simulation.core(0).StateBytes() < 128 * 1024);
}

}  // namespace
}  // namespace cowslip
