#ifndef UTILITIES_STANDINS_PLAIN_PLAIN_FAULTS_H_
#define UTILITIES_STANDINS_PLAIN_PLAIN_FAULTS_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace cowslip {

/// \class PlainFaults
/// \brief What `PUT /faults` sets on the plain service's stand-in.
struct PlainFaults {
  /// Every request waits this long before its effect.
  int64_t slow_ms = 0;
  /// Connections are closed without an effect.
  bool down = false;
  /// A request that holds this text is run, and its connection cut.
  std::string cut_marker;
  /// The next so many requests are run, and their connections cut.
  uint64_t cut_next = 0;
  /// A request that holds this text ends the process after its effect.
  std::string crash_marker;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PlainFaults,
                                                slow_ms,
                                                down,
                                                cut_marker,
                                                cut_next,
                                                crash_marker)

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_PLAIN_PLAIN_FAULTS_H_
