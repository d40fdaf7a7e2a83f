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

// Runs on a virtual clock, so that each run gives the same figures.
TEST_CASE("Batch load does not raise the tail latency of online requests") {
  const GateFigures alone = Run(HeadroomWithPreemption(), 0);
  const GateFigures beside = Run(HeadroomWithPreemption(), 16);
  const GateFigures naive = Run(NoGate(), 16);
  REQUIRE(alone.first_token.size() > 100);
  CHECK(beside.first_token.size() == alone.first_token.size());
  CHECK(beside.online_refused == 0);
  // With batch requests in the engine's batch each step takes longer, which
  // costs up to 20 ms here.
  CHECK(beside.Quantile(0.99) < alone.Quantile(0.99) + 20ms);
  CHECK(naive.Quantile(0.99) > 20 * alone.Quantile(0.99));
  CHECK(beside.batch_items > naive.batch_items * 9 / 10);
}

}  // namespace
}  // namespace cowslip
