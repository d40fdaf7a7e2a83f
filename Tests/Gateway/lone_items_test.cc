#include <catch2/catch.hpp>

#include "crash_waves.h"

namespace cowslip {
namespace {

// Crashes of backend servers that run nothing are not seen beside a trial.
TEST_CASE("Items are not left lying after waves that nothing else has met") {
  CheckItemsAfterCrashWaves(0);
}

}  // namespace
}  // namespace cowslip
