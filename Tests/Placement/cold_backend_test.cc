#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "cold_wave_replay.h"

namespace cowslip {
namespace {

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

bool IsCold(const PlacementCore& core, Duration at) {
  return core.cold_backends().IsCold(BackendId("b0"), 1, At(at));
}

TEST_CASE("Without the settings or a cold rate, nothing is bounded") {
  const auto without_settings = MakeCore(0, 1, 0s, std::nullopt);
  const auto without_rate = MakeCore(0, 1, 0s);
  without_rate->Handle(ColdServicesChanged{{{kService, {}}}}, At(0s));
  for (PlacementCore* core : {without_settings.get(), without_rate.get()}) {
    core->Handle(BackendAdded{Record(0, 1000)}, At(0s));
    core->Handle(Entry(0, kColdStart, 1), At(0s));
    for (int i = 0; i < 100; ++i) {
      CHECK(Sends(*core, WorkClass::kOnline, 1ms));
    }
    CHECK(core->cold_backends().MayAttempt(Record(0, 1), WorkClass::kBatch,
                                           At(1ms)));
  }
}

TEST_CASE("A cold backend server gets one request per interval, items less") {
  const auto core = MakeCore(0, 1, 0s);
  core->Handle(BackendAdded{Record(0, 1000)}, At(0s));
  core->Handle(Entry(0, kColdStart, 1), At(2s));
  CHECK_FALSE(Sends(*core, WorkClass::kOnline, 2050ms));
  CHECK(core->Load(kQuery, At(2050ms)).backends == 0);
  CHECK(Sends(*core, WorkClass::kOnline, 2100ms));
  CHECK_FALSE(Sends(*core, WorkClass::kOnline, 2150ms));
  CHECK_FALSE(Sends(*core, WorkClass::kBatch, 2250ms));
  CHECK(Sends(*core, WorkClass::kBatch, 2300ms));
  CHECK(IsCold(*core, 4999ms));
  CHECK_FALSE(IsCold(*core, 5s));
}

// Guards against refusals when all callers come back to gateways that have just
// started together.
TEST_CASE("A gateway that has just started spares only cold servers") {
  const auto core = MakeCore(0, 19, 10s);
  core->Handle(Entry(0, kColdStart, 1), At(10s));
  core->Handle(BackendAdded{Record(0, 8)}, At(10s));
  core->Handle(BackendAdded{Record(1, 8)}, At(10s));
  const auto placed = core->PlaceOnline(kQuery, At(10s));
  REQUIRE(placed == Record(1, 8).id);
  core->Handle(AttemptStarted{*placed, WorkClass::kOnline}, At(10s));
  CHECK_FALSE(core->PlaceOnline(kQuery, At(10s + 900ms)).has_value());
}

TEST_CASE("The same cold time in a newer entry counts again, repeated not") {
  const auto core = MakeCore(0, 1, 0s);
  core->Handle(BackendAdded{Record(0, 8)}, At(0s));
  core->Handle(Entry(0, kColdStart, 1), At(2s));
  core->Handle(Entry(0, kColdStart, 1), At(4s));
  CHECK_FALSE(IsCold(*core, 5s));
  core->Handle(Entry(0, kColdStart, 2), At(6s));
  CHECK(IsCold(*core, 8s));
  // A newer entry with zero ends it, an older one does not come back.
  core->Handle(Entry(0, 0s, 3), At(8s));
  CHECK_FALSE(IsCold(*core, 8s));
  BackendColdHeard report = Entry(0, 1s, 2);
  report.source = ColdSource::kPeer;
  core->Handle(report, At(8s));
  CHECK_FALSE(IsCold(*core, 8s));
}

TEST_CASE("An absurd cold time leaves what was known in force") {
  const auto core = MakeCore(0, 1, 0s);
  core->Handle(BackendAdded{Record(0, 8)}, At(0s));
  core->Handle(Entry(0, kColdStart, 1), At(2s));
  core->Handle(Entry(0, 10 * kColdStart + 1ms, 2), At(2s));
  CHECK(IsCold(*core, 4s));
  CHECK_FALSE(IsCold(*core, 5s));
  const auto actions = core->TakeColdActions(At(5s));
  REQUIRE(actions.size() == 3);
  CHECK(std::holds_alternative<BackendTurnedCold>(actions[0]));
  CHECK(std::holds_alternative<ColdStatementRejected>(actions[1]));
  CHECK(std::holds_alternative<BackendTurnedWarm>(actions[2]));
}

TEST_CASE("Processes that report to each other do not prolong a cold time") {
  const auto a = MakeCore(0, 2, 0s);
  const auto b = MakeCore(1, 2, 0s);
  for (PlacementCore* core : {a.get(), b.get()}) {
    core->Handle(BackendAdded{Record(0, 8)}, At(0s));
  }
  a->Handle(Entry(0, kColdStart, 1), At(2s));
  for (Duration at = 2s; at < 6s; at += 50ms) {
    for (const auto& [from, to] : {std::pair(&a, &b), std::pair(&b, &a)}) {
      for (const auto& cold : (*from)->cold_backends().ToReport(At(at))) {
        (*to)->Handle(BackendColdHeard{cold, ColdSource::kPeer}, At(at + 40ms));
      }
    }
  }
  CHECK(IsCold(*b, 4900ms));
  CHECK_FALSE(IsCold(*a, 5s + 200ms));
  CHECK_FALSE(IsCold(*b, 5s + 200ms));
}

// Guards against gateways that each send what seems harmless to them and crash
// a backend server together: all want to send far more than it tolerates, and
// learn that it is cold at different times, or never.
size_t MostUnderPressure(size_t members, uint64_t seed) {
  constexpr size_t kServers = 3;
  constexpr Duration kEnd = 40s;
  std::mt19937_64 random(seed);
  std::vector<std::unique_ptr<PlacementCore>> cores;
  std::vector<ColdServer> servers(kServers);
  std::vector<std::pair<Duration, uint64_t>> entries(kServers);
  std::multimap<Duration, std::pair<size_t, BackendColdHeard>> notices;
  const auto start = [&](size_t self, Duration at) {
    // Some have not seen the last registration yet.
    auto core =
        MakeCore(self, members - (self + 1 < members && self % 4 == 1), at);
    for (size_t i = 0; i < kServers; ++i) {
      core->Handle(BackendAdded{Record(i, 1000)}, At(at));
      if (at < entries[i].first) {
        core->Handle(Entry(i, entries[i].first - at, entries[i].second),
                     At(at));
      }
    }
    return core;
  };
  for (size_t i = 0; i < members; ++i) {
    cores.push_back(start(i, 0s));
  }
  Duration next_cold = 2s;
  Duration next_restart = 11s;
  uint64_t version = 0;
  for (Duration at = 0s; at < kEnd; at += kStep) {
    if (at >= next_cold) {
      const size_t server = random() % kServers;
      servers[server].TurnCold(at);
      entries[server] = {at + kColdStart, ++version};
      for (size_t i = 0; i < members; ++i) {
        if (random() % 4 > 0) {
          const Duration delay = std::chrono::milliseconds(random() % 2000);
          notices.emplace(at + delay,
                          std::pair(i, Entry(server, kColdStart, version)));
        }
      }
      next_cold = at + std::chrono::milliseconds(random() % 2500);
    }
    if (at >= next_restart) {
      for (size_t i = 0; i < members; ++i) {
        cores[i] = start(i, at);
      }
      next_restart = at + 7s;
    }
    while (!notices.empty() && notices.begin()->first <= at) {
      const auto& [core, heard] = notices.begin()->second;
      cores[core]->Handle(heard, At(at));
      notices.erase(notices.begin());
    }
    if (at % 50ms == 0ms) {
      // The last core is cut off from the others.
      const auto& from = cores[random() % members];
      for (const auto& cold : from->cold_backends().ToReport(At(at))) {
        for (size_t i = 0; i + 1 < members; ++i) {
          cores[i]->Handle(BackendColdHeard{cold, ColdSource::kPeer}, At(at));
        }
      }
    }
    for (size_t i = 0; i < members; ++i) {
      const WorkClass work =
          random() % 4 == 0 ? WorkClass::kBatch : WorkClass::kOnline;
      while (true) {
        const auto placed = work == WorkClass::kOnline
                                ? cores[i]->PlaceOnline(kQuery, At(at))
                                : cores[i]->PlaceBatch(kQuery, At(at));
        if (!placed.has_value()) {
          break;
        }
        cores[i]->Handle(AttemptStarted{*placed, work}, At(at));
        cores[i]->Handle(AttemptEnded{*placed, work}, At(at));
        servers[std::stoul(placed->value().substr(1))].Receive(at);
      }
    }
  }
  size_t most = 0;
  for (const ColdServer& server : servers) {
    most = std::max(most, server.most);
  }
  return most;
}

TEST_CASE(
    "A cold backend server gets no more than it tolerates, whatever the "
    "gateways know") {
  for (const size_t members : {1, 2, 4, 7, 12, 19, 20, 28, 60}) {
    for (const uint64_t seed : {1, 2, 3}) {
      INFO(members << " gateways, seed " << seed);
      const size_t most = MostUnderPressure(members, seed);
      CHECK(most <= kMaxInWindow);
      CHECK(most > 0);
    }
  }
}

TEST_CASE("A zone that returns cold at a wave's peak: even gateways") {
  WaveReplay replay(1, false);
  ReturnZoneCold(replay);
  CHECK(replay.MostAtColdServer() <= kMaxInWindow);
  CHECK(replay.MostAtColdServer() > 0);
  // The 28 warm ones have 224 slots, and the peak needs 150.
  CHECK(replay.refused == 0);
}

TEST_CASE("A release with a third of the servers cold over a full backlog") {
  WaveReplay replay(1, true);
  for (size_t i = 0; i < WaveReplay::kServers; ++i) {
    replay.Add(i, 0s);
  }
  replay.Run(2s, 6s);
  replay.ResetCounts();
  for (size_t i = 0; i < WaveReplay::kServers; i += 3) {
    replay.TurnCold(i, 6s);
  }
  replay.Run(6s, 6s + kColdStart);
  WARN(replay.served << " served, " << replay.refused << " refused, "
                     << replay.items << " items in 3 s");
  CHECK(replay.MostAtColdServer() <= kMaxInWindow);
  // Items take only what online requests leave.
  CHECK(replay.refused == 0);
}

}  // namespace
}  // namespace cowslip
