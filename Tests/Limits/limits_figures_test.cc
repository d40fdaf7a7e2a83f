#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>

#include "Tests/Limits/fleet_simulation.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

std::string Name(size_t index) {
  return std::string(1, static_cast<char>('a' + index));
}

void StartVms(FleetSimulation& fleet, size_t count) {
  for (size_t i = 0; i < count; ++i) {
    fleet.AddVm(Name(i));
  }
  fleet.Run(20s);
}

// Baseline: each entry has an equal part of every limit.
class StaticSplit {
 public:
  StaticSplit(size_t entries, double rate, double burst)
      : m_rate(rate / entries),
        m_burst(burst / entries),
        m_buckets(entries, {m_burst, 0}) {}

  bool Admit(size_t entry, double now) {
    auto& [level, updated] = m_buckets[entry];
    level = std::min(m_burst, level + (now - updated) * m_rate);
    updated = now;
    if (level < 1) {
      return false;
    }
    level -= 1;
    return true;
  }

 private:
  double m_rate;
  double m_burst;
  std::vector<std::pair<double, double>> m_buckets;
};

struct OfferedLoad {
  std::string name;
  double rate;
  double burst;
  /// Requests per second.
  double offered;
};

double FractionServed(uint64_t admitted, uint64_t refused) {
  return static_cast<double>(admitted) /
         static_cast<double>(std::max<uint64_t>(1, admitted + refused));
}

TEST_CASE(
    "Skewed traffic within the rate is served better than by a static split") {
  constexpr size_t kEntries = 6;
  // The fraction of an organisation's requests that arrive at one entry.
  constexpr double kSkew = 0.7;
  const std::vector<OfferedLoad> offers = {
      {"o0", 3, 6, 2},       {"o1", 5, 10, 4},       {"o2", 10, 20, 8},
      {"o3", 20, 40, 16},    {"o4", 40, 80, 32},     {"o5", 200, 200, 160},
      {"o6", 400, 400, 320}, {"greedy", 50, 50, 250}};
  FleetSimulation fleet(7, 8);
  for (const OfferedLoad& offer : offers) {
    fleet.SetLimit(offer.name, offer.rate, offer.burst);
  }
  StartVms(fleet, kEntries);
  for (size_t i = 0; i < offers.size(); ++i) {
    fleet.StartTraffic(offers[i].name, offers[i].offered, [&fleet, i] {
      return fleet.PickMostly(Name(i % kEntries), kSkew);
    });
  }
  fleet.Run(60s);

  std::mt19937_64 random(7);
  std::uniform_real_distribution<> part(0, 1);
  uint64_t refused = 0;
  uint64_t baseline_refused = 0;
  double worst = 1;
  double baseline_worst = 1;
  for (const OfferedLoad& offer : offers) {
    StaticSplit split(kEntries, offer.rate, offer.burst);
    std::exponential_distribution<> gap(offer.offered);
    OrganisationTally baseline;
    for (double now = gap(random); now < 60; now += gap(random)) {
      const size_t entry = part(random) < kSkew ? 0 : random() % kEntries;
      ++(split.Admit(entry, now) ? baseline.admitted : baseline.refused);
    }
    const OrganisationTally& ours = fleet.tallies[offer.name];
    std::printf(
        "%-7s rate %4.0f offered %4.0f: served %5.1f %%, static split "
        "%5.1f %%\n",
        offer.name.c_str(), offer.rate, offer.offered,
        100 * FractionServed(ours.admitted, ours.refused),
        100 * FractionServed(baseline.admitted, baseline.refused));
    if (offer.offered > offer.rate) {
      // An organisation that exceeds its rate still gets its rate.
      CHECK(ours.admitted > 0.95 * offer.rate * 60);
      continue;
    }
    refused += ours.refused;
    baseline_refused += baseline.refused;
    worst = std::min(worst, FractionServed(ours.admitted, ours.refused));
    baseline_worst = std::min(
        baseline_worst, FractionServed(baseline.admitted, baseline.refused));
  }
  std::printf(
      "in-rate refusals %lu, static split %lu; worst-served %.1f %%, "
      "static split %.1f %%; %.0f bytes/s for the fleet\n",
      refused, baseline_refused, 100 * worst, 100 * baseline_worst,
      static_cast<double>(fleet.bytes) / 80);
  CHECK(fleet.TotalOverLimit() == 0);
  CHECK(refused * 10 < baseline_refused);
  CHECK(worst > baseline_worst);
}

// Runs for `time` and returns the fraction of requests that was served.
double FractionServedDuring(FleetSimulation& fleet, Duration time) {
  fleet.tallies.clear();
  fleet.Run(time);
  uint64_t admitted = 0;
  uint64_t refused = 0;
  for (const auto& [name, tally] : fleet.tallies) {
    admitted += tally.admitted;
    refused += tally.refused;
  }
  return FractionServed(admitted, refused);
}

void StartLightTraffic(FleetSimulation& fleet) {
  for (int i = 0; i < 60; ++i) {
    const std::string name = "o" + std::to_string(i);
    fleet.SetLimit(name, 2, 10);
    fleet.StartTraffic(name, 0.25,
                       [&fleet] { return fleet.PickMostly("none", 0); });
  }
}

TEST_CASE("A store outage of an hour refuses nothing while no entry is lost") {
  FleetSimulation fleet(3, 32);
  StartVms(fleet, 3);
  StartLightTraffic(fleet);
  fleet.Run(10s);
  fleet.faults.store_down = true;
  const double served = FractionServedDuring(fleet, 1h);
  std::printf("outage of an hour, 3 entries: served %.2f %%\n", 100 * served);
  CHECK(served > 0.999);

  fleet.Kill("a");
  const double lost = FractionServedDuring(fleet, 5min);
  std::printf("store and one of 3 entries away: served %.1f %%\n", 100 * lost);
  CHECK(lost > 0.4);
  fleet.faults.store_down = false;
  fleet.Run(15s);
  const double back = FractionServedDuring(fleet, 1min);
  std::printf("15 s after the store is back: served %.2f %%\n", 100 * back);
  CHECK(back > 0.99);
  CHECK(fleet.TotalOverLimit() == 0);
}

TEST_CASE("A lost entry's shares are reclaimed within seconds") {
  for (const size_t count : {2, 3, 5}) {
    FleetSimulation fleet(count, 32);
    StartVms(fleet, count);
    StartLightTraffic(fleet);
    fleet.Run(10s);
    fleet.Kill("a");
    const double during = FractionServedDuring(fleet, 12s);
    fleet.Run(2s);
    const double after = FractionServedDuring(fleet, 30s);
    std::printf(
        "one of %zu entries lost: served %.1f %% in 12 s, then "
        "%.2f %%\n",
        count, 100 * during, 100 * after);
    CHECK(after > 0.99);
    CHECK(fleet.TotalOverLimit() == 0);
  }
}

TEST_CASE("A graceful shutdown and a new entry cause almost no refusals") {
  FleetSimulation fleet(9, 32);
  StartVms(fleet, 3);
  StartLightTraffic(fleet);
  fleet.Run(10s);
  fleet.Drain("a");
  const double drained = FractionServedDuring(fleet, 5s);
  CHECK(fleet.core("a").IsDrained());
  fleet.Kill("a");
  fleet.AddVm("d");
  const double added = FractionServedDuring(fleet, 20s);
  std::printf("drain: served %.2f %%; new entry: served %.2f %%\n",
              100 * drained, 100 * added);
  CHECK(drained > 0.97);
  CHECK(added > 0.99);
  CHECK(fleet.core("d").owned_shards() > 0);
}

}  // namespace
}  // namespace cowslip
