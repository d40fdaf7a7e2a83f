#include <catch2/catch.hpp>

#include "Utilities/Bench/GateCompare/gate_simulation.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

GateFigures Run(GatePolicy policy, size_t batch_outstanding) {
  const GateLoad load{.time = 120s,
                      .online_per_second = 1,
                      .burst_size = 6,
                      .batch_outstanding = batch_outstanding};
  return GateSimulation({.policy = policy}, EngineModelOptions(), load).Run();
}

// On a virtual clock, so that each run gives the same figures.
TEST_CASE("Batch beside online work leaves the online tail alone") {
  const GateFigures alone = Run(HeadroomWithPreemption(), 0);
  const GateFigures beside = Run(HeadroomWithPreemption(), 16);
  const GateFigures naive = Run(NoGate(), 16);
  REQUIRE(alone.first_token.size() > 100);
  CHECK(beside.first_token.size() == alone.first_token.size());
  CHECK(beside.online_refused == 0);
  // Each step beside batch is longer, since the batch is larger: that alone
  // is the engine's price of 20 ms here.
  CHECK(beside.Quantile(0.99) < alone.Quantile(0.99) + 20ms);
  CHECK(naive.Quantile(0.99) > 20 * alone.Quantile(0.99));
  CHECK(beside.batch_items > naive.batch_items * 9 / 10);
}

}  // namespace
}  // namespace cowslip
