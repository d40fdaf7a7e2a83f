#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "Peers/peer_table.h"
#include "Placement/crash_suspect_core.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

// An accepted item must not stay away from all backend servers for longer.
constexpr Duration kMaxIdleTime = 5s;

// One process of a fleet `g0`, `g1`, ... whose requests all have the part `p`.
class Process {
 public:
  explicit Process(int self = 0, int members = 1)
      : m_vm(Name(self)),
        m_table({.self = m_vm}),
        m_core({.self = m_vm}, m_table) {
    PeerListRead listed;
    for (int i = 0; i < members; ++i) {
      listed.peers.push_back({.vm = Name(i), .address = {.port = 7000}});
    }
    m_table.Handle(listed, MonotonicTime());
  }

  static VmId Name(int number) { return VmId("g" + std::to_string(number)); }

  // Another backend server crashes under a run with `events`.
  void Crash(MonotonicTime now, uint32_t events = 0) {
    Crash(now, events, m_parts, std::exchange(m_is_trying, false));
  }
  // The same under a run that began before the trial.
  void CrashEarlierRun(MonotonicTime now) { Crash(now, 0, m_parts, false); }
  // Another backend server crashes under a run with other parts.
  void CrashElsewhere(MonotonicTime now) {
    Crash(now, 0, {PromptPartId("elsewhere" + std::to_string(m_crashes))},
          false);
  }
  // Service discovery shows the crash of a backend server that ran nothing.
  void VanishElsewhere(MonotonicTime now) {
    m_core.Handle(
        BackendVanished{.backend = BackendId("idle" + std::to_string(++m_idle)),
                        .started_at_ms = 1},
        now);
  }
  void Advance(MonotonicTime now, uint32_t events) {
    m_core.Handle(RunAdvanced{.parts = m_parts, .events = events}, now);
  }
  void EndTrial(MonotonicTime now, bool has_run) {
    m_core.Handle(TrialEnded{.parts = m_parts, .has_run = has_run}, now);
  }
  bool MayRun(MonotonicTime now) {
    const auto action = m_core.Handle(RunRequested{m_parts}, now);
    const auto* allowed = std::get_if<RunAllowed>(&action);
    m_is_trying |= allowed != nullptr && allowed->is_trial;
    return allowed != nullptr;
  }
  bool IsBlocked(MonotonicTime now) { return m_core.IsBlocked(m_parts, now); }
  CrashEvidence Evidence(MonotonicTime now) const {
    return m_core.EvidenceToReport(now);
  }
  void Hear(const Process& other, MonotonicTime now) {
    Hear(other, other.Evidence(now), now);
  }
  void Hear(const Process& other, CrashEvidence evidence, MonotonicTime now) {
    m_core.Handle(PeerCrashEvidenceReported{other.m_vm, std::move(evidence)},
                  now);
  }

 private:
  void Crash(MonotonicTime now,
             uint32_t events,
             const std::vector<PromptPartId>& parts,
             bool is_trial) {
    m_core.Handle(
        RunBrokenOff{.backend = BackendId(std::to_string(++m_crashes)),
                     .started_at_ms = 1,
                     .parts = parts,
                     .events = events,
                     .is_trial = is_trial},
        now);
  }

  const std::vector<PromptPartId> m_parts = {PromptPartId("p")};
  const VmId m_vm;
  PeerTable m_table;
  CrashSuspectCore m_core;
  int m_crashes = 0;
  int m_idle = 0;
  bool m_is_trying = false;
};

TEST_CASE(
    "A part is tried soon after waves of crashes, however many there were") {
  Process process;
  MonotonicTime now(100s);
  for (int wave = 0; wave < 10; ++wave) {
    now += 1s;
    for (int i = 0; i < 8; ++i) {
      now += 30ms;
      process.Crash(now);
    }
  }
  CHECK(process.MayRun(now + kMaxIdleTime));
}

