#include <catch2/catch.hpp>

#include "crash_waves.h"

namespace cowslip {
namespace {

// Crashes of backend servers that run nothing are seen by service discovery
// only.
TEST_CASE("Items are not left lying after waves that nothing else has met") {
  CheckItemsAfterCrashWaves(0);
}

}  // namespace
}  // namespace cowslip
