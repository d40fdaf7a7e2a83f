#include "Base/pause_detector.h"

#include <catch2/catch.hpp>

namespace cowslip {
namespace {

using namespace std::chrono_literals;

BootTime At(Duration since_start) {
  return BootTime(100s + since_start);
}

TEST_CASE("Ticks that come in time are no pause") {
  PauseDetector detector;
  for (int i = 0; i < 50; ++i) {
    CHECK_FALSE(detector.Tick(At(i * 100ms)).has_value());
  }
  // A busy processor.
  CHECK_FALSE(detector.Tick(At(5900ms)).has_value());
}

TEST_CASE("A suspended VM is noticed at the first tick, once") {
  PauseDetector detector;
  detector.Tick(At(0s));
  CHECK(detector.Tick(At(4s)) == Duration(4s));
  CHECK_FALSE(detector.Tick(At(4100ms)).has_value());
}

}  // namespace
}  // namespace cowslip
