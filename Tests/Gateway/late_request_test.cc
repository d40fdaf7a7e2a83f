// Replays requests that come while a gateway shuts down: it begins only those
// whose runs end before it has to answer.
#include <catch2/catch.hpp>

#include "Gateway/run_time_record.h"
#include "Gateway/shutdown_notice.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

const RouteId kRoute("r");

MonotonicTime At(Duration time) {
  return MonotonicTime(1000s + time);
}

TEST_CASE("Without a shutdown no request is too late") {
  const ShutdownNotice notice;
  CHECK_FALSE(notice.IsTooLate(At(1h), 1h, At(0s)));
}

TEST_CASE(
    "A late request is begun if its run ends before the answers are due") {
  ShutdownNotice notice;
  notice.SetDue(At(2500ms), At(7s));
  const MonotonicTime far = At(30s);
  // Clients still come until the balancer has removed the VM.
  CHECK_FALSE(notice.IsTooLate(far, 20s, At(2400ms)));
  CHECK(notice.IsTooLate(far, 20s, At(2500ms)));
  CHECK_FALSE(notice.IsTooLate(far, 1s, At(5900ms)));
  CHECK(notice.IsTooLate(far, 1s, At(6100ms)));
  // Nothing is known of the route.
  CHECK_FALSE(notice.IsTooLate(far, std::nullopt, At(4700ms)));
  CHECK(notice.IsTooLate(far, std::nullopt, At(4800ms)));
  // Its own time ends first.
  CHECK_FALSE(notice.IsTooLate(At(7s), 20s, At(6900ms)));
}

TEST_CASE("The longest recent run of a route is known") {
  RunTimeRecord record({.memory = 60s});
  CHECK_FALSE(record.Longest(kRoute, At(0s)).has_value());
  record.Add(kRoute, 3s, At(0s));
  record.Add(kRoute, 1s, At(1s));
  CHECK(record.Longest(kRoute, At(2s)) == Duration(3s));
  CHECK_FALSE(record.Longest(RouteId("other"), At(2s)).has_value());
  record.Add(kRoute, 2s, At(70s));
  CHECK(record.Longest(kRoute, At(71s)) == Duration(3s));
  record.Add(kRoute, 1s, At(140s));
  CHECK(record.Longest(kRoute, At(141s)) == Duration(2s));
  CHECK_FALSE(record.Longest(kRoute, At(300s)).has_value());
}

}  // namespace
}  // namespace cowslip
