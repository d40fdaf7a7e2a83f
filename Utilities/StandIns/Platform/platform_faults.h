#ifndef UTILITIES_STANDINS_PLATFORM_PLATFORM_FAULTS_H_
#define UTILITIES_STANDINS_PLATFORM_PLATFORM_FAULTS_H_

#include <cstdint>

#include <nlohmann/json.hpp>

namespace cowslip {

/// \class PlatformFaults
/// \brief What `PUT /faults` sets on the platform's stand-in.
struct PlatformFaults {
  /// Every call is answered 503 and has no effect; waiting watches end.
  bool down = false;
  /// Every call waits this long first.
  int64_t slow_ms = 0;
  /// Share of the writes that take effect while the connection is cut.
  uint32_t lose_answer_per_mille = 0;
  /// Share of the calls answered 500 without effect and without saying so.
  uint32_t fail_per_mille = 0;
  uint64_t seed = 1;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PlatformFaults,
                                                down,
                                                slow_ms,
                                                lose_answer_per_mille,
                                                fail_per_mille,
                                                seed)

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_PLATFORM_PLATFORM_FAULTS_H_
