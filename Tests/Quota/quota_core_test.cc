#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "Quota/quota_core.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const OrganisationId kOrganisation("furniture");

MonotonicTime At(Duration since_start) {
  return MonotonicTime(1000s + since_start);
}

bool Admits(QuotaCore& core, Duration at) {
  const QuotaAction action =
      core.Handle(QuotaCheckRequested{kOrganisation}, At(at));
  return std::holds_alternative<QuotaAdmitted>(action);
}

void SetQuota(QuotaCore& core, double rate, double burst, Duration at) {
  core.Handle(QuotasChanged{{{kOrganisation, rate, burst}}}, At(at));
}

/// Simulates several processes that exchange delayed usage reports.
class QuotaFleet {
 public:
  QuotaFleet(size_t size, double rate, double burst) : m_isolated(size, false) {
    for (size_t i = 0; i < size; ++i) {
      m_cores.push_back(std::make_unique<QuotaCore>(QuotaOptions{}));
      m_cores.back()->Handle(
          FleetSizeChanged{.members = static_cast<uint32_t>(size)}, At(0s));
      SetQuota(*m_cores.back(), rate, burst, 0s);
    }
  }

  // Isolates one process from the others; NotifySilent reports it to all.
  void Isolate(size_t index) { m_isolated[index] = true; }
  void NotifySilent(Duration at) {
    const auto isolated = static_cast<uint32_t>(
        std::count(m_isolated.begin(), m_isolated.end(), true));
    const auto size = static_cast<uint32_t>(m_cores.size());
    for (size_t i = 0; i < m_cores.size(); ++i) {
      m_cores[i]->Handle(
          FleetSizeChanged{.members = size,
                           .silent = m_isolated[i] ? size - 1 : isolated},
          At(at));
    }
  }

  void Request(size_t index, Duration at) {
    Deliver(at);
    if (Admits(*m_cores[index], at)) {
      m_admitted.push_back(at);
    } else {
      ++m_refused;
    }
  }

  // Sends the usage of every process; it is delivered after `lag`.
  void Report(Duration at, Duration lag) {
    for (size_t i = 0; i < m_cores.size(); ++i) {
      if (!m_isolated[i]) {
        m_reports.push_back({at + lag, i, m_cores[i]->Usage()});
      }
    }
  }

  size_t MaxAdmittedWithin(Duration window) const {
    size_t most = 0;
    size_t begin = 0;
    for (size_t end = 0; end < m_admitted.size(); ++end) {
      while (m_admitted[end] - m_admitted[begin] > window) {
        ++begin;
      }
      most = std::max(most, end - begin + 1);
    }
    return most;
  }
  size_t refused() const { return m_refused; }
  size_t admitted() const { return m_admitted.size(); }

 private:
  struct PendingReport {
    Duration arrives;
    size_t from;
    std::vector<OrganisationUsage> usage;
  };

  void Deliver(Duration at) {
    while (!m_reports.empty() && m_reports.front().arrives <= at) {
      const PendingReport& report = m_reports.front();
      for (size_t i = 0; i < m_cores.size(); ++i) {
        if (i != report.from && !m_isolated[i]) {
          m_cores[i]->Handle(
              PeerUsageReported{VmId(std::to_string(report.from)),
                                Incarnation(1), report.arrives, report.usage},
              At(report.arrives));
        }
      }
      m_reports.pop_front();
    }
  }

  std::vector<std::unique_ptr<QuotaCore>> m_cores;
  std::vector<bool> m_isolated;
  std::deque<PendingReport> m_reports;
  std::vector<Duration> m_admitted;
  size_t m_refused = 0;
};

// Maximum admissions that the platform tolerates in a window of five seconds.
size_t MaxAllowed(double rate, double burst) {
  return static_cast<size_t>((rate * 5 + burst) * 1.1 + 20);
}

// Sends requests of one organisation through randomly chosen processes, at a
// mean rate of `per_second`, from `begin` to `end`.
void SendLoad(QuotaFleet& fleet,
              size_t size,
              double per_second,
              uint64_t seed,
              Duration begin,
              Duration end) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(per_second);
  std::uniform_int_distribution<size_t> pick(0, size - 1);
  Duration at = begin;
  Duration next_report = begin;
  while (at < end) {
    at += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
    while (next_report <= at) {
      fleet.Report(next_report, 5ms);
      next_report += 50ms;
    }
    fleet.Request(pick(random), at);
  }
}

