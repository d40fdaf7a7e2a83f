#include <catch2/catch.hpp>

#include "Placement/aborted_run_tracker.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

TEST_CASE("A process that starts later blocks a request that is blocked") {
  const Fingerprint fingerprint("f");
  const MonotonicTime start(100s);
  AbortedRunTracker tracker({});
  for (int i = 0; i < 3; ++i) {
    tracker.Handle(RunAborted{fingerprint}, start);
  }
  const MonotonicTime later = start + 30s;
  REQUIRE(tracker.IsBlocked(fingerprint, later));
  AbortedRunTracker started_later({});
  started_later.Handle(
      PeerAbortedRunsReported{VmId("a"), tracker.RunsToReport(later)}, later);
  CHECK(started_later.IsBlocked(fingerprint, later));
}

}  // namespace
}  // namespace cowslip
