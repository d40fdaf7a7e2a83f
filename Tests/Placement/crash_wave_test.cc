#include <catch2/catch.hpp>

#include "Peers/peer_table.h"
#include "Placement/crash_suspect_core.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

// An accepted item must not stay away from all backend servers for longer.
constexpr Duration kMaxIdleTime = 5s;

TEST_CASE(
    "A part is tried soon after waves of crashes, however many there were") {
  const VmId vm("g0");
  PeerTable table({.self = vm});
  CrashSuspectCore core({.self = vm}, table);
  const std::vector<PromptPartId> parts = {PromptPartId("p")};
  MonotonicTime now(100s);
  int backend = 0;
  for (int wave = 0; wave < 10; ++wave) {
    now += 1s;
    for (int i = 0; i < 8; ++i) {
      now += 30ms;
      core.Handle(RunBrokenOff{.backend = BackendId(std::to_string(++backend)),
                               .started_at_ms = 1,
                               .parts = parts},
                  now);
    }
  }
  const auto action = core.Handle(RunRequested{parts}, now + kMaxIdleTime);
  CHECK(std::holds_alternative<RunAllowed>(action));
}

}  // namespace
}  // namespace cowslip
