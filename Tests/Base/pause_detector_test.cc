#include "Base/pause_detector.h"

#include <catch2/catch.hpp>

namespace cowslip {
namespace {

using namespace std::chrono_literals;

BootTime At(Duration since_start) {
  return BootTime(100s + since_start);
}

TEST_CASE("PauseDetector ignores gaps of up to one second") {
  PauseDetector detector;
  for (int i = 0; i < 50; ++i) {
    CHECK_FALSE(detector.Tick(At(i * 100ms)).has_value());
  }
  // A tick one second after the previous one, as on a busy CPU.
  CHECK_FALSE(detector.Tick(At(5900ms)).has_value());
}

TEST_CASE("PauseDetector reports a suspension once, at the next tick") {
  PauseDetector detector;
  detector.Tick(At(0s));
  CHECK(detector.Tick(At(4s)) == Duration(4s));
  CHECK_FALSE(detector.Tick(At(4100ms)).has_value());
}

TEST_CASE("PauseDetector knows of a suspension before the next tick") {
  PauseDetector detector;
  CHECK_FALSE(detector.IsOverdue(At(4s)));
  detector.Tick(At(0s));
  CHECK_FALSE(detector.IsOverdue(At(1s)));
  CHECK(detector.IsOverdue(At(4s)));
  detector.Tick(At(4s));
  CHECK_FALSE(detector.IsOverdue(At(4s)));
}

}  // namespace
}  // namespace cowslip