TEST_CASE(
    "A trial that crashes together with other backend servers is repeated") {
  Process process;
  MonotonicTime now(100s);
  for (int i = 0; i < 3; ++i) {
    now += 100ms;
    process.Crash(now);
  }
  for (int wave = 0; wave < 10; ++wave) {
    now += 2s;
    REQUIRE(process.MayRun(now));
    process.Crash(now);
    for (int i = 0; i < 4; ++i) {
      now += 30ms;
      process.CrashElsewhere(now);
    }
  }
  CHECK(process.IsBlocked(now));
  CHECK(process.MayRun(now + kMaxIdleTime));
}

TEST_CASE(
    "A trial that crashes together with idle backend servers is repeated") {
  Process process;
  MonotonicTime now(100s);
  for (int i = 0; i < 3; ++i) {
    now += 100ms;
    process.Crash(now);
  }
  for (int wave = 0; wave < 10; ++wave) {
    now += 2s;
    REQUIRE(process.MayRun(now));
    process.Crash(now);
    for (int i = 0; i < 4; ++i) {
      process.VanishElsewhere(now + 900ms);
    }
  }
  CHECK(process.MayRun(now + kMaxIdleTime));
}

TEST_CASE("Backend servers that vanish later do not excuse a trial") {
  Process process;
  MonotonicTime now(100s);
  for (int i = 0; i < 3; ++i) {
    now += 100ms;
    process.Crash(now);
  }
  for (const Duration delay : {1s, 4s}) {
    now += delay;
    REQUIRE(process.MayRun(now));
    process.Crash(now);
  }
  for (int i = 0; i < 4; ++i) {
    process.VanishElsewhere(now + 6s);
  }
  CHECK_FALSE(process.MayRun(now + 15900ms));
  CHECK(process.MayRun(now + 16s));
}

TEST_CASE("Many later crashes do not fail a trial that proved nothing") {
  Process process;
  MonotonicTime now(100s);
  for (int i = 0; i < 3; ++i) {
    now += 100ms;
    process.Crash(now);
  }
  for (int trial = 0; trial < 3; ++trial) {
    now += 2s;
    REQUIRE(process.MayRun(now));
    process.Crash(now);
    for (int i = 0; i < 4; ++i) {
      process.CrashElsewhere(now + 10ms);
    }
  }
  for (int i = 0; i < 200; ++i) {
    now += 100ms;
    process.CrashElsewhere(now);
  }
  CHECK(process.MayRun(now + kMaxIdleTime));
}

TEST_CASE("A trial that crashes a backend server by itself delays the next") {
  Process process;
  MonotonicTime now(100s);
  for (int i = 0; i < 3; ++i) {
    now += 100ms;
    process.Crash(now);
  }
  for (const Duration delay : {1s, 4s, 16s, 64s}) {
    CHECK_FALSE(process.MayRun(now + delay - 10ms));
    now += delay;
    REQUIRE(process.MayRun(now));
    process.Crash(now);
  }
}

TEST_CASE("A trial that could not be sent is not used up") {
  Process process;
  MonotonicTime now(100s);
  for (int i = 0; i < 3; ++i) {
    now += 100ms;
    process.Crash(now);
  }
  now += 1s;
  REQUIRE(process.MayRun(now));
  CHECK_FALSE(process.MayRun(now));
  process.EndTrial(now, /*has_run=*/false);
  REQUIRE(process.MayRun(now));
  // A run that was stopped, such as an item that gave way, proves nothing.
  process.EndTrial(now, /*has_run=*/true);
  CHECK_FALSE(process.MayRun(now + 900ms));
  CHECK(process.MayRun(now + 1s));
}