TEST_CASE("An overloading organisation stays within its fleet-wide quota") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(5, 35, 35);
    SendLoad(fleet, 5, 260, seed, 0s, 30s);
    CHECK(fleet.MaxAdmittedWithin(5s) <= MaxAllowed(35, 35));
    // The organisation can also use nearly all of its quota.
    CHECK(fleet.admitted() >= 0.9 * 35 * 30);
  }
}

TEST_CASE("An organisation within its rate is never refused") {
  QuotaFleet fleet(5, 35, 35);
  SendLoad(fleet, 5, 20, 1, 2s, 30s);
  CHECK(fleet.refused() == 0);
}

TEST_CASE("Both sides of a network partition together stay within the quota") {
  QuotaFleet fleet(5, 35, 35);
  SendLoad(fleet, 5, 260, 1, 0s, 5s);
  fleet.Isolate(2);
  SendLoad(fleet, 5, 260, 2, 5s, 6s);
  fleet.NotifySilent(6s);
  SendLoad(fleet, 5, 260, 3, 6s, 20s);
  CHECK(fleet.MaxAdmittedWithin(5s) <= MaxAllowed(35, 35));
}

TEST_CASE("Repeated usage reports are charged once") {
  QuotaCore core{QuotaOptions{}};
  core.Handle(FleetSizeChanged{.members = 1}, At(0s));
  SetQuota(core, 10, 10, 0s);
  const PeerUsageReported report{
      VmId("b"), Incarnation(1), 0s, {{kOrganisation, 4}}};
  for (int i = 0; i < 3; ++i) {
    core.Handle(report, At(0s));
  }
  int admitted = 0;
  while (Admits(core, 0s)) {
    ++admitted;
  }
  // The burst of ten, less four admitted by the peer, less its estimated
  // unreported admissions.
  CHECK(admitted <= 6);
  CHECK(admitted >= 5);
}

TEST_CASE("The usage of a restarted process is counted from zero") {
  QuotaCore core{QuotaOptions{}};
  core.Handle(FleetSizeChanged{.members = 1}, At(0s));
  SetQuota(core, 10, 10, 0s);
  core.Handle(
      PeerUsageReported{VmId("b"), Incarnation(1), 0s, {{kOrganisation, 4}}},
      At(0s));
  core.Handle(
      PeerUsageReported{VmId("b"), Incarnation(2), 0s, {{kOrganisation, 4}}},
      At(0s));
  int admitted = 0;
  while (Admits(core, 0s)) {
    ++admitted;
  }
  CHECK(admitted <= 2);
}

// Time until a request of the organisation is admitted again.
Duration FirstAdmission(QuotaCore& core, Duration from) {
  for (Duration at = from; at < from + 20s; at += 10ms) {
    if (Admits(core, at)) {
      return at - from;
    }
  }
  return 20s;
}

TEST_CASE("A process that joins is not charged for earlier admissions") {
  QuotaCore core{QuotaOptions{}};
  core.Handle(FleetSizeChanged{.members = 4}, At(0s));
  SetQuota(core, 30, 30, 0s);
  for (const char* vm : {"b", "c", "d"}) {
    core.Handle(PeerUsageReported{.vm = VmId(vm),
                                  .incarnation = Incarnation(1),
                                  .uptime = 100s,
                                  .usage = {{kOrganisation, 700}}},
                At(20ms));
  }
  CHECK(FirstAdmission(core, 20ms) <= 100ms);
}

// Guards against a fleet that restarts at once and hands out a burst for each
// process: the quotas may be known before the other processes are.
TEST_CASE("A process that doesn't know the others takes no whole burst") {
  QuotaCore core{QuotaOptions{}};
  SetQuota(core, 1, 40, 0s);
  CHECK_FALSE(Admits(core, 0s));
  core.Handle(FleetSizeChanged{.members = 4}, At(0s));
  int admitted = 0;
  while (Admits(core, 0s)) {
    ++admitted;
  }
  CHECK(admitted == 10);
  // Later changes of the fleet bring nothing.
  core.Handle(FleetSizeChanged{.members = 5}, At(100ms));
  CHECK_FALSE(Admits(core, 100ms));
}

