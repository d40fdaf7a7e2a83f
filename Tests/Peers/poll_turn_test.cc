#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Peers/poll_turn_core.h"
#include "Peers/staleness_budget.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

constexpr Duration kInterval = 800ms;
// The longest pause between two datagrams of a process at rest.
constexpr Duration kHeartbeat = 250ms;
constexpr Duration kAnswer = 20ms;

MonotonicTime At(Duration since_start) {
  return MonotonicTime(100s + since_start);
}

/// \class Fleet
/// \brief Processes that poll and tell each other of it.
class Fleet {
 public:
  explicit Fleet(size_t processes) {
    std::vector<VmId> names;
    for (size_t i = 0; i < processes; ++i) {
      names.push_back(VmId("vm-" + std::to_string(10 + i)));
    }
    // Each round of datagrams takes 10 ms for each peer.
    m_delay = std::max<Duration>(40ms, 10ms * static_cast<int64_t>(processes));
    for (const VmId& name : names) {
      Process& process = m_processes[name];
      process.core = std::make_unique<PollTurnCore>(
          PollTurnOptions{.self = name, .interval = kInterval}, At(0ms));
      process.core->Handle(PollersChanged{names}, At(0ms));
    }
  }

  void Play(Duration from, Duration to) {
    for (Duration now = from; now < to; now += 5ms) {
      for (auto& [vm, process] : m_processes) {
        if (!process.is_frozen) {
          Step(vm, process, now);
        }
      }
    }
  }
  /// The process whose turn comes next stands still; returns its name.
  VmId FreezeNext() {
    auto next = m_processes.begin();
    for (auto at = m_processes.begin(); at != m_processes.end(); ++at) {
      if (at->second.core->NextTurn() < next->second.core->NextTurn()) {
        next = at;
      }
    }
    next->second.is_frozen = true;
    return next->first;
  }
  const std::vector<Duration>& polls() const { return m_polls; }

 private:
  struct Process {
    std::unique_ptr<PollTurnCore> core;
    Duration next_datagram{0};
    std::optional<Duration> poll_began;
    bool is_frozen = false;
  };

  void Handle(Process& process, const PollTurnEvent& event, Duration now) {
    if (!process.core->Handle(event, At(now)).empty()) {
      m_polls.push_back(now);
      process.poll_began = now;
      process.next_datagram = std::min(process.next_datagram, now + m_delay);
    }
  }
  void Step(const VmId& vm, Process& process, Duration now) {
    if (process.poll_began.has_value() &&
        now >= *process.poll_began + kAnswer) {
      const OwnPollEnded ended{At(*process.poll_began), true};
      process.poll_began.reset();
      process.next_datagram = std::min(process.next_datagram, now + m_delay);
      Handle(process, ended, now);
    }
    Handle(process, PollTurnTick{}, now);
    if (now >= process.next_datagram) {
      process.next_datagram = now + kHeartbeat;
      const PollReport report = process.core->Report(At(now));
      for (auto& [peer, receiver] : m_processes) {
        if (peer != vm && !receiver.is_frozen) {
          Handle(receiver, PeerPollReported{vm, report}, now);
        }
      }
    }
  }

  std::map<VmId, Process> m_processes;
  Duration m_delay{0};
  std::vector<Duration> m_polls;
};

Duration LongestGap(const std::vector<Duration>& polls, Duration from) {
  Duration longest{0};
  for (size_t i = 1; i < polls.size(); ++i) {
    if (polls[i] >= from) {
      longest = std::max(longest, polls[i] - polls[i - 1]);
    }
  }
  return longest;
}

TEST_CASE("A fleet makes one poll an interval") {
  const size_t processes = GENERATE(1, 2, 5, 19, 28);
  INFO(processes << " processes");
  Fleet fleet(processes);
  fleet.Play(0s, 80s);
  CHECK(fleet.polls().size() >= 98);
  CHECK(fleet.polls().size() <= 101);
  CHECK(LongestGap(fleet.polls(), 0s) <= kInterval + 10ms);
}

// A process that stands still counts as live for a second.
TEST_CASE("A lost turn costs a pause and not an interval") {
  const size_t processes = GENERATE(2, 5, 19);
  const size_t frozen = GENERATE(1, 2);
  if (frozen >= processes) {
    return;
  }
  INFO(processes << " processes, " << frozen << " stand still");
  Fleet fleet(processes);
  fleet.Play(0s, 10s);
  for (size_t i = 0; i < frozen; ++i) {
    fleet.FreezeNext();
  }
  fleet.Play(10s, 20s);
  const auto pauses = static_cast<int64_t>(frozen);
  CHECK(LongestGap(fleet.polls(), 10s) <= kInterval + pauses * 250ms + 10ms);
}

TEST_CASE("A poll that is announced and never ends is made by another") {
  PollTurnCore core(PollTurnOptions{.self = VmId("b")}, At(0ms));
  core.Handle(PollersChanged{{VmId("a"), VmId("b")}}, At(0ms));
  core.Handle(PeerPollReported{VmId("a"), {.running_age = 0ms}}, At(800ms));
  CHECK(core.Handle(PollTurnTick{}, At(1290ms)).empty());
  CHECK(core.Handle(PollTurnTick{}, At(1300ms)).size() == 1);
}

TEST_CASE("A failed poll is repeated soon, and then ever more rarely") {
  PollTurnCore core(PollTurnOptions{.self = VmId("a")}, At(0ms));
  std::vector<Duration> polls;
  for (Duration now = 0ms; now < 10s; now += 10ms) {
    if (!core.Handle(PollTurnTick{}, At(now)).empty()) {
      polls.push_back(now);
      core.Handle(OwnPollEnded{At(now), false}, At(now));
    }
  }
  REQUIRE(polls.size() > 2);
  CHECK(polls[1] - polls[0] <= 200ms);
  CHECK(polls.size() <= 12);
}

// Otherwise the end of a late poll would count as that of a newer one.
TEST_CASE("A poll that ends after the next one began counts from its begin") {
  PollTurnCore core(PollTurnOptions{.self = VmId("a")}, At(0ms));
  CHECK(core.Handle(PollTurnTick{}, At(800ms)).size() == 1);
  CHECK(core.Handle(PollTurnTick{}, At(1300ms)).size() == 1);
  core.Handle(OwnPollEnded{At(800ms), true}, At(1350ms));
  CHECK(core.Report(At(1350ms)) ==
        PollReport{.completed_age = 550ms, .running_age = 50ms});
}

// The steps of the worst case on which the figures are based.
TEST_CASE("The steps of a change without a watch fit into the bound") {
  const Duration bound = GENERATE(2000ms, 3000ms);
  const StalenessBudget budget = DivideBound(bound);
  constexpr Duration kSlowAnswer = 300ms;
  constexpr Duration kLostTurn = 250ms;
  constexpr Duration kDatagram = 100ms;
  constexpr Duration kTick = 100ms;
  CHECK(budget.poll_interval + kLostTurn + kSlowAnswer + kDatagram +
            budget.grace_period + kTick + kSlowAnswer <=
        bound);
  CHECK(budget.read_timeout > kSlowAnswer);
}

TEST_CASE("Bounds that cannot be divided sensibly count as the nearest one") {
  CHECK(DivideBound(1ms) == DivideBound(500ms));
  CHECK(DivideBound(1h) == DivideBound(3s));
}

}  // namespace
}  // namespace cowslip
