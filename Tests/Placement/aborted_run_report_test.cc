#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "Peers/peer_table.h"
#include "Placement/aborted_run_tracker.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

TEST_CASE("A process that starts later blocks a request that is blocked") {
  const Fingerprint fingerprint("f");
  const MonotonicTime start(100s);
  AbortedRunTracker tracker({});
  for (int i = 0; i < 3; ++i) {
    tracker.Handle(RunAborted{fingerprint}, start);
  }
  const MonotonicTime later = start + 30s;
  REQUIRE(tracker.IsBlocked(fingerprint, later));
  AbortedRunTracker started_later({});
  started_later.Handle(
      PeerAbortedRunsReported{VmId("a"), tracker.RunsToReport(later)}, later);
  CHECK(started_later.IsBlocked(fingerprint, later));
}

const Fingerprint kRequest("f");

MonotonicTime At(Duration since_start) {
  return MonotonicTime(100s + since_start);
}

// One process of a fleet.
struct Process {
  Process(int number, int members, uint64_t number_of_start = 1)
      : vm("g" + std::to_string(number)),
        incarnation(number_of_start),
        table({.self = vm}),
        tracker({.self = vm, .incarnation = incarnation}, &table) {
    PeerListRead listed;
    for (int i = 0; i < members; ++i) {
      listed.peers.push_back(
          {.vm = VmId("g" + std::to_string(i)), .address = {.port = 7000}});
    }
    table.Handle(listed, At(0s));
  }
  void Abort(Duration at) { tracker.Handle(RunAborted{kRequest}, At(at)); }
  void Complete(Duration at) { tracker.Handle(RunCompleted{kRequest}, At(at)); }
  bool Blocks(Duration at) const { return tracker.IsBlocked(kRequest, At(at)); }
  PeerAbortedRunsReported Report(Duration at) const {
    return {.vm = vm,
            .runs = tracker.RunsToReport(At(at)),
            .incarnation = incarnation,
            .completed = tracker.CompletionsToReport(At(at))};
  }
  void Hear(const PeerAbortedRunsReported& report, Duration at) {
    tracker.Handle(report, At(at));
  }
  // The runs that count against the request, from what it relays.
  uint32_t Count(Duration at) const {
    uint32_t count = 0;
    for (const AbortedRuns& runs : tracker.RunsToReport(At(at))) {
      count += runs.vm.empty() ? 0 : runs.count;
    }
    return count;
  }

  VmId vm;
  Incarnation incarnation;
  PeerTable table;
  AbortedRunTracker tracker;
};

using Fleet = std::vector<std::unique_ptr<Process>>;

Fleet MakeFleet(int members) {
  Fleet fleet;
  for (int i = 0; i < members; ++i) {
    fleet.push_back(std::make_unique<Process>(i, members));
  }
  return fleet;
}

// Every process sends its report, which takes `delay`. Returns how many relay.
int Exchange(Fleet& fleet, Duration at, Duration delay = 0s) {
  int relaying = 0;
  std::vector<PeerAbortedRunsReported> reports;
  for (const auto& process : fleet) {
    reports.push_back(process->Report(at));
    relaying += process->Count(at) > 0 ? 1 : 0;
  }
  for (size_t from = 0; from < fleet.size(); ++from) {
    for (size_t to = 0; to < fleet.size(); ++to) {
      if (from != to) {
        fleet[to]->Hear(reports[from], at + delay);
      }
    }
  }
  return relaying;
}

TEST_CASE("Aborted runs that several processes relay are not added up twice") {
  Fleet fleet = MakeFleet(3);
  fleet[0]->Abort(0s);
  fleet[0]->Abort(0s);
  fleet[1]->Abort(0s);
  for (int i = 0; i < 40; ++i) {
    Exchange(fleet, i * 250ms);
  }
  Process later(2, 1);
  later.Hear(fleet[0]->Report(20s), 20s);
  later.Hear(fleet[1]->Report(20s), 20s);
  later.Hear(fleet[2]->Report(20s), 20s);
  for (Duration at = 20s; at < 40s; at += 250ms) {
    later.Hear(fleet[0]->Report(at), at);
    later.Hear(fleet[1]->Report(at), at);
    later.Hear(fleet[2]->Report(at), at);
  }
  CHECK(later.Blocks(40s));
  CHECK(later.Count(40s) == 3);
}

TEST_CASE("A block that is relayed ends with its last aborted run's lifetime") {
  Fleet fleet = MakeFleet(4);
  for (int i = 0; i < 3; ++i) {
    fleet[0]->Abort(0s);
  }
  Duration at{0};
  for (; at < 10min; at += 250ms) {
    Exchange(fleet, at, 100ms);
  }
  for (const auto& process : fleet) {
    CHECK_FALSE(process->Blocks(10min + 1s));
  }
}