TEST_CASE("A part whose run goes on past the crashes is not blocked") {
  Process process;
  Process other(1, 2);
  MonotonicTime now(100s);
  for (const uint32_t events : {40U, 7U, 0U}) {
    now += 100ms;
    process.Crash(now, events);
  }
  other.Hear(process, now);
  REQUIRE(process.IsBlocked(now));
  REQUIRE(other.IsBlocked(now));
  now += 1s;
  process.Advance(now, 32);
  CHECK_FALSE(process.IsBlocked(now));
  other.Hear(process, now);
  CHECK_FALSE(other.IsBlocked(now));
  // The crash after 40 events still counts, and two more block the part again.
  process.Crash(now + 100ms, 40);
  CHECK_FALSE(process.IsBlocked(now + 100ms));
  process.Crash(now + 200ms, 40);
  CHECK(process.IsBlocked(now + 200ms));
}

TEST_CASE("A report from before a part was cleared does not block it again") {
  Process process(0, 2);
  Process other(1, 2);
  MonotonicTime now(100s);
  for (int i = 0; i < 3; ++i) {
    now += 100ms;
    process.Crash(now);
  }
  other.Hear(process, now);
  now += 1s;
  const CrashEvidence old_evidence = other.Evidence(now);
  process.Advance(now + 10ms, 32);
  REQUIRE_FALSE(process.IsBlocked(now + 10ms));
  process.Hear(other, old_evidence, now + 20ms);
  CHECK_FALSE(process.IsBlocked(now + 20ms));
}

TEST_CASE("A run from before the block does not fail a trial") {
  Process process;
  MonotonicTime now(100s);
  for (int i = 0; i < 3; ++i) {
    now += 100ms;
    process.Crash(now);
  }
  now += 1s;
  REQUIRE(process.MayRun(now));
  process.CrashEarlierRun(now + 100ms);
  CHECK_FALSE(process.MayRun(now + 2s));
  process.EndTrial(now + 2s, /*has_run=*/true);
  CHECK(process.MayRun(now + 3s));
}

TEST_CASE("Trials that crash backend servers together all fail") {
  constexpr int kParts = 6;
  const VmId vm = Process::Name(0);
  PeerTable table({.self = vm});
  CrashSuspectCore core({.self = vm}, table);
  int backend = 0;
  const auto crash = [&](int part, bool is_trial, MonotonicTime now) {
    core.Handle(RunBrokenOff{.backend = BackendId(std::to_string(++backend)),
                             .started_at_ms = 1,
                             .parts = {PromptPartId(std::to_string(part))},
                             .is_trial = is_trial},
                now);
  };
  MonotonicTime now(100s);
  for (int i = 0; i < 3 * kParts; ++i) {
    now += 100ms;
    crash(i % kParts, false, now);
  }
  int trials = 0;
  for (const MonotonicTime end = now + 15s; now < end; now += 50ms) {
    for (int part = 0; part < kParts; ++part) {
      const auto action =
          core.Handle(RunRequested{{PromptPartId(std::to_string(part))}}, now);
      if (std::holds_alternative<RunAllowed>(action)) {
        ++trials;
        crash(part, true, now);
      }
    }
  }
  // After 1 s and 5 s; the third trial follows after 16 s more.
  CHECK(trials == 2 * kParts);
}

TEST_CASE("Processes that hold nothing back are passed over in the trials") {
  constexpr int kMembers = 20;
  std::vector<std::unique_ptr<Process>> fleet;
  MonotonicTime now(100s);
  for (int i = 0; i < kMembers; ++i) {
    fleet.push_back(std::make_unique<Process>(i, kMembers));
    for (int crash = 0; crash < 3; ++crash) {
      fleet.back()->Crash(now + crash * 100ms);
    }
  }
  now += 200ms;
  // Only two processes have requests with the part, whichever turn they have.
  Process& first = *fleet[3];
  Process& second = *fleet[11];
  int tried = 0;
  for (const MonotonicTime end = now + kMaxIdleTime; now < end; now += 100ms) {
    tried += first.MayRun(now) ? 1 : 0;
    tried += second.MayRun(now) ? 1 : 0;
    for (const auto& from : fleet) {
      first.Hear(*from, now);
      second.Hear(*from, now);
    }
  }
  CHECK(tried > 0);
}

}  // namespace
}  // namespace cowslip