TEST_CASE("After a silence only the usage before its detection is charged") {
  QuotaCore core{QuotaOptions{}};
  core.Handle(FleetSizeChanged{.members = 2}, At(0s));
  SetQuota(core, 30, 30, 0s);
  const auto report = [&](uint64_t admitted, Duration at) {
    core.Handle(PeerUsageReported{.vm = VmId("b"),
                                  .incarnation = Incarnation(1),
                                  .uptime = at,
                                  .usage = {{kOrganisation, admitted}}},
                At(at));
  };
  report(0, 0s);
  // Once both have detected the silence, the peer admits half of the rate.
  core.Handle(FleetSizeChanged{.members = 2, .silent = 1}, At(1s));
  report(90, 5s);
  core.Handle(FleetSizeChanged{.members = 2}, At(5s));
  // A fifth of the silence was undetected: 18 of 90 admissions are charged.
  CHECK(Admits(core, 5s));
}

TEST_CASE("The usage during a short silence of a peer is charged in full") {
  QuotaCore core{QuotaOptions{}};
  core.Handle(FleetSizeChanged{.members = 2}, At(0s));
  SetQuota(core, 30, 30, 0s);
  core.Handle(PeerUsageReported{.vm = VmId("b"), .incarnation = Incarnation(1)},
              At(0s));
  core.Handle(PeerUsageReported{.vm = VmId("b"),
                                .incarnation = Incarnation(1),
                                .uptime = 900ms,
                                .usage = {{kOrganisation, 60}}},
              At(900ms));
  CHECK(FirstAdmission(core, 900ms) >= 900ms);
}

TEST_CASE("A lowered quota applies at once, a removed one no longer applies") {
  QuotaCore core{QuotaOptions{}};
  core.Handle(FleetSizeChanged{.members = 1}, At(0s));
  SetQuota(core, 100, 100, 0s);
  SetQuota(core, 1, 1, 0s);
  CHECK(Admits(core, 0s));
  CHECK_FALSE(Admits(core, 0s));
  SetQuota(core, 0, 0, 0s);
  CHECK(Admits(core, 0s));
  CHECK(Admits(core, 0s));
}

// Guards against processes that each keep to a restored quota alone: their
// counts began anew and were taken for old reports.
TEST_CASE("A quota that is lifted and restored holds over all processes") {
  QuotaCore core{QuotaOptions{}};
  QuotaCore peer{QuotaOptions{}};
  const auto change_both = [&](double rate, double burst, Duration at) {
    SetQuota(core, rate, burst, at);
    SetQuota(peer, rate, burst, at);
  };
  const auto report = [&](Duration at) {
    core.Handle(PeerUsageReported{.vm = VmId("b"),
                                  .incarnation = Incarnation(1),
                                  .uptime = at,
                                  .usage = peer.Usage()},
                At(at));
  };
  for (QuotaCore* each : {&core, &peer}) {
    each->Handle(FleetSizeChanged{.members = 2}, At(0s));
  }
  change_both(10, 20, 0s);
  for (Duration at = 0s; at < 5s; at += 100ms) {
    (void)Admits(peer, at);
    report(at);
  }
  change_both(0, 0, 5s);
  report(5s);
  change_both(10, 20, 6s);
  int admitted = 0;
  for (Duration at = 6s; at < 16s; at += 20ms) {
    admitted += Admits(peer, at) ? 1 : 0;
    report(at);
  }
  while (Admits(core, 16s)) {
    ++admitted;
  }
  // The rate over ten seconds and the burst.
  CHECK(admitted <= 10 * 10 + 20);
}

TEST_CASE("A refusal states when the next request can be admitted") {
  QuotaCore core{QuotaOptions{}};
  core.Handle(FleetSizeChanged{.members = 1}, At(0s));
  SetQuota(core, 2, 1, 0s);
  CHECK(Admits(core, 0s));
  const QuotaAction action =
      core.Handle(QuotaCheckRequested{kOrganisation}, At(0s));
  const auto* exceeded = std::get_if<QuotaExceeded>(&action);
  REQUIRE(exceeded != nullptr);
  CHECK(exceeded->retry_after > 400ms);
  CHECK(exceeded->retry_after < 600ms);
  CHECK(Admits(core, exceeded->retry_after + 1ms));
}

}  // namespace
}  // namespace cowslip
