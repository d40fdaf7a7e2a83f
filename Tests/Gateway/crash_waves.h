#ifndef TESTS_GATEWAY_CRASH_WAVES_H_
#define TESTS_GATEWAY_CRASH_WAVES_H_

#include <cstddef>

namespace cowslip {

/// Runs a job whose items share a prompt part while backend servers crash in
/// waves, beside so many callers whose requests share nothing with it, and
/// checks that no item is left lying after the waves.
void CheckItemsAfterCrashWaves(size_t online_callers);

}  // namespace cowslip

#endif  // TESTS_GATEWAY_CRASH_WAVES_H_
