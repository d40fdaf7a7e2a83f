#ifndef UTILITIES_STANDINS_ENGINE_ENGINE_FAULTS_H_
#define UTILITIES_STANDINS_ENGINE_ENGINE_FAULTS_H_

#include <cstdint>
#include <string>

#include "Base/result.h"

namespace cowslip {

/// \class EngineFaults
/// \brief Faults that a test asks the stand-in for, as JSON at `/faults`.
struct EngineFaults {
  /// Each request waits this long before the engine sees it.
  int64_t slow_ms = 0;
  /// Connections are closed without an answer.
  bool down = false;
  /// A request that holds this text crashes the engine.
  std::string crash_marker;
  /// `exit` ends the process; `connections` cuts every connection and keeps
  /// the engine down for `down_ms`.
  std::string crash_mode = "exit";
  int64_t down_ms = 1000;
  /// A request that holds this text gets status 400.
  std::string fail_marker;
  /// Answers are cut off after so many tokens; 0 never.
  uint64_t cut_after_tokens = 0;
};

/// Fields that the document does not name keep their defaults. Errors:
/// kInvalidArgument.
Result<EngineFaults> ParseEngineFaults(const std::string& body);

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_ENGINE_ENGINE_FAULTS_H_
