#include "Jobs/item_services.h"

#include <catch2/catch.hpp>

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const JobKey kJob("j.mill");
const ServiceId kCanary("canary");
const ServiceId kMain("main");

MonotonicTime At(Duration time) {
  return MonotonicTime(100s + time);
}

bool AcceptsAll(const ServiceId&) {
  return true;
}

// The part of the service in `parts`; 0 if it has none.
double PartAt(const std::vector<ServicePart>& parts, const ServiceId& service) {
  double part = 0;
  for (const ServicePart& entry : parts) {
    part += entry.service == service ? entry.part : 0;
  }
  return part;
}

TEST_CASE("The parts of a split follow the weights") {
  const std::vector<TrafficShare> split = {{kCanary, 10}, {kMain, 90}};
  const auto parts = PartsOf(split, AcceptsAll);
  CHECK(PartAt(parts, kCanary) == Approx(0.1));
  CHECK(PartAt(parts, kMain) == Approx(0.9));
  CHECK(ServiceAt(parts, 0) == kCanary);
  CHECK(ServiceAt(parts, 0.11) == kMain);
  CHECK(ServiceAt(parts, 0.999) == kMain);
}

TEST_CASE("Services that accept nothing leave their part to the others") {
  const std::vector<TrafficShare> split = {{kCanary, 10}, {kMain, 90}};
  const auto parts = PartsOf(
      split, [](const ServiceId& service) { return service == kCanary; });
  CHECK(PartAt(parts, kCanary) == 1);
  CHECK(PartAt(parts, kMain) == 0);
  const auto none = PartsOf(split, [](const ServiceId&) { return false; });
  CHECK(PartAt(none, kMain) == Approx(0.9));
}

TEST_CASE("A weight of 0 gets nothing unless all weights are 0") {
  CHECK(PartAt(PartsOf({{kCanary, 0}, {kMain, 5}}, AcceptsAll), kMain) == 1);
  CHECK(PartAt(PartsOf({{kCanary, 0}, {kMain, 0}}, AcceptsAll), kCanary) == 1);
  // The only weighted service accepts nothing: requests still go to no other.
  const auto parts =
      PartsOf({{kCanary, 0}, {kMain, 5}},
              [](const ServiceId& service) { return service == kCanary; });
  CHECK(PartAt(parts, kMain) == 1);
  CHECK(PartsOf({}, AcceptsAll).empty());
}

TEST_CASE("An item keeps its service until it runs or the service is lost") {
  ItemServices services({.seed = 1});
  const std::vector<ServicePart> both = {{kCanary, 0.5}, {kMain, 0.5}};
  const ItemId item("a");
  const ServiceId first = services.Choose(kJob, item, both, {}, At(0s));
  for (int i = 1; i < 50; ++i) {
    CHECK(services.Choose(kJob, item, both, {}, At(i * 40ms)) == first);
  }
  const ServiceId other = first == kMain ? kCanary : kMain;
  CHECK(services.Choose(kJob, item, {{other, 1}}, {}, At(2s)) == other);
  size_t changes = 0;
  for (int i = 0; i < 200; ++i) {
    services.Forget(kJob, item);
    changes += services.Choose(kJob, item, both, {}, At(2s)) == kMain ? 1 : 0;
  }
  CHECK(changes > 50);
  CHECK(changes < 150);
}

// Replays the load that the decision answers: one service has no free slot for
// seconds, while the other one has some.
TEST_CASE("Items of a full service move to one with free slots") {
  ItemServices services({.seed = 1});
  const std::vector<ServicePart> parts = {{kCanary, 0.9}, {kMain, 0.1}};
  size_t waiting_at_canary = 0;
  for (int i = 0; i < 20; ++i) {
    const ItemId item("i" + std::to_string(i));
    waiting_at_canary +=
        services.Choose(kJob, item, parts, {kMain}, At(0s)) == kCanary ? 1 : 0;
  }
  CHECK(waiting_at_canary > 10);
  for (int i = 0; i < 20; ++i) {
    const ItemId item("i" + std::to_string(i));
    CHECK(services.Choose(kJob, item, parts, {kMain}, At(2500ms)) == kMain);
  }
  // While both are full, items stay where they are.
  const ItemId item("j");
  const ServiceId drawn = services.Choose(kJob, item, parts, {}, At(0s));
  CHECK(services.Choose(kJob, item, parts, {}, At(9s)) == drawn);
}

}  // namespace
}  // namespace cowslip
