#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "Placement/placement_core.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const ServiceId kService("assistant");
const PlacementQuery kQuery{.service = kService};
const BackendId kBackend("b");

MonotonicTime At(Duration since_start) {
  return MonotonicTime(100s + since_start);
}

BackendRecord Record(uint64_t started_at_ms = 1) {
  return {.id = kBackend,
          .service = kService,
          .slots = 1000,
          .started_at_ms = started_at_ms};
}

VmId Member(int number) {
  return VmId("g" + std::to_string(number));
}

std::unique_ptr<PlacementCore> MakeCore(int self, int members) {
  auto core =
      std::make_unique<PlacementCore>(PlacementOptions{.self = Member(self)});
  FleetMembersChanged changed;
  for (int i = 0; i < members; ++i) {
    changed.members.push_back(Member(i));
  }
  core->Handle(changed, At(0s));
  core->Handle(BackendAdded{Record()}, At(0s));
  return core;
}

void Hear(PlacementCore& core,
          std::optional<RequestRate> limit,
          Duration at,
          Duration age = 0s) {
  core.Handle(BackendLimitHeard{{.backend = kBackend,
                                 .started_at_ms = 1,
                                 .limit = limit,
                                 .age = age}},
              At(at));
}

bool Sends(PlacementCore& core, WorkClass work, Duration at) {
  const auto placed = work == WorkClass::kOnline
                          ? core.PlaceOnline(kQuery, At(at))
                          : core.PlaceBatch(kQuery, At(at));
  if (placed.has_value()) {
    core.Handle(AttemptStarted{*placed, work}, At(at));
    core.Handle(AttemptEnded{*placed, work}, At(at));
  }
  return placed.has_value();
}

TEST_CASE("A limited backend server gets one request per interval") {
  const auto core = MakeCore(0, 1);
  CHECK(Sends(*core, WorkClass::kOnline, 0s));
  Hear(*core, RequestRate{2}, 0s);
  CHECK_FALSE(Sends(*core, WorkClass::kOnline, 400ms));
  CHECK(core->Load(kQuery, At(400ms)).backends == 0);
  CHECK(Sends(*core, WorkClass::kOnline, 500ms));
  CHECK_FALSE(Sends(*core, WorkClass::kOnline, 900ms));
  // Time that was not used does not add up.
  CHECK(Sends(*core, WorkClass::kOnline, 10s));
  CHECK_FALSE(Sends(*core, WorkClass::kOnline, 10s));
}

TEST_CASE("Batch items take only what online requests leave of a limit") {
  const auto core = MakeCore(0, 1);
  Hear(*core, RequestRate{2}, 0s);
  CHECK_FALSE(Sends(*core, WorkClass::kBatch, 600ms));
  CHECK(Sends(*core, WorkClass::kOnline, 600ms));
  CHECK_FALSE(Sends(*core, WorkClass::kBatch, 1500ms));
  CHECK(Sends(*core, WorkClass::kBatch, 1600ms));
}

TEST_CASE("A limit belongs to one incarnation, and ends when it is not named") {
  const auto core = MakeCore(0, 1);
  Hear(*core, RequestRate{1}, 0s);
  CHECK_FALSE(Sends(*core, WorkClass::kOnline, 100ms));
  core->Handle(BackendRemoved{kBackend}, At(100ms));
  core->Handle(BackendAdded{Record()}, At(200ms));
  CHECK_FALSE(Sends(*core, WorkClass::kOnline, 300ms));
  core->Handle(BackendAdded{Record(2)}, At(300ms));
  CHECK(Sends(*core, WorkClass::kOnline, 300ms));
  core->Handle(BackendAdded{Record(1)}, At(400ms));
  CHECK_FALSE(Sends(*core, WorkClass::kOnline, 400ms));
  Hear(*core, std::nullopt, 500ms);
  CHECK(Sends(*core, WorkClass::kOnline, 500ms));
  CHECK(Sends(*core, WorkClass::kOnline, 500ms));
}

