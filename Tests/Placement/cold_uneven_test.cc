#include <catch2/catch.hpp>

#include "cold_wave_replay.h"

namespace cowslip {
namespace {

// Guards against refusals at a gateway with three times the mean load while
// backend servers have free slots.
TEST_CASE("A zone that returns cold at a wave's peak: uneven gateways") {
  WaveReplay replay(3, false);
  ReturnZoneCold(replay);
  CHECK(replay.MostAtColdServer() <= kMaxInWindow);
  CHECK(replay.refused == 0);
}

TEST_CASE("A wave's peak with all servers warm: uneven gateways") {
  WaveReplay replay(3, false);
  for (size_t i = 0; i < WaveReplay::kServers; ++i) {
    replay.Add(i, 0s);
  }
  replay.Run(2s, 6s);
  WARN(replay.served << " served, " << replay.refused << " refused in 4 s");
  CHECK(replay.refused == 0);
}

}  // namespace
}  // namespace cowslip
