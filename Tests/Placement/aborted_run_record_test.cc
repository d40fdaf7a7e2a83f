// What blocks a request outlives the processes that have seen it.
#include <map>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "Peers/peer_table.h"
#include "Placement/aborted_run_tracker.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const Fingerprint kRequest("f");
// Runs that may reach backend servers after the third crash.
constexpr int kAllowedRuns = 3;

MonotonicTime At(Duration since_start) {
  return MonotonicTime(1000s + since_start);
}

// One gateway, which records at once unless the store is down.
struct Gateway {
  Gateway(int number, uint64_t start)
      : vm("g" + std::to_string(number)),
        tracker({.self = vm, .incarnation = Incarnation(start)}) {}

  VmId vm;
  AbortedRunTracker tracker;
};

struct Record {
  std::vector<AbortedRuns> runs;
  Duration written{0};
};

// Gateways with a store that keeps what each of them records. They hear of each
// other's runs at once.
struct Fleet {
  explicit Fleet(int size) : m_size(size) { StartAll(0s, true); }

  void StartAll(Duration at, bool reaches_store) {
    m_gateways.clear();
    ++m_starts;
    for (int i = 0; i < m_size; ++i) {
      m_gateways.push_back(std::make_unique<Gateway>(i, m_starts));
      AbortedRunTracker& tracker = m_gateways.back()->tracker;
      tracker.Handle(AbortedRunRecordsAwaited{}, At(at));
      AbortedRunRecordsRead read{.are_complete = reaches_store};
      for (const auto& [vm, record] : m_records) {
        for (AbortedRuns runs : record.runs) {
          runs.age += at - record.written;
          read.runs.push_back(std::move(runs));
        }
      }
      tracker.Handle(read, At(at));
    }
  }
  // Sends the request by the gateway, if it may be sent. The backend server
  // that runs it crashes.
  bool Send(size_t index, Duration at) {
    AbortedRunTracker& tracker = m_gateways[index]->tracker;
    const auto wait = tracker.TimeUntilTrial(kRequest, At(at));
    if (wait.value_or(0s) > 0s) {
      return false;
    }
    if (wait.has_value()) {
      tracker.Handle(TrialBegun{kRequest}, At(at));
      if (is_store_down) {
        tracker.Handle(TrialNotRun{kRequest}, At(at));
        return false;
      }
    } else {
      tracker.Handle(RunAborted{kRequest}, At(at));
    }
    const Gateway& sender = *m_gateways[index];
    const PeerAbortedRunsReported report{.vm = sender.vm,
                                         .runs = tracker.RunsToReport(At(at)),
                                         .incarnation = Incarnation(m_starts)};
    for (const auto& gateway : m_gateways) {
      if (gateway->vm != sender.vm) {
        gateway->tracker.Handle(report, At(at));
      }
      if (!is_store_down) {
        m_records[gateway->vm] = {gateway->tracker.RunsToRecord(At(at)), at};
      }
    }
    return true;
  }

  bool is_store_down = false;

 private:
  const int m_size;
  uint64_t m_starts = 0;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
  std::map<VmId, Record> m_records;
};

// Lets the request come to one gateway after the other and returns how many of
// its runs come after the third. All gateways are killed each time that
// `kill_every` has passed.
int RunsAfterTheThird(Fleet& fleet, Duration kill_every, Duration until) {
  int runs = 0;
  Duration next_kill = kill_every;
  size_t turn = 0;
  for (Duration at = 0s; at < until; at += 500ms) {
    if (at >= next_kill) {
      fleet.StartAll(at, true);
      next_kill += kill_every;
    }
    runs += fleet.Send(turn++ % 4, at) ? 1 : 0;
  }
  return std::max(runs - 3, 0);
}

// Guards against a request that crashes backend servers again after each loss
// of all gateways: its block and its trials were known to them alone.
TEST_CASE("A blocked request stays blocked when all gateways are lost") {
  for (Duration kill_every = 2s; kill_every < 60s; kill_every += 500ms) {
    Fleet fleet(4);
    INFO("killed every " << ToMillis(kill_every) << " ms");
    CHECK(RunsAfterTheThird(fleet, kill_every, 9min) <= kAllowedRuns);
  }
}

// Guards against a block that the store did not take before all gateways were
// lost.
TEST_CASE("Runs that could not be recorded before a loss of all are assumed") {
  Fleet fleet(4);
  fleet.is_store_down = true;
  for (size_t i = 0; i < 3; ++i) {
    REQUIRE(fleet.Send(i, 0s));
  }
  // No trial is sent that can't be recorded.
  for (Duration at = 0s; at < 2min; at += 500ms) {
    REQUIRE_FALSE(fleet.Send(0, at));
  }
  fleet.StartAll(2min, false);
  fleet.is_store_down = false;
  int runs = 0;
  for (Duration at = 2min; at < 10min; at += 500ms) {
    runs += fleet.Send(static_cast<size_t>(ToMillis(at) / 500 % 4), at) ? 1 : 0;
  }
  CHECK(runs > 0);
  CHECK(runs <= kAllowedRuns);
}

TEST_CASE("One aborted run blocks a request until the records are read") {
  AbortedRunTracker tracker({.self = VmId("g")});
  tracker.Handle(AbortedRunRecordsAwaited{}, At(0s));
  CHECK_FALSE(tracker.TimeUntilTrial(kRequest, At(0s)).has_value());
  tracker.Handle(RunAborted{kRequest}, At(0s));
  CHECK(tracker.TimeUntilTrial(kRequest, At(10s)) > Duration::zero());
  tracker.Handle(AbortedRunRecordsRead{}, At(11s));
  CHECK_FALSE(tracker.TimeUntilTrial(kRequest, At(11s)).has_value());
}

// A process that starts alone learns what blocks requests from the others.
TEST_CASE("No runs are assumed where a process has run all the while") {
  AbortedRunTracker tracker({.self = VmId("g")});
  tracker.Handle(AbortedRunRecordsRead{.are_complete = false}, At(0s));
  tracker.Handle(
      PeerAbortedRunsReported{.vm = VmId("h"), .has_run_longer = true}, At(1s));
  tracker.Handle(RunAborted{kRequest}, At(2s));
  tracker.Handle(RunAborted{kRequest}, At(3s));
  CHECK_FALSE(tracker.IsBlocked(kRequest, At(3s)));
}

TEST_CASE("A request that was run to completion is recorded no more") {
  AbortedRunTracker tracker({.self = VmId("g")});
  for (int i = 0; i < 3; ++i) {
    tracker.Handle(RunAborted{kRequest}, At(0s));
  }
  const uint64_t changes = tracker.record_changes();
  CHECK(changes > 0);
  CHECK(tracker.RunsToRecord(At(0s)).size() == 1);
  tracker.Handle(RunCompleted{kRequest}, At(1s));
  CHECK(tracker.record_changes() > changes);
  CHECK(tracker.RunsToRecord(At(1s)).empty());
}

TEST_CASE("Aborted runs that block nothing are not recorded") {
  AbortedRunTracker tracker({.self = VmId("g")});
  tracker.Handle(RunAborted{kRequest}, At(0s));
  tracker.Handle(RunAborted{kRequest}, At(0s));
  CHECK(tracker.record_changes() == 0);
  CHECK(tracker.RunsToRecord(At(0s)).empty());
}

}  // namespace
}  // namespace cowslip