TEST_CASE("The newest statement about a limit counts, whoever relays it") {
  const auto core = MakeCore(0, 1);
  Hear(*core, RequestRate{1}, 1s);
  // An older end of the limit, from another process.
  Hear(*core, std::nullopt, 1100ms, 500ms);
  CHECK(core->IsLimited(kBackend, 1));
  Hear(*core, std::nullopt, 1200ms, 100ms);
  CHECK_FALSE(core->IsLimited(kBackend, 1));
  // The limit that has ended comes back from a process that has not heard.
  Hear(*core, RequestRate{1}, 1300ms, 300ms);
  CHECK_FALSE(core->IsLimited(kBackend, 1));
  const auto reported = core->LimitsToReport(At(1300ms));
  REQUIRE(reported.size() == 1);
  CHECK_FALSE(reported[0].limit.has_value());
  CHECK(core->LimitsToReport(At(20s)).empty());
}

TEST_CASE("A limit of zero still lets through what shows its end") {
  const auto core = MakeCore(0, 1);
  Hear(*core, RequestRate{0}, 0s);
  CHECK_FALSE(Sends(*core, WorkClass::kOnline, 5s));
  CHECK(Sends(*core, WorkClass::kOnline, 10s));
}

TEST_CASE("Only the limits heard last are reported") {
  const auto core = MakeCore(0, 1);
  for (int i = 0; i < 1000; ++i) {
    core->Handle(BackendLimitHeard{{.backend = BackendId(std::to_string(i)),
                                    .started_at_ms = 1,
                                    .limit = RequestRate{1}}},
                 At(i * 1ms));
  }
  const auto reported = core->LimitsToReport(At(1s));
  REQUIRE(reported.size() == 256);
  CHECK(reported[0].backend == BackendId("999"));
}

// Processes that all want to send far more than the limit of one backend
// server. Each learns the limit from its own responses or from reports.
size_t MostWithinWindow(int members, double limit, uint64_t seed) {
  constexpr Duration kStep = 10ms;
  constexpr Duration kNotice = 3s;
  std::mt19937_64 random(seed);
  std::vector<std::unique_ptr<PlacementCore>> cores;
  for (int i = 0; i < members; ++i) {
    cores.push_back(MakeCore(i, members));
  }
  std::deque<Duration> sent;
  size_t most = 0;
  for (Duration at = 0s; at < 20s; at += kStep) {
    std::shuffle(cores.begin(), cores.end(), random);
    for (const auto& core : cores) {
      const WorkClass work =
          random() % 4 == 0 ? WorkClass::kBatch : WorkClass::kOnline;
      if (Sends(*core, work, at)) {
        Hear(*core, RequestRate{limit}, at);
        if (at >= kNotice) {
          sent.push_back(at);
        }
      }
    }
    while (!sent.empty() && at - sent.front() > 4s) {
      sent.pop_front();
    }
    most = std::max(most, sent.size());
    if (at % 100ms == 0ms) {
      const auto& reporter = cores[random() % cores.size()];
      for (BackendLimit heard : reporter->LimitsToReport(At(at))) {
        heard.age += 1ms;
        for (const auto& core : cores) {
          core->Handle(BackendLimitHeard{heard}, At(at));
        }
      }
    }
  }
  return most;
}

TEST_CASE("All processes together keep a limit, however many they are") {
  for (const int members : {1, 2, 4, 27, 200}) {
    for (const double limit : {0.3, 1.0, 2.3, 8.0, 50.0}) {
      INFO(members << " processes, limit " << limit);
      const size_t most = MostWithinWindow(members, limit, 7);
      CHECK(static_cast<double>(most) <= 6 * limit + 5);
      // Two thirds of the limit are used.
      CHECK(static_cast<double>(most) >= 4 * limit * 2 / 3);
    }
  }
}

}  // namespace
}  // namespace cowslip
