// Replays requests that come while a gateway shuts down: late ones are begun
// only if they can't be cut off.
#include <catch2/catch.hpp>

#include "Gateway/shutdown_notice.h"

namespace cowslip {
namespace {

using namespace std::chrono_literals;

MonotonicTime At(Duration time) {
  return MonotonicTime(1000s + time);
}

TEST_CASE("Without a shutdown no request is too late") {
  const ShutdownNotice notice;
  CHECK_FALSE(notice.IsTooLate(At(1h), At(0s)));
}

TEST_CASE(
    "A late request is begun if its deadline ends before the answers are due") {
  ShutdownNotice notice;
  notice.SetDue(At(2500ms), At(7s));
  // Clients still come until the balancer has removed the VM.
  CHECK_FALSE(notice.IsTooLate(At(30s), At(2400ms)));
  CHECK(notice.IsTooLate(At(30s), At(2500ms)));
  CHECK(notice.IsTooLate(At(7001ms), At(2500ms)));
  CHECK_FALSE(notice.IsTooLate(At(7s), At(2500ms)));
  CHECK_FALSE(notice.IsTooLate(At(7s), At(6900ms)));
}

TEST_CASE("A late request relies on the shortest grace time that was named") {
  ShutdownNotice notice;
  notice.SetDue(At(2500ms), At(7s));
  notice.SetDue(At(2500ms), At(9s));
  CHECK(notice.IsTooLate(At(8s), At(3s)));
  CHECK_FALSE(notice.IsTooLate(At(7s), At(3s)));
  notice.SetDue(At(2500ms), At(5s));
  CHECK(notice.IsTooLate(At(6s), At(3s)));
  CHECK_FALSE(notice.IsTooLate(At(5s), At(3s)));
}

TEST_CASE("Requests in progress hear when late requests are rejected") {
  ShutdownNotice notice;
  int late = 0;
  int expired = 0;
  {
    const auto registration = notice.Register(
        {.late = [&] { ++late; }, .expired = [&] { ++expired; }});
    notice.NotifyLate(At(3s));
    CHECK(late == 0);
    notice.SetDue(At(2500ms), At(7s));
    notice.NotifyLate(At(2400ms));
    CHECK(late == 0);
    // Again at each call: the time may have changed.
    notice.NotifyLate(At(2500ms));
    notice.NotifyLate(At(2600ms));
    CHECK(late == 2);
    CHECK(expired == 0);
  }
  notice.NotifyLate(At(3s));
  notice.Expire();
  CHECK(late == 2);
  CHECK(expired == 0);
}

}  // namespace
}  // namespace cowslip
