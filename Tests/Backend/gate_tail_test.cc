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
  const GateFigures online_only = Run(HeadroomWithPreemption(), 0);
  const GateFigures with_batch = Run(HeadroomWithPreemption(), 16);
  const GateFigures ungated = Run(NoGate(), 16);
  REQUIRE(online_only.first_token.size() > 100);
  CHECK(with_batch.first_token.size() == online_only.first_token.size());
  CHECK(with_batch.online_refused == 0);
  // With batch requests in the engine's batch each step takes longer, which
  // costs up to 20 ms here.
  CHECK(with_batch.Quantile(0.99) < online_only.Quantile(0.99) + 20ms);
  CHECK(ungated.Quantile(0.99) > 20 * online_only.Quantile(0.99));
  CHECK(with_batch.batch_items > ungated.batch_items * 9 / 10);
}

}  // namespace
}  // namespace cowslip
