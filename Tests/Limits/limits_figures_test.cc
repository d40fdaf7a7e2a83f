#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>

#include "Tests/Limits/fleet.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

std::string Name(size_t index) {
  return std::string(1, static_cast<char>('a' + index));
}

void StartVms(Fleet& fleet, size_t count) {
  for (size_t i = 0; i < count; ++i) {
    fleet.AddVm(Name(i));
  }
  fleet.Run(20s);
}

// The naive way: each entry has an equal part of every limit.
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

struct Offer {
  std::string name;
  double rate;
  double burst;
  /// Requests a second.
  double offered;
};

double PartServed(uint64_t admitted, uint64_t refused) {
  return static_cast<double>(admitted) /
         static_cast<double>(std::max<uint64_t>(1, admitted + refused));
}

TEST_CASE("Skewed in-rate traffic is served better than by a static split") {
  constexpr size_t kEntries = 6;
  // Most requests of an organisation come in at one entry.
  constexpr double kSkew = 0.7;
  const std::vector<Offer> offers = {
      {"o0", 3, 6, 2},       {"o1", 5, 10, 4},       {"o2", 10, 20, 8},
      {"o3", 20, 40, 16},    {"o4", 40, 80, 32},     {"o5", 200, 200, 160},
      {"o6", 400, 400, 320}, {"greedy", 50, 50, 250}};
  Fleet fleet(7, 8);
  for (const Offer& offer : offers) {
    fleet.SetLimit(offer.name, offer.rate, offer.burst);
  }
  StartVms(fleet, kEntries);
  for (size_t i = 0; i < offers.size(); ++i) {
    fleet.Traffic(offers[i].name, offers[i].offered, [&fleet, i] {
      return fleet.MostlyAt(Name(i % kEntries), kSkew);
    });
  }
  fleet.Run(60s);

  std::mt19937_64 random(7);
  std::uniform_real_distribution<> part(0, 1);
  uint64_t refused = 0;
  uint64_t naive_refused = 0;
  double worst = 1;
  double naive_worst = 1;
  for (const Offer& offer : offers) {
    StaticSplit split(kEntries, offer.rate, offer.burst);
    std::exponential_distribution<> gap(offer.offered);
    OrganisationTally naive;
    for (double now = gap(random); now < 60; now += gap(random)) {
      const size_t entry = part(random) < kSkew ? 0 : random() % kEntries;
      ++(split.Admit(entry, now) ? naive.admitted : naive.refused);
    }
    const OrganisationTally& ours = fleet.tallies[offer.name];
    std::printf(
        "%-7s rate %4.0f offered %4.0f: served %5.1f %%, static split "
        "%5.1f %%\n",
        offer.name.c_str(), offer.rate, offer.offered,
        100 * PartServed(ours.admitted, ours.refused),
        100 * PartServed(naive.admitted, naive.refused));
    if (offer.offered > offer.rate) {
      // The greedy one gets its rate all the same.
      CHECK(ours.admitted > 0.95 * offer.rate * 60);
      continue;
    }
    refused += ours.refused;
    naive_refused += naive.refused;
    worst = std::min(worst, PartServed(ours.admitted, ours.refused));
    naive_worst =
        std::min(naive_worst, PartServed(naive.admitted, naive.refused));
  }
  std::printf(
      "in-rate refusals %lu, static split %lu; worst-served %.1f %%, "
      "static split %.1f %%; %.0f bytes/s for the fleet\n",
      refused, naive_refused, 100 * worst, 100 * naive_worst,
      static_cast<double>(fleet.bytes) / 80);
  CHECK(fleet.TotalOver() == 0);
  CHECK(refused * 10 < naive_refused);
  CHECK(worst > naive_worst);
}

// Returns the part served.
double ServeWhile(Fleet& fleet, Duration time) {
  fleet.tallies.clear();
  fleet.Run(time);
  uint64_t admitted = 0;
  uint64_t refused = 0;
  for (const auto& [name, tally] : fleet.tallies) {
    admitted += tally.admitted;
    refused += tally.refused;
  }
  return PartServed(admitted, refused);
}

void OfferTraffic(Fleet& fleet) {
  for (int i = 0; i < 60; ++i) {
    const std::string name = "o" + std::to_string(i);
    fleet.SetLimit(name, 2, 10);
    fleet.Traffic(name, 0.25, [&fleet] { return fleet.MostlyAt("none", 0); });
  }
}

TEST_CASE("A store outage of an hour refuses nothing while no entry is lost") {
  Fleet fleet(3, 32);
  StartVms(fleet, 3);
  OfferTraffic(fleet);
  fleet.Run(10s);
  fleet.faults.store_down = true;
  const double served = ServeWhile(fleet, 1h);
  std::printf("outage of an hour, 3 entries: served %.2f %%\n", 100 * served);
  CHECK(served > 0.999);

  fleet.Kill("a");
  const double lost = ServeWhile(fleet, 5min);
  std::printf("store and one of 3 entries away: served %.1f %%\n", 100 * lost);
  CHECK(lost > 0.4);
  fleet.faults.store_down = false;
  fleet.Run(15s);
  const double back = ServeWhile(fleet, 1min);
  std::printf("15 s after the store is back: served %.2f %%\n", 100 * back);
  CHECK(back > 0.99);
  CHECK(fleet.TotalOver() == 0);
}

TEST_CASE("A lost entry's shares come back within seconds") {
  for (const size_t count : {2, 3, 5}) {
    Fleet fleet(count, 32);
    StartVms(fleet, count);
    OfferTraffic(fleet);
    fleet.Run(10s);
    fleet.Kill("a");
    const double during = ServeWhile(fleet, 12s);
    fleet.Run(2s);
    const double after = ServeWhile(fleet, 30s);
    std::printf(
        "one of %zu entries lost: served %.1f %% in 12 s, then "
        "%.2f %%\n",
        count, 100 * during, 100 * after);
    CHECK(after > 0.99);
    CHECK(fleet.TotalOver() == 0);
  }
}

TEST_CASE("A graceful shutdown and a new entry refuse next to nothing") {
  Fleet fleet(9, 32);
  StartVms(fleet, 3);
  OfferTraffic(fleet);
  fleet.Run(10s);
  fleet.Drain("a");
  const double drained = ServeWhile(fleet, 5s);
  CHECK(fleet.core("a").IsDrained());
  fleet.Kill("a");
  fleet.AddVm("d");
  const double added = ServeWhile(fleet, 20s);
  std::printf("drain: served %.2f %%; new entry: served %.2f %%\n",
              100 * drained, 100 * added);
  CHECK(drained > 0.97);
  CHECK(added > 0.99);
  CHECK(fleet.core("d").owned_shards() > 0);
}

}  // namespace
}  // namespace cowslip