TEST_CASE("A completed run at one process ends the block at all of them") {
  Fleet fleet = MakeFleet(4);
  for (int i = 0; i < 3; ++i) {
    fleet[i]->Abort(0s);
  }
  Exchange(fleet, 0s);
  CHECK(fleet[3]->Blocks(1s));
  fleet[3]->Complete(1s);
  for (Duration at = 1s; at < 20s; at += 250ms) {
    Exchange(fleet, at);
    for (const auto& process : fleet) {
      CHECK_FALSE(process->Blocks(at));
    }
  }
}

TEST_CASE(
    "A process that missed a completed run doesn't bring the block back") {
  Fleet fleet = MakeFleet(3);
  for (int i = 0; i < 3; ++i) {
    fleet[0]->Abort(0s);
  }
  Exchange(fleet, 0s);
  fleet[1]->Complete(1s);
  fleet[2]->Hear(fleet[1]->Report(1s), 1s);
  for (Duration at = 30s; at < 40s; at += 250ms) {
    Exchange(fleet, at);
    CHECK_FALSE(fleet[1]->Blocks(at));
    CHECK_FALSE(fleet[2]->Blocks(at));
  }
  CHECK_FALSE(fleet[0]->Blocks(40s));
}

TEST_CASE("The aborted runs that a restarted process sees add up with others") {
  Process other(1, 2);
  Process first(0, 2, 1);
  first.Abort(0s);
  first.Abort(0s);
  other.Hear(first.Report(0s), 0s);
  Process second(0, 2, 2);
  second.Abort(2s);
  other.Hear(second.Report(2s), 2s);
  CHECK(other.Blocks(2s));
}

TEST_CASE("What blocks a request is relayed by few processes at a time") {
  Fleet fleet = MakeFleet(40);
  for (int i = 0; i < 3; ++i) {
    fleet[0]->Abort(0s);
  }
  Exchange(fleet, 0s);
  Exchange(fleet, 1s);
  constexpr int kRounds = 40;
  int relaying = 0;
  for (int i = 0; i < kRounds; ++i) {
    relaying += Exchange(fleet, 10s + i * 250ms);
  }
  CHECK(relaying > 0);
  CHECK(relaying <= 4 * kRounds);
}

// Whether the process may run the request; begins the trial if it is one.
bool Try(Process& process, Duration at) {
  const auto wait = process.tracker.TimeUntilTrial(kRequest, At(at));
  if (wait == Duration::zero()) {
    process.tracker.Handle(TrialBegun{kRequest}, At(at));
  }
  return wait.value_or(Duration::zero()) == Duration::zero();
}

TEST_CASE("A trial that was not run is not used up") {
  Fleet fleet = MakeFleet(1);
  for (int i = 0; i < 3; ++i) {
    fleet[0]->Abort(0s);
  }
  for (int i = 0; i < 5; ++i) {
    const Duration at = (i + 1) * 2s;
    REQUIRE(Try(*fleet[0], at));
    fleet[0]->tracker.Handle(TrialNotRun{kRequest}, At(at));
  }
  CHECK(Try(*fleet[0], 12s));
  CHECK_FALSE(Try(*fleet[0], 14s));
}

TEST_CASE("A request that crashes backend servers is tried three times") {
  Fleet fleet = MakeFleet(5);
  for (int i = 0; i < 3; ++i) {
    fleet[i]->Abort(0s);
  }
  Exchange(fleet, 0s);
  std::vector<Duration> trials;
  for (Duration at = 0s; at < 9min; at += 250ms) {
    Exchange(fleet, at, 50ms);
    // Callers try everywhere at the same time.
    for (const auto& process : fleet) {
      if (Try(*process, at + 100ms)) {
        trials.push_back(at);
      }
    }
  }
  REQUIRE(trials.size() == 3);
  CHECK(trials[0] <= 3s);
  CHECK(trials[1] <= 12s);
}

TEST_CASE("A sound request is served again after its first trial") {
  Fleet fleet = MakeFleet(5);
  for (int i = 0; i < 3; ++i) {
    fleet[i]->Abort(0s);
  }
  Exchange(fleet, 0s);
  Duration at = 0s;
  for (bool tried = false; !tried && at < 1min; at += 250ms) {
    Exchange(fleet, at);
    for (const auto& process : fleet) {
      if (!tried && Try(*process, at)) {
        tried = true;
        process->Complete(at + 100ms);
      }
    }
  }
  CHECK(at <= 3s);
  Exchange(fleet, at);
  for (const auto& process : fleet) {
    CHECK_FALSE(process->Blocks(at + 1s));
  }
}

TEST_CASE(
    "After the last trial, callers are told to wait for the block's end") {
  Process process(0, 1);
  for (int i = 0; i < 6; ++i) {
    process.Abort(0s);
  }
  const auto wait = process.tracker.TimeUntilTrial(kRequest, At(1min));
  REQUIRE(wait.has_value());
  CHECK(*wait == 9min);
}

}  // namespace
}  // namespace cowslip
